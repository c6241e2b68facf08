"""When a failed attempt may be followed by another."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import random

    from teaselbridge.decisions import bounds as bounds_module
    from teaselbridge.tables import model

ATTEMPTS_MOST = 6
BACKOFF_MS = 20
BACKOFF_MOST_MS = 1_000
BUDGET_START = 5.0
BUDGET_MOST = 20.0
# Part of what the platform allows that all nodes use together: the rest is
# for nodes that start anew with a full budget.
ALLOWED_PART = 0.8
# Nodes that share the platform's extra allowance, more than there are.
SHARERS = 12


@dataclasses.dataclass(slots=True)
class _Budget:
    tokens: float = BUDGET_START


class Budgets:
    """Retry budgets by route; by pool where the platform bounds them so.

    Each first attempt earns a part of a retry, so that retries stay a fixed
    share of the traffic however many servers fail.

    :param bounds: what the users' platform allows, none for the defaults.
    """

    def __init__(self, *, bounds: bounds_module.Bounds | None = None) -> None:
        self._by_route: dict[str, _Budget] = {}
        self._bounds = bounds

    def earn(self, route: model.Route) -> None:
        """Count a first attempt."""
        budget = self._get(route)
        share = route.retry_share
        most = BUDGET_MOST
        if self._bounds is not None:
            share = self._bounds.retry_share * ALLOWED_PART
            most = self._start()
        budget.tokens = min(most, budget.tokens + share)

    def has(self, route: model.Route) -> bool:
        """Tell whether a retry is left."""
        return self._get(route).tokens >= 1

    def spend(self, route: model.Route) -> bool:
        """Take one retry.

        :return: whether the budget allowed it.
        """
        budget = self._get(route)
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True

    def _get(self, route: model.Route) -> _Budget:
        if self._bounds is None:
            return self._by_route.setdefault(route.name, _Budget())
        budget = self._by_route.get(route.pool)
        if budget is None:
            budget = _Budget(self._start())
            self._by_route[route.pool] = budget
        return budget

    def _start(self) -> float:
        """Give what a node may save up of the platform's extra allowance."""
        assert self._bounds is not None
        return max(1.0, self._bounds.retry_extra * ALLOWED_PART / SHARERS)


def backoff(attempt: int, generator: random.Random) -> int:
    """Give the wait before the next attempt, with full jitter.

    :param attempt: attempts made so far.
    :param generator: seeded generator.
    :return: milliseconds.
    """
    most = min(BACKOFF_MOST_MS, BACKOFF_MS << min(attempt, 10))
    return generator.randint(0, most)
