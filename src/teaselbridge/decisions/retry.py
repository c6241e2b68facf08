"""Retry budgets and backoff."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import random

    from teaselbridge.decisions import bounds as bounds_module
    from teaselbridge.tables import model

MAX_ATTEMPTS = 6
BASE_BACKOFF_MS = 20
MAX_BACKOFF_MS = 1_000
INITIAL_BUDGET = 5.0
MAX_BUDGET = 20.0
# Fraction of the platform's allowance that all nodes use together. The rest
# covers restarted nodes, which begin with a full budget.
ALLOWANCE_FRACTION = 0.8
# Least number of nodes among which the platform's extra allowance is divided,
# and the number for each active node. Others may have requests for a while.
MIN_ALLOWANCE_NODES = 12
ALLOWANCE_NODES_PER_ACTIVE_NODE = 4 / 3


@dataclasses.dataclass(slots=True)
class _Budget:
    tokens: float = INITIAL_BUDGET


class RetryBudgets:
    """Retry budgets by route, or by pool where the platform limits retries.

    Each first attempt earns a fraction of a retry, so that retries remain a
    fixed share of the traffic regardless of how many servers fail.

    :param bounds: limits set by the users' platform, none for the defaults.
    """

    def __init__(self, *, bounds: bounds_module.Bounds | None = None) -> None:
        self._by_route: dict[str, _Budget] = {}
        self._bounds = bounds
        self._nodes: float = MIN_ALLOWANCE_NODES

    def set_active_nodes(self, count: int) -> None:
        """Set the number of nodes that callers are sent to."""
        self._nodes = max(
            MIN_ALLOWANCE_NODES, ALLOWANCE_NODES_PER_ACTIVE_NODE * count
        )

    def add_attempt(self, route: model.Route) -> None:
        """Add to the budget for a first attempt."""
        budget = self._get_budget(route)
        share = route.retry_share
        most = MAX_BUDGET
        if self._bounds is not None:
            share = self._bounds.retry_share * ALLOWANCE_FRACTION
            most = self._max_saved_retries()
        budget.tokens = min(most, budget.tokens + share)

    def has_retry(self, route: model.Route) -> bool:
        """Return whether the budget allows a retry."""
        return self._get_budget(route).tokens >= 1

    def try_spend(self, route: model.Route) -> bool:
        """Take one retry from the budget.

        :return: whether the budget allowed it.
        """
        budget = self._get_budget(route)
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True

    def _get_budget(self, route: model.Route) -> _Budget:
        if self._bounds is None:
            return self._by_route.setdefault(route.name, _Budget())
        budget = self._by_route.get(route.pool)
        if budget is None:
            budget = _Budget(self._max_saved_retries())
            self._by_route[route.pool] = budget
        return budget

    def _max_saved_retries(self) -> float:
        """Return this node's share of the platform's extra allowance."""
        assert self._bounds is not None
        return max(
            1.0,
            self._bounds.retry_extra * ALLOWANCE_FRACTION / self._nodes,
        )


def backoff(attempt: int, generator: random.Random) -> int:
    """Return the wait before the next attempt, with full jitter.

    :param attempt: number of attempts made so far.
    :param generator: seeded random number generator.
    :return: wait in milliseconds.
    """
    most = min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << min(attempt, 10))
    return generator.randint(0, most)
