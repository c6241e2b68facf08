"""Event queue of the discrete-event simulation."""

from __future__ import annotations

import heapq
import itertools
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    Work = collections.abc.Callable[[], None]


class Schedule:
    """Queue of callbacks that run in the order of their virtual time.

    Callbacks that are due at the same time run in the order of their
    scheduling, so that runs are deterministic.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Work]] = []
        self._sequence = itertools.count()
        self._now = 0.0

    @property
    def now(self) -> float:
        """Virtual milliseconds since the start of the simulation."""
        return self._now

    def later(self, delay: float, work: Work) -> None:
        """Schedule a callback.

        :param delay: virtual milliseconds.
        """
        entry = (self._now + delay, next(self._sequence), work)
        heapq.heappush(self._entries, entry)

    def every(self, span: float, first: float, work: Work) -> None:
        """Schedule a periodic callback.

        :param span: virtual milliseconds between two runs.
        :param first: virtual milliseconds until the first run.
        """

        def run_and_reschedule() -> None:
            work()
            self.later(span, run_and_reschedule)

        self.later(first, run_and_reschedule)

    def advance(self, until: float) -> None:
        """Run all callbacks that are due up to and including a time.

        :param until: virtual milliseconds since the start.
        """
        while self._entries and self._entries[0][0] <= until:
            at, _, work = heapq.heappop(self._entries)
            self._now = at
            work()
        self._now = until
