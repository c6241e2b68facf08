"""Choice of a model engine by when it would give the first token.

Load pattern: long prompts with shared heads, many of them cold, and more
prompt tokens a second than one engine reads. An engine reads prompts one
after the other, so a request waits for all unread tokens that were sent
there before it, by any node. What the engine has read already costs
nothing, so the nodes agree by rendezvous hashing where a cold head goes and
tell each other what they sent. A head whose engine has a backlog gets a
second home as soon as that is quicker than to wait: the second one copies what
the first has cached, where the engines can, and else reads it anew.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import placement

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# Tokens that an engine reads in a millisecond, until it was measured.
READ_PER_MS = 40.0
SMOOTHING = 0.05
# The first token's own step, and the way there and back.
FIRST_STEP_MS = 25
# Shorter prompts tell more of that than of the reading.
LEARN_TOKENS = 4_000
READ_LEAST = 5.0
READ_MOST = 400.0
# Advantage of each earlier place in the rendezvous order: nodes that do
# not know of each other's last requests still agree on idle engines.
RANK_MS = 12.0
# Slower first token for each running request, which shares the steps.
RUNNING_MS = 1.2
# Fewer cached tokens are read sooner than copied.
COPY_LEAST = 1_000
# What a copy takes besides its bytes, and a weight for the network's load.
COPY_MS = 120.0
# A first byte that came late says that its server is slow, for a while.
LAG_SMOOTHING = 0.3
LAG_HALF_MS = 3_000
LAG_MOST_MS = 3_000
# Lag that weighs like a full server, for plain services.
LAG_LOAD_MS = 200
# Penalty for a server that fails, in milliseconds at a failure rate of 1.
FAILING_MS = 4_000.0


class Speed:
    """How fast engines of a pool read, as answers show."""

    def __init__(self) -> None:
        self._per_ms: dict[str, float] = {}

    def of(self, pool: str) -> float:
        """Give the tokens that an engine reads in a millisecond."""
        return self._per_ms.get(pool, READ_PER_MS)

    def learn(self, pool: str, tokens: int, span_ms: int) -> None:
        """Take in that tokens were read in a span."""
        if tokens < LEARN_TOKENS:
            return
        reading_ms = max(1, span_ms - FIRST_STEP_MS)
        seen = min(READ_MOST, max(READ_LEAST, tokens / reading_ms))
        known = self.of(pool)
        self._per_ms[pool] = known + SMOOTHING * (seen - known)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """How a server comes to know a prompt.

    :param unread: tokens that it reads.
    :param copied: tokens that it copies from another server.
    :param source: that other server, none where nothing is copied.
    """

    unread: int
    copied: int = 0
    source: servers.Server | None = None


def cached(
    state: states.State,
    server: servers.Server,
    call: calls.Call,
    now: clock.Instant,
) -> int:
    """Count the leading prompt tokens that a server has read already."""
    tokens = 0
    for part in call.parts:
        if not state.loads.has(server.host, part.id, now):
            break
        tokens += part.tokens
    return min(tokens, call.tokens_in)


class Plan:
    """Ways in which servers can come to know one prompt.

    :param state: what the node knows.
    :param call: the request.
    :param now: the present moment.
    """

    def __init__(
        self, state: states.State, call: calls.Call, now: clock.Instant
    ) -> None:
        self._state = state
        self._call = call
        self._now = now
        self._cached: dict[str, int] = {}
        self._sources: dict[str, servers.Server] = {}
        pool = state.index.pool(call.route.pool)
        self._copied_per_ms = 0.0
        if pool is not None and pool.engine is not None:
            self._copied_per_ms = pool.engine.copied_per_ms
        if not self._copied_per_ms:
            return
        for server in state.servers.in_pool(call.route.pool):
            best = self._sources.get(server.row.version)
            if best is None or self._known(server) > self._known(best):
                self._sources[server.row.version] = server

    def of(self, server: servers.Server) -> Reading:
        """Choose the quicker way for a server.

        Another version of the model makes other caches of the same text.
        """
        own = self._known(server)
        unread = self._call.tokens_in - own
        source = self._sources.get(server.row.version)
        copied = 0 if source is None else self._known(source) - own
        if copied < COPY_LEAST:
            return Reading(unread=unread)
        return Reading(unread=unread - copied, copied=copied, source=source)

    def copy_ms(self, reading: Reading) -> float:
        """Predict how long a server takes to copy."""
        if not reading.copied:
            return 0.0
        return COPY_MS + reading.copied / self._copied_per_ms

    def _known(self, server: servers.Server) -> int:
        known = self._cached.get(server.host)
        if known is None:
            known = cached(self._state, server, self._call, self._now)
            self._cached[server.host] = known
        return known


def lag(server: servers.Server, now: clock.Instant) -> float:
    """Give how late a server's first bytes are, fading with time."""
    age = now.mono - server.lag_at
    return float(server.lag_ms * 0.5 ** (age / LAG_HALF_MS))


def see_lag(
    server: servers.Server, late_ms: float, now: clock.Instant
) -> None:
    """Take in how much later than predicted a first byte came.

    :param late_ms: milliseconds, below zero where it came sooner.
    """
    known = lag(server, now)
    seen = min(LAG_MOST_MS, max(0.0, late_ms))
    server.lag_ms = known + LAG_SMOOTHING * (seen - known)
    server.lag_at = now.mono


def choose(
    state: states.State,
    candidates: list[servers.Server],
    call: calls.Call,
    now: clock.Instant,
) -> servers.Server:
    """Choose the server with the earliest first token.

    :param candidates: servers that may take the request; not empty.
    """
    speed = state.speed.of(call.route.pool)
    ranks: dict[str, int] = {}
    if call.parts:
        prefix = placement.hash_of(_head_of(call))
        ordered = placement.order(candidates, prefix)
        ranks = {server.host: rank for rank, server in enumerate(ordered)}

    plan = Plan(state, call, now)

    def cost(server: servers.Server) -> float:
        reading = plan.of(server)
        waiting = server.prefill + server.others_prefill
        running = server.inflight + server.others
        return (
            (reading.unread + waiting) / speed
            + plan.copy_ms(reading)
            + RANK_MS * ranks.get(server.host, 0)
            + RUNNING_MS * running
            + FAILING_MS * server.failing
            + lag(server, now)
        )

    return min(candidates, key=cost)


def least_loaded(
    state: states.State,
    candidates: list[servers.Server],
    now: clock.Instant,
) -> servers.Server:
    """Choose the server of a plain service with the most room.

    Chance decides between equals, so that nodes do not all choose the same.
    """
    return min(
        candidates,
        key=lambda server: (
            round(server.load + 2 * server.failing, 2)
            + round(lag(server, now) / LAG_LOAD_MS, 1),
            state.random.random(),
        ),
    )


def _head_of(call: calls.Call) -> str:
    """Name what the longest shared part of a prompt stands for.

    The last part belongs to the request alone.
    """
    shared = call.parts[:-1] or call.parts
    return shared[-1].id
