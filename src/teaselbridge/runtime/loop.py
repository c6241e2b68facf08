"""Feeds events to the reducer, one at a time, and executes its effects."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import pathlib
import traceback
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

TICK_INTERVAL_MS = 50
# Interval on the platform while no request is held: half of the shortest
# interval of what is then due.
IDLE_TICK_INTERVAL_MS = 125
ERROR_LOG_INTERVAL_MS = 1_000
ERROR_FRAMES = 4
MAX_ERROR_CHARS = 400
# Turns of the event loop after which the sockets have been polled and read.
POLLING_TURNS = 2
# Metrics are fetched every few seconds.
GAUGE_INTERVAL_MS = 1_000
# A delay of the loop is forgotten after one to two of these.
LAG_SPAN_MS = 5_000
# A tick that is later than this is logged.
MAX_TICK_LAG_MS = 250

EffectHandler: typing.TypeAlias = (
    'collections.abc.Callable[[typing.Any], None]'
)


class LagMeter:
    """Longest recent delay of the event loop."""

    def __init__(self) -> None:
        self._began = 0
        self._current_ms = 0
        self._last_ms = 0

    def record(self, lag_ms: int, now: clocks.Instant) -> None:
        """Record by how much a timer was late."""
        self._forget(now)
        self._current_ms = max(self._current_ms, lag_ms)

    def get_ms(self, now: clocks.Instant) -> int:
        """Return the longest delay, in milliseconds."""
        self._forget(now)
        return max(self._current_ms, self._last_ms)

    def _forget(self, now: clocks.Instant) -> None:
        span = now.mono - self._began
        if span < LAG_SPAN_MS:
            return
        self._last_ms = self._current_ms if span < 2 * LAG_SPAN_MS else 0
        self._current_ms = 0
        self._began = now.mono


class Loop:
    """Event queue of a node and the handlers of the reducer's effects.

    :param state: state of the reducer.
    :param clock: clocks of the process.
    :param meter: metrics of the process.
    :param timeline: timeline that entries are added to.
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
        self._hybrid_clock = timelines.HybridClock()
        self._events: collections.deque[events.Event] = collections.deque()
        self._is_processing = False
        self._next_error_log_at = 0
        # Ends the wait for the next tick, and whether it is the long one.
        self._tick_timer: asyncio.TimerHandle | None = None
        self._tick_waiter: asyncio.Future[None] | None = None
        self._ticks_slowly = False
        self._next_tick_at = 0
        self._lag = LagMeter()
        self._handlers: dict[type, EffectHandler] = {
            effects.Count: meter.count,
            effects.ObserveLatency: meter.observe,
            effects.RecordEntry: self.record,
            effects.Wake: self._schedule_wake,
        }

    @property
    def state(self) -> states.State:
        """State of the node; only the reducer changes it."""
        return self._state

    @property
    def timeline(self) -> timelines.Timeline:
        """Timeline of this node."""
        return self._timeline

    @property
    def lag_ms(self) -> int:
        """Longest recent delay of a tick, in milliseconds."""
        return self._lag.get_ms(self.now())

    def handle(self, kind: type, handler: EffectHandler) -> None:
        """Set the handler of an effect type."""
        self._handlers[kind] = handler

    def get_handler(self, kind: type) -> EffectHandler:
        """Return the handler of an effect type."""
        return self._handlers[kind]

    def post(self, event: events.Event) -> None:
        """Process an event, after those that are already queued.

        An effect handler may call this method again: the new event is then
        queued and processed by the outer call.
        """
        self._events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._events:
                self._process(self._events.popleft())
        finally:
            self._is_processing = False
        if self._ticks_slowly and self._is_busy():
            self._schedule_tick(TICK_INTERVAL_MS)

    def execute(self, effect: effects.Effect) -> None:
        """Execute an effect that an executor asks for."""
        self._handlers[type(effect)](effect)

    def now(self) -> clocks.Instant:
        """Return the current time of both clocks."""
        return self._clock.now()

    def stamp(self) -> int:
        """Return a hybrid clock stamp for an outgoing message."""
        return self._hybrid_clock.stamp(self.now().wall)

    def merge_stamp(self, received: int) -> None:
        """Advance the hybrid clock to the stamp of a received message."""
        self._hybrid_clock.merge_stamp(received, self.now().wall)

    def record(self, record: effects.RecordEntry) -> None:
        """Add an entry to the timeline and log it if it is a state change."""
        logs.change(self._timeline.add(record, self.stamp()))

    async def run_ticks(self) -> None:
        """Post ticks and update the gauges at intervals, forever.

        A node on the platform that holds no requests ticks less often.
        """
        loop = asyncio.get_running_loop()
        next_gauges_at = 0
        while True:
            await self._post_tick()
            now = self.now().mono
            if now >= next_gauges_at:
                next_gauges_at = now + GAUGE_INTERVAL_MS
                self._update_gauges()
            self._tick_waiter = loop.create_future()
            self._schedule_tick(
                TICK_INTERVAL_MS if self._is_busy() else IDLE_TICK_INTERVAL_MS
            )
            await self._tick_waiter
            self._record_lag()

    async def _post_tick(self) -> None:
        """Post a tick once all is handled that came before it.

        After a stall this task may run before the sockets are polled. One
        turn of the event loop ends what was polled before, the next one
        handles what was polled since.
        """
        heard_until = self.now().mono
        for _ in range(POLLING_TURNS):
            await asyncio.sleep(0)
        self.post(events.Ticked(heard_until))

    def _is_busy(self) -> bool:
        """Return whether work may be due at each of the shortest ticks."""
        state = self._state
        return (
            bool(state.requests)
            or state.drain is not None
            or state.options.bounds is None
        )

    def _schedule_tick(self, delay_ms: int) -> None:
        """Schedule the next tick, instead of one that is scheduled."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self._ticks_slowly = delay_ms > TICK_INTERVAL_MS
        self._next_tick_at = self.now().mono + delay_ms
        loop = asyncio.get_running_loop()
        self._tick_timer = loop.call_later(
            clocks.seconds(delay_ms), self._end_tick_wait
        )

    def _end_tick_wait(self) -> None:
        waiter = self._tick_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _record_lag(self) -> None:
        """Measure how late the tick that is due now comes."""
        now = self.now()
        lag_ms = max(0, now.mono - self._next_tick_at)
        self._lag.record(lag_ms, now)
        self._meter.observe_lag(lag_ms)
        if lag_ms > MAX_TICK_LAG_MS:
            detail = f'{lag_ms} ms, {len(self._state.requests)} held'
            self.record(
                effects.RecordEntry(mark=effects.Mark.NODE_LATE, detail=detail)
            )

    def _process(self, event: events.Event) -> None:
        """Pass an event to the reducer and execute the effects.

        An unexpected error ends the work on this event, or on one effect of
        it, only. The tasks that post events, such as the one that receives
        messages, go on, and callers get what was decided for them.
        """
        kind = type(event).__name__
        for effect in self._reduce(event, kind):
            try:
                self._handlers[type(effect)](effect)
            except Exception as error:
                self.record_error(kind, error)

    def _reduce(
        self, event: events.Event, kind: str
    ) -> collections.abc.Sequence[effects.Effect]:
        try:
            return reducer.reduce(self._state, event, self.now())
        except reducer.ReduceError as error:
            self.record_error(kind, error.__cause__ or error)
            return error.decided
        except Exception as error:
            self.record_error(kind, error)
            return ()

    def record_error(self, kind: str, error: BaseException) -> None:
        """Count an error, and log at most one in `ERROR_LOG_INTERVAL_MS`.

        :param kind: event or task that it ended.
        """
        self._meter.count(effects.Count(effects.Counter.ERRORS, kind))
        now = self.now().mono
        if now < self._next_error_log_at:
            return
        self._next_error_log_at = now + ERROR_LOG_INTERVAL_MS
        frames = traceback.extract_tb(error.__traceback__)[-ERROR_FRAMES:]
        places = ', '.join(
            f'{pathlib.PurePath(frame.filename).name}:{frame.lineno}'
            for frame in frames
        )
        detail = f'{kind}: {error!r} at {places}'[:MAX_ERROR_CHARS]
        self.record(
            effects.RecordEntry(
                mark=effects.Mark.INTERNAL_ERROR, detail=detail
            )
        )

    def _schedule_wake(self, effect: effects.Wake) -> None:
        delay = clocks.seconds(effect.delay_ms)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self.post, events.DelayElapsed())

    def _update_gauges(self) -> None:
        state = self._state
        now = self.now()
        self._meter.show(
            held=len(state.requests),
            queued=len(state.queue),
            generation=state.index.generation,
            peers=len(state.membership.alive),
            era=state.store_view.era,
            in_backoff=sum(
                server.backoff_until > now.mono for server in state.servers.all
            ),
            refused_parts=len(state.parts.refused),
        )


@dataclasses.dataclass
class Tasks:
    """Background tasks that are stopped together.

    :param running: strong references to the tasks, without which the
        garbage collector could end them early.
    """

    running: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def start(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        """Start a coroutine as a background task.

        An exception that it raises goes to the exception handler of the
        asyncio loop.
        """
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
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

    async def stop(self, wait_s: float | None = None) -> int:
        """Cancel all tasks and wait until they have ended.

        :param wait_s: how long to wait for that, in seconds; for ever if none.
        :return: number of tasks that have not ended.
        """
        for task in list(self.running):
            task.cancel()
        if not self.running:
            return 0
        _, running = await asyncio.wait(self.running, timeout=wait_s)
        return len(running)
