"""Progress and failure of the attempts of relayed requests.

Every request of a caller has an id of its own, also when the caller repeats
it, so the route alone decides what may be retried: idempotent requests, and
streams that another server can continue. Any other request is retried only
if no server ran it.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import ends
from teaselbridge.decisions import events
from teaselbridge.decisions.forwarding import links
from teaselbridge.decisions.limits import room
from teaselbridge.decisions import moves
from teaselbridge.decisions import placement
from teaselbridge.decisions import poison
from teaselbridge.decisions import prefill
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import requests
from teaselbridge.decisions.room import memory
from teaselbridge.decisions.room import speeds
from teaselbridge.decisions import servers
from teaselbridge.decisions import silence
from teaselbridge.decisions import suspects
from teaselbridge.decisions import usage

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

# Number of times that a request may be retried after no server ran it.
MAX_REFUSED_ATTEMPTS = 4
# Linear backoff per refusal by a full server: a slot of a plain service
# becomes free after about 15 ms.
REFUSED_BACKOFF_MS = 15
# Time after which a stream is tried again that this node gave up.
STOPPED_RUN_BACKOFF_MS = 200
# Time to learn whether a server that broke off an answer has crashed, before
# the request is sent to another one.
CRASH_CHECK_MS = 60
# With fewer gaps between events the mean says little.
MIN_EVENT_GAPS = 3

# Faults that a lost link can cause as well as a failed server.
LINK_FAULTS = frozenset(
    {
        calls.FaultKind.CONNECT,
        calls.FaultKind.RESET,
        calls.FaultKind.SILENT,
        calls.FaultKind.CUT,
    }
)


def resolve_route(
    route: model.Route, workspace: model.Workspace | None, request: str
) -> model.Route:
    """Resolve the pool of a route by weight and its priority by workspace.

    :param request: id of the request; its hash selects the pool.
    :return: the route with that pool and priority.
    """
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    pool = route.pool
    total = sum(item.weight for item in route.shares)
    if total:
        point = placement.hash_text('pool', request) % total
        for item in route.shares:
            point -= item.weight
            if point < 0:
                pool = item.pool
                break
    if pool == route.pool and priority == route.priority:
        return route
    return dataclasses.replace(route, pool=pool, priority=priority)


def start_attempt(
    state: states.State,
    request: requests.Request,
    server: servers.Server,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Start an attempt at a server."""
    call = request.call
    reading = prefill.PrefillPlan(state, call, now).get_work(server)
    unread = reading.uncached_tokens
    request.uncached_tokens = unread
    request.is_only_prefill = not (
        server.prefill or server.other_prefill_tokens
    )
    pool = state.index.pool(call.route.pool)
    is_engine = pool is not None and pool.engine is not None
    if is_engine:
        memory.hold(state, request, server, reading)
    request.pace = server.profile.get_pace(now)
    server.prefill += unread
    state.loads.record_reading(call.route.pool, unread, call.tokens_in, now)
    for part in call.parts:
        state.loads.record_part(server.host, part.id, now)
    request.expected_first_byte_ms = silence.expected(
        state, request, server, now
    )
    request.silence_timeout_ms = silence.get_first_byte_timeout_ms(request)
    usual = state.speeds.get_usual(state, call.route.pool)
    load = server.inflight + server.other_requests
    backlog = server.prefill + server.other_prefill_tokens
    detail = (
        f'attempt {request.attempt} at {server.row.instance}'
        f' {server.version}, {load} in flight, {backlog} tokens to prefill,'
        f' {unread} of it; failure rate {server.get_failure_ratio(now):.2f};'
        f' {server.profile.describe(usual, now)}'
    )
    out: list[effects.Effect] = []
    if active.count_nodes(state) > 1:
        age_ms = round(state.loads.age_ms)
        detail += f', load of other nodes {age_ms} ms old'
        out.append(
            effects.ObserveLatency(
                effects.Span.LOAD_AGE, call.route.name, age_ms
            )
        )
    source = ''
    if reading.source is not None:
        source = reading.source.row.address
        detail += f', {reading.copied_tokens} tokens copied from {source}'
    return [
        *out,
        requests.build_record(request, effects.Mark.ATTEMPT, detail),
        effects.RelayAttempt(
            call=call,
            attempt=request.attempt,
            address=server.row.address,
            host=server.host,
            instance=server.row.instance,
            remaining_ms=max(1, request.remaining_ms(now)),
            last_event=request.resume_after,
            urgency=min(9, call.route.priority) if is_engine else None,
            new_connection=request.is_at_most_once,
            source=source,
            reports_sending=request.silent is not None,
        ),
    ]


def finish_prefill(state: states.State, request: requests.Request) -> None:
    """Subtract a request's prompt from its server's prefill backlog."""
    server = state.servers.get(request.host)
    if server is not None:
        server.prefill = max(0, server.prefill - request.uncached_tokens)
    request.uncached_tokens = 0


def handle_head_received(
    state: states.State,
    request: requests.Request,
    event: events.HeadReceived,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the start of a stream."""
    silence.record_data(state, request, now)
    span = now.mono - request.started_at
    if request.is_only_prefill:
        speeds.record_answer(state, request, span, now)
    state.latency_estimator.first(request.call.route.name, span)
    finish_prefill(state, request)
    _count_started(state, request, now)
    request.progressed_at = now.mono
    request.first_token_at = now.mono
    request.event_count = 0
    request.first = False
    if request.streaming:
        return []
    request.streaming = True
    route = request.call.route.name
    predicted_ms = round(request.expected_first_byte_ms)
    return [
        _observe_latency(request, effects.Span.FIRST, now),
        effects.ObserveLatency(effects.Span.PREDICTED, route, predicted_ms),
        effects.ObserveLatency(effects.Span.OBSERVED, route, span),
        effects.SendHead(request.caller_handle, event.head),
    ]


def handle_stream_events_received(
    state: states.State,
    request: requests.Request,
    event: events.StreamEventsReceived,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Forward complete events of a stream in their order."""
    silence.record_data(state, request, now)
    request.progressed_at = now.mono
    request.event_count += event.count
    fault = requests.accept_events(request, event)
    if fault is not None:
        ends.note_cancellation(request, fault, now)
        return [
            *requests.cancel_attempt(state, request),
            *handle_attempt_failed(state, request, fault, None, now),
        ]
    out: list[effects.Effect] = []
    answered_ms = now.mono - request.first_token_at
    if state.parts.has_accused and answered_ms > suspects.CRASH_DELAY_MS:
        out += suspects.record_sound_answer(state, request.call, now)
    return [
        *out,
        effects.Count(
            effects.Counter.EVENTS, request.call.route.name, event.count
        ),
        effects.SendEvents(request.caller_handle, event.data),
    ]


def handle_stream_ended(
    state: states.State,
    request: requests.Request,
    event: events.RelayEnded,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the regular end of a stream.

    Versions are compared by the time between events: that to the first one
    depends on the queue and the cache of the server.
    """
    fault = requests.check_stream_end(request, event)
    if fault is not None:
        return handle_attempt_failed(state, request, fault, None, now)
    out = moves.record_request_outcome(
        state, request, now, failed=False, span=_mean_event_gap_ms(request)
    )
    server = state.servers.get(request.host)
    out += _record_server_success(state, request, now)
    if event.is_framed:
        out += suspects.record_sound_answer(state, request.call, now)
    elif server is not None and request.call.parts:
        answered_ms = now.mono - request.first_token_at
        out += poison.suspect_end(
            state, request.call, server, answered_ms, now
        )
    state.usual.record_output(request.call.route.name, request.event_count)
    out += report_answered(request, 'stream', now)
    out.append(effects.SendFinish(request.caller_handle, True))
    return out + requests.remove_request(state, request)


def answer(
    state: states.State,
    request: requests.Request,
    received: calls.Answer,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle a complete answer; a server error may be retried."""
    silence.record_data(state, request, now)
    _count_started(state, request, now)
    # Nothing but events may follow the start of a stream.
    if received.status >= 500 or request.streaming:
        fault = calls.Fault(
            calls.FaultKind.ERROR,
            calls.RunStatus.UNKNOWN,
            f'status {received.status}',
        )
        return handle_attempt_failed(state, request, fault, received, now)
    span = now.mono - request.started_at
    state.latency_estimator.answer(request.call.route.name, span)
    out = moves.record_request_outcome(
        state, request, now, failed=False, span=span
    )
    out += _record_server_success(state, request, now)
    if received.is_success:
        out += suspects.record_sound_answer(state, request.call, now)
    return out + _deliver_answer(state, request, received, now)


def handle_attempt_failed(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    answered: calls.Answer | None,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle a failed attempt: retry it if allowed, else tell the caller.

    :param answered: the server's own answer, none where it sent none.
    """
    out = record_server_fault(state, request, fault, now)
    finish_prefill(state, request)
    requests.detach_from_server(state, request)
    requests.count_possible_run(request, fault)
    if can_retry(state, request, fault, now):
        out.append(effects.Count(effects.Counter.RETRIES, fault.kind.value))
        return out + _schedule_retry(state, request, fault, now)
    if retry_later(state, request, fault, now):
        return out
    if answered is not None and not request.streaming:
        return out + _deliver_answer(state, request, answered, now)
    cause = ends.get_fault_cause(fault)
    return out + give_up(state, request, cause, fault.detail, now)


def give_up(
    state: states.State,
    request: requests.Request,
    cause: ends.Cause,
    detail: str,
    now: clock.Instant,
    not_run: calls.Refusal | None = None,
) -> list[effects.Effect]:
    """Refuse a request, or abort its stream if that has begun.

    :param cause: who ends it.
    :param not_run: refusal where no server ran it, none for that of a pool
        without a server.
    """
    if request.streaming:
        return requests.break_off(state, request, cause, detail, now)
    if request.may_have_run or request.phase is requests.Phase.RUNNING:
        refusal = calls.Refusal(
            calls.Reason.SERVER_FAILED, calls.RunStatus.UNKNOWN, detail
        )
    else:
        refusal = not_run or relay_checks.build_refusal(
            state, calls.Reason.NO_SERVER, detail
        )
    return requests.refuse(state, request, refusal, now, cause)


def tick(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Enforce the deadline and the timeouts of a request."""
    if request.remaining_ms(now) <= 0:
        return _handle_deadline(state, request, now)
    if request.phase is requests.Phase.BACKOFF:
        _end_backoff(state, request, now)
        return []
    if request.phase is requests.Phase.QUEUED:
        if request.remaining_ms(now) < relay_checks.min_time_left_ms(
            request.call
        ):
            detail = 'no server had a free slot in time'
            return give_up(state, request, ends.Cause.NODE, detail, now)
    return []


def _end_backoff(
    state: states.State, request: requests.Request, now: clock.Instant
) -> None:
    """Queue a request whose next attempt is due and may be made."""
    if request.due_at > now.mono:
        return
    if request.needs_budget:
        if not state.budgets.try_spend(request.call.route):
            return
        request.needs_budget = False
    requests.enqueue(state, request)


def _handle_deadline(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    running = request.phase is requests.Phase.RUNNING
    detail = 'the deadline has passed'
    if request.streaming or not (running or request.may_have_run):
        return give_up(state, request, ends.Cause.DEADLINE, detail, now)
    refusal = calls.Refusal(
        calls.Reason.TIMEOUT, calls.RunStatus.UNKNOWN, detail
    )
    return requests.refuse(state, request, refusal, now)


def retry_later(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> bool:
    """Keep a stream that may not be retried now, but until its deadline.

    Only one that this node itself gave up is kept: its server would have
    ended it. Callers can continue any other one themselves.

    :return: whether it is kept.
    """
    if (
        not (request.streaming and request.has_stopped_run)
        or not _may_be_sent(state, request, now)
        or (
            fault.ran is not calls.RunStatus.NOT_RUN
            and request.possible_runs > request.call.route.attempts
        )
    ):
        return False
    postpone(request, now)
    request.needs_budget = True
    return True


def postpone(request: requests.Request, now: clock.Instant) -> None:
    """Let a stream that this node gave up wait for its next attempt."""
    request.phase = requests.Phase.BACKOFF
    request.due_at = now.mono + STOPPED_RUN_BACKOFF_MS


def _may_be_sent(
    state: states.State, request: requests.Request, now: clock.Instant
) -> bool:
    """Return whether a request may be sent once more at all."""
    call = request.call
    return (
        request.remaining_ms(now) >= relay_checks.min_time_left_ms(call)
        and request.attached
        and not request.has_unnumbered
        and not state.poison.is_refused(call.fingerprint, now.wall)
        and suspects.check(state, call, now) is None
    )


def can_retry(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
    *,
    spend_budget: bool = True,
) -> bool:
    """Return whether a request may be retried now, after a fault.

    :param spend_budget: whether to take the retry from the budget.
    """
    call = request.call
    if not _may_be_sent(state, request, now):
        return False
    if fault.ran is calls.RunStatus.NOT_RUN:
        if request.refused_attempts >= MAX_REFUSED_ATTEMPTS:
            return False
    elif not call.route.idempotent or request.has_used_attempts:
        return False
    if fault.kind is calls.FaultKind.CONNECT:
        return True
    if not spend_budget:
        return state.budgets.has_retry(call.route)
    return state.budgets.try_spend(call.route)


def _schedule_retry(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    if fault.ran is calls.RunStatus.NOT_RUN:
        request.refused_attempts += 1
    wait = 0
    if fault.kind is calls.FaultKind.BUSY:
        wait = REFUSED_BACKOFF_MS * request.refused_attempts
    elif fault.answered_ms is not None and request.call.parts:
        wait = CRASH_CHECK_MS
    request.due_at = now.mono + wait
    if not wait:
        requests.enqueue(state, request)
    return []


def record_server_fault(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Record a fault of the server of a request's current attempt."""
    out = requests.report_fault(request, fault)
    server = state.servers.get(request.host)
    if server is None:
        return out
    if fault.kind is calls.FaultKind.BUSY:
        room.record_refusal(state, server, now)
        return out
    if fault.kind is calls.FaultKind.MISDIRECTED:
        out += servers.mark_leaving(state, server.host, 'address reused', now)
        return out
    if fault.kind in LINK_FAULTS:
        out += links.probe_pool(state, server.row.pool, now)
    server.record_outcome(failed=True, now=now)
    if not server.leaving:
        request.failed_version = server.version
    if not server.leaving and fault.kind is not calls.FaultKind.CONNECT:
        out += moves.record_request_outcome(
            state, request, now, failed=True, span=0
        )
    if fault.kind is calls.FaultKind.SILENT:
        out.append(effects.DropConnections(server.row.address))
    if fault.kind in (calls.FaultKind.RESET, calls.FaultKind.CUT):
        out += poison.suspect(state, request.call, server, fault, now)
    if fault.kind is calls.FaultKind.ERROR:
        return out
    return out + servers.record_failure(server, fault.kind.value, now)


def _record_server_success(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    server = state.servers.get(request.host)
    finish_prefill(state, request)
    requests.detach_from_server(state, request)
    if server is None:
        return []
    server.record_outcome(failed=False, now=now)
    return servers.record_success(server)


def _count_started(
    state: states.State, request: requests.Request, now: clock.Instant
) -> None:
    """Count a request for usage once, when the first server ran it.

    A plain service runs a request from the start of the attempt, an engine
    from its first token.
    """
    if request.began:
        return
    request.began = True
    moment = now
    if not request.call.route.streaming:
        moment = now.plus(request.started_at - now.mono)
    usage.count_request(state, request.call.key.workspace, moment)


def _deliver_answer(
    state: states.State,
    request: requests.Request,
    received: calls.Answer,
    now: clock.Instant,
) -> list[effects.Effect]:
    out = report_answered(request, f'status {received.status}', now)
    out.append(effects.SendAnswer(request.caller_handle, received, False))
    return out + requests.remove_request(state, request)


def _mean_event_gap_ms(request: requests.Request) -> float:
    """Return the mean milliseconds between events of the last attempt.

    :return: 0 where too few events came.
    """
    gaps = request.event_count - 1
    if gaps < MIN_EVENT_GAPS:
        return 0.0
    return (request.progressed_at - request.first_token_at) / gaps


def report_answered(
    request: requests.Request, detail: str, now: clock.Instant
) -> list[effects.Effect]:
    """Count and record the end of a request that was answered."""
    route = request.call.route.name
    span = now.mono - request.arrived
    gap_ms = _mean_event_gap_ms(request)
    if gap_ms:
        detail += f', {gap_ms:.1f} ms between events'
    return [
        effects.Count(effects.Counter.ANSWERED, route),
        _observe_latency(request, effects.Span.WHOLE, now),
        requests.build_record(
            request,
            effects.Mark.ANSWERED,
            f'{detail}, {request.attempt_count} attempts, {span} ms',
        ),
    ]


def _observe_latency(
    request: requests.Request, span: effects.Span, now: clock.Instant
) -> effects.Effect:
    route = request.call.route.name
    return effects.ObserveLatency(span, route, now.mono - request.arrived)
