"""The loop that feeds events to the reducer and performs its effects."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

from teaselbridge import clock as clocks
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import reducer
from teaselbridge.telemetry import logs
from teaselbridge.telemetry import timeline as timelines

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import state as states
    from teaselbridge.telemetry import metrics

TICK_MS = 50

Performer: typing.TypeAlias = 'collections.abc.Callable[[typing.Any], None]'


class Loop:
    """Runs the decisions of one node.

    :param state: what the node knows.
    :param clock: clocks of the process.
    :param meter: takes the counters.
    :param timeline: takes the records.
    """

    def __init__(
        self,
        *,
        state: states.State,
        clock: clocks.Clock,
        meter: metrics.Meter,
        timeline: timelines.Timeline,
    ) -> None:
        self._state = state
        self._clock = clock
        self._meter = meter
        self._timeline = timeline
        self._hybrid = timelines.HybridClock()
        self._events: collections.deque[events.Event] = collections.deque()
        self._busy = False
        self._performers: dict[type, Performer] = {
            effects.Count: meter.count,
            effects.Observe: meter.observe,
            effects.Record: self.record,
            effects.Wake: self._wake,
        }

    @property
    def state(self) -> states.State:
        """What the node knows; only the reducer changes it."""
        return self._state

    @property
    def timeline(self) -> timelines.Timeline:
        """The node's own part of the time line."""
        return self._timeline

    def handle(self, kind: type, performer: Performer) -> None:
        """Set who performs a kind of effect."""
        self._performers[kind] = performer

    def post(self, event: events.Event) -> None:
        """Take in an event, now or after the one under way."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._take(self._events.popleft())
        finally:
            self._busy = False

    def now(self) -> clocks.Instant:
        """Read the clocks."""
        return self._clock.now()

    def stamp(self) -> int:
        """Give a stamp for a message."""
        return self._hybrid.stamp(self.now().wall)

    def merge_stamp(self, heard: int) -> None:
        """Take in the stamp of a message."""
        self._hybrid.merge(heard, self.now().wall)

    def record(self, record: effects.Record) -> None:
        """Add to the time line; log it if it is a change of state."""
        logs.change(self._timeline.add(record, self.stamp()))

    async def tick(self) -> None:
        """Post the passing of time, for as long as the node runs."""
        while True:
            self.post(events.Ticked())
            self._show()
            await asyncio.sleep(clocks.seconds(TICK_MS))

    def _take(self, event: events.Event) -> None:
        for effect in reducer.reduce(self._state, event, self.now()):
            self._performers[type(effect)](effect)

    def _wake(self, effect: effects.Wake) -> None:
        delay = clocks.seconds(effect.delay_ms)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self.post, events.Woke())

    def _show(self) -> None:
        state = self._state
        self._meter.show(
            held=len(state.requests),
            queued=len(state.queue),
            generation=state.index.generation,
            peers=len(state.membership.alive),
        )


@dataclasses.dataclass
class Tasks:
    """Background tasks that are kept alive and ended together."""

    running: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def start(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        """Start a task."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._end)
        return task

    def _end(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            asyncio.get_running_loop().call_exception_handler(
                {
                    'message': 'a background task failed',
                    'exception': error,
                    'task': task,
                }
            )

    async def stop(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in list(self.running):
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
