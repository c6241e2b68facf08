"""Tests of what is learnt from the platform's store."""

from __future__ import annotations

import asyncio
import typing

import testtools

from teaselbridge import clock
from teaselbridge.decisions import events
from teaselbridge.platform import store as stores
from teaselbridge.ports import keyvalue
from teaselbridge.runtime import watching


class _Loop:
    """Keeps the events; each look at the clock takes a millisecond."""

    def __init__(self) -> None:
        self.events: list[events.Event] = []
        self.mono = 0

    def now(self) -> clock.Instant:
        """Give the next millisecond."""
        self.mono += 1
        return clock.Instant(self.mono, self.mono)

    def post(self, event: events.Event) -> None:
        """Keep an event."""
        self.events.append(event)

    def confirmed(self) -> list[int]:
        """Give the moments as of which the configuration was confirmed."""
        return [
            event.sent
            for event in self.events
            if isinstance(event, events.ConfigurationSeen)
        ]


class _Store:
    """A store whose watch lags behind its revision."""

    def __init__(self) -> None:
        self.revision = 5
        self.up = True
        self.seen: asyncio.Queue[int] = asyncio.Queue()

    async def list(
        self, prefix: str, purpose: keyvalue.Purpose
    ) -> stores.Entries:
        """Give no entries."""
        return stores.Entries((), 5)

    async def changes(
        self,
        prefix: str,
        revision: int,
        wait_ms: int,
        purpose: keyvalue.Purpose,
    ) -> stores.Entries:
        """Wait for the test to let the watch come so far."""
        return stores.Entries((), await self.seen.get())

    async def latest(self, purpose: keyvalue.Purpose) -> int:
        """Give the revision."""
        if not self.up:
            raise keyvalue.KeyValueError(False, 'away')
        return self.revision


class TestConfirm(testtools.TestCase):
    """A read revision confirms what the watch has reached, no more."""

    def go(self, check: typing.Any) -> None:
        """Run a check beside a watch that has read the first list."""

        async def run() -> None:
            loop, store = _Loop(), _Store()
            watch = watching.Watching(
                store=typing.cast('typing.Any', store),
                loop=typing.cast('typing.Any', loop),
                name='n',
                peers='',
            )
            following = asyncio.ensure_future(watch.follow())
            while not loop.confirmed():
                await asyncio.sleep(0)
            loop.events.clear()
            await check(loop, store, watch)
            following.cancel()

        asyncio.run(run())

    def test_nothing_happened_since(self) -> None:
        async def check(
            loop: _Loop, store: _Store, watch: watching.Watching
        ) -> None:
            before = loop.mono
            await watch.confirm()
            self.assertEqual([before + 1], loop.confirmed())

        self.go(check)

    def test_watch_is_behind(self) -> None:
        async def check(
            loop: _Loop, store: _Store, watch: watching.Watching
        ) -> None:
            store.revision = 9
            asked = loop.mono + 1
            await watch.confirm()
            store.seen.put_nowait(8)
            while not loop.confirmed():
                await asyncio.sleep(0)
            self.assertNotIn(asked, loop.confirmed())
            store.seen.put_nowait(9)
            while asked not in loop.confirmed():
                await asyncio.sleep(0)

        self.go(check)

    def test_store_is_away(self) -> None:
        async def check(
            loop: _Loop, store: _Store, watch: watching.Watching
        ) -> None:
            store.up = False
            await watch.confirm()
            self.assertEqual([], loop.confirmed())
            self.assertIn(events.StoreAnswered(False, 'away'), loop.events)

        self.go(check)
