"""Cost of the requests that were recently asked for, by rank.

The rank of a request is the priority of its route, 0 for the most urgent.
"""

from __future__ import annotations

# Ranks that routes can have.
RANKS = 10
# Window over which costs are summed.
WINDOW_MS = 2_000


class RecentCosts:
    """Cost of the requests of one workspace that reached this node."""

    def __init__(self) -> None:
        self._costs = [0.0] * RANKS
        self._updated = 0

    def add(self, rank: int, cost: int, mono: int) -> None:
        """Add the cost of a request.

        :param mono: monotonic milliseconds.
        """
        self._decay(mono)
        self._costs[rank] += cost

    def get(self, mono: int) -> list[float]:
        """Return the costs of the window by rank.

        :param mono: monotonic milliseconds.
        """
        self._decay(mono)
        return self._costs

    def _decay(self, mono: int) -> None:
        span = mono - self._updated
        if span <= 0:
            return
        self._updated = mono
        kept = max(0.0, 1 - span / WINDOW_MS)
        self._costs = [kept * cost for cost in self._costs]


class ReportedCosts:
    """Sum of the costs that other nodes report for one workspace."""

    def __init__(self) -> None:
        self._costs = [0] * RANKS

    def replace(self, before: tuple[int, ...], after: tuple[int, ...]) -> None:
        """Replace the report of one node by its next one.

        Ranks beyond the last one count as the last.
        """
        for sign, costs in ((-1, before), (1, after)):
            for rank, cost in enumerate(costs):
                self._costs[min(rank, RANKS - 1)] += sign * cost

    def get(self) -> list[int]:
        """Return the sums by rank."""
        return self._costs


def encode(costs: list[float]) -> tuple[int, ...]:
    """Return costs as whole numbers, without the zeros at the end."""
    rounded = [round(cost) for cost in costs]
    while len(rounded) > 1 and not rounded[-1]:
        rounded.pop()
    return tuple(rounded)
