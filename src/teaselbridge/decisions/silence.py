"""Detection of unresponsive backend servers, and the lag of first bytes.

A server that is partitioned or frozen sends no data at all. A full server
delays some requests while it still serves others, so it gets longer
timeouts. The delay of each first byte beyond the prediction is recorded as
the lag of the server, which the choice of a server takes into account.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import prefill
from teaselbridge.decisions import requests
from teaselbridge.decisions.room import predict

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# First-byte timeout, as a multiple of the predicted time.
FIRST_BYTE_TIMEOUT_FACTOR = 4.0
# Minimum first-byte timeout of requests to model engines.
MIN_ENGINE_TIMEOUT_MS = 150
# Minimum first-byte timeout, as a fraction of the latency goal of the route.
MIN_TIMEOUT_GOAL_FRACTION = 0.5
# Multiplier of the timeout if the server answers other requests meanwhile.
BUSY_TIMEOUT_FACTOR = 4
# Timeout between two events of a stream, if the server sends no other data
# either. It is also how recent its last data must be for the longer one.
STREAM_GAP_TIMEOUT_MS = 600
# Timeout between two events of a stream, if the server still sends other
# data. It is shorter than the two seconds after which the first callers
# give up.
BUSY_STREAM_GAP_TIMEOUT_MS = 1_600
# Ticks that are further apart tell that this node stood still.
MAX_TICK_GAP_MS = 150
# Predictions are not more accurate than this, so less delay is not lag.
LAG_TOLERANCE_MS = 100
# Minimum first-byte timeout of requests to plain services.
MIN_SERVICE_TIMEOUT_MS = 20


def update_overdue(
    state: states.State, request: requests.Request, now: clock.Instant
) -> int:
    """Measure how long a request has made no progress.

    The lag of its server is recorded too.

    :return: milliseconds, 0 if its timeout has not passed or there is no
        other server to retry on.
    """
    if request.phase is not requests.Phase.RUNNING:
        return 0
    if _may_be_unsent(state, request):
        request.progressed_at = state.ticked_at
    _record_overdue_lag(state, request, now)
    # What came since may wait in the sockets of a node that stood still.
    waited_ms = state.heard_until - request.progressed_at
    allowed_ms = _first_byte_timeout_ms(state, request)
    if not request.first:
        allowed_ms = _stream_gap_timeout_ms(state, request)
    if waited_ms < allowed_ms or not _has_untried_server(state, request, now):
        return 0
    return waited_ms


def record_data(
    state: states.State, request: requests.Request, now: clock.Instant
) -> None:
    """Record data from the server of a request, and the first-byte lag."""
    server = state.servers.get(request.host)
    if server is None:
        return
    server.last_heard_at = now.mono
    if request.first:
        waited_ms = now.mono - request.started_at
        expected_ms = _expected_at_pace(request, server, now)
        prefill.record_lag(server, waited_ms - expected_ms, now)


def expected(
    state: states.State,
    request: requests.Request,
    server: servers.Server,
    now: clock.Instant,
) -> float:
    """Predict the milliseconds until the first byte from a server."""
    call = request.call
    if not call.parts:
        mean_ms = state.latency_estimator.mean_answer_ms(call.route.name)
        return server.profile.stretch(mean_ms, now)
    return predict.predict_backlog_ms(state, server, now)


def _expected_at_pace(
    request: requests.Request, server: servers.Server, now: clock.Instant
) -> float:
    """Return the predicted time, longer if the server has slowed since.

    The lag must not remember for seconds what the pace tells exactly.
    """
    pace = server.profile.get_pace(now)
    return request.expected_first_byte_ms * max(1.0, request.pace / pace)


def get_first_byte_timeout_ms(request: requests.Request) -> int:
    """Return the first-byte timeout of a request in milliseconds."""
    call = request.call
    least = MIN_ENGINE_TIMEOUT_MS if call.parts else MIN_SERVICE_TIMEOUT_MS
    least = max(least, round(MIN_TIMEOUT_GOAL_FRACTION * call.route.goal_ms))
    return max(
        least,
        round(FIRST_BYTE_TIMEOUT_FACTOR * request.expected_first_byte_ms),
    )


def _may_be_unsent(state: states.State, request: requests.Request) -> bool:
    """Return whether this node may have stood still before it sent a request.

    Its server could not answer meanwhile.
    """
    previous_tick_at = state.ticked_at - state.tick_gap_ms
    return (
        request.first
        and state.tick_gap_ms > MAX_TICK_GAP_MS
        and request.started_at >= previous_tick_at
    )


def _record_overdue_lag(
    state: states.State, request: requests.Request, now: clock.Instant
) -> None:
    """Raise the lag of a server while a first byte is overdue.

    The lag then rises before the byte arrives, as it would for a late byte.
    """
    server = state.servers.get(request.host)
    if server is None or not request.first:
        return
    expected_ms = _expected_at_pace(request, server, now)
    late = state.heard_until - request.progressed_at - expected_ms
    late = min(prefill.MAX_LAG_MS, late - LAG_TOLERANCE_MS)
    if late > server.get_lag_ms(now):
        server.lag_ms = late
        server.lag_measured_at = now.mono


def _first_byte_timeout_ms(
    state: states.State, request: requests.Request
) -> int:
    """Return the first-byte timeout in milliseconds.

    It is longer if the server sent data for other requests since this one
    started, since the server is then busy rather than unresponsive.
    """
    server = state.servers.get(request.host)
    if server is not None and server.last_heard_at > request.started_at:
        return BUSY_TIMEOUT_FACTOR * request.silence_timeout_ms
    return request.silence_timeout_ms


def _stream_gap_timeout_ms(
    state: states.State, request: requests.Request
) -> int:
    """Return the timeout between two events of a stream in milliseconds.

    It is longer if the server has sent any data recently, since only this
    stream is then delayed. A server that sends no data at all has failed or
    is partitioned.
    """
    server = state.servers.get(request.host)
    if (
        server is None
        or state.heard_until - server.last_heard_at < STREAM_GAP_TIMEOUT_MS
    ):
        return BUSY_STREAM_GAP_TIMEOUT_MS
    return STREAM_GAP_TIMEOUT_MS


def _has_untried_server(
    state: states.State, request: requests.Request, now: clock.Instant
) -> bool:
    """Return whether a server is usable on which it was not tried yet.

    Where no server is reached, another node may reach one.
    """
    if state.links.is_cut(request.call.route.pool):
        return not request.call.origin
    return any(
        server.host not in request.tried
        for server in state.servers.usable(request.call.route.pool, now)
    )
