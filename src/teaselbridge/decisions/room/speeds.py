"""Speeds of backend servers, learnt from the answers to long prompts.

The pace of a server at the time has to be known to tell its speed, so that
only servers that state their pace are told apart. All others have the usual
speed of their pool.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import prefill

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import requests
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# A sample during which the pace changed by more percent is not used.
MAX_PACE_CHANGE = 15


def record_answer(
    state: states.State,
    request: requests.Request,
    span_ms: int,
    now: clock.Instant,
) -> None:
    """Record how long a server took that had nothing else to read.

    :param span_ms: milliseconds until the first token.
    """
    pool = request.call.route.pool
    tokens = request.uncached_tokens
    server = state.servers.get(request.host)
    if server is None or not server.picture.states_pace:
        state.prefill_speeds.record_sample(pool, tokens, span_ms)
        return
    pace = server.picture.get_pace(now)
    seen = prefill.measure_speed(tokens, span_ms, pace)
    if seen is None or abs(pace - request.pace) > MAX_PACE_CHANGE:
        return
    usual = state.prefill_speeds.get_tokens_per_ms(pool)
    server.picture.record_speed(seen, usual, now)
    state.prefill_speeds.merge_sample(pool, seen)


def merge_report(
    state: states.State, server: servers.Server, tokens_per_s: int
) -> None:
    """Merge the speed of a server that another node measured."""
    seen = prefill.limit_speed(tokens_per_s / 1_000)
    pool = server.row.pool
    usual = state.prefill_speeds.get_tokens_per_ms(pool)
    server.picture.merge_speed(seen, usual)
    state.prefill_speeds.merge_sample(pool, seen)
