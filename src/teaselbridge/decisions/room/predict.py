"""Predictions from what is known about backend servers."""

from __future__ import annotations

import typing

from teaselbridge.decisions.room import memory

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import prefill
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# Delay of the first token per running request, which shares the engine's
# decoding steps.
RUNNING_PENALTY_MS = 1.2
# Penalty for a failing server, in milliseconds at a failure rate of 1.
FAILURE_PENALTY_MS = 4_000.0


def predict_first_ms(
    state: states.State,
    server: servers.Server,
    call: calls.Call,
    work: prefill.PrefillWork,
    now: clock.Instant,
) -> float:
    """Predict the milliseconds until the first token of a request.

    :param work: what the server has to do for its prompt.
    """
    usual = state.speeds.get_usual(state, call.route.pool)
    backlog = server.prefill + server.other_prefill_tokens
    running = server.inflight + server.other_requests
    known = server.profile
    busy_ms = (
        work.uncached_tokens + backlog
    ) / usual + RUNNING_PENALTY_MS * running
    busy_ms = known.stretch(busy_ms / known.get_speed_factor(usual), now)
    return (
        busy_ms
        + work.copy_ms
        + FAILURE_PENALTY_MS * server.get_failure_ratio(now)
        + server.get_lag_ms(now)
    )


def predict_others_ms(
    state: states.State, server: servers.Server, now: clock.Instant
) -> float:
    """Predict the part of that time which other nodes' requests cause."""
    usual = state.prefill_speeds.get_tokens_per_ms(server.row.pool)
    known = server.profile
    usual_ms = (
        server.other_prefill_tokens / usual
        + RUNNING_PENALTY_MS * server.other_requests
    )
    return known.stretch(usual_ms / known.get_speed_factor(usual), now)


def predict_backlog_ms(
    state: states.State, server: servers.Server, now: clock.Instant
) -> float:
    """Predict the milliseconds until a server has read all prompts."""
    usual = state.speeds.get_usual(state, server.row.pool)
    backlog = server.prefill + server.other_prefill_tokens
    known = server.profile
    usual_ms = backlog / usual / known.get_speed_factor(usual)
    return known.stretch(usual_ms, now)


def fits(
    state: states.State,
    server: servers.Server,
    call: calls.Call,
    now: clock.Instant,
) -> bool:
    """Return whether the memory of a server has room for a request.

    A request that no server could ever hold is left to the server. So is any
    request to an idle one.
    """
    pool = state.index.pool(call.route.pool)
    if pool is None or pool.engine is None:
        return True
    held = server.profile.tokens + server.profile.other_tokens
    most = pool.engine.cache_tokens
    needed = call.tokens_in + memory.expect_output(state, call)
    if not held or held + needed <= most or needed > most:
        return True
    cached = memory.count_cached(state, server, call, now)
    return held + needed - cached <= most
