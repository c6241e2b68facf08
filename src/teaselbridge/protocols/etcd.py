"""Client of a key-value store over etcd v3's HTTP and JSON gateway.

The private classes have the field names of etcd's published API. In JSON,
bytes are in base64 and 64-bit numbers are strings, which the decoder converts.
"""

from __future__ import annotations

import dataclasses
import typing

import httpx
import msgspec

from teaselbridge import clock
from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.ports import keyvalue
from teaselbridge.telemetry import metrics

if typing.TYPE_CHECKING:
    import collections.abc

TIMEOUT_MS = 1_500
WATCH_READ_TIMEOUT_MS = 6_000
NO_REVISION = 0


@dataclasses.dataclass(frozen=True)
class _Item:
    key: bytes = b''
    value: bytes = b''
    mod_revision: int = 0


@dataclasses.dataclass(frozen=True)
class _Header:
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class _RangeResponse:
    header: _Header = _Header()
    kvs: tuple[_Item, ...] = ()


@dataclasses.dataclass(frozen=True)
class _TxnResponse:
    header: _Header = _Header()
    succeeded: bool = False


@dataclasses.dataclass(frozen=True)
class _LeaseResponse:
    ID: int = 0
    TTL: int = 0


@dataclasses.dataclass(frozen=True)
class _KeepAliveResponse:
    result: _LeaseResponse = _LeaseResponse()


@dataclasses.dataclass(frozen=True)
class _Event:
    kv: _Item = _Item()
    type: str = 'PUT'


@dataclasses.dataclass(frozen=True)
class _WatchResult:
    header: _Header = _Header()
    created: bool = False
    canceled: bool = False
    events: tuple[_Event, ...] = ()


@dataclasses.dataclass(frozen=True)
class _WatchResponse:
    result: _WatchResult = _WatchResult()


class EtcdClient:
    """Adapter of the key-value port.

    :param base: ``http://ip:port`` of the gateway.
    :param meter: metrics that count each call, watches included.
    """

    def __init__(self, *, base: str, meter: metrics.Meter) -> None:
        self._meter = meter
        self._client = httpx.AsyncClient(
            base_url=base,
            timeout=clock.seconds(TIMEOUT_MS),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def get(self, key: str, purpose: keyvalue.Purpose) -> keyvalue.Value:
        """Read one key."""
        body = {'key': key.encode()}
        data = await self._call('/v3/kv/range', body, purpose, writes=False)
        answer = _decode(data, _RangeResponse, writes=False)
        if not answer.kvs:
            return keyvalue.Value(None, NO_REVISION)
        item = answer.kvs[0]
        return keyvalue.Value(item.value, item.mod_revision)

    async def compare_and_swap(
        self,
        key: str,
        data: bytes,
        revision: int,
        purpose: keyvalue.Purpose,
        lease: int = 0,
    ) -> keyvalue.SwapResult:
        """Write one key if its modification revision is the given one."""
        name = key.encode()
        put: dict[str, object] = {'key': name, 'value': data}
        if lease:
            put['lease'] = str(lease)
        body = {
            'compare': [
                {
                    'key': name,
                    'target': 'MOD',
                    'result': 'EQUAL',
                    'mod_revision': str(revision),
                }
            ],
            'success': [{'request_put': put}],
        }
        response_data = await self._call(
            '/v3/kv/txn', body, purpose, writes=True
        )
        answer = _decode(response_data, _TxnResponse, writes=True)
        return keyvalue.SwapResult(answer.succeeded, answer.header.revision)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its number."""
        body = {'TTL': str(max(1, ttl_ms // clock.SECOND_MS))}
        purpose = keyvalue.Purpose.LEASE
        data = await self._call('/v3/lease/grant', body, purpose, writes=True)
        return _decode(data, _LeaseResponse, writes=True).ID

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it was still valid."""
        body = {'ID': str(lease)}
        purpose = keyvalue.Purpose.LEASE
        data = await self._call(
            '/v3/lease/keepalive', body, purpose, writes=True
        )
        return _decode(data, _KeepAliveResponse, writes=True).result.TTL > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, which deletes its keys."""
        body = {'ID': str(lease)}
        purpose = keyvalue.Purpose.LEASE
        await self._call('/v3/lease/revoke', body, purpose, writes=True)

    async def watch(
        self, key: str, revision: int, purpose: keyvalue.Purpose
    ) -> collections.abc.AsyncIterator[keyvalue.Value]:
        """Watch a key from a revision on.

        A progress notification without changes yields a value without data,
        so that the caller can distinguish a watch without changes from a
        broken one.
        """
        body = {
            'create_request': {
                'key': key.encode(),
                'start_revision': str(revision),
                'progress_notify': True,
            }
        }
        timeout = httpx.Timeout(
            clock.seconds(TIMEOUT_MS),
            read=clock.seconds(WATCH_READ_TIMEOUT_MS),
        )
        self._meter.count_keyvalue('watch', purpose.value)
        try:
            async with self._client.stream(
                'POST',
                '/v3/watch',
                content=msgspec.json.encode(body),
                timeout=timeout,
            ) as response:
                response.raise_for_status()
                async for line in response.aiter_lines():
                    for value in _parse_watch_line(line):
                        yield value
        except httpx.HTTPError as error:
            raise keyvalue.KeyValueError(False, repr(error)) from error

    async def _call(
        self,
        path: str,
        body: object,
        purpose: keyvalue.Purpose,
        *,
        writes: bool,
    ) -> bytes:
        kind = 'write' if writes else 'read'
        self._meter.count_keyvalue(kind, purpose.value)
        try:
            response = await self._client.post(
                path, content=msgspec.json.encode(body)
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise keyvalue.KeyValueError(False, repr(error)) from error
        except httpx.HTTPError as error:
            raise keyvalue.KeyValueError(writes, repr(error)) from error
        if response.status_code != httpx.codes.OK:
            detail = f'status {response.status_code}'
            raise keyvalue.KeyValueError(writes, detail)
        return response.content


T = typing.TypeVar('T')


def _decode(data: bytes, kind: type[T], *, writes: bool) -> T:
    try:
        return documents.decode(data, kind, 'store', strict=False)
    except errors.DocumentError as error:
        raise keyvalue.KeyValueError(writes, str(error)) from error


def _parse_watch_line(line: str) -> list[keyvalue.Value]:
    if not line.strip():
        return []
    answer = _decode(line.encode(), _WatchResponse, writes=False).result
    if answer.canceled:
        raise keyvalue.KeyValueError(False, 'the watch was cancelled')
    if not answer.events:
        return [keyvalue.Value(None, answer.header.revision)]
    return [
        keyvalue.Value(event.kv.value, event.kv.mod_revision)
        for event in answer.events
        if event.type != 'DELETE'
    ]
