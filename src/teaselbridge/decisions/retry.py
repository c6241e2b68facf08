"""When a failed attempt may be followed by another."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import random

    from teaselbridge.tables import model

ATTEMPTS_MOST = 6
BACKOFF_MS = 20
BACKOFF_MOST_MS = 1_000
BUDGET_START = 5.0
BUDGET_MOST = 20.0


@dataclasses.dataclass(slots=True)
class _Budget:
    tokens: float = BUDGET_START


class Budgets:
    """Retry budgets by route.

    Each first attempt earns a part of a retry, so that retries stay a fixed
    share of the traffic however many servers fail.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _Budget] = {}

    def earn(self, route: model.Route) -> None:
        """Count a first attempt."""
        budget = self._by_route.setdefault(route.name, _Budget())
        budget.tokens = min(BUDGET_MOST, budget.tokens + route.retry_share)

    def spend(self, route: model.Route) -> bool:
        """Take one retry.

        :return: whether the budget allowed it.
        """
        budget = self._by_route.setdefault(route.name, _Budget())
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True


def backoff(attempt: int, generator: random.Random) -> int:
    """Give the wait before the next attempt, with full jitter.

    :param attempt: attempts made so far.
    :param generator: seeded generator.
    :return: milliseconds.
    """
    most = min(BACKOFF_MOST_MS, BACKOFF_MS << min(attempt, 10))
    return generator.randint(0, most)
