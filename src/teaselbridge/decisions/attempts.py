"""Progress and failure of attempts at backend servers."""

from __future__ import annotations

import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import completions
from teaselbridge.decisions import drain
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions.forwarding import origin
from teaselbridge.decisions import moves
from teaselbridge.decisions import orders
from teaselbridge.decisions import poison
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions import retry
from teaselbridge.decisions import servers
from teaselbridge.decisions import switching

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

RETRYABLE_STATUSES = frozenset({429, 500, 502, 503, 504})
RECLAIM_MARGIN_MS = 1_000
MIN_TOKEN_GAPS = 3
SERVER_FAULT_KINDS = frozenset(
    {
        calls.FaultKind.ERROR,
        calls.FaultKind.RESET,
        calls.FaultKind.SILENT,
        calls.FaultKind.CUT,
    }
)
_LEDGER_PHASES = (requests.Phase.STORING, requests.Phase.CLAIMING)


def token(
    state: states.State, event: events.TokenReceived, now: clock.Instant
) -> list[effects.Effect]:
    """Forward the next token; drop one of an abandoned attempt."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return [effects.Count(effects.Counter.TOKENS_DROPPED)]
    route = request.call.route.name
    span = now.mono - request.progressed_at
    request.progressed_at = now.mono
    state.latency_estimator.record_renewal(route, now.mono)
    if request.first:
        request.first = False
        request.first_token_at = now.mono
        state.latency_estimator.first(route, span)
    else:
        state.latency_estimator.between(route, span)
    index = len(request.tokens)
    request.tokens.append(event.text)
    out: list[effects.Effect] = [effects.Count(effects.Counter.TOKENS, route)]
    if request.attached:
        out.append(effects.SendToken(request.caller_handle, index, event.text))
    return out


def handle_stream_ended(
    state: states.State, event: events.StreamEnded, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the regular end of a stream."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    out = moves.record_request_outcome(
        state, request, now, failed=False, span=_mean_token_gap_ms(request)
    )
    out += _record_server_success(state, request)
    call = request.call
    state.latency_estimator.tokens(call.route.name, len(request.tokens))
    if request.attempt > 1 or call.resumed:
        recomputed = max(0, event.prompt_tokens - event.cached_tokens)
        counter = effects.Counter.TOKENS_RECOMPUTED
        out.append(effects.Count(counter, call.route.name, recomputed))
    return out + completions.finish(state, request, event)


def answer(
    state: states.State, event: events.AnswerReceived, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the complete answer of a plain service."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    is_current, settled = switching.settle(state, request, event, now)
    if not is_current:
        return settled
    if request.helper:
        return settled + origin.handle_answer(
            state, request, event.answer, now
        )
    if request.call.is_relayed:
        return settled + relays.answer(state, request, event.answer, now)
    status = event.answer.status
    if status in RETRYABLE_STATUSES and not request.is_at_most_once:
        fault = calls.Fault(
            calls.FaultKind.ERROR, calls.RunStatus.UNKNOWN, f'status {status}'
        )
        return _handle_failure(state, request, fault, event.answer, now)
    span = now.mono - request.started_at
    route = request.call.route.name
    state.latency_estimator.answer(route, span)
    state.latency_estimator.record_renewal(route, now.mono)
    out = moves.record_request_outcome(
        state, request, now, failed=status in RETRYABLE_STATUSES, span=span
    )
    out += _record_server_success(state, request)
    if request.is_at_most_once:
        return out + orders.store(state, request, event.answer, now)
    return out + _deliver_answer(state, request, event.answer)


def handle_attempt_failed(
    state: states.State, event: events.AttemptFailed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle an attempt that ended without an answer."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    is_current, settled = switching.settle(state, request, event, now)
    if not is_current:
        return settled
    if request.helper:
        return origin.handle_failed(state, request, event.fault, now)
    if request.call.is_relayed:
        return relays.handle_attempt_failed(
            state, request, event.fault, None, now
        )
    return _handle_failure(state, request, event.fault, None, now)


def handle_relay_progress(
    state: states.State,
    event: events.HeadReceived
    | events.StreamEventsReceived
    | events.RelayEnded,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the progress of a relayed stream."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    is_current, settled = switching.settle(state, request, event, now)
    if not is_current:
        return settled
    return settled + _handle_relay_progress(state, request, event, now)


def _handle_relay_progress(
    state: states.State,
    request: requests.Request,
    event: events.HeadReceived
    | events.StreamEventsReceived
    | events.RelayEnded,
    now: clock.Instant,
) -> list[effects.Effect]:
    if request.helper:
        return origin.handle_progress(state, request, event, now)
    match event:
        case events.HeadReceived():
            return relays.handle_head_received(state, request, event, now)
        case events.StreamEventsReceived():
            return relays.handle_stream_events_received(
                state, request, event, now
            )
        case events.RelayEnded():
            return relays.handle_stream_ended(state, request, event, now)


def tick(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Enforce the deadline, end backoffs and leave reclaimed servers."""
    if request.call.is_relayed:
        out = relays.tick(state, request, now)
        return out + switching.tick(state, request, now)
    if request.remaining_ms(now) <= 0:
        return _handle_deadline(state, request, now)
    if drain.is_abandoned(request, now):
        return requests.remove_request(state, request)
    if request.phase is requests.Phase.BACKOFF and request.due_at <= now.mono:
        requests.enqueue(state, request)
        return []
    if request.phase is requests.Phase.RUNNING and request.is_resumable:
        return _resume_elsewhere(state, request, now)
    return []


def _resume_elsewhere(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Resume on another server before the cloud reclaims this one."""
    server = state.servers.get(request.host)
    if server is None or not server.reclaimed_at:
        return []
    left = server.reclaimed_at - now.mono
    if left > RECLAIM_MARGIN_MS:
        return []
    if not _has_usable_server(state, request, now):
        return []
    out = requests.cancel_attempt(state, request)
    out.append(effects.Count(effects.Counter.RESUMED, 'reclaim'))
    return out + completions.resume(state, request)


def _has_usable_server(
    state: states.State, request: requests.Request, now: clock.Instant
) -> bool:
    pool = request.call.route.pool
    return bool(state.servers.usable(pool, now))


def _handle_failure(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    answered: calls.Answer | None,
    now: clock.Instant,
) -> list[effects.Effect]:
    out = _record_server_fault(state, request, fault, now)
    requests.detach_from_server(state, request)
    if request.has_all_tokens:
        return out + completions.finish_at_token_limit(state, request)
    if fault.ran is calls.RunStatus.NOT_RUN and request.attempt == 1:
        request.in_doubt = False
    if request.is_at_most_once and fault.ran is not calls.RunStatus.NOT_RUN:
        return out + _refuse_outcome_unknown(state, request, fault, now)
    if request.is_at_most_once:
        request.in_doubt = False
    if not _can_retry(state, request, fault, now):
        if answered is not None:
            return out + _deliver_answer(state, request, answered)
        return out + _refuse_after_failure(state, request, fault, now)
    wait = 0
    if request.attempt > 1:
        wait = retry.backoff(request.attempt, state.random)
    request.due_at = now.mono + wait
    out.append(effects.Count(effects.Counter.RETRIES, fault.kind.value))
    if request.tokens:
        out.append(effects.Count(effects.Counter.RESUMED, fault.kind.value))
    if not wait:
        requests.enqueue(state, request)
    return out


def _record_server_fault(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    out = requests.report_fault(request, fault)
    server = state.servers.get(request.host)
    if server is None:
        return out
    if fault.kind is calls.FaultKind.BUSY or _was_queued_at_server(
        request, fault, server
    ):
        server.other_requests = max(
            server.other_requests, server.slots - server.inflight + 1
        )
        return out
    if fault.kind is calls.FaultKind.SILENT:
        out.append(effects.DropConnections(server.row.address))
    if fault.kind in SERVER_FAULT_KINDS and not server.leaving:
        request.failed_version = server.version
        out += moves.record_request_outcome(
            state, request, now, failed=True, span=0.0
        )
    if fault.kind is calls.FaultKind.RESET:
        out += poison.record_crash(state, request.call, server, now)
    return out + servers.record_failure(server, fault.kind.value, now)


def _was_queued_at_server(
    request: requests.Request, fault: calls.Fault, server: servers.Server
) -> bool:
    """Return whether no first token came because the server was full.

    A full engine queues less urgent requests, which is not a fault.
    """
    silent = fault.kind is calls.FaultKind.SILENT
    return silent and request.first and server.load >= 1


def _can_retry(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> bool:
    if (
        fault.kind is calls.FaultKind.BUSY
        and fault.ran is calls.RunStatus.NOT_RUN
    ):
        return True
    if request.attempt >= retry.MAX_ATTEMPTS:
        return False
    if state.poison.is_refused(request.call.fingerprint, now.wall):
        return False
    service = state.latency_estimator.service(
        request.call, len(request.tokens)
    )
    if service > request.remaining_ms(now):
        return False
    server = state.servers.get(request.host)
    if server is None or server.leaving:
        return True
    if _was_queued_at_server(request, fault, server):
        return True
    return state.budgets.try_spend(request.call.route)


def _refuse_after_failure(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    reason = calls.Reason.SERVER_FAILED
    if state.poison.is_refused(request.call.fingerprint, now.wall):
        reason = calls.Reason.POISON
    retry_after = 0
    if reason is not calls.Reason.POISON:
        retry_after = requests.MIN_RETRY_AFTER_MS
    refusal = calls.Refusal(reason, request.ran, fault.detail, retry_after)
    return orders.refuse_and_close(state, request, refusal, now)


def _refuse_outcome_unknown(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    detail = f'the server may have run the request: {fault.detail}'
    refusal = calls.Refusal(
        calls.Reason.OUTCOME_UNKNOWN, calls.RunStatus.UNKNOWN, detail
    )
    return requests.refuse(state, request, refusal, now)


def _handle_deadline(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    if request.is_at_most_once and request.phase in _LEDGER_PHASES:
        return []
    refusal = calls.Refusal(
        calls.Reason.DEADLINE, request.ran, 'the deadline has passed'
    )
    if request.phase is requests.Phase.DUPLICATE:
        refusal = calls.Refusal(
            calls.Reason.DEADLINE,
            calls.RunStatus.UNKNOWN,
            'a duplicate of the request is still running',
        )
        return requests.refuse(state, request, refusal, now)
    out = _record_silence(state, request, now)
    if request.is_at_most_once and request.phase is requests.Phase.RUNNING:
        return out + orders.handle_deadline(state, request, refusal, now)
    return out + orders.refuse_and_close(state, request, refusal, now)


def _record_silence(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Record that a server has sent nothing until the deadline."""
    if request.phase is not requests.Phase.RUNNING:
        return []
    if not request.first or not request.attached:
        return []
    fault = calls.Fault(
        calls.FaultKind.SILENT,
        calls.RunStatus.UNKNOWN,
        'no progress until the deadline',
    )
    return _record_server_fault(state, request, fault, now)


def _mean_token_gap_ms(request: requests.Request) -> float:
    """Return the mean milliseconds between tokens of the last attempt.

    :return: 0 where too few tokens came.
    """
    gaps = len(request.tokens) - request.base - 1
    if gaps < MIN_TOKEN_GAPS:
        return 0.0
    return (request.progressed_at - request.first_token_at) / gaps


def _record_server_success(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    server = state.servers.get(request.host)
    requests.detach_from_server(state, request)
    return [] if server is None else servers.record_success(server)


def _deliver_answer(
    state: states.State, request: requests.Request, received: calls.Answer
) -> list[effects.Effect]:
    out = requests.remove_request(state, request)
    route = request.call.route.name
    out.append(effects.Count(effects.Counter.ANSWERED, route))
    detail = f'status {received.status}, {request.attempt} attempts'
    out.append(requests.build_record(request, effects.Mark.ANSWERED, detail))
    if request.attached:
        out.append(effects.SendAnswer(request.caller_handle, received, False))
    return out


def _current(
    state: states.State, handle: int, attempt: int
) -> requests.Request | None:
    request = state.requests.get(handle)
    if request is None or not request.has_attempt(attempt):
        return None
    if request.phase is not requests.Phase.RUNNING:
        return None
    return request
