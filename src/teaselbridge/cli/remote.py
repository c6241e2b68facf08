"""HTTP client for the operators' interface of nodes."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import click
import httpx
import msgspec

from teaselbridge.admin import models
from teaselbridge import clock
from teaselbridge import documents
from teaselbridge import errors

REQUEST_TIMEOUT_MS = 15_000
LIVE_STATUSES = frozenset({'alive', 'suspect'})

T = typing.TypeVar('T')
F = typing.TypeVar('F', bound=typing.Callable[..., typing.Any])


@dataclasses.dataclass(eq=False)
class RemoteError(errors.TeaselbridgeError):
    """A request to a node that failed or had an unusable response.

    :param address: ``ip:port`` of the node.
    :param detail: description of the failure.
    """

    address: str
    detail: str

    def __str__(self) -> str:
        return f'{self.address}: {self.detail}'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Address and credentials of a node.

    :param address: ``ip:port`` of its operators' interface.
    :param key: operators' key.
    :param ca: file with the CA certificate for TLS, empty for plain HTTP.
    """

    address: str
    key: str
    ca: str = ''

    def at(self, address: str) -> Target:
        """Return a target with another address and the same credentials."""
        return dataclasses.replace(self, address=address)


def add_node_options(function: F) -> F:
    """Add the options for the address and credentials of a node."""
    add_option = click.option(
        '--node',
        'address',
        envvar='TEASELBRIDGE_NODE',
        required=True,
        help="A node's operators' interface, as ip:port.",
    )
    function = add_option(function)
    add_option = click.option(
        '--key',
        envvar='TEASELBRIDGE_KEY',
        default='',
        help="The operators' key.",
    )
    function = add_option(function)
    add_option = click.option(
        '--ca',
        envvar='TEASELBRIDGE_CA',
        default='',
        help='CA certificate file, for nodes with TLS.',
    )
    return add_option(function)


async def get(
    target: Target,
    path: str,
    kind: type[T],
    query: dict[str, str] | None = None,
) -> T:
    """Send a GET request to a node and decode the response.

    :param target: node to ask.
    :param path: path of the request.
    :param kind: type to decode the response into.
    :param query: query parameters.
    :raises RemoteError: the request failed or its response is unusable.
    """
    response = await _send(target, 'GET', path, query or {}, b'')
    _check_status(target, response)
    return _decode(target, response, kind)


async def post(target: Target, path: str, body: object, kind: type[T]) -> T:
    """Send a POST request to a node and decode the response.

    A response with another error status than 400, 401, 403 or 404 is
    decoded too, since it can be a refusal in the expected type.

    :param target: node to send to.
    :param path: path of the request.
    :param body: value to encode as the JSON body.
    :param kind: type to decode the response into.
    :raises RemoteError: the request failed or its response is unusable.
    """
    content = msgspec.json.encode(body)
    response = await _send(target, 'POST', path, {}, content)
    if response.status_code in (400, 401, 403, 404):
        _check_status(target, response)
    return _decode(target, response, kind)


async def list_live_nodes(target: Target) -> list[models.MemberStatus]:
    """Return the nodes that the target considers alive or suspect."""
    node_status = await get(target, '/v1/status', models.NodeStatus)
    return [
        member
        for member in node_status.members
        if member.status in LIVE_STATUSES
    ]


async def get_from_live_nodes(
    target: Target,
    path: str,
    kind: type[T],
    query: dict[str, str] | None = None,
) -> dict[str, T | RemoteError]:
    """Send a GET request to all live nodes concurrently.

    :param target: node to ask for the live nodes.
    :param path: path of the request.
    :param kind: type to decode the responses into.
    :param query: query parameters.
    :return: response by name of the node, or its error.
    """
    members = await list_live_nodes(target)

    async def ask_member(member: models.MemberStatus) -> T | RemoteError:
        try:
            return await get(target.at(member.admin), path, kind, query)
        except RemoteError as error:
            return error

    answers = await asyncio.gather(*(ask_member(member) for member in members))
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
            timeout=clock.seconds(REQUEST_TIMEOUT_MS),
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


def _check_status(target: Target, response: httpx.Response) -> None:
    if response.is_success:
        return
    detail = f'status {response.status_code}: {response.text}'
    raise RemoteError(target.address, detail)


def _decode(target: Target, response: httpx.Response, kind: type[T]) -> T:
    try:
        return documents.decode(response.content, kind, target.address)
    except errors.DocumentError as error:
        raise RemoteError(target.address, str(error)) from error
