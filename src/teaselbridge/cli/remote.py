"""Calls of the command line to nodes' operators' interfaces."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import click
import httpx
import msgspec

from teaselbridge.admin import models
from teaselbridge import clock
from teaselbridge import errors

TIMEOUT_MS = 15_000
LIVE = frozenset({'alive', 'suspect'})

T = typing.TypeVar('T')
F = typing.TypeVar('F', bound=typing.Callable[..., typing.Any])


@dataclasses.dataclass(eq=False)
class RemoteError(errors.TeaselbridgeError):
    """A node gave no usable answer.

    :param address: ``ip:port`` that was asked.
    :param detail: what went wrong.
    """

    address: str
    detail: str

    def __str__(self) -> str:
        return f'{self.address}: {self.detail}'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Which node to ask, and with what key.

    :param address: ``ip:port`` of its operators' interface.
    :param key: operators' key.
    :param ca: file with the authority of its certificate, empty for HTTP.
    """

    address: str
    key: str
    ca: str = ''

    def at(self, address: str) -> Target:
        """Give the same for another node."""
        return dataclasses.replace(self, address=address)


def options(function: F) -> F:
    """Add the options that say which node to ask."""
    decorate = click.option(
        '--node',
        'address',
        envvar='TEASELBRIDGE_NODE',
        required=True,
        help="A node's operators' interface, as ip:port.",
    )
    function = decorate(function)
    decorate = click.option(
        '--key',
        envvar='TEASELBRIDGE_KEY',
        default='',
        help="The operators' key.",
    )
    function = decorate(function)
    decorate = click.option(
        '--ca',
        envvar='TEASELBRIDGE_CA',
        default='',
        help='Authority of the certificates, for nodes with TLS.',
    )
    return decorate(function)


async def get(
    target: Target,
    path: str,
    kind: type[T],
    query: dict[str, str] | None = None,
) -> T:
    """Read a document of a node.

    :raises RemoteError: there was no usable answer.
    """
    response = await _send(target, 'GET', path, query or {}, b'')
    _check(target, response)
    return _decode(target, response, kind)


async def post(target: Target, path: str, body: object, kind: type[T]) -> T:
    """Send a document to a node; refusals of the expected shape are given.

    :raises RemoteError: there was no usable answer.
    """
    content = msgspec.json.encode(body)
    response = await _send(target, 'POST', path, {}, content)
    if response.status_code in (400, 401, 403, 404):
        _check(target, response)
    return _decode(target, response, kind)


async def live_nodes(target: Target) -> list[models.MemberStatus]:
    """List the nodes that the asked one believes to be alive."""
    found = await get(target, '/v1/status', models.NodeStatus)
    return [member for member in found.members if member.status in LIVE]


async def gather(
    target: Target,
    path: str,
    kind: type[T],
    query: dict[str, str] | None = None,
) -> dict[str, T | RemoteError]:
    """Read a document of all live nodes.

    :return: by name of the node; an error where a node did not answer.
    """
    members = await live_nodes(target)

    async def ask(member: models.MemberStatus) -> T | RemoteError:
        try:
            return await get(target.at(member.admin), path, kind, query)
        except RemoteError as error:
            return error

    answers = await asyncio.gather(*(ask(member) for member in members))
    names = [member.name for member in members]
    return dict(zip(names, answers, strict=True))


async def _send(
    target: Target,
    method: str,
    path: str,
    query: dict[str, str],
    content: bytes,
) -> httpx.Response:
    scheme = 'https' if target.ca else 'http'
    headers = {'authorization': f'Bearer {target.key}'} if target.key else {}
    try:
        async with httpx.AsyncClient(
            timeout=clock.seconds(TIMEOUT_MS),
            trust_env=False,
            verify=target.ca or False,
        ) as client:
            return await client.request(
                method,
                f'{scheme}://{target.address}{path}',
                params=query,
                content=content,
                headers=headers,
            )
    except (httpx.HTTPError, OSError) as error:
        raise RemoteError(target.address, repr(error)) from error


def _check(target: Target, response: httpx.Response) -> None:
    if response.is_success:
        return
    detail = f'status {response.status_code}: {response.text}'
    raise RemoteError(target.address, detail)


def _decode(target: Target, response: httpx.Response, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(response.content, type=kind)
    except msgspec.DecodeError as error:
        raise RemoteError(target.address, str(error)) from error
