"""Requests that this node forwards, as it reaches no server for them.

Another node, the helper, sends the request to a server and passes the answer
back. It counts the run: usage, evidence on versions and on crashes, rates of
servers. This node has checked the rate of the workspace and passes on the key,
which the helper checks again when it sends the request. A forwarded request
is not forwarded again.
"""

from __future__ import annotations

import collections
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import ends
from teaselbridge.decisions import events
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions import silence
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock
    from teaselbridge.decisions import state as states

MAX_HELPERS = 3


def forward(
    state: states.State,
    request: requests.Request,
    helper: messages.Member,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Forward a waiting request to another node."""
    state.queue.remove(request.handle)
    call = request.call
    request.phase = requests.Phase.RUNNING
    request.begin_attempt()
    request.host = ''
    request.helper = helper.name
    request.peers_tried.append(helper.name)
    request.started_at = now.mono
    request.progressed_at = now.mono
    request.event_count = 0
    request.first = True
    request.in_doubt = True
    detail = f'attempt {request.attempt} forwarded to {helper.name}'
    return [
        effects.Count(effects.Counter.FORWARDED, call.route.pool),
        requests.build_record(request, effects.Mark.FORWARDED, detail),
        effects.RelayAttempt(
            call=call,
            attempt=request.attempt,
            address=helper.forwarding,
            host=helper.name,
            instance='',
            remaining_ms=max(1, request.remaining_ms(now)),
            last_event=request.resume_after,
            urgency=None,
            new_connection=request.is_at_most_once,
            origin=state.options.me.name,
            is_counted=request.began,
            reports_sending=request.silent is not None,
        ),
    ]


def choose_helper(
    state: states.State,
    request: requests.Request,
    able: frozenset[str] | None = None,
) -> messages.Member | None:
    """Choose the node that gets a request, in this zone if there is one.

    Of two random ones it is that with fewer requests of this node.

    :param able: names of the nodes that can send it, none for all.
    :return: the node, none where no other one is known to reach a server.
    """
    candidates = [
        member
        for member in _list_able(state, request.call.route.pool)
        if member.name not in request.peers_tried
        and (able is None or member.name in able)
    ]
    names = active.list_names(state)
    zone = state.options.me.zone
    candidates = _prefer(candidates, lambda member: member.name in names)
    candidates = _prefer(candidates, lambda member: member.zone == zone)
    if not candidates:
        return None
    held = collections.Counter(
        item.helper
        for item in state.requests.values()
        if item.phase is requests.Phase.RUNNING
    )
    pair = state.random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda member: held[member.name])


def _list_able(state: states.State, pool: str) -> list[messages.Member]:
    """Return the nodes that take forwarded requests of a pool."""
    return [
        member
        for member in state.membership.alive
        if member.forwarding
        and member.status is messages.Status.ALIVE
        and not member.draining
        and pool not in member.unreachable
    ]


def _prefer(
    members: list[messages.Member],
    is_preferred: collections.abc.Callable[[messages.Member], bool],
) -> list[messages.Member]:
    """Return the preferred members, or all where there is none."""
    return [item for item in members if is_preferred(item)] or members


def handle_progress(
    state: states.State,
    request: requests.Request,
    event: events.HeadReceived
    | events.StreamEventsReceived
    | events.RelayEnded,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Pass on the progress of a stream that the helper relays."""
    request.progressed_at = now.mono
    match event:
        case events.HeadReceived():
            request.first = False
            if request.streaming:
                return []
            request.streaming = True
            return [effects.SendHead(request.caller_handle, event.head)]
        case events.StreamEventsReceived():
            return _handle_events(state, request, event, now)
        case events.RelayEnded():
            fault = requests.check_stream_end(request, event)
            if fault is not None:
                return handle_failed(state, request, fault, now)
            out = _report_answered(request, 'stream', now)
            out.append(effects.SendFinish(request.caller_handle, True))
            return out + requests.remove_request(state, request)


def handle_answer(
    state: states.State,
    request: requests.Request,
    answer: calls.Answer,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Pass on a whole answer, whatever its status: the helper has retried.

    A stream that has begun is broken off instead.
    """
    if request.streaming:
        fault = calls.Fault(
            calls.FaultKind.ERROR,
            calls.RunStatus.UNKNOWN,
            f'status {answer.status}',
        )
        return handle_failed(state, request, fault, now)
    out = _report_answered(request, f'status {answer.status}', now)
    out.append(effects.SendAnswer(request.caller_handle, answer, False))
    return out + requests.remove_request(state, request)


def handle_failed(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle a helper that refused the request, or was lost with it."""
    out = requests.report_fault(request, fault)
    is_stopped = request.call.route.idempotent and _is_stopping(state, request)
    if is_stopped and fault.ran is calls.RunStatus.UNKNOWN:
        request.has_stopped_run = True
    requests.detach_from_server(state, request)
    requests.count_possible_run(request, fault)
    if _can_retry(state, request, fault, now):
        requests.enqueue(state, request)
        return out
    if relays.retry_later(state, request, fault, now):
        return out
    return out + relays.give_up(
        state, request, ends.Cause.HELPER, fault.detail, now
    )


def _is_stopping(state: states.State, request: requests.Request) -> bool:
    """Return whether the helper of a request is about to stop.

    It then ends what its servers have not ended.
    """
    helper = state.membership.get_peer(request.helper)
    return helper is not None and helper.draining


def find_silence(state: states.State, request: requests.Request) -> str:
    """Return why a helper may be lost, empty if it is not.

    One that still passes on events is not, whatever other nodes say of it.
    """
    helper = state.membership.get_peer(request.helper)
    if helper is not None and helper.status is messages.Status.ALIVE:
        return ''
    silence_ms = state.heard_until - request.progressed_at
    if not request.first and silence_ms < silence.STREAM_GAP_TIMEOUT_MS:
        return ''
    return f'the helper is lost, no data within {silence_ms} ms'


def _handle_events(
    state: states.State,
    request: requests.Request,
    event: events.StreamEventsReceived,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Pass on stream events in their order."""
    request.event_count += event.count
    fault = requests.accept_events(request, event)
    if fault is not None:
        return _cancel(state, request, fault, now)
    return [
        effects.Count(
            effects.Counter.EVENTS, request.call.route.name, event.count
        ),
        effects.SendEvents(request.caller_handle, event.data),
    ]


def _cancel(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Give up on a helper that has not ended the request."""
    ends.note_cancellation(request, fault, now)
    cancel = effects.CancelAttempt(request.handle, request.attempt)
    return [cancel, *handle_failed(state, request, fault, now)]


def _can_retry(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> bool:
    call = request.call
    left_ms = request.remaining_ms(now)
    if left_ms < relay_checks.min_time_left_ms(call) or not request.attached:
        return False
    if fault.ran is calls.RunStatus.NOT_RUN:
        return len(request.peers_tried) < MAX_HELPERS
    if not call.route.idempotent or request.has_unnumbered:
        return False
    if request.has_used_attempts:
        return False
    return state.budgets.try_spend(call.route)


def _report_answered(
    request: requests.Request, detail: str, now: clock.Instant
) -> list[effects.Effect]:
    return relays.report_answered(
        request, f'{detail} by {request.helper}', now
    )
