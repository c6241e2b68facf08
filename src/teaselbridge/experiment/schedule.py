"""Event queue of the discrete-event simulation."""

from __future__ import annotations

import heapq
import itertools
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    Callback = collections.abc.Callable[[], None]


class EventQueue:
    """Queue of callbacks that run in the order of their virtual time.

    Callbacks that are due at the same time run in the order of their
    scheduling, so that runs are deterministic.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Callback]] = []
        self._sequence = itertools.count()
        self._now = 0.0

    @property
    def now(self) -> float:
        """Virtual milliseconds since the start of the simulation."""
        return self._now

    def call_later(self, delay_ms: float, work: Callback) -> None:
        """Schedule a callback.

        :param delay_ms: virtual milliseconds.
        """
        entry = (self._now + delay_ms, next(self._sequence), work)
        heapq.heappush(self._entries, entry)

    def call_every(self, span: float, first: float, work: Callback) -> None:
        """Schedule a periodic callback.

        :param span: virtual milliseconds between two runs.
        :param first: virtual milliseconds until the first run.
        """

        def run_and_reschedule() -> None:
            work()
            self.call_later(span, run_and_reschedule)

        self.call_later(first, run_and_reschedule)

    def run_until(self, until: float) -> None:
        """Run all callbacks that are due up to and including a time.

        :param until: virtual milliseconds since the start.
        """
        while self._entries and self._entries[0][0] <= until:
            at, _, work = heapq.heappop(self._entries)
            self._now = at
            work()
        self._now = until
