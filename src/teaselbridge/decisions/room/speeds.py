"""Speeds of backend servers, learnt from the answers to long prompts.

The pace of a server at the time has to be known to tell its speed, so that
only servers that state their pace are told apart. All others have the usual
speed of their pool.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import prefill
from teaselbridge.decisions.room import profile as profiles

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import requests
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# A sample during which the pace changed by more percent is not used.
MAX_PACE_CHANGE = 15
# Weight of a server's speed in the usual one with each of its samples.
SMOOTHING = 0.02


class Speeds:
    """Usual speed of the servers of each pool, as a mean over servers."""

    def __init__(self) -> None:
        self._per_ms: dict[str, float] = {}

    def get_usual(self, state: states.State, pool: str) -> float:
        """Return the tokens that a server usually reads per millisecond.

        Where no speed of a server is known, it is that of the whole pool.
        """
        known = self._per_ms.get(pool)
        return known or state.prefill_speeds.get_tokens_per_ms(pool)

    def merge(self, server: servers.Server) -> None:
        """Update the usual speed with that of a server with a new sample."""
        known = server.profile
        if known.sample_count < profiles.MIN_SPEED_SAMPLES:
            return
        pool = server.row.pool
        usual = self._per_ms.get(pool, known.tokens_per_ms)
        usual += SMOOTHING * (known.tokens_per_ms - usual)
        self._per_ms[pool] = usual


def record_answer(
    state: states.State,
    request: requests.Request,
    span_ms: int,
    now: clock.Instant,
) -> None:
    """Record how long a server took that had nothing else to read.

    :param span_ms: milliseconds until the first token.
    """
    tokens = request.uncached_tokens
    state.prefill_speeds.record_sample(
        request.call.route.pool, tokens, span_ms
    )
    server = state.servers.get(request.host)
    if server is None or not server.profile.states_pace:
        return
    pace = server.profile.get_pace(now)
    seen = prefill.measure_speed(tokens, span_ms, pace)
    if seen is None or abs(pace - request.pace) > MAX_PACE_CHANGE:
        return
    server.profile.record_speed(seen, now)
    state.speeds.merge(server)


def merge_report(
    state: states.State, server: servers.Server, tokens_per_s: int
) -> None:
    """Merge the speed of a server that another node measured."""
    server.profile.merge_speed(prefill.limit_speed(tokens_per_s / 1_000))
    state.speeds.merge(server)
