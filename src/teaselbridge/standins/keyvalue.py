"""Simulated key-value store with etcd's HTTP and JSON interface."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import itertools
import json
import typing

import litestar
import litestar.params
import litestar.response

from teaselbridge import clock as clocks

if typing.TYPE_CHECKING:
    import collections.abc

PROGRESS_INTERVAL_MS = 2_000
HANG_S = 3_600

Document: typing.TypeAlias = dict[str, typing.Any]
Body: typing.TypeAlias = litestar.params.JSONBody[Document]


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults to inject.

    :param down: whether all calls fail, after ``slow_ms``, and watches end.
    :param slow_ms: delay added to each call.
    :param lose_answers: number of writes that take effect but get no
        response.
    :param refuse_writes: number of writes that fail without effect.
    :param silent_watches: whether watches stay open but send nothing.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    refuse_writes: int = 0
    silent_watches: bool = False


@dataclasses.dataclass(slots=True)
class _Item:
    value: str
    revision: int
    lease: int


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_at: int


@dataclasses.dataclass(slots=True)
class CallCounts:
    """Numbers of calls by kind."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class Store:
    """Keys, leases, history and injected faults of the key-value store.

    :param clock: clocks of the process, for leases.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_numbers = itertools.count(1_000)
        self._revision = 1
        self._write_event = asyncio.Event()
        self._history: list[tuple[str, _Item]] = []
        self.faults = Faults()
        self.calls = CallCounts()

    @property
    def revision(self) -> int:
        """Revision of the latest write."""
        return self._revision

    def get(self, key: str) -> _Item | None:
        """Return the item of a key, or none."""
        self._expire_leases()
        return self._items.get(key)

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key and wake up all watches.

        :param value: base64-encoded value.
        :param lease: lease that the key is attached to; 0 for none.
        """
        self._revision += 1
        item = _Item(value, self._revision, lease)
        self._items[key] = item
        self._history.append((key, item))
        self._write_event.set()
        self._write_event = asyncio.Event()

    def compare(self, key: str, revision: int) -> bool:
        """Return whether a key has this modification revision.

        Revision 0 means that the key does not exist.
        """
        item = self.get(key)
        return (0 if item is None else item.revision) == revision

    def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease and return its number."""
        number = next(self._lease_numbers)
        expires_at = self._clock.now().mono + ttl_ms
        self._leases[number] = _Lease(ttl_ms, expires_at)
        return number

    def renew_lease(self, number: int) -> int:
        """Renew a lease.

        :return: its time to live in milliseconds, or 0 if it has expired.
        """
        self._expire_leases()
        lease = self._leases.get(number)
        if lease is None:
            return 0
        lease.expires_at = self._clock.now().mono + lease.ttl_ms
        return lease.ttl_ms

    def expire_leases(self, number: int | None = None) -> None:
        """Expire one lease, or all leases if no number is given."""
        for known, lease in self._leases.items():
            if number is None or known == number:
                lease.expires_at = 0
        self._expire_leases()

    def since(self, key: str, revision: int) -> list[_Item]:
        """List the writes of a key from a revision on, in order.

        :param revision: lowest revision, inclusive.
        """
        return [
            item
            for name, item in self._history
            if name == key and item.revision >= revision
        ]

    async def wait(self) -> bool:
        """Wait for a write until the next progress notification is due.

        :return: whether a write occurred in time.
        """
        try:
            async with asyncio.timeout(clocks.seconds(PROGRESS_INTERVAL_MS)):
                await self._write_event.wait()
        except TimeoutError:
            return False
        return True

    def keys(self) -> list[str]:
        """List all keys."""
        self._expire_leases()
        return sorted(self._items)

    def _expire_leases(self) -> None:
        now = self._clock.now().mono
        expired = {
            number
            for number, lease in self._leases.items()
            if lease.expires_at <= now
        }
        for number in expired:
            del self._leases[number]
        for key, item in list(self._items.items()):
            if item.lease and item.lease in expired:
                del self._items[key]


def build(store: Store) -> litestar.Litestar:
    """Build the web application of a store."""

    @litestar.post('/v3/kv/range', status_code=200)
    async def read(data: Body) -> litestar.Response[Document]:
        store.calls.reads += 1
        await _apply_faults(store)
        item = store.get(_decode_text(data['key']))
        kvs = (
            []
            if item is None
            else [_encode_item(_decode_text(data['key']), item)]
        )
        return _build_response(store, {'kvs': kvs, 'count': str(len(kvs))})

    @litestar.post('/v3/kv/txn', status_code=200)
    async def write(data: Body) -> litestar.Response[Document]:
        store.calls.writes += 1
        await _apply_faults(store)
        _refuse_write(store)
        succeeded = all(
            store.compare(_decode_text(item['key']), int(item['mod_revision']))
            for item in data['compare']
        )
        if succeeded:
            for step in data['success']:
                put = step['request_put']
                lease = int(put.get('lease', 0))
                store.put(_decode_text(put['key']), put['value'], lease)
        revision = store.revision
        await _lose_response(store)
        document = {'succeeded': succeeded}
        return _build_response(store, document, revision)

    @litestar.post('/v3/lease/grant', status_code=200)
    async def grant(data: Body) -> litestar.Response[Document]:
        store.calls.writes += 1
        await _apply_faults(store)
        _refuse_write(store)
        ttl = int(data['TTL'])
        number = store.grant_lease(ttl * clocks.SECOND_MS)
        await _lose_response(store)
        return _build_response(store, {'ID': str(number), 'TTL': str(ttl)})

    @litestar.post('/v3/lease/keepalive', status_code=200)
    async def keep(data: Body) -> litestar.Response[Document]:
        store.calls.writes += 1
        await _apply_faults(store)
        _refuse_write(store)
        left = store.renew_lease(int(data['ID']))
        await _lose_response(store)
        result = {'ID': data['ID'], 'TTL': str(left // clocks.SECOND_MS)}
        return _build_response(store, {'result': result})

    @litestar.post('/v3/lease/revoke', status_code=200)
    async def revoke(data: Body) -> litestar.Response[Document]:
        store.calls.writes += 1
        await _apply_faults(store)
        store.expire_leases(int(data['ID']))
        return _build_response(store, {})

    @litestar.post('/v3/watch', status_code=200)
    async def watch(data: Body) -> litestar.response.Stream:
        store.calls.watches += 1
        await _apply_faults(store)
        create = data['create_request']
        key = _decode_text(create['key'])
        start = int(create.get('start_revision') or store.revision + 1)
        return litestar.response.Stream(
            _stream_writes(store, key, start), media_type='application/json'
        )

    @litestar.post('/standin/faults', status_code=200)
    async def set_faults(data: Body) -> Document:
        store.faults = Faults(**data)
        return {}

    @litestar.post('/standin/lapse', status_code=200)
    async def lapse() -> Document:
        store.expire_leases()
        return {}

    @litestar.get('/standin/calls')
    async def count() -> Document:
        return dataclasses.asdict(store.calls)

    return litestar.Litestar(
        route_handlers=[
            read,
            write,
            grant,
            keep,
            revoke,
            watch,
            set_faults,
            lapse,
            count,
        ],
        openapi_config=None,
        logging_config=None,
    )


class _InjectedFault(litestar.exceptions.HTTPException):
    status_code = 503


async def _apply_faults(store: Store) -> None:
    """Delay or fail a call according to the injected faults."""
    if store.faults.slow_ms:
        await asyncio.sleep(clocks.seconds(store.faults.slow_ms))
    if store.faults.down:
        raise _InjectedFault('down')


def _refuse_write(store: Store) -> None:
    if store.faults.refuse_writes > 0:
        store.faults.refuse_writes -= 1
        raise _InjectedFault('refused')


async def _lose_response(store: Store) -> None:
    """Withhold the response of a write that has taken effect."""
    if store.faults.lose_answers > 0:
        store.faults.lose_answers -= 1
        await asyncio.sleep(HANG_S)


async def _stream_writes(
    store: Store, key: str, start: int
) -> collections.abc.AsyncIterator[str]:
    """Stream the writes of a key from a revision on, with progress lines."""
    yield _encode_line(
        {'created': True, 'header': _build_header(store.revision)}
    )
    while True:
        if store.faults.silent_watches:
            await asyncio.sleep(HANG_S)
        if store.faults.down:
            return
        for item in store.since(key, start):
            start = item.revision + 1
            event = {'type': 'PUT', 'kv': _encode_item(key, item)}
            header = _build_header(item.revision)
            yield _encode_line({'header': header, 'events': [event]})
        if not await store.wait():
            yield _encode_line({'header': _build_header(store.revision)})


def _encode_line(result: Document) -> str:
    return json.dumps({'result': result}) + '\n'


def _build_response(
    store: Store, document: Document, revision: int | None = None
) -> litestar.Response[Document]:
    document['header'] = _build_header(revision or store.revision)
    return litestar.Response(document)


def _build_header(revision: int) -> Document:
    return {'revision': str(revision)}


def _encode_item(key: str, item: _Item) -> Document:
    return {
        'key': base64.b64encode(key.encode()).decode(),
        'value': item.value,
        'mod_revision': str(item.revision),
    }


def _decode_text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()
