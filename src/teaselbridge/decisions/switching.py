"""Moves requests from silent servers to others.

A sound server may pause in an answer while the others are full. An idempotent
request whose server sends no data is therefore sent to another server while
the first one works on. The attempt that sends data first goes on; if the newer
one is refused or fails before, the silent one does. The silent one is given up
at most `MAX_OVERLAP_MS` after the request was sent to the other server, and
sooner where ticks come late, as two servers must not work on one request for
long. Until it was sent there, the first one works on it alone.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import dispatch
from teaselbridge.decisions import effects
from teaselbridge.decisions import ends
from teaselbridge.decisions import events
from teaselbridge.decisions.forwarding import links
from teaselbridge.decisions.forwarding import origin
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions import silence

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Two servers work on one request for no longer, late ticks included. The
# platform allows 400 ms, of which the way to the servers takes a part.
MAX_TWICE_MS = 350
# How long a silent attempt is kept beside a newer one at most: a server that
# refuses a request has done so by then.
MAX_OVERLAP_MS = 200
# Time after which another server is tried once more, doubled per refusal.
SWITCH_BACKOFF_MS = 150
MAX_SWITCH_BACKOFF_DOUBLINGS = 4

AttemptEvent: typing.TypeAlias = (
    events.HeadReceived
    | events.StreamEventsReceived
    | events.RelayEnded
    | events.AnswerReceived
    | events.AttemptFailed
)


def tick(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Try another server if that of a running request is silent."""
    if request.phase is not requests.Phase.RUNNING:
        return []
    if request.silent is not None:
        return _end_overlap(state, request, now)
    detail = _find_silence(state, request, now)
    if not detail:
        return []
    # A late first byte says nothing of how fast prompts are read.
    request.is_only_prefill = False
    route = request.call.route
    if not route.idempotent:
        return links.probe_pool(state, route.pool, now)
    if request.due_at > now.mono:
        return []
    fault = calls.Fault(
        calls.FaultKind.SILENT, calls.RunStatus.UNKNOWN, detail
    )
    out = _try_elsewhere(state, request, fault, now)
    if request.silent is not None and request.silent.host:
        out += links.probe_pool(state, route.pool, now)
    return out


def handle_attempt_sent(
    state: states.State, event: events.AttemptSent, now: clock.Instant
) -> list[effects.Effect]:
    """Begin the time for which two servers may work on a request."""
    request = state.requests.get(event.handle)
    if (
        request is None
        or request.silent is None
        or request.attempt != event.attempt
    ):
        return []
    request.sent_at = now.mono
    overlap_ms = _get_overlap_ms(state)
    if overlap_ms:
        return [effects.Wake(overlap_ms)]
    return _end_overlap(state, request, now)


def end_overlaps(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    """Give up the silent attempts whose time has passed."""
    out: list[effects.Effect] = []
    for request in list(state.requests.values()):
        if request.silent is not None:
            out += _end_overlap(state, request, now)
    return out


def settle(
    state: states.State,
    request: requests.Request,
    event: AttemptEvent,
    now: clock.Instant,
) -> tuple[bool, list[effects.Effect]]:
    """Choose between two attempts of a request by an event of one of them.

    The attempt that goes on is the current one afterwards.

    :return: whether the event is still to be handled, and effects.
    """
    silent = request.silent
    if silent is None:
        return True, []
    fault = _find_fault(request, event)
    is_late = event.attempt == silent.attempt
    if fault is not None:
        if is_late:
            request.swap_attempts()
        return False, _end_failed(state, request, event, fault, now)
    if is_late:
        request.swap_attempts()
        return True, _stop_newer(state, request)
    if isinstance(event, events.HeadReceived) and request.streaming:
        # An event may not follow.
        return True, []
    return True, _stop_silent(state, request, now)


def _get_overlap_ms(state: states.State) -> int:
    """Return how long a silent attempt is kept beside a newer one.

    Its end may come as late as ticks did.
    """
    left_ms = MAX_TWICE_MS - state.longest_tick_gap_ms
    return max(0, min(MAX_OVERLAP_MS, left_ms))


def _end_overlap(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Give up the silent attempt of a request if its time has passed."""
    if request.sent_at is None or now.mono - request.sent_at < _get_overlap_ms(
        state
    ):
        return []
    return _give_up_silent(state, request, now)


def _find_silence(
    state: states.State, request: requests.Request, now: clock.Instant
) -> str:
    """Return why the server of a request may be lost, empty if it is not."""
    if request.helper:
        return origin.find_silence(state, request)
    silence_ms = silence.update_overdue(state, request, now)
    return f'no data within {silence_ms} ms' if silence_ms else ''


def _try_elsewhere(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Start a second attempt, if all that it needs is there."""
    route = request.call.route
    if (
        request.possible_runs + 1 >= route.attempts
        or not relays.can_retry(state, request, fault, now, spend_budget=False)
        or relay_checks.check_waiting_request(state, request, now) is not None
    ):
        return []
    server = state.servers.get(request.host)
    if server is not None and not server.leaving:
        request.failed_version = server.version
    if dispatch.needs_other_node(state, request):
        helper = dispatch.choose_helper(state, request)
        if helper is None:
            return []
        request.keep_silent_attempt()
        out = origin.forward(state, request, helper, now)
    else:
        server = dispatch.choose_server(state, request, now)
        if server is None or server.host in request.tried:
            return []
        request.keep_silent_attempt()
        out = dispatch.start_attempt(state, request, server, now)
    state.budgets.try_spend(route)
    return [effects.Count(effects.Counter.RETRIES, fault.kind.value), *out]


def _find_fault(
    request: requests.Request, event: AttemptEvent
) -> calls.Fault | None:
    """Return why an attempt cannot go on, none where it can."""
    match event:
        case events.AttemptFailed():
            return event.fault
        case events.AnswerReceived():
            status = event.answer.status
            if status < 500 and not request.streaming:
                return None
            return calls.Fault(
                calls.FaultKind.ERROR,
                calls.RunStatus.UNKNOWN,
                f'status {status}',
            )
        case events.StreamEventsReceived():
            return requests.check_event_order(request, event)
        case events.RelayEnded():
            return requests.check_stream_end(request, event)
    return None


def _end_failed(
    state: states.State,
    request: requests.Request,
    event: AttemptEvent,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    """End the current attempt, which failed; the kept one goes on."""
    out: list[effects.Effect] = []
    if isinstance(event, events.StreamEventsReceived):
        out.append(effects.CancelAttempt(request.handle, request.attempt))
    out += relays.record_server_fault(state, request, fault, now)
    if fault.ran is calls.RunStatus.NOT_RUN:
        if request.host in request.tried:
            # It may have room later.
            request.tried.remove(request.host)
        doublings = min(MAX_SWITCH_BACKOFF_DOUBLINGS, request.refused_attempts)
        request.due_at = now.mono + (SWITCH_BACKOFF_MS << doublings)
        request.refused_attempts += 1
    requests.count_possible_run(request, fault)
    requests.detach_from_server(state, request)
    request.use_silent_attempt()
    return out


def _stop_newer(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    """Cancel the newer attempt, as the silent one has sent data.

    The silent one is the current one, and the newer one is kept.
    """
    request.swap_attempts()
    cancel = effects.CancelAttempt(request.handle, request.attempt)
    if request.sent_at is not None:
        request.possible_runs += 1
        request.may_have_run = True
        request.run_hosts.add(request.host)
    requests.detach_from_server(state, request)
    request.use_silent_attempt()
    return [cancel]


def _give_up_silent(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Cancel the silent attempt though the newer one has sent nothing."""
    request.has_stopped_run = True
    return _stop_silent(state, request, now)


def _stop_silent(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Cancel the silent attempt, as the newer one goes on."""
    request.swap_attempts()
    silence_ms = now.mono - request.progressed_at
    fault = calls.Fault(
        calls.FaultKind.SILENT,
        calls.RunStatus.UNKNOWN,
        f'no data within {silence_ms} ms',
    )
    ends.note_cancellation(request, fault, now)
    out: list[effects.Effect] = [
        effects.CancelAttempt(request.handle, request.attempt),
        *relays.record_server_fault(state, request, fault, now),
    ]
    requests.count_possible_run(request, fault)
    requests.detach_from_server(state, request)
    request.use_silent_attempt()
    return out
