"""Reading and validation of the settings file."""

from __future__ import annotations

import ipaddress
import pathlib
import urllib.parse

import pyjson5

from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.settings import model

MAX_PORT = 65_535


def load(path: str) -> model.Settings:
    """Read and check a settings file.

    :param path: path of a file of JSON with comments.
    :return: the checked settings.
    :raises errors.DocumentError: describes the first error and its place in
        the file.
    """
    settings = documents.convert(read_document(path), model.Settings, path)
    _check_addresses(settings, path)
    return settings


def read_document(path: str) -> object:
    """Parse a file of JSON with comments.

    :param path: path of the file.
    :return: the document as plain dictionaries, lists and scalars.
    :raises errors.DocumentError: the file cannot be read or is malformed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except FileNotFoundError as error:
        raise errors.DocumentError(path, '$', 'no such file') from error
    except (OSError, UnicodeDecodeError) as error:
        raise errors.DocumentError(path, '$', str(error)) from error
    try:
        document: object = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        reason = str(error.args[0]) if error.args else 'malformed JSON'
        raise errors.DocumentError(path, '$', reason) from error
    return document


def split_address(address: str) -> tuple[str, int]:
    """Split an ``ip:port`` address.

    :param address: the address as text.
    :return: the IP address and the port.
    :raises ValueError: the text is not an IP address with a port.
    """
    parts = urllib.parse.urlsplit(f'//{address}')
    if parts.hostname is None or parts.port is None:
        raise ValueError('expected ip:port')
    if not 0 < parts.port <= MAX_PORT:
        raise ValueError('expected a port from 1 to 65535')
    return str(ipaddress.ip_address(parts.hostname)), parts.port


def _check_addresses(settings: model.Settings, source: str) -> None:
    listen = settings.listen
    _check_address(listen.callers, source, '$.listen.callers')
    _check_address(listen.admin, source, '$.listen.admin')
    _check_address(listen.peers, source, '$.listen.peers')
    if listen.forwarding:
        _check_address(listen.forwarding, source, '$.listen.forwarding')
    for index, seed in enumerate(settings.seeds):
        _check_address(seed, source, f'$.seeds[{index}]')
    if settings.site is not None:
        _check_site(settings.site, source)
        return
    platform = settings.platform
    if platform is None:
        expected = 'expected `platform` or `site`'
        raise errors.DocumentError(source, '$', expected)
    _check_url(platform.keyvalue, source, '$.platform.keyvalue')
    _check_url(platform.hosts, source, '$.platform.hosts')
    _check_url(platform.cloud, source, '$.platform.cloud')
    _check_url(platform.weights, source, '$.platform.weights')


def _check_site(site: model.Site, source: str) -> None:
    _check_address(site.ready, source, '$.site.ready')
    _check_address(site.store, source, '$.site.store')
    for name in ('directory', 'cloud'):
        if getattr(site, name):
            _check_address(getattr(site, name), source, f'$.site.{name}')


def _check_address(address: str, source: str, path: str) -> None:
    try:
        split_address(address)
    except ValueError as error:
        expected = f'{error}, got `{address}`'
        raise errors.DocumentError(source, path, expected) from error


def _check_url(url: str, source: str, path: str) -> None:
    scheme, _, address = url.partition('://')
    if scheme not in ('http', 'https'):
        expected = f'expected http://ip:port, got `{url}`'
        raise errors.DocumentError(source, path, expected)
    _check_address(address.rstrip('/'), source, path)
