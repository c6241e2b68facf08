"""Checks of relayed requests: on arrival, and before each attempt."""

from __future__ import annotations

import math
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import freshness
from teaselbridge.decisions.limits import sending
from teaselbridge.decisions import notices
from teaselbridge.decisions.sharing import rates
from teaselbridge.decisions import suspects
from teaselbridge.decisions import versions

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import requests
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# A retry with less time left than the goal time divided by this is useless
# to the caller.
MIN_TIME_GOAL_DIVISOR = 8
MIN_TIME_LEFT_MS = 20
# A request waits no longer than this fraction of its goal time for servers
# that all asked for no requests; a refused caller can return instead.
MAX_BACKOFF_WAIT_GOAL_DIVISOR = 8
# Retries of refused callers are spread over half a second, the minimum time
# until all nodes know of a lost server.
MIN_RETRY_AFTER_MS = 150
RETRY_AFTER_JITTER_MS = 350
REVOKED_DETAIL = 'the workspace key was revoked'
RATES_DETAIL = 'all servers limit the rate of requests'


def check(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Check whether a new request can be accepted.

    :return: the refusal, none where the request is accepted.
    """
    if call.deadline - now.mono < min_time_left_ms(call):
        return build_refusal(
            state,
            calls.Reason.CANNOT_FINISH_IN_TIME,
            'not enough time is left',
        )
    if state.poison.is_refused(call.fingerprint, now.wall):
        detail = 'backend servers crashed running the same body'
        return calls.Refusal(
            calls.Reason.POISON, calls.RunStatus.NOT_RUN, detail
        )
    refusal = suspects.check(state, call, now)
    if refusal is not None:
        return refusal
    refusal = None
    if not state.links.is_cut(call.route.pool):
        refusal = _check_rates_on_arrival(state, call, now)
    if refusal is not None:
        return refusal
    return None if call.origin else rates.check(state, call, now)


def check_waiting_request(
    state: states.State, request: requests.Request, now: clock.Instant
) -> calls.Refusal | None:
    """Check again whether a waiting request may be sent to a server.

    :return: the refusal, none where the request may be sent.
    """
    call = request.call
    if request.remaining_ms(now) < min_time_left_ms(call):
        return _build_waiting_refusal(
            state,
            request,
            calls.Reason.CANNOT_FINISH_IN_TIME,
            'no server had a free slot',
        )
    refusal = suspects.check(state, call, now)
    if refusal is not None:
        return _build_waiting_refusal(
            state,
            request,
            refusal.reason,
            refusal.detail,
            refusal.retry_after_ms,
        )
    staying = state.servers.staying(call.route.pool)
    allowed = versions.filter_by_version(state, request, staying)
    if _is_hopeless(state, request, staying, allowed):
        return _build_waiting_refusal(
            state,
            request,
            calls.Reason.NO_SERVER,
            'no server is left that may serve the request',
        )
    refusal = _check_rates(state, request, allowed, now)
    if refusal is not None:
        return refusal
    backoff_ms = notices.get_min_backoff_ms(allowed, now)
    max_wait_ms = call.route.goal_ms // MAX_BACKOFF_WAIT_GOAL_DIVISOR
    if backoff_ms > max_wait_ms and not request.streaming:
        return _build_waiting_refusal(
            state,
            request,
            calls.Reason.NO_SERVER,
            'all servers asked for no requests',
            backoff_ms,
        )
    if not call.credential:
        return None
    if not freshness.is_fresh(state, now):
        return _build_waiting_refusal(
            state,
            request,
            calls.Reason.KEYS_NOT_CONFIRMED,
            'workspace keys are not confirmed',
        )
    if is_key_revoked(state, call):
        return _build_waiting_refusal(
            state, request, calls.Reason.BAD_KEY, REVOKED_DETAIL
        )
    return None


def is_key_revoked(state: states.State, call: calls.Call) -> bool:
    """Return whether the key of a request is no longer its workspace's."""
    if not call.credential:
        return False
    workspace = state.index.find_workspace_by_key(call.credential)
    return workspace is None or workspace.name != call.key.workspace


def _check_rates_on_arrival(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Refuse a new request that waits too long behind those before it."""
    if state.limits.is_empty:
        return None
    staying = state.servers.staying(call.route.pool)
    ahead = state.queue.count_before(call)
    wait_ms = sending.predict_wait_ms(state, staying, ahead, now)
    if math.isinf(wait_ms) and not call.origin:
        # Another node has a share of the rates.
        return None
    if wait_ms <= _max_rate_wait_ms(call, now.mono, now):
        return None
    return build_refusal(
        state,
        calls.Reason.NO_SERVER,
        RATES_DETAIL,
        _get_return_ms(wait_ms),
    )


def _check_rates(
    state: states.State,
    request: requests.Request,
    allowed: list[servers.Server],
    now: clock.Instant,
) -> calls.Refusal | None:
    """Refuse the next request in turn if it can no longer start in time.

    :param allowed: servers that may serve it.
    """
    wait_ms = sending.predict_wait_ms(state, allowed, 0, now)
    if math.isinf(wait_ms) and not request.call.origin:
        return None
    arrived = now.mono if request.streaming else request.arrived
    if wait_ms <= max(0, _max_rate_wait_ms(request.call, arrived, now)):
        return None
    return _build_waiting_refusal(
        state,
        request,
        calls.Reason.NO_SERVER,
        RATES_DETAIL,
        _get_return_ms(wait_ms),
    )


def _max_rate_wait_ms(
    call: calls.Call, arrived: int, now: clock.Instant
) -> int:
    """Return how long a request may wait for the rates of its servers.

    A caller that is refused earlier can still be served within its goal time
    by another node.
    """
    left_ms = call.deadline - now.mono - min_time_left_ms(call)
    if not call.route.goal_ms:
        return left_ms
    return min(left_ms, arrived + call.route.goal_ms - now.mono)


def _get_return_ms(wait_ms: float) -> int:
    """Return after how long a caller may return that was refused by rate."""
    return MIN_RETRY_AFTER_MS if math.isinf(wait_ms) else round(wait_ms)


def _is_hopeless(
    state: states.State,
    request: requests.Request,
    staying: list[servers.Server],
    allowed: list[servers.Server],
) -> bool:
    """Return whether no server may serve a waiting request in time.

    A stream has time to wait for the first server of an empty pool.

    :param staying: servers of the pool that are not leaving.
    :param allowed: those of them that run a version that may serve it.
    """
    if allowed or request.streaming:
        return False
    if staying:
        return True
    return bool(state.store_view.rows) and not request.call.route.streaming


def _build_waiting_refusal(
    state: states.State,
    request: requests.Request,
    reason: calls.Reason,
    detail: str,
    min_wait_ms: int = MIN_RETRY_AFTER_MS,
) -> calls.Refusal:
    """Return the refusal of a waiting request.

    An earlier attempt may have run the request.

    :param min_wait_ms: least time after which the caller may return.
    """
    if request.may_have_run:
        return calls.Refusal(
            calls.Reason.SERVER_FAILED, calls.RunStatus.UNKNOWN, detail
        )
    if reason is calls.Reason.BAD_KEY:
        return calls.Refusal(reason, calls.RunStatus.NOT_RUN, detail)
    return build_refusal(state, reason, detail, min_wait_ms)


def min_time_left_ms(call: calls.Call) -> int:
    """Return the time left below which an attempt is useless."""
    return max(MIN_TIME_LEFT_MS, call.route.goal_ms // MIN_TIME_GOAL_DIVISOR)


def build_refusal(
    state: states.State,
    reason: calls.Reason,
    detail: str,
    min_wait_ms: int = MIN_RETRY_AFTER_MS,
) -> calls.Refusal:
    """Return the refusal of a request that no server ran.

    The time to a retry is jittered, so that callers do not return at once.

    :param min_wait_ms: least time after which the caller may return.
    """
    wait = min_wait_ms + state.random.randint(0, RETRY_AFTER_JITTER_MS)
    return calls.Refusal(reason, calls.RunStatus.NOT_RUN, detail, wait)
