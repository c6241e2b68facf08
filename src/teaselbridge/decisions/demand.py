"""Estimate of how many backend servers a pool needs for its prompt load.

Load pattern: prefix caches are cold at the start and after each loss of a
zone, so that the same requests then need several times as many prompt tokens
to be computed.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from teaselbridge.decisions import fleetplan

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

# Fewer servers cannot tolerate the loss of one.
MIN_SERVERS = 4
# Factor on the needed reclaimable servers, so that the loss of a zone is
# tolerated.
SPARE_RATIO = 1.6
# Fraction of the initial servers up to which on-demand servers are added. It
# is below 1 because they cost many times as much as reclaimable ones.
MIN_INITIAL_FRACTION = 0.55
# The initial number of servers is a lower bound for this long, because caches
# are cold and the load is unknown.
WARM_UP_MS = 20_000
# Fractions of the time that engines may spend on prefill, for the usual and
# for the minimum number of servers. The rest is for bursts and for decoding
# the other requests.
USUAL_PREFILL_FRACTION = 0.4
MAX_PREFILL_FRACTION = 0.6
# The same fraction for all prompt tokens, as if no cache held any.
COLD_PREFILL_FRACTION = 1.0
# Initial servers are counted for this long after the first one was seen.
INITIAL_COUNT_MS = 3_000
# Existing servers register within one or two heartbeats.
REGISTRATION_MS = 2_000
# Decay of the load estimate per call, four times a second: it halves in twelve
# seconds.
LOAD_DECAY = 0.986


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerNeed:
    """Number of servers that a pool needs.

    :param usual_servers: servers for comfortable operation, at the price of
        reclaimable ones.
    :param least: minimum to meet deadlines, at any price.
    """

    usual_servers: int
    least: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Demand:
    """Load estimate of one pool.

    :param since: monotonic milliseconds at which the first server was seen.
    :param first: number of servers that the operators started initially.
    :param uncached_per_s: prompt tokens per second that no cache held.
    :param prompts: all prompt tokens per second.
    """

    since: int
    first: int = 1
    uncached_per_s: float = 0.0
    prompts: float = 0.0


class Demands:
    """Load estimates of all pools."""

    def __init__(self) -> None:
        self._by_pool: dict[str, Demand] = {}

    def get(self, pool: str, now: clock.Instant) -> Demand:
        """Return the load estimate of a pool, created on first use."""
        return self._by_pool.setdefault(pool, Demand(since=now.mono))

    def has_registered_servers(self, pool: str, now: clock.Instant) -> bool:
        """Return whether a pool's servers have had time to register."""
        known = self._by_pool.get(pool)
        return known is not None and now.mono - known.since >= REGISTRATION_MS


def update_demand(
    state: states.State, pool: model.Pool, now: clock.Instant
) -> None:
    """Update the load estimate of a pool; called a few times a second."""
    if pool.scaling is None or not state.servers.in_pool(pool.name):
        return
    demand = state.demands.get(pool.name, now)
    _record_initial_servers(state, pool, demand, now)
    # The estimate rises at once and falls slowly, because servers take seconds
    # to start.
    rate = state.loads.reading(pool.name, now)
    demand.uncached_per_s = max(
        rate.tokens, demand.uncached_per_s * LOAD_DECAY
    )
    demand.prompts = max(rate.prompts, demand.prompts * LOAD_DECAY)


def estimate_need(
    state: states.State, pool: model.Pool, now: clock.Instant
) -> ServerNeed:
    """Return how many servers a pool needs to meet deadlines.

    The operators initially start enough servers for the usual load. Once
    that load has been observed, the measured prompt tokens are the better
    estimate. A server that limits the rate of requests counts as lost.
    """
    demand = state.demands.get(pool.name, now)
    first = demand.first if now.mono - demand.since < WARM_UP_MS else 0
    usual = state.speeds.get_usual(state, pool.name)
    factors = [
        server.profile.measure_factor(usual)
        for server in state.servers.staying(pool.name)
    ]
    speed = 1000 * state.prefill_speeds.get_tokens_per_ms(pool.name)
    speed *= fleetplan.compute_mean_speed(factors)
    busy = demand.uncached_per_s / speed
    # The remaining servers recompute what the caches of a lost zone held.
    cold = demand.prompts / speed
    limited = _count_limited(state, pool)
    return ServerNeed(
        usual_servers=limited
        + max(MIN_SERVERS, first, math.ceil(busy / USUAL_PREFILL_FRACTION)),
        least=limited
        + max(
            MIN_SERVERS,
            math.ceil(MIN_INITIAL_FRACTION * first),
            math.ceil(busy / MAX_PREFILL_FRACTION),
            math.ceil(cold / COLD_PREFILL_FRACTION),
        ),
    )


def _count_limited(state: states.State, pool: model.Pool) -> int:
    """Return how many servers of a pool limit the rate of requests."""
    return sum(
        state.limits.terms.get(server.host).rate is not None
        for server in state.servers.staying(pool.name)
    )


def _record_initial_servers(
    state: states.State,
    pool: model.Pool,
    demand: Demand,
    now: clock.Instant,
) -> None:
    """Record how many servers the operators started initially.

    Reclaimable servers show that servers were ordered before this node
    started. Those orders included spare servers, which are subtracted.
    """
    bounds = state.options.bounds
    if bounds is None or now.mono - demand.since > INITIAL_COUNT_MS:
        return
    known = state.servers.in_pool(pool.name)
    count = len(known)
    if any(server.row.reclaimable for server in known):
        if bounds.first_start:
            return
        count = math.floor(count / SPARE_RATIO)
    demand.first = max(demand.first, count)
