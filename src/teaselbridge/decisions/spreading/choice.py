"""Choice among servers by costs that are partly out of date.

Load pattern: many nodes choose at the same moment, by load of other nodes
that they know from updates. All nodes that hear that a server is idle send
to it, and it has a queue before the next updates arrive. The older what a
node knows of the others, the more of a difference between servers has been
levelled out meanwhile by their choices. What others reported is therefore
drawn towards its mean over the candidates as it ages, while what the node
itself has sent, and what is cached where, counts in full.

The result is drawn among servers whose costs then hardly differ, so that
nodes that know the same do not all choose the same one.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    import collections.abc
    import random

ServerT = typing.TypeVar('ServerT')

# Age at which a reported difference between servers still counts as 1 / e of
# it. With 64 hosts and 45 servers, 150, 250 and 400 ms gave a 95th percentile
# of 1,551, 1,381 and 1,498 ms to the first event (trials at 80% load; see
# docs/design/spreading.md).
LEVELLING_MS = 250.0
# Cost that divides the probability of a server by e if nothing is known of
# the others. With 195 hosts, 10 ms raised the shared tokens that are read
# again from 22.0 to 24.6%, as a second node missed the engine of a head.
DRAW_MS = 5.0
# Servers that cost so many times that more are not drawn.
MAX_DRAW_FACTOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate(typing.Generic[ServerT]):
    """A server that may take a request, with what is known about it.

    :param server: the server.
    :param cost_ms: predicted milliseconds to the first byte, penalties
        included.
    :param age_ms: age of what is known about the load of other nodes.
    :param cached_tokens: leading prompt tokens in its prefix cache.
    :param others_ms: the part of the cost that other nodes' load causes.
    """

    server: ServerT
    cost_ms: float
    age_ms: float = 0.0
    cached_tokens: int = 0
    others_ms: float = 0.0


def choose(
    candidates: collections.abc.Sequence[Candidate[ServerT]],
    nodes: int,
    generator: random.Random,
) -> Candidate[ServerT]:
    """Choose one of the candidates.

    It is the one of the least cost, and the first of several, if one node
    takes part or nothing that is known of the others is out of date.

    :param candidates: at least one.
    :param nodes: number of nodes that choose among the same servers.
    :param generator: source of the draw, unused where nothing is drawn.
    """
    age_ms = max(item.age_ms for item in candidates)
    if nodes <= 1 or age_ms <= 0 or len(candidates) == 1:
        return min(candidates, key=_get_cost)
    costs = level_costs(candidates)
    least = min(costs)
    spread_ms = DRAW_MS * (1 - _get_weight(age_ms))
    limit = least + MAX_DRAW_FACTOR * spread_ms
    drawn = [
        (item, math.exp((least - cost) / spread_ms))
        for item, cost in zip(candidates, costs, strict=True)
        if cost <= limit
    ]
    if len(drawn) == 1:
        return drawn[0][0]
    point = generator.random() * sum(weight for _, weight in drawn)
    for item, weight in drawn:
        point -= weight
        if point < 0:
            return item
    return drawn[-1][0]


def level_costs(
    candidates: collections.abc.Sequence[Candidate[ServerT]],
) -> list[float]:
    """Return the costs with the load of other nodes levelled by its age.

    No server can have done more than its age's worth of that load since.

    :return: milliseconds, in the order of the candidates.
    """
    mean = sum(item.others_ms for item in candidates) / len(candidates)
    costs = []
    age_ms = 0.0
    weight = 1.0
    for item in candidates:
        if item.age_ms != age_ms:
            age_ms = item.age_ms
            weight = _get_weight(age_ms)
        change = max(-age_ms, (1 - weight) * (mean - item.others_ms))
        costs.append(item.cost_ms + change)
    return costs


def _get_weight(age_ms: float) -> float:
    """Return how much of a reported difference counts at its age."""
    return math.exp(-max(0.0, age_ms) / LEVELLING_MS)


def _get_cost(candidate: Candidate[ServerT]) -> float:
    return candidate.cost_ms
