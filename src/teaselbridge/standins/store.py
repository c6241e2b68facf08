"""Simulated key-value store of the deployment platform.

It implements the store's protocol in memory: revisions, conditional writes,
leases and watches. It can be made unavailable, lose the responses of writes
that took effect, compact its history, and be restored from an older copy.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import enum
import typing

import litestar
import litestar.params
import msgspec

from teaselbridge import clock as clocks

MAX_HISTORY = 10_000
SWEEP_INTERVAL_MS = 20
READ_ONLY_PREFIXES = ('op/', 'servers/')


class FaultMode(enum.Enum):
    """Injected fault of the whole store.

    ``BUSY`` fails all calls with 503, ``SILENT`` never responds, and
    ``ANSWERS_LOST`` withholds the responses of writes.
    """

    NONE = 'sound'
    BUSY = 'busy'
    SILENT = 'silent'
    ANSWERS_LOST = 'answers-lost'


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    key: str
    value: bytes
    rev: int
    created: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """Copy of the store at one moment."""

    items: dict[str, _Item]
    leases: dict[int, tuple[int, int]]
    revision: int


class Store:
    """Keys, leases, history and injected fault of the store.

    :param clock: clocks of the process.

    Attributes:

    * ``era``: number of restores; all answers state it.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, tuple[int, int]] = {}
        self._history: list[tuple[int, str, _Item | None]] = []
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self.revision = 1
        self.era = 0
        self.mode = FaultMode.NONE
        self.call_count = 0

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as an operator or a backend server would.

        Read-only prefixes do not apply here.

        :return: revision of the write.
        """
        self._write_key(key, value, lease)
        await self._notify_watches()
        return self.revision

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self._remove_key(key)
        await self._notify_watches()

    async def compact(self) -> None:
        """Discard the history; watches from before it get 410."""
        self._history.clear()
        self._compacted_revision = self.revision
        self.revision += 1
        await self._notify_watches()

    def copy(self) -> Copy:
        """Return a copy from which the store can be restored."""
        return Copy(dict(self._items), dict(self._leases), self.revision)

    async def restore(self, copy: Copy) -> None:
        """Restore the store from a copy; all that came since is gone.

        Leases of the copy run on from now.
        """
        self.era += 1
        self._items = dict(copy.items)
        now = self._clock.now().mono
        self._leases = {
            number: (ttl_ms, now + ttl_ms)
            for number, (ttl_ms, _) in copy.leases.items()
        }
        self.revision = copy.revision
        self._history = [
            change for change in self._history if change[0] <= copy.revision
        ]
        await self._notify_watches()

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or none, without counting a call."""
        item = self._items.get(key)
        return None if item is None else item.value

    async def sweep(self) -> None:
        """Expire leases periodically until cancelled."""
        while True:
            await asyncio.sleep(clocks.seconds(SWEEP_INTERVAL_MS))
            now = self._clock.now().mono
            for number, (_, until) in list(self._leases.items()):
                if until <= now:
                    self._end_lease(number)
            await self._notify_watches()

    def build(self) -> litestar.Litestar:
        """Build the web application."""

        @litestar.get('/api/kv-key')
        async def read(
            key: litestar.params.FromQuery[str],
        ) -> litestar.Response[bytes]:
            return await self._apply_mode(self._read_key(key), writes=False)

        @litestar.get('/api/kv-range')
        async def list_keys(
            request: litestar.Request[typing.Any, typing.Any, typing.Any],
        ) -> litestar.Response[bytes]:
            prefix = request.query_params.get('path-prefix', '')
            after = request.query_params.get('after', '')
            answer = self._list_items(prefix, after)
            return await self._apply_mode(answer, writes=False)

        @litestar.get('/api/kv-watch')
        async def watch(
            request: litestar.Request[typing.Any, typing.Any, typing.Any],
        ) -> litestar.Response[bytes]:
            query = request.query_params
            answer = await self._wait_for_events(
                query['path-prefix'],
                int(query['after']),
                int(query['wait-ms']),
            )
            return await self._apply_mode(answer, writes=False)

        @litestar.post('/api/kv-txn')
        async def write(
            request: litestar.Request[typing.Any, typing.Any, typing.Any],
        ) -> litestar.Response[bytes]:
            body = msgspec.json.decode(await request.body())
            if self.mode in (FaultMode.BUSY, FaultMode.SILENT):
                return await self._apply_mode(
                    _build_response(503), writes=False
                )
            answer = self._run_transaction(body)
            await self._notify_watches()
            return await self._apply_mode(answer, writes=True)

        @litestar.post('/api/kv-lease')
        async def grant(
            request: litestar.Request[typing.Any, typing.Any, typing.Any],
        ) -> litestar.Response[bytes]:
            body = msgspec.json.decode(await request.body())
            return await self._apply_mode(
                self._grant_lease(body['ttl-ms']), writes=True
            )

        @litestar.post('/api/kv-keep/{number:int}')
        async def keep(
            number: litestar.params.FromPath[int],
        ) -> litestar.Response[bytes]:
            return await self._apply_mode(
                self._renew_lease(number), writes=False
            )

        @litestar.delete('/api/kv-lease-end/{number:int}', status_code=200)
        async def end(
            number: litestar.params.FromPath[int],
        ) -> litestar.Response[bytes]:
            self._end_lease(number)
            await self._notify_watches()
            return await self._apply_mode(
                _build_response(200, {}), writes=True
            )

        return litestar.Litestar(
            route_handlers=[read, list_keys, watch, write, grant, keep, end],
            openapi_config=None,
            logging_config=None,
        )

    async def _apply_mode(
        self, answer: litestar.Response[bytes], *, writes: bool
    ) -> litestar.Response[bytes]:
        """Count a call and return its response according to the mode."""
        self.call_count += 1
        if self.mode is FaultMode.BUSY:
            answer = _build_response(503)
        answer.headers['Store-Era'] = str(self.era)
        if self.mode is FaultMode.BUSY:
            return answer
        if self.mode is FaultMode.SILENT or (
            writes and self.mode is FaultMode.ANSWERS_LOST
        ):
            await asyncio.Event().wait()
        return answer

    def _read_key(self, key: str) -> litestar.Response[bytes]:
        item = self._items.get(key)
        if item is None:
            return _build_response(404, {'as-of': self.revision})
        return _build_response(
            200, {**_encode_item(item), 'as-of': self.revision}
        )

    def _list_items(self, prefix: str, after: str) -> litestar.Response[bytes]:
        items = [
            _encode_item(item)
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        return _build_response(
            200, {'items': items, 'truncated': False, 'as-of': self.revision}
        )

    async def _wait_for_events(
        self, prefix: str, after: int, wait_ms: int
    ) -> litestar.Response[bytes]:
        deadline = self._clock.now().mono + wait_ms
        while True:
            if after < self._compacted_revision or after > self.revision:
                return _build_response(410)
            changes = [
                _encode_item(item)
                if item is not None
                else {'key': key, 'rev': rev, 'tombstone': True}
                for rev, key, item in self._history
                if rev > after and key.startswith(prefix)
            ]
            left = deadline - self._clock.now().mono
            if changes or left <= 0:
                return _build_response(
                    200, {'events': changes, 'as-of': self.revision}
                )
            await self._wait_for_change(left)

    async def _wait_for_change(self, max_wait_ms: int) -> None:
        async with self._changed:
            try:
                async with asyncio.timeout(clocks.seconds(max_wait_ms)):
                    await self._changed.wait()
            except TimeoutError:
                return

    async def _notify_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _run_transaction(self, body: typing.Any) -> litestar.Response[bytes]:
        for row in body.get('if-rev', ()):
            item = self._items.get(row['key'])
            if (0 if item is None else item.rev) != row['rev']:
                return _build_response(412, {'items': []})
        for row in body.get('puts', ()):
            if row['key'].startswith(READ_ONLY_PREFIXES):
                return _build_response(403)
            if row.get('lease') and row['lease'] not in self._leases:
                return _build_response(404)
        for row in body.get('puts', ()):
            value = base64.b64decode(row['value'])
            self._write_key(row['key'], value, row.get('lease', 0))
        for key in body.get('remove', ()):
            self._remove_key(key)
        return _build_response(200, {'rev': self.revision})

    def _grant_lease(self, ttl_ms: int) -> litestar.Response[bytes]:
        self.revision += 1
        until = self._clock.now().mono + ttl_ms
        self._leases[self.revision] = (ttl_ms, until)
        return _build_response(200, {'lease': self.revision, 'ttl-ms': ttl_ms})

    def _renew_lease(self, number: int) -> litestar.Response[bytes]:
        known = self._leases.get(number)
        if known is None:
            return _build_response(404)
        until = self._clock.now().mono + known[0]
        self._leases[number] = (known[0], until)
        return _build_response(200, {'ttl-ms': known[0]})

    def _end_lease(self, number: int) -> None:
        self._leases.pop(number, None)
        for key, item in list(self._items.items()):
            if item.lease == number:
                self._remove_key(key)

    def _write_key(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        known = self._items.get(key)
        created = self.revision if known is None else known.created
        item = _Item(key, value, self.revision, created, lease)
        self._items[key] = item
        self._record_change(key, item)

    def _remove_key(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record_change(key, None)

    def _record_change(self, key: str, item: _Item | None) -> None:
        self._history.append((self.revision, key, item))
        if len(self._history) > MAX_HISTORY:
            self._compacted_revision = self._history.pop(0)[0]


def _encode_item(item: _Item) -> dict[str, object]:
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'rev': item.rev,
        'created': item.created,
        'lease': item.lease,
    }


def _build_response(
    status: int, body: object = None
) -> litestar.Response[bytes]:
    return litestar.Response(
        b'' if body is None else msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )
