"""Choice of a model engine by its predicted time to first token.

Load pattern: long prompts with shared heads, many of them cold (in no
prefix cache yet), and more prompt tokens per second than one engine can
read. An engine reads prompts one after the other (the prefill), so a request
waits for all unread tokens that any node sent there before it. Tokens in the
engine's prefix cache cost nothing. The nodes therefore agree by rendezvous
hashing on the engine for a cold head, and tell each other what they sent.
When an engine with a cached head has a backlog, the head is also placed on a
second engine as soon as that is faster than waiting. The second engine
copies the cache of the first where the engines support it, and otherwise
reads the head again.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions.room import memory
from teaselbridge.decisions.room import predict
from teaselbridge.decisions.spreading import choice

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# Initial estimate of the tokens that an engine reads in a millisecond.
DEFAULT_TOKENS_PER_MS = 40.0
# Weight of a new sample in the moving average of the read speed.
SPEED_SMOOTHING = 0.05
# Time of the decoding step for the first token, plus the network round trip.
FIRST_STEP_MS = 25
# Shorter prompts are not used as samples of the read speed, since that step
# and the round trip dominate their time to first token.
MIN_SAMPLE_TOKENS = 4_000
# Bounds of one sample of the read speed, in tokens per millisecond.
MIN_TOKENS_PER_MS = 5.0
MAX_TOKENS_PER_MS = 400.0
# Penalty for each later rank in the rendezvous order. It makes nodes that do
# not know each other's latest requests agree on the same idle engine.
RANK_PENALTY_MS = 12.0
# Reading fewer tokens than this is faster than copying them.
MIN_COPY_TOKENS = 1_000
# Fixed cost of a copy in addition to the transfer time. It also accounts for
# the load that a copy puts on the network.
COPY_OVERHEAD_MS = 120.0
# Lag is the smoothed delay of first bytes beyond the prediction.
LAG_SMOOTHING = 0.3
MAX_LAG_MS = 3_000
# Lag that counts as much as a full server, for plain services.
LAG_PER_FULL_LOAD_MS = 200
# Cost of a full server of a plain service, about the time until one of six
# slots with answers of 100 ms is free. Only its relation to `choice.DRAW_MS`
# matters: half of it gave the same tail latency with 64 hosts, and four times
# as much a tail longer by a third (trials).
FULL_LOAD_MS = 12.0


class PrefillSpeeds:
    """Estimated speed at which the engines of each pool read prompts."""

    def __init__(self) -> None:
        self._per_ms: dict[str, float] = {}

    def get_tokens_per_ms(self, pool: str) -> float:
        """Return the tokens that an engine of a pool reads per millisecond."""
        return self._per_ms.get(pool, DEFAULT_TOKENS_PER_MS)

    def record_sample(self, pool: str, tokens: int, span_ms: int) -> None:
        """Update the estimate of a pool from one answer.

        :param tokens: prompt tokens that the engine read.
        :param span_ms: milliseconds until the first token.
        """
        seen = measure_speed(tokens, span_ms)
        if seen is None:
            return
        known = self.get_tokens_per_ms(pool)
        self._per_ms[pool] = known + SPEED_SMOOTHING * (seen - known)


def measure_speed(
    tokens: int, span_ms: int, pace: float = 100.0
) -> float | None:
    """Return the tokens that an engine reads per millisecond.

    :param tokens: prompt tokens that it read.
    :param span_ms: milliseconds until the first token.
    :param pace: pace of the engine meanwhile, in percent of the usual one.
    :return: the speed at the usual pace, none if the prompt was too short.
    """
    if tokens < MIN_SAMPLE_TOKENS:
        return None
    reading_ms = max(1, span_ms - FIRST_STEP_MS)
    return limit_speed(tokens / reading_ms * 100 / pace)


def limit_speed(tokens_per_ms: float) -> float:
    """Return a sample of the read speed within its bounds."""
    return min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, tokens_per_ms))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PrefillWork:
    """Work that a server needs to have a whole prompt in its cache.

    :param uncached_tokens: prompt tokens that it has to read.
    :param copied_tokens: prompt tokens that it copies from another server.
    :param source: server to copy from, none if nothing is copied.
    :param copy_ms: predicted milliseconds that the copy takes.
    """

    uncached_tokens: int
    copied_tokens: int = 0
    source: servers.Server | None = None
    copy_ms: float = 0.0


class PrefillPlan:
    """Prefill work of one prompt on each server of its pool.

    :param state: state of the node.
    :param call: the request.
    :param now: the current time.
    """

    def __init__(
        self, state: states.State, call: calls.Call, now: clock.Instant
    ) -> None:
        self._state = state
        self._call = call
        self._now = now
        self._cached_by_host: dict[str, int] = {}
        self._work_by_cached: dict[tuple[int, str], PrefillWork] = {}
        self._source_by_version: dict[str, servers.Server] = {}
        pool = state.index.pool(call.route.pool)
        self._copied_per_ms = 0.0
        if pool is not None and pool.engine is not None:
            self._copied_per_ms = pool.engine.copied_per_ms
        if not self._copied_per_ms:
            return
        for server in state.servers.in_pool(call.route.pool):
            best = self._source_by_version.get(server.row.version)
            if best is None or self.count_cached(server) > self.count_cached(
                best
            ):
                self._source_by_version[server.row.version] = server

    def get_work(self, server: servers.Server) -> PrefillWork:
        """Return the work for a server: read the rest, or copy part of it.

        Caches are copied only between servers of the same model version,
        since other versions produce different caches for the same text.
        """
        own = self.count_cached(server)
        key = (own, server.row.version)
        known = self._work_by_cached.get(key)
        if known is None:
            known = self._work_by_cached[key] = self._compute_work(server, own)
        return known

    def _compute_work(self, server: servers.Server, own: int) -> PrefillWork:
        """Return the work for a server that has some tokens cached."""
        unread = self._call.tokens_in - own
        source = self._source_by_version.get(server.row.version)
        copied = 0 if source is None else self.count_cached(source) - own
        if copied < MIN_COPY_TOKENS:
            return PrefillWork(uncached_tokens=unread)
        return PrefillWork(
            uncached_tokens=unread - copied,
            copied_tokens=copied,
            source=source,
            copy_ms=COPY_OVERHEAD_MS + copied / self._copied_per_ms,
        )

    def count_cached(self, server: servers.Server) -> int:
        """Return the prompt tokens that a server has cached, memoized."""
        known = self._cached_by_host.get(server.host)
        if known is None:
            known = memory.count_cached(
                self._state, server, self._call, self._now
            )
            self._cached_by_host[server.host] = known
        return known


def record_lag(
    server: servers.Server, late_ms: float, now: clock.Instant
) -> None:
    """Update the lag of a server with the delay of one first byte.

    :param late_ms: milliseconds beyond the prediction, negative if the byte
        came earlier.
    """
    known = server.get_lag_ms(now)
    seen = min(MAX_LAG_MS, max(0.0, late_ms))
    server.lag_ms = known + LAG_SMOOTHING * (seen - known)
    server.lag_measured_at = now.mono


def choose_engine(
    state: states.State,
    candidates: list[servers.Server],
    call: calls.Call,
    now: clock.Instant,
) -> servers.Server:
    """Choose a server by its predicted time to first token.

    :param candidates: servers that may take the request; not empty.
    """
    options = describe_engines(state, candidates, call, now)
    return _choose(state, options)


def describe_engines(
    state: states.State,
    candidates: list[servers.Server],
    call: calls.Call,
    now: clock.Instant,
) -> list[choice.Candidate[servers.Server]]:
    """Return what the choice of an engine depends on, for each server."""
    rank_by_host: dict[str, int] = {}
    if call.parts:
        ordered = state.head_orders.order(candidates, _shared_head_id(call))
        rank_by_host = {
            server.host: rank for rank, server in enumerate(ordered)
        }

    plan = PrefillPlan(state, call, now)

    def cost(server: servers.Server) -> float:
        work = plan.get_work(server)
        rank = rank_by_host.get(server.host, 0)
        return (
            predict.predict_first_ms(state, server, call, work, now)
            + RANK_PENALTY_MS * rank
        )

    return [
        choice.Candidate(
            server=server,
            cost_ms=cost(server),
            age_ms=state.loads.age_ms,
            cached_tokens=plan.count_cached(server),
            others_ms=predict.predict_others_ms(state, server, now),
        )
        for server in candidates
    ]


def choose_least_loaded(
    state: states.State,
    candidates: list[servers.Server],
    now: clock.Instant,
) -> servers.Server:
    """Choose one of the least loaded servers of a plain service."""
    options = describe_plain_servers(state, candidates, now)
    return _choose(state, options)


def describe_plain_servers(
    state: states.State,
    candidates: list[servers.Server],
    now: clock.Instant,
) -> list[choice.Candidate[servers.Server]]:
    """Return what the choice of a plain server depends on, for each one.

    Their order is random, so that nodes do not all choose the same one of
    several with equal costs.
    """
    options = [
        choice.Candidate(
            server=server,
            cost_ms=FULL_LOAD_MS * _compute_plain_cost(server, now),
            age_ms=state.loads.age_ms,
            others_ms=FULL_LOAD_MS
            * server.other_requests
            / max(1, server.slots),
        )
        for server in candidates
    ]
    options.sort(key=lambda _: state.random.random())
    return options


def _choose(
    state: states.State, options: list[choice.Candidate[servers.Server]]
) -> servers.Server:
    nodes = active.count_nodes(state)
    return choice.choose(options, nodes, state.random).server


def _compute_plain_cost(server: servers.Server, now: clock.Instant) -> float:
    """Return the cost of a server of a plain service, in full loads.

    On a machine of half the pace a request takes longer by the time of one
    request, as behind one full load.
    """
    slowness = max(0.0, 100 / server.profile.get_pace(now) - 1)
    return (
        round(server.load + 2 * server.get_failure_ratio(now), 2)
        + round(server.get_lag_ms(now) / LAG_PER_FULL_LOAD_MS, 1)
        + round(slowness, 1)
    )


def _shared_head_id(call: calls.Call) -> str:
    """Return the id of the last part of a prompt that requests may share.

    The final part of a prompt belongs to one request only, so it is skipped
    unless it is the only part.
    """
    shared = call.parts[:-1] or call.parts
    return shared[-1].id
