"""Virtual time: work that is due, in order."""

from __future__ import annotations

import heapq
import itertools
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    Work = collections.abc.Callable[[], None]


class Schedule:
    """Runs work when its time has come, without waiting for it."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Work]] = []
        self._numbers = itertools.count()
        self._now = 0.0

    @property
    def now(self) -> float:
        """Virtual milliseconds since the start."""
        return self._now

    def later(self, delay: float, work: Work) -> None:
        """Run work after some virtual milliseconds."""
        entry = (self._now + delay, next(self._numbers), work)
        heapq.heappush(self._due, entry)

    def every(self, span: float, first: float, work: Work) -> None:
        """Run work again and again.

        :param span: milliseconds between two runs.
        :param first: milliseconds until the first run.
        """

        def step() -> None:
            work()
            self.later(span, step)

        self.later(first, step)

    def advance(self, until: float) -> None:
        """Run all work that is due before a time."""
        while self._due and self._due[0][0] <= until:
            at, _, work = heapq.heappop(self._due)
            self._now = at
            work()
        self._now = until
