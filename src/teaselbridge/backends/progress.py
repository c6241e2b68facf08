"""Timeout of attempts that make no progress."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from teaselbridge import clock

if typing.TYPE_CHECKING:
    import collections.abc

# Parts of the time without progress.
PARTS = 3


class ProgressTimer:
    """Timer that ends an attempt unless it is restarted in time.

    While the event loop stands still, data of the server waits unread. The
    time is therefore counted in parts, of which a stall takes one, however
    long it is, and what was read meanwhile is handled after the last one. A
    loop that is always late ends attempts too.

    :param timeout: timeout that ends the attempt.
    """

    def __init__(self, *, timeout: asyncio.Timeout) -> None:
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None

    def restart(self, span_ms: int) -> None:
        """Allow some milliseconds from now until the next progress."""
        if self._timeout.when() is not None and not self._timeout.expired():
            self._timeout.reschedule(None)
        self._start_part(clock.seconds(span_ms) / PARTS, PARTS)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_part(self, part_s: float, left: int) -> None:
        self.cancel()
        if left:
            self._timer = self._loop.call_later(
                part_s, self._start_part, part_s, left - 1
            )
        else:
            # What was polled in this turn is handled in the next one.
            self._timer = self._loop.call_soon(self._expire)

    def _expire(self) -> None:
        self._timeout.reschedule(self._loop.time())


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
