"""Choice of a model engine by when it would give the first token.

Load pattern: long prompts with shared heads, many of them cold, and more
prompt tokens a second than one engine reads. An engine reads prompts one
after the other, so a request waits for all unread tokens that were sent
there before it, by any node. What the engine has read already costs
nothing, so the nodes agree by rendezvous hashing where a cold head goes and
tell each other what they sent. A head whose engine has a backlog gets a
second home as soon as reading it anew is quicker than to wait.
"""

from __future__ import annotations

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
READ_LEAST = 5.0
READ_MOST = 400.0
# Advantage of each earlier place in the rendezvous order: nodes that do
# not know of each other's last requests still agree on idle engines.
RANK_MS = 12.0
# Slower first token for each running request, which shares the steps.
RUNNING_MS = 1.2
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
        if tokens < 2_000 or span_ms <= 0:
            return
        seen = min(READ_MOST, max(READ_LEAST, tokens / span_ms))
        known = self.of(pool)
        self._per_ms[pool] = known + SMOOTHING * (seen - known)


def unread(
    state: states.State,
    server: servers.Server,
    call: calls.Call,
    now: clock.Instant,
) -> int:
    """Count the prompt tokens that a server would have to read."""
    cached = 0
    for part in call.parts:
        if not state.loads.has(server.host, part.id, now):
            break
        cached += part.tokens
    return max(0, call.tokens_in - cached)


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

    def cost(server: servers.Server) -> float:
        tokens = unread(state, server, call, now)
        waiting = server.prefill + server.others_prefill
        running = server.inflight + server.others
        return (
            (tokens + waiting) / speed
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
