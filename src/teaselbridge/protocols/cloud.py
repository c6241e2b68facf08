"""Clients of the host list and the cloud API, both over HTTP."""

from __future__ import annotations

import dataclasses
import typing

import httpx
import msgspec

from teaselbridge import clock
from teaselbridge.decisions import events
from teaselbridge import documents
from teaselbridge import errors

TIMEOUT_MS = 2_000
NOTICE_POLL_TIMEOUT_MS = 10_000


@dataclasses.dataclass(eq=False)
class PlatformError(errors.TeaselbridgeError):
    """Failure of a call to the host list or the cloud API.

    :param detail: description of the failure.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReclaimNotice:
    """Notice that the cloud is about to take back a host.

    :param number: sequence number of the notice, from 1.
    :param host: name of the host.
    :param at: wall-clock milliseconds at which the host is taken back.
    """

    number: int
    host: str
    at: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReclaimNotices:
    """Response to a query for reclaim notices.

    :param last: number of the newest notice.
    :param notices: notices after the number in the query.
    """

    last: int
    notices: tuple[ReclaimNotice, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostsResponse:
    """Response of the host list."""

    hosts: tuple[events.HostRow, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PricesResponse:
    """Response to a query for prices."""

    prices: tuple[events.Price, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostOrder:
    """Order of a host.

    :param token: idempotency token; all orders with the same token start
        one host.
    """

    token: str
    pool: str
    version: str
    zone: str
    host_class: str
    reclaimable: bool


T = typing.TypeVar('T')
REFUSED_STATUSES = frozenset({409, 429, 503})


class HostListClient:
    """Client of the host list, which may be out of date.

    :param base: ``http://ip:port`` of the service.
    """

    def __init__(self, *, base: str) -> None:
        self._client = _build_client(base)

    async def read_hosts(self) -> tuple[events.HostRow, ...]:
        """Return all rows.

        :raises PlatformError: there was no usable response.
        """
        data = await _get(self._client, '/v1/hosts', {}, TIMEOUT_MS)
        return _decode(data, HostsResponse).hosts

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


class CloudClient:
    """Client of the cloud API.

    :param base: ``http://ip:port`` of the service.
    """

    def __init__(self, *, base: str) -> None:
        self._client = _build_client(base)

    async def notices(self, after: int) -> ReclaimNotices:
        """Wait for reclaim notices.

        :param after: number of the last notice that is known.
        :return: the later notices, perhaps none.
        :raises PlatformError: there was no usable response.
        """
        query = {'after': str(after), 'wait_ms': str(NOTICE_POLL_TIMEOUT_MS)}
        timeout = NOTICE_POLL_TIMEOUT_MS + TIMEOUT_MS
        data = await _get(self._client, '/v1/notices', query, timeout)
        return _decode(data, ReclaimNotices)

    async def prices(self) -> tuple[events.Price, ...]:
        """Return the prices of all kinds of hosts.

        :raises PlatformError: there was no usable response.
        """
        data = await _get(self._client, '/v1/prices', {}, TIMEOUT_MS)
        return _decode(data, PricesResponse).prices

    async def order_host(self, order: HostOrder) -> str | None:
        """Order a host.

        :return: name of the host, none where the cloud refuses the order.
        :raises PlatformError: there was no usable response.
        """
        try:
            response = await self._client.post(
                '/v1/hosts', content=msgspec.json.encode(order)
            )
        except httpx.HTTPError as error:
            raise PlatformError(repr(error)) from error
        if response.status_code in REFUSED_STATUSES:
            return None
        if not response.is_success:
            raise PlatformError(f'status {response.status_code}')
        return _decode(response.content, events.HostRow).host

    async def release_host(self, host: str) -> None:
        """Release a host.

        :raises PlatformError: there was no usable response.
        """
        try:
            response = await self._client.delete(f'/v1/hosts/{host}')
            response.raise_for_status()
        except httpx.HTTPError as error:
            raise PlatformError(repr(error)) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


def _build_client(base: str) -> httpx.AsyncClient:
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
        return documents.decode(data, kind, 'cloud')
    except errors.DocumentError as error:
        raise PlatformError(str(error)) from error
