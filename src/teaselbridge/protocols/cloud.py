"""Host list and cloud API, as the platform offers them over HTTP."""

from __future__ import annotations

import dataclasses
import typing

import httpx
import msgspec

from teaselbridge import clock
from teaselbridge.decisions import events
from teaselbridge import errors

TIMEOUT_MS = 2_000
NOTICE_WAIT_MS = 10_000


@dataclasses.dataclass(eq=False)
class PlatformError(errors.TeaselbridgeError):
    """The host list or the cloud API gave no usable answer.

    :param detail: what went wrong.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Notice:
    """One reclaim notice.

    :param number: place in the order of notices, from 1.
    :param host: name of the host.
    :param at: wall milliseconds at which it is taken back.
    """

    number: int
    host: str
    at: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Notices:
    """Answer to a question for notices.

    :param last: number of the newest notice.
    :param notices: notices after the one that was asked for.
    """

    last: int
    notices: tuple[Notice, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hosts:
    """Answer of the host list."""

    hosts: tuple[events.HostRow, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Prices:
    """Answer to a question for prices."""

    prices: tuple[events.Price, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostOrder:
    """An order of a host.

    :param token: repeated orders with one token start one host.
    """

    token: str
    pool: str
    version: str
    zone: str
    host_class: str
    reclaimable: bool


T = typing.TypeVar('T')
REFUSED = frozenset({409, 429, 503})


class HostList:
    """Adapter of the host list, which lags behind reality.

    :param base: ``http://ip:port`` of the service.
    """

    def __init__(self, *, base: str) -> None:
        self._client = _client(base)

    async def read(self) -> tuple[events.HostRow, ...]:
        """Read all rows.

        :raises PlatformError: there was no usable answer.
        """
        data = await _get(self._client, '/v1/hosts', {}, TIMEOUT_MS)
        return _decode(data, Hosts).hosts

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


class Cloud:
    """Adapter of the cloud API.

    :param base: ``http://ip:port`` of the service.
    """

    def __init__(self, *, base: str) -> None:
        self._client = _client(base)

    async def notices(self, after: int) -> Notices:
        """Wait for reclaim notices.

        :param after: number of the last notice that is known.
        :return: later ones, perhaps none.
        :raises PlatformError: there was no usable answer.
        """
        query = {'after': str(after), 'wait_ms': str(NOTICE_WAIT_MS)}
        timeout = NOTICE_WAIT_MS + TIMEOUT_MS
        data = await _get(self._client, '/v1/notices', query, timeout)
        return _decode(data, Notices)

    async def prices(self) -> tuple[events.Price, ...]:
        """Read the prices of all kinds of hosts.

        :raises PlatformError: there was no usable answer.
        """
        data = await _get(self._client, '/v1/prices', {}, TIMEOUT_MS)
        return _decode(data, Prices).prices

    async def start(self, order: HostOrder) -> str | None:
        """Order a host.

        :return: its name, none where the cloud refuses.
        :raises PlatformError: there was no usable answer.
        """
        try:
            response = await self._client.post(
                '/v1/hosts', content=msgspec.json.encode(order)
            )
        except httpx.HTTPError as error:
            raise PlatformError(repr(error)) from error
        if response.status_code in REFUSED:
            return None
        if not response.is_success:
            raise PlatformError(f'status {response.status_code}')
        return _decode(response.content, events.HostRow).host

    async def stop(self, host: str) -> None:
        """Give a host back.

        :raises PlatformError: there was no usable answer.
        """
        try:
            response = await self._client.delete(f'/v1/hosts/{host}')
            response.raise_for_status()
        except httpx.HTTPError as error:
            raise PlatformError(repr(error)) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


def _client(base: str) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        base_url=base, timeout=clock.seconds(TIMEOUT_MS), trust_env=False
    )


async def _get(
    client: httpx.AsyncClient,
    path: str,
    query: dict[str, str],
    timeout_ms: int,
) -> bytes:
    try:
        response = await client.get(
            path, params=query, timeout=clock.seconds(timeout_ms)
        )
        response.raise_for_status()
    except httpx.HTTPError as error:
        raise PlatformError(repr(error)) from error
    return response.content


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise PlatformError(str(error)) from error
