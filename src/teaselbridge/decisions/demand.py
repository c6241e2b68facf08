"""How many backend servers a pool needs, by what its prompts ask for.

Load pattern: caches are cold at the start and after each loss of a zone, so
that the same requests then ask for several times as many tokens to be read.
"""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

# Fewer do not bear the loss of one.
NEED_LEAST = 4
# Reclaimable servers beyond the need, so that the loss of a zone is borne.
SPARE = 1.6
# Part of what the operators start with that on-demand servers fill up to:
# they cost many times as much.
LEAST_FIRST = 0.55
# What the operators start with counts for so long: caches are cold then, and
# the load is not known.
WARM_MS = 20_000
# Part of the time that engines may spend reading prompts, in comfort and at
# the least: the rest is for bursts, and for the tokens of others meanwhile.
USUAL_PART = 0.4
LEAST_PART = 0.6
# The same for all prompts, as if nothing were cached.
COLD_PART = 1.0
# How long after the first sight of a pool its servers are counted.
FIRST_MS = 3_000
# Servers that were there before enter themselves within a heartbeat or two.
COUNT_MS = 2_000
# Each quarter of a second; half of it after twelve seconds.
ASKED_DECAY = 0.986


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Need:
    """How many servers a pool needs.

    :param usual: to serve in comfort, at the price of reclaimable ones.
    :param least: to serve in time, at any price.
    """

    usual: int
    least: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Demand:
    """What is known of the load of one pool.

    :param since: monotonic milliseconds of the first sight of a server.
    :param first: servers that the operators started with.
    :param unread: prompt tokens a second that no cache held.
    :param prompts: all prompt tokens a second.
    """

    since: int
    first: int = 1
    unread: float = 0.0
    prompts: float = 0.0


class Demands:
    """Load of all pools."""

    def __init__(self) -> None:
        self._by_pool: dict[str, Demand] = {}

    def get(self, pool: str, now: clock.Instant) -> Demand:
        """Give the load of a pool, known from the first sight of a server."""
        return self._by_pool.setdefault(pool, Demand(since=now.mono))

    def is_counted(self, pool: str, now: clock.Instant) -> bool:
        """Tell whether the servers of a pool had time to enter themselves."""
        known = self._by_pool.get(pool)
        return known is not None and now.mono - known.since >= COUNT_MS


def follow(state: states.State, pool: model.Pool, now: clock.Instant) -> None:
    """Take in the present load, a few times a second."""
    if pool.scaling is None or not state.servers.in_pool(pool.name):
        return
    demand = state.demands.get(pool.name, now)
    _count_first(state, pool, demand, now)
    # It rises at once and falls slowly: servers take seconds to come.
    rate = state.loads.reading(pool.name, now)
    demand.unread = max(rate.tokens, demand.unread * ASKED_DECAY)
    demand.prompts = max(rate.prompts, demand.prompts * ASKED_DECAY)


def need(state: states.State, pool: model.Pool, now: clock.Instant) -> Need:
    """Tell how many servers a pool needs to serve in time.

    The operators start with what serves the usual load in comfort. Once that
    load was seen, what prompts ask for tells better.
    """
    demand = state.demands.get(pool.name, now)
    first = demand.first if now.mono - demand.since < WARM_MS else 0
    speed = 1000 * state.speed.of(pool.name)
    busy = demand.unread / speed
    # The caches of a lost zone are read anew by those that are left.
    cold = demand.prompts / speed
    return Need(
        usual=max(NEED_LEAST, first, math.ceil(busy / USUAL_PART)),
        least=max(
            NEED_LEAST,
            math.ceil(LEAST_FIRST * first),
            math.ceil(busy / LEAST_PART),
            math.ceil(cold / COLD_PART),
        ),
    )


def _count_first(
    state: states.State,
    pool: model.Pool,
    demand: Demand,
    now: clock.Instant,
) -> None:
    """Remember how many servers the operators started with.

    Where servers were ordered before this node started, those orders had
    the spare ones in them.
    """
    bounds = state.options.bounds
    if bounds is None or now.mono - demand.since > FIRST_MS:
        return
    known = state.servers.in_pool(pool.name)
    count = len(known)
    if any(server.row.reclaimable for server in known):
        if bounds.first_start:
            return
        count = math.floor(count / SPARE)
    demand.first = max(demand.first, count)
