"""Tests of the loop that feeds events to the reducer."""

from __future__ import annotations

import asyncio
import socket
import time
import typing
from unittest import mock

import testtools

from teaselbridge import clock
from teaselbridge.decisions import bounds
from teaselbridge.decisions import dispatch
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import reducer
from teaselbridge.decisions import requests
from teaselbridge.peers import messages
from teaselbridge.runtime import loop as loops
from teaselbridge.telemetry import metrics
from teaselbridge.telemetry import timeline
from tests.decisions import samples

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states

BAD = events.PeerMessageReceived(
    'peer',
    messages.SyncSent(gossip=messages.Gossip(members=(None,))),  # type: ignore
)


class TestErrors(testtools.TestCase):
    """An unexpected error ends the work on one event only.

    Without that, one malformed message would end the task that receives all
    messages, or a failing tick all later ones.
    """

    def setUp(self) -> None:
        super().setUp()
        self.meter = metrics.Meter()
        self.timeline = timeline.Timeline(node='n', most=100)
        self.loop = loops.Loop(
            state=samples.state(),
            clock=clock.Clock(),
            meter=self.meter,
            timeline=self.timeline,
        )

    def _list_errors(self) -> list[str]:
        return [
            entry.detail
            for entry in self.timeline.select(timeline.Filter())
            if entry.mark == 'internal-error'
        ]

    def test_later_events_are_processed(self) -> None:
        self.loop.post(BAD)
        self.loop.post(events.DrainRequested(by=0))
        self.assertIsNotNone(self.loop.state.drain)

    def test_error_is_logged_with_its_place(self) -> None:
        self.loop.post(BAD)
        (detail,) = self._list_errors()
        self.assertIn('PeerMessageReceived', detail)
        self.assertIn('gossip.py:', detail)

    def test_repeated_errors_are_counted_and_logged_once(self) -> None:
        for _ in range(50):
            self.loop.post(BAD)
        self.assertEqual(1, len(self._list_errors()))
        self.assertEqual(50, self.meter.value('errors', 'PeerMessageReceived'))

    # Guards against callers without an answer, as another effect of the same
    # event failed before theirs.
    def test_other_effects_are_executed(self) -> None:
        done: list[effects.Effect] = []

        def fail(_: effects.Effect) -> None:
            raise OverflowError('out of range')

        self.loop.handle(effects.SendPeer, fail)
        self.loop.handle(effects.SendFinish, done.append)
        finish = effects.SendFinish(1, True)
        message = messages.SyncSent(gossip=messages.Gossip())
        self.patch(
            reducer,
            '_dispatch_event',
            lambda *_: [effects.SendPeer('a', message), finish],
        )
        self.loop.post(events.Ticked())
        self.assertEqual([finish], done)
        self.assertEqual(1, self.meter.value('errors', 'Ticked'))

    # Guards against a lost answer of one request as another one cannot be
    # dispatched.
    def test_effects_before_a_failed_dispatch_are_executed(self) -> None:
        done: list[effects.Effect] = []
        self.loop.handle(effects.SendFinish, done.append)
        first, second = (effects.SendFinish(number, True) for number in (1, 2))

        def dispatch_one(*_: object) -> typing.Iterator[effects.Effect]:
            yield second
            raise OverflowError('out of range')

        self.patch(reducer, '_dispatch_event', lambda *_: [first])
        self.patch(dispatch, 'dispatch_waiting_requests', dispatch_one)
        self.loop.state.queue.push(samples.relayed())
        self.loop.post(events.Ticked())
        self.assertEqual([first, second], done)
        (detail,) = self._list_errors()
        self.assertIn('out of range', detail)

    def test_failing_tick(self) -> None:
        def fail(*_: object) -> None:
            raise ValueError('tick')

        self.patch(reducer, '_tick', fail)
        for _ in range(3):
            self.loop.post(events.Ticked())
        self.assertEqual(3, self.meter.value('errors', 'Ticked'))


class TestTicks(testtools.TestCase):
    """A node on the platform without requests ticks less often."""

    def setUp(self) -> None:
        super().setUp()
        self.ticked_at: list[float] = []
        # The work of a tick is no subject here.
        self.patch(reducer, 'reduce', self._reduce)

    def _reduce(
        self, state: states.State, event: events.Event, now: clock.Instant
    ) -> list[effects.Effect]:
        if isinstance(event, events.Ticked):
            self.ticked_at.append(time.monotonic())
        else:
            state.requests[1] = requests.Request(
                call=samples.relayed(), now=now
            )
        return []

    def _build_loop(self, *, is_platform: bool = True) -> loops.Loop:
        return loops.Loop(
            state=samples.state(bounds.Bounds() if is_platform else None),
            clock=clock.Clock(),
            meter=metrics.Meter(),
            timeline=timeline.Timeline(node='n', most=100),
        )

    def _count_ticks(self, loop: loops.Loop) -> int:
        """Return the ticks in the time of four long intervals."""

        async def run() -> None:
            task = asyncio.ensure_future(loop.run_ticks())
            await asyncio.sleep(4.4 * loops.IDLE_TICK_INTERVAL_MS / 1_000)
            task.cancel()

        asyncio.run(run())
        return len(self.ticked_at)

    def test_idle(self) -> None:
        count = self._count_ticks(self._build_loop())
        self.assertLessEqual(count, 5)
        self.assertGreaterEqual(count, 2)

    def test_request_is_held(self) -> None:
        loop = self._build_loop()
        loop.post(events.CallerDisconnected(1))
        self.assertGreater(self._count_ticks(loop), 5)

    def test_without_the_platform(self) -> None:
        loop = self._build_loop(is_platform=False)
        self.assertGreater(self._count_ticks(loop), 5)

    # Guards against a request whose first tick comes late.
    def test_request_during_a_long_interval(self) -> None:
        async def run() -> None:
            loop = self._build_loop()
            self.patch(loops, 'IDLE_TICK_INTERVAL_MS', 60_000)
            task = asyncio.ensure_future(loop.run_ticks())
            while not self.ticked_at:
                await asyncio.sleep(0.001)
            loop.post(events.CallerDisconnected(1))
            async with asyncio.timeout(10):
                while len(self.ticked_at) < 3:
                    await asyncio.sleep(0.001)
            task.cancel()

        asyncio.run(run())

    # Guards against a process that is held up without a trace in its log.
    def test_late_tick_is_recorded(self) -> None:
        async def run(hold_up_s: float) -> list[str]:
            loop = self._build_loop()
            task = asyncio.ensure_future(loop.run_ticks())
            await asyncio.sleep(0.01)
            # The loop stands still.
            time.sleep(hold_up_s)  # noqa: ASYNC251
            await asyncio.sleep(0.01)
            task.cancel()
            return [
                entry.detail
                for entry in loop.timeline.select(timeline.Filter())
                if entry.mark == 'node-late'
            ]

        (detail,) = asyncio.run(run(0.6))
        self.assertRegex(detail, r'^[3-9]\d\d+ ms, 0 held$')


class TestLag(testtools.TestCase):
    """The loop knows how late its timers are."""

    def test_recent_delays_count(self) -> None:
        meter = loops.LagMeter()
        meter.record(300, samples.instant(10_000))
        meter.record(20, samples.instant(10_100))
        for now, expected in ((10_200, 300), (15_100, 300), (25_100, 0)):
            found = meter.get_ms(samples.instant(now))
            self.assertEqual(expected, found, now)

    def test_blocked_loop(self) -> None:
        async def run() -> int:
            loop = loops.Loop(
                state=samples.state(),
                clock=clock.Clock(),
                meter=metrics.Meter(),
                timeline=timeline.Timeline(node='n', most=100),
            )
            ticks = asyncio.ensure_future(loop.run_ticks())
            await asyncio.sleep(0.01)
            time.sleep(0.4)
            await asyncio.sleep(0.01)
            ticks.cancel()
            return loop.lag_ms

        self.assertGreater(asyncio.run(run()), 200)


class _StallingClock(clock.Clock):
    """Clock of a process that stands still before it reads the time.

    :ivar stall: function that is called once instead of the stall.
    """

    def __init__(self) -> None:
        super().__init__()
        self.stall: typing.Callable[[], None] | None = None

    def now(self) -> clock.Instant:
        """Return the time after a stall."""
        stall, self.stall = self.stall, None
        if stall is not None:
            stall()
        return super().now()


class TestStalls(testtools.TestCase):
    """What came during a stall is handled before the next tick."""

    # Guards against servers and peers that count as silent while what they
    # sent waits in the sockets.
    def test_sockets_are_read_before_a_tick(self) -> None:
        order = asyncio.run(self._run())
        self.assertEqual('read', order[0])

    async def _run(self) -> list[str]:
        """Return what happened after a stall in which a byte came."""
        order: list[str] = []
        sender, receiver = socket.socketpair()
        stalling_clock = _StallingClock()
        loop = loops.Loop(
            state=samples.state(bounds.Bounds()),
            clock=stalling_clock,
            meter=metrics.Meter(),
            timeline=timeline.Timeline(node='n', most=100),
        )
        with (
            sender,
            receiver,
            mock.patch.object(
                reducer,
                'reduce',
                lambda *_: order.append('tick') or [],
            ),
        ):

            def read() -> None:
                order.append('read')
                receiver.recv(1)

            asyncio.get_running_loop().add_reader(receiver, read)
            ticks = asyncio.ensure_future(loop.run_ticks())
            while not order:
                await asyncio.sleep(0)
            order.clear()
            stalling_clock.stall = lambda: sender.send(b'x') and None
            while len(order) < 2:
                await asyncio.sleep(0.01)
            ticks.cancel()
            asyncio.get_running_loop().remove_reader(receiver)
        return order
