"""Timeout of attempts that make no progress."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from teaselbridge import clock

if typing.TYPE_CHECKING:
    import collections.abc

# A timer that fires later than this has waited for the event loop.
MAX_TIMER_DELAY_S = 0.1


class ProgressTimer:
    """Timer that ends an attempt unless it is restarted in time.

    While the event loop stands still, data of the server waits unread, so
    that the span by which the timer fires late does not count, but only once
    without progress: a loop that is always late ends attempts too.

    :param timeout: timeout that ends the attempt.
    """

    def __init__(self, *, timeout: asyncio.Timeout) -> None:
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._is_extended = False

    def restart(self, span_ms: int) -> None:
        """Allow some milliseconds from now until the next progress."""
        self._is_extended = False
        self._start(self._loop.time() + clock.seconds(span_ms))

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self, due: float) -> None:
        self.cancel()
        self._timer = self._loop.call_at(due, self._expire, due)

    def _expire(self, due: float) -> None:
        now = self._loop.time()
        late = now - due
        if late > MAX_TIMER_DELAY_S and not self._is_extended:
            self._is_extended = True
            self._start(now + late)
        else:
            self._timeout.reschedule(now)


@contextlib.asynccontextmanager
async def run_timer(
    span_ms: int,
) -> collections.abc.AsyncIterator[ProgressTimer]:
    """Run a block with a timer that ends it.

    :param span_ms: milliseconds until the first progress.
    :raises TimeoutError: the timer has ended the block.
    """
    async with asyncio.timeout(None) as timeout:
        timer = ProgressTimer(timeout=timeout)
        timer.restart(span_ms)
        try:
            yield timer
        finally:
            timer.cancel()
