"""Stand-in of the key-value service, in etcd's HTTP and JSON form."""

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

PROGRESS_MS = 2_000
FOREVER_S = 3_600

Document: typing.TypeAlias = dict[str, typing.Any]
Body: typing.TypeAlias = litestar.params.JSONBody[Document]


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults to inject.

    :param down: whether all calls hang and then fail.
    :param slow_ms: added to each call.
    :param lose_answers: answers of writes to lose after they took effect.
    :param refuse_writes: writes to fail without effect.
    :param silent_watches: whether watches go silent.
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
    ends: int


@dataclasses.dataclass(slots=True)
class Calls:
    """Calls counted by kind."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class Store:
    """Content of the service.

    :param clock: for leases.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._numbers = itertools.count(1_000)
        self._revision = 1
        self._changed = asyncio.Event()
        self._history: list[tuple[str, _Item]] = []
        self.faults = Faults()
        self.calls = Calls()

    @property
    def revision(self) -> int:
        """Revision of the newest write."""
        return self._revision

    def get(self, key: str) -> _Item | None:
        """Read a key."""
        self._expire()
        return self._items.get(key)

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key."""
        self._revision += 1
        item = _Item(value, self._revision, lease)
        self._items[key] = item
        self._history.append((key, item))
        self._changed.set()
        self._changed = asyncio.Event()

    def compare(self, key: str, revision: int) -> bool:
        """Tell whether a key has a modification revision."""
        item = self.get(key)
        return (0 if item is None else item.revision) == revision

    def grant(self, ttl_ms: int) -> int:
        """Grant a lease."""
        number = next(self._numbers)
        ends = self._clock.now().mono + ttl_ms
        self._leases[number] = _Lease(ttl_ms, ends)
        return number

    def keep(self, number: int) -> int:
        """Renew a lease; 0 where it has lapsed."""
        self._expire()
        lease = self._leases.get(number)
        if lease is None:
            return 0
        lease.ends = self._clock.now().mono + lease.ttl_ms
        return lease.ttl_ms

    def lapse(self, number: int | None = None) -> None:
        """End a lease at once, or all of them."""
        for known, lease in self._leases.items():
            if number is None or known == number:
                lease.ends = 0
        self._expire()

    def since(self, key: str, revision: int) -> list[_Item]:
        """List the writes of a key from a revision on."""
        return [
            item
            for name, item in self._history
            if name == key and item.revision >= revision
        ]

    async def wait(self) -> bool:
        """Wait for a write.

        :return: whether one came before progress is due.
        """
        try:
            async with asyncio.timeout(clocks.seconds(PROGRESS_MS)):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def keys(self) -> list[str]:
        """List all keys."""
        self._expire()
        return sorted(self._items)

    def _expire(self) -> None:
        now = self._clock.now().mono
        ended = {
            number
            for number, lease in self._leases.items()
            if lease.ends <= now
        }
        for number in ended:
            del self._leases[number]
        for key, item in list(self._items.items()):
            if item.lease and item.lease in ended:
                del self._items[key]


def build(store: Store) -> litestar.Litestar:
    """Build the web application of a store."""

    @litestar.post('/v3/kv/range', status_code=200)
    async def read(data: Body) -> litestar.Response[Document]:
        store.calls.reads += 1
        await _disturb(store)
        item = store.get(_text(data['key']))
        kvs = [] if item is None else [_show(_text(data['key']), item)]
        return _reply(store, {'kvs': kvs, 'count': str(len(kvs))})

    @litestar.post('/v3/kv/txn', status_code=200)
    async def write(data: Body) -> litestar.Response[Document]:
        store.calls.writes += 1
        await _disturb(store)
        _refuse_write(store)
        succeeded = all(
            store.compare(_text(item['key']), int(item['mod_revision']))
            for item in data['compare']
        )
        if succeeded:
            for step in data['success']:
                put = step['request_put']
                lease = int(put.get('lease', 0))
                store.put(_text(put['key']), put['value'], lease)
        revision = store.revision
        await _lose_answer(store)
        document = {'succeeded': succeeded}
        return _reply(store, document, revision)

    @litestar.post('/v3/lease/grant', status_code=200)
    async def grant(data: Body) -> litestar.Response[Document]:
        store.calls.writes += 1
        await _disturb(store)
        _refuse_write(store)
        ttl = int(data['TTL'])
        number = store.grant(ttl * clocks.SECOND)
        await _lose_answer(store)
        return _reply(store, {'ID': str(number), 'TTL': str(ttl)})

    @litestar.post('/v3/lease/keepalive', status_code=200)
    async def keep(data: Body) -> litestar.Response[Document]:
        store.calls.writes += 1
        await _disturb(store)
        _refuse_write(store)
        left = store.keep(int(data['ID']))
        await _lose_answer(store)
        result = {'ID': data['ID'], 'TTL': str(left // clocks.SECOND)}
        return _reply(store, {'result': result})

    @litestar.post('/v3/lease/revoke', status_code=200)
    async def revoke(data: Body) -> litestar.Response[Document]:
        store.calls.writes += 1
        await _disturb(store)
        store.lapse(int(data['ID']))
        return _reply(store, {})

    @litestar.post('/v3/watch', status_code=200)
    async def watch(data: Body) -> litestar.response.Stream:
        store.calls.watches += 1
        await _disturb(store)
        create = data['create_request']
        key = _text(create['key'])
        start = int(create.get('start_revision') or store.revision + 1)
        return litestar.response.Stream(
            _follow(store, key, start), media_type='application/json'
        )

    @litestar.post('/standin/faults', status_code=200)
    async def set_faults(data: Body) -> Document:
        store.faults = Faults(**data)
        return {}

    @litestar.post('/standin/lapse', status_code=200)
    async def lapse() -> Document:
        store.lapse()
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


class _Injected(litestar.exceptions.HTTPException):
    status_code = 503


async def _disturb(store: Store) -> None:
    """Be slow or down, as the faults say."""
    if store.faults.slow_ms:
        await asyncio.sleep(clocks.seconds(store.faults.slow_ms))
    if store.faults.down:
        raise _Injected('down')


def _refuse_write(store: Store) -> None:
    if store.faults.refuse_writes > 0:
        store.faults.refuse_writes -= 1
        raise _Injected('refused')


async def _lose_answer(store: Store) -> None:
    """Let a write that took effect have no answer."""
    if store.faults.lose_answers > 0:
        store.faults.lose_answers -= 1
        await asyncio.sleep(FOREVER_S)


async def _follow(
    store: Store, key: str, start: int
) -> collections.abc.AsyncIterator[str]:
    yield _line({'created': True, 'header': _header(store.revision)})
    while True:
        if store.faults.silent_watches:
            await asyncio.sleep(FOREVER_S)
        if store.faults.down:
            return
        for item in store.since(key, start):
            start = item.revision + 1
            event = {'type': 'PUT', 'kv': _show(key, item)}
            header = _header(item.revision)
            yield _line({'header': header, 'events': [event]})
        if not await store.wait():
            yield _line({'header': _header(store.revision)})


def _line(result: Document) -> str:
    return json.dumps({'result': result}) + '\n'


def _reply(
    store: Store, document: Document, revision: int | None = None
) -> litestar.Response[Document]:
    document['header'] = _header(revision or store.revision)
    return litestar.Response(document)


def _header(revision: int) -> Document:
    return {'revision': str(revision)}


def _show(key: str, item: _Item) -> Document:
    return {
        'key': base64.b64encode(key.encode()).decode(),
        'value': item.value,
        'mod_revision': str(item.revision),
    }


def _text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()
