"""Client of the platform's store."""

from __future__ import annotations

import base64
import dataclasses
import typing

import httpx
import msgspec

from teaselbridge import clock
from teaselbridge.ports import keyvalue

if typing.TYPE_CHECKING:
    from teaselbridge.telemetry import metrics

# The store answers in milliseconds; a slow one takes some hundred.
TIMEOUT_MS = 1_000
CONNECT_MS = 500
# Beyond the asked wait, a watch that says nothing is taken as cut.
WATCH_SLACK_MS = 700
LIST_TIMEOUT_MS = 2_000
PAGES_MOST = 50
# No key is ever written below this prefix.
NOTHING = 'teaselbridge/nothing/'

OK = 200
NOT_FOUND = 404
HISTORY_LOST = 410
CONDITION_FAILED = 412


class _Item(msgspec.Struct, frozen=True, rename='kebab'):
    key: str
    # Base64 text of the content; missing where the key was removed.
    value: str = ''
    # Revision of the last change, and that of the creation.
    rev: int = 0
    created: int = 0
    tombstone: bool = False


class _Range(msgspec.Struct, frozen=True, rename='kebab'):
    items: tuple[_Item, ...] = ()
    truncated: bool = False
    as_of: int = 0


class _Watch(msgspec.Struct, frozen=True, rename='kebab'):
    events: tuple[_Item, ...] = ()
    as_of: int = 0


class _Txn(msgspec.Struct, frozen=True, rename='kebab'):
    rev: int = 0


class _Lease(msgspec.Struct, frozen=True, rename='kebab'):
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the store.

    :param data: content, none where it was removed.
    :param revision: revision of its last change.
    """

    key: str
    data: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Entries as they stood at a revision, or changes up to one.

    :param revision: revision to follow from.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(eq=False)
class HistoryLostError(keyvalue.KeyValueError):
    """The store has forgotten what came after a revision."""


class Store:
    """Adapter of the key-value port, with lists and watches by prefix.

    :param address: ``ip:port`` of the store.
    :param meter: counts each call and waiting watch.
    """

    def __init__(self, *, address: str, meter: metrics.Meter) -> None:
        self._meter = meter
        self._base = f'http://{address}'
        self._client = _client()
        self._watching = _client()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()
        await self._watching.aclose()

    async def reconnect(self) -> None:
        """Drop kept connections, which may have gone silent."""
        old = (self._client, self._watching)
        self._client = _client()
        self._watching = _client()
        for client in old:
            await client.aclose()

    async def get(self, key: str, purpose: keyvalue.Purpose) -> keyvalue.Value:
        """Read one key."""
        response = await self._call(
            'GET', '/api/kv-key', purpose, params={'key': key}
        )
        if response.status_code == NOT_FOUND:
            return keyvalue.Value(None, 0)
        item = _decode(response, _Item, writes=False)
        return keyvalue.Value(base64.b64decode(item.value), item.rev)

    async def swap(
        self,
        key: str,
        data: bytes,
        revision: int,
        purpose: keyvalue.Purpose,
        lease: int = 0,
    ) -> keyvalue.Swap:
        """Write one key if its revision is the given one."""
        put: dict[str, object] = {
            'key': key,
            'value': base64.b64encode(data).decode(),
        }
        if lease:
            put['lease'] = lease
        body = {
            'if-rev': [{'key': key, 'rev': revision}],
            'puts': [put],
            'remove': [],
        }
        response = await self._call(
            'POST', '/api/kv-txn', purpose, body=body, writes=True
        )
        if response.status_code in (CONDITION_FAILED, NOT_FOUND):
            return keyvalue.Swap(False, 0)
        return keyvalue.Swap(True, _decode(response, _Txn, writes=True).rev)

    async def put(self, key: str, data: bytes, lease: int) -> bool:
        """Write one key whatever stands there.

        :return: whether the lease still stood.
        """
        text = base64.b64encode(data).decode()
        row = {'key': key, 'value': text, 'lease': lease}
        body = {'if-rev': [], 'puts': [row], 'remove': []}
        response = await self._call(
            'POST',
            '/api/kv-txn',
            keyvalue.Purpose.MEMBERS,
            body=body,
            writes=True,
        )
        return response.status_code == OK

    async def grant(self, ttl_ms: int) -> int:
        """Grant a lease and give its number."""
        response = await self._call(
            'POST',
            '/api/kv-lease',
            keyvalue.Purpose.LEASE,
            body={'ttl-ms': ttl_ms},
            writes=True,
        )
        return _decode(response, _Lease, writes=True).lease

    async def keep(self, lease: int) -> bool:
        """Renew a lease; tell whether it still stood."""
        response = await self._call(
            'POST',
            f'/api/kv-keep/{lease}',
            keyvalue.Purpose.LEASE,
            writes=True,
        )
        return response.status_code != NOT_FOUND

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""
        await self._call(
            'DELETE',
            f'/api/kv-lease-end/{lease}',
            keyvalue.Purpose.LEASE,
            writes=True,
        )

    async def list(
        self, prefix: str, purpose: keyvalue.Purpose, *, stale: bool = False
    ) -> Entries:
        """Read all entries below a prefix.

        Pages are no snapshot, so that changes are to be followed from the
        revision of the first one.

        :param stale: whether old entries do, which costs less.
        """
        found: dict[str, Entry] = {}
        revision = 0
        after = ''
        for page in range(PAGES_MOST):
            params = {'path-prefix': prefix}
            if after:
                params['after'] = after
            if stale:
                params['allow-stale'] = '1'
            response = await self._call(
                'GET',
                '/api/kv-range',
                purpose,
                params=params,
                timeout_ms=LIST_TIMEOUT_MS,
            )
            answer = _decode(response, _Range, writes=False)
            if not page:
                revision = answer.as_of
            for item in answer.items:
                found[item.key] = _entry(item)
                after = max(after, item.key)
            if not answer.truncated:
                break
        return Entries(tuple(found.values()), revision)

    async def latest(self, purpose: keyvalue.Purpose) -> int:
        """Ask for the present revision.

        A list of nothing is the smallest answer that tells it for sure.
        """
        response = await self._call(
            'GET', '/api/kv-range', purpose, params={'path-prefix': NOTHING}
        )
        return _decode(response, _Range, writes=False).as_of

    async def changes(
        self,
        prefix: str,
        revision: int,
        wait_ms: int,
        purpose: keyvalue.Purpose,
    ) -> Entries:
        """Wait for changes below a prefix after a revision.

        :raises HistoryLostError: all entries must be read again.
        """
        response = await self._call(
            'GET',
            '/api/kv-watch',
            purpose,
            params={
                'path-prefix': prefix,
                'after': str(revision),
                'wait-ms': str(wait_ms),
            },
            timeout_ms=wait_ms + WATCH_SLACK_MS,
            client=self._watching,
        )
        answer = _decode(response, _Watch, writes=False)
        entries = tuple(_entry(item) for item in answer.events)
        return Entries(entries, max(revision, answer.as_of))

    async def _call(
        self,
        method: str,
        path: str,
        purpose: keyvalue.Purpose,
        *,
        params: dict[str, str] | None = None,
        body: object = None,
        writes: bool = False,
        timeout_ms: int = TIMEOUT_MS,
        client: httpx.AsyncClient | None = None,
    ) -> httpx.Response:
        kind = 'write' if writes else 'read'
        self._meter.count_keyvalue(kind, purpose.value)
        content = None if body is None else msgspec.json.encode(body)
        headers = {} if body is None else {'content-type': 'application/json'}
        timeout = httpx.Timeout(
            clock.seconds(timeout_ms), connect=clock.seconds(CONNECT_MS)
        )
        try:
            response = await (client or self._client).request(
                method,
                self._base + path,
                params=params,
                content=content,
                headers=headers,
                timeout=timeout,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise keyvalue.KeyValueError(False, repr(error)) from error
        except httpx.HTTPError as error:
            raise keyvalue.KeyValueError(writes, repr(error)) from error
        return _check(response, writes=writes)


def _client() -> httpx.AsyncClient:
    # Calls are plain HTTP: to load certificates takes a tenth of a second.
    return httpx.AsyncClient(trust_env=False, verify=False)


def _check(response: httpx.Response, *, writes: bool) -> httpx.Response:
    status = response.status_code
    if status == HISTORY_LOST:
        raise HistoryLostError(False, 'the history is gone')
    if status in (OK, NOT_FOUND, CONDITION_FAILED):
        return response
    # A refusal for too many calls or for an outage has done nothing.
    in_doubt = writes and status not in (429, 503)
    raise keyvalue.KeyValueError(in_doubt, f'status {status}')


def _entry(item: _Item) -> Entry:
    if item.tombstone:
        return Entry(item.key, None, item.rev)
    try:
        data = base64.b64decode(item.value, validate=True)
    except ValueError:
        data = item.value.encode()
    return Entry(item.key, data, item.rev)


T = typing.TypeVar('T')


def _decode(response: httpx.Response, kind: type[T], *, writes: bool) -> T:
    try:
        return msgspec.json.decode(response.content, type=kind)
    except msgspec.DecodeError as error:
        raise keyvalue.KeyValueError(writes, str(error)) from error
