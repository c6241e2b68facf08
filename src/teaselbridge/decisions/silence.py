"""Servers that say nothing, and how late their first bytes are.

A server that is cut off, frozen or mute says nothing; one that is full lets
some requests wait while it goes on with others. The first bytes of answers
are compared with what was predicted, for the choice of the next server.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import prefill
from teaselbridge.decisions import requests

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# Silence before the first byte: so many times what was predicted, and at
# least this part of the goal.
SILENT_FACTOR = 4.0
SILENT_LEAST_MS = 150
SILENT_GOAL = 0.5
# Times that limit at a server that answers others meanwhile.
BUSY_FACTOR = 4
# Pauses of a stream: at a server that sends nothing else either, and at
# one that does. Callers leave after two seconds or more.
GAP_SILENT_MS = 600
GAP_MOST_MS = 1_600
# Predictions are no better than this.
LAG_TOLERATED_MS = 100
# Least silence of plain services.
SHORT_LEAST_MS = 20


def overdue(
    state: states.State, request: requests.Request, now: clock.Instant
) -> int:
    """Tell how long a server has said nothing of a request, if too long.

    :return: milliseconds, 0 where it may still be silent or there is no
        other server to go to.
    """
    if request.phase is not requests.Phase.RUNNING:
        return 0
    _note_lag(state, request, now)
    waited = now.mono - request.progressed
    allowed = _first_limit(state, request)
    if not request.first:
        allowed = _gap_limit(state, request, now)
    if waited < allowed or not _has_other(state, request, now):
        return 0
    return waited


def heard(
    state: states.State, request: requests.Request, now: clock.Instant
) -> None:
    """Note a sign of life of a request's server, and how late it was."""
    server = state.servers.get(request.host)
    if server is None:
        return
    server.heard = now.mono
    if request.first:
        waited = now.mono - request.started
        prefill.see_lag(server, waited - request.expected_ms, now)


def expected(
    state: states.State, request: requests.Request, server: servers.Server
) -> float:
    """Predict the milliseconds until the first byte."""
    call = request.call
    if not call.parts:
        return state.pace.answer_ms(call.route.name)
    speed = state.speed.of(call.route.pool)
    return (server.prefill + server.others_prefill) / speed


def limit(request: requests.Request) -> int:
    """Give the silence after which a server is taken to be mute."""
    call = request.call
    least = SILENT_LEAST_MS if call.parts else SHORT_LEAST_MS
    least = max(least, round(SILENT_GOAL * call.route.goal_ms))
    return max(least, round(SILENT_FACTOR * request.expected_ms))


def _note_lag(
    state: states.State, request: requests.Request, now: clock.Instant
) -> None:
    """A first byte that is overdue says as much as one that came late."""
    server = state.servers.get(request.host)
    if server is None or not request.first:
        return
    late = now.mono - request.started - request.expected_ms
    late = min(prefill.LAG_MOST_MS, late - LAG_TOLERATED_MS)
    if late > prefill.lag(server, now):
        server.lag_ms = late
        server.lag_at = now.mono


def _first_limit(state: states.State, request: requests.Request) -> int:
    """Give the longest wait for the first byte.

    A server that answered others meanwhile is only busy with this one.
    """
    server = state.servers.get(request.host)
    if server is not None and server.heard > request.started:
        return BUSY_FACTOR * request.silent_ms
    return request.silent_ms


def _gap_limit(
    state: states.State, request: requests.Request, now: clock.Instant
) -> int:
    """Give the longest pause between two events of a stream.

    A server that still sends events of other streams only lets this one
    wait; one that sends nothing at all is gone or cut off.
    """
    server = state.servers.get(request.host)
    if server is None or now.mono - server.heard < GAP_SILENT_MS:
        return GAP_MOST_MS
    return GAP_SILENT_MS


def _has_other(
    state: states.State, request: requests.Request, now: clock.Instant
) -> bool:
    return any(
        server.host not in request.tried
        for server in state.servers.usable(request.call.route.pool, now)
    )
