"""Tests of confirming the configuration by the store's revision."""

from __future__ import annotations

import asyncio
import typing

import testtools

from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.peers import messages
from teaselbridge.platform import store as stores
from teaselbridge.ports import keyvalue
from teaselbridge.runtime import watching
from tests.failures import site


class _FakeLoop:
    """Loop that keeps the events; its clock advances 1 ms per reading."""

    def __init__(self) -> None:
        self.events: list[events.Event] = []
        self.sent: list[effects.SendPeer] = []
        self.mono = 0
        self._handlers: dict[type, typing.Any] = {}

    def handle(self, kind: type, handler: typing.Any) -> None:
        """Keep the handler of an effect type."""
        self._handlers[kind] = handler

    def execute(self, effect: effects.Effect) -> None:
        """Execute an effect, or keep it if it is a message."""
        if isinstance(effect, effects.SendPeer):
            self.sent.append(effect)
            return
        self._handlers[type(effect)](effect)

    def now(self) -> clock.Instant:
        """Return the next millisecond."""
        self.mono += 1
        return clock.Instant(self.mono, self.mono)

    def post(self, event: events.Event) -> None:
        """Keep an event."""
        self.events.append(event)

    def confirmed(self) -> list[int]:
        """Return the times as of which the configuration was confirmed."""
        return [
            event.sent
            for event in self.events
            if isinstance(event, events.ConfigurationRead)
        ]

    def list_generations(self) -> list[int]:
        """Return the generations of the configurations that were read."""
        return [
            event.configuration.generation
            for event in self.events
            if isinstance(event, events.ConfigurationRead)
            and event.configuration is not None
        ]


class _FakeStore:
    """Store whose watch can lag behind its revision.

    :ivar watch_revisions: revisions that its watch returns, one by one; it
        fails like a watch over a restore where the revision is 0.
    """

    def __init__(self) -> None:
        self.revision = 5
        self.era = 0
        self.is_up = True
        self.written_entries = 0
        self.list_count = 0
        self.configuration: stores.Entry | None = None
        self.watched_since: list[int] = []
        self.watch_revisions: asyncio.Queue[int] = asyncio.Queue()

    async def list(
        self, prefix: str, purpose: keyvalue.Purpose
    ) -> stores.Entries:
        """Return no entries."""
        self.list_count += 1
        return stores.Entries((), 5, self.era)

    async def changes(
        self,
        prefix: str,
        since: tuple[int, int],
        wait_ms: int,
        purpose: keyvalue.Purpose,
    ) -> stores.Entries:
        """Wait for the test to set the next revision of the watch."""
        era, after = since
        self.watched_since.append(after)
        revision = await self.watch_revisions.get()
        if not revision:
            raise stores.HistoryLostError(False, 'restored')
        entry = self.configuration
        if entry is None or not after < entry.revision <= revision:
            return stores.Entries((), revision, era)
        return stores.Entries((entry,), revision, era)

    async def get_latest_position(
        self, purpose: keyvalue.Purpose
    ) -> tuple[int, int]:
        """Return the current revision, or fail if the store is down."""
        if not self.is_up:
            raise keyvalue.KeyValueError(False, 'away')
        return self.era, self.revision

    def note_era(self, era: int) -> None:
        """Note a higher era."""
        self.era = max(self.era, era)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return the number of a new lease."""
        return 1

    async def renew_lease(self, lease: int) -> bool:
        """Renew any lease, as if another node's had the same number."""
        return True

    async def put_with_lease(self, key: str, data: bytes, lease: int) -> bool:
        """Count a written entry."""
        self.written_entries += 1
        return True


class WatchTestCase(testtools.TestCase):
    """A watch of a simulated store that has read the first list."""

    def run_check(self, check: typing.Any) -> None:
        """Run a check while a watch runs that has read the first list."""

        async def run() -> None:
            loop, store = _FakeLoop(), _FakeStore()
            watch = watching.StoreWatch(
                store=typing.cast('typing.Any', store),
                loop=typing.cast('typing.Any', loop),
                name='n',
                peers='',
            )
            watch_task = asyncio.ensure_future(watch.follow_changes())
            while not loop.confirmed():
                await asyncio.sleep(0)
            loop.events.clear()
            await check(loop, store, watch)
            watch_task.cancel()

        asyncio.run(run())


class TestConfirm(WatchTestCase):
    """A read revision confirms only what the watch has already returned.

    A watch that lags behind must not let a fresh revision confirm an old
    configuration, which could hold revoked workspace keys.
    """

    def test_watch_is_up_to_date(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            before = loop.mono
            await watch.confirm_configuration()
            self.assertEqual([before + 1], loop.confirmed())

        self.run_check(check)

    def test_watch_is_behind(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            store.revision = 9
            query_sent_at = loop.mono + 1
            await watch.confirm_configuration()
            store.watch_revisions.put_nowait(8)
            while not loop.confirmed():
                await asyncio.sleep(0)
            self.assertNotIn(query_sent_at, loop.confirmed())
            store.watch_revisions.put_nowait(9)
            while query_sent_at not in loop.confirmed():
                await asyncio.sleep(0)

        self.run_check(check)

    def test_store_is_unreachable(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            store.is_up = False
            await watch.confirm_configuration()
            self.assertEqual([], loop.confirmed())
            self.assertIn(events.StoreCallEnded(False, 'away'), loop.events)

        self.run_check(check)


class TestRestore(WatchTestCase):
    """After a restore the same revisions stand for other changes."""

    def test_reading_of_a_later_era_waits_for_the_list(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            store.era = 1
            query_sent_at = loop.mono + 1
            await watch.confirm_configuration()
            self.assertEqual([], loop.confirmed())
            store.watch_revisions.put_nowait(0)
            while not loop.confirmed():
                await asyncio.sleep(0)
            self.assertIn(query_sent_at, loop.confirmed())

        self.run_check(check)

    def test_own_entry_is_written_again_at_once(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            task = asyncio.ensure_future(watch.maintain_own_entry())
            while store.written_entries < 1:
                await asyncio.sleep(0)
            async with asyncio.timeout(1):
                watch.handle_restore()
                while store.written_entries < 2:
                    await asyncio.sleep(0.01)
            task.cancel()

        self.run_check(check)


class TestUnreadableConfiguration(WatchTestCase):
    """A configuration that cannot be decoded may have revoked keys.

    The last good one stays in force, and is confirmed no more.
    """

    def test_nothing_is_confirmed_until_it_is_replaced(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            store.revision = 9
            store.configuration = stores.Entry('op/config', b'{"version"', 6)
            store.watch_revisions.put_nowait(7)
            while len(store.watched_since) < 2:
                await asyncio.sleep(0.01)
            store.watch_revisions.put_nowait(9)
            while len(store.watched_since) < 3:
                await asyncio.sleep(0.01)
            await watch.confirm_configuration()
            self.assertEqual([], loop.confirmed())
            # It is not asked for again and again.
            self.assertEqual([5, 7, 9], store.watched_since)
            store.revision = 10
            store.configuration = stores.Entry(
                'op/config', site.encode_configuration(3), 10
            )
            store.watch_revisions.put_nowait(10)
            while not loop.confirmed():
                await asyncio.sleep(0.01)
            self.assertEqual([3], loop.list_generations())

        self.run_check(check)


class TestEvacuations(WatchTestCase):
    """Entries that evacuate a zone are posted as such."""

    def _check(self, data: bytes | None, ordered: bool) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            entry = messages.StoreEntry(
                key='op/evacuate/zone-a', data=data, revision=6
            )
            changes = messages.ChangesSent(
                era=0,
                revision=6,
                since=5,
                entries=(entry,),
                asked_at=1,
                confirmed_ms=0,
                generation=1,
            )
            loop.execute(effects.ApplyChanges(changes, True))
            self.assertIn(
                events.EvacuationsChanged(zones={'zone-a': ordered}),
                loop.events,
            )

        self.run_check(check)

    # Guards against a zone that stays in use since its entry is malformed.
    def test_malformed_entry_evacuates_its_zone(self) -> None:
        self._check(b'\xff{', ordered=True)

    def test_removed_entry_ends_the_evacuation(self) -> None:
        self._check(None, ordered=False)


class TestReader(WatchTestCase):
    """Nodes that do not watch get the changes from one that does."""

    def _send(
        self, loop: _FakeLoop, *, is_same: bool = True, **more: typing.Any
    ) -> None:
        """Let a reader send the changes up to revision 7.

        :param is_same: whether this node has the reader's configuration.
        """
        entry = messages.StoreEntry(
            key='servers/i',
            data=b'{"service": "p", "address": "10.0.0.1:1", "zone": "z",'
            b' "state": "ready", "version": "v"}',
            revision=7,
        )
        told = {
            'era': 0,
            'revision': 7,
            'since': 5,
            'entries': (entry,),
            'asked_at': 0,
            'confirmed_ms': 0,
            'generation': 0,
            **more,
        }
        loop.execute(
            effects.ApplyChanges(messages.ChangesSent(**told), is_same)
        )

    def _list_changed(self, loop: _FakeLoop) -> list[str]:
        return [
            key
            for event in loop.events
            if isinstance(event, events.ServersChanged)
            for key in event.rows
        ]

    def test_changes_are_applied_once(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            self._send(loop)
            self._send(loop)
            self.assertEqual(['servers/i'], self._list_changed(loop))

        self.run_check(check)

    def test_changes_are_passed_on(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            self._send(loop)
            asked = messages.ChangesAsked(
                reply_to='there', era=0, revision=6, asked_at=3
            )
            loop.execute(
                effects.AnswerChanges(asked, confirmed_ms=9, generation=2)
            )
            (sent,) = loop.sent
            told = sent.message
            assert isinstance(told, messages.ChangesSent)
            assert told.entries is not None
            self.assertEqual(['servers/i'], [e.key for e in told.entries])
            self.assertEqual((7, 6, 3), (told.revision, told.since, 3))

        self.run_check(check)

    def test_unknown_changes_are_read_from_the_store(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            store.watch_revisions.put_nowait(6)
            loop.execute(effects.WatchStore(False))
            for more in ({'entries': None}, {'era': 1}):
                before = store.list_count
                self._send(loop, **more)
                while store.list_count == before:
                    await asyncio.sleep(0.01)

        self.run_check(check)

    def test_older_reader_changes_nothing(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            self._send(loop, revision=4, since=3)
            store.era = 1
            self._send(loop)
            self.assertEqual([], self._list_changed(loop))
            self.assertEqual(1, store.list_count)

        self.run_check(check)

    # Guards against keys that stay valid after they were revoked, as the
    # message with the new configuration was lost.
    def test_changes_without_the_configuration_confirm_nothing(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            store.revision = 7
            store.configuration = stores.Entry(
                'op/config', site.encode_configuration(2), 6
            )
            self._send(loop, is_same=False, configuration_revision=7)
            await watch.confirm_configuration()
            self.assertEqual([], loop.confirmed())
            store.watch_revisions.put_nowait(5)
            store.watch_revisions.put_nowait(7)
            while not loop.list_generations():
                await asyncio.sleep(0)
            self.assertEqual([2], loop.list_generations())
            self.assertEqual([5], sorted(set(store.watched_since)))

        self.run_check(check)

    def test_reader_that_does_not_know_the_configuration(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            store.revision = 7
            self._send(loop, configuration_revision=6)
            await watch.confirm_configuration()
            self.assertEqual([], loop.confirmed())

        self.run_check(check)

    def test_changes_with_the_same_configuration_confirm_it(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            store.revision = 7
            self._send(loop, configuration_revision=7)
            await watch.confirm_configuration()
            self.assertEqual(1, len(loop.confirmed()))

        self.run_check(check)

    def test_no_watch_while_it_is_not_wanted(self) -> None:
        async def check(
            loop: _FakeLoop, store: _FakeStore, watch: watching.StoreWatch
        ) -> None:
            loop.execute(effects.WatchStore(False))
            store.watch_revisions.put_nowait(6)
            store.watch_revisions.put_nowait(7)
            await asyncio.sleep(0.3)
            self.assertEqual(1, store.watch_revisions.qsize())
            loop.execute(effects.WatchStore(True))
            while store.watch_revisions.qsize():
                await asyncio.sleep(0.01)

        self.run_check(check)
