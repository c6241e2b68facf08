"""Progress and failure of attempts at backend servers."""

from __future__ import annotations

import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import drain
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import moves
from teaselbridge.decisions import orders
from teaselbridge.decisions import poison
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions import retry
from teaselbridge.decisions import servers

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

RETRYABLE = frozenset({429, 500, 502, 503, 504})
RECLAIM_MARGIN_MS = 1_000
GAPS_LEAST = 3
BLAMED = frozenset(
    {
        calls.FaultKind.ERROR,
        calls.FaultKind.RESET,
        calls.FaultKind.SILENT,
        calls.FaultKind.CUT,
    }
)
_LEDGER_PHASES = (requests.Phase.STORING, requests.Phase.CLAIMING)


def token(
    state: states.State, event: events.TokenCame, now: clock.Instant
) -> list[effects.Effect]:
    """Forward the next token; drop one of an abandoned attempt."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return [effects.Count(effects.Counter.TOKENS_DROPPED)]
    route = request.call.route.name
    span = now.mono - request.progressed
    request.progressed = now.mono
    if request.first:
        request.first = False
        request.first_at = now.mono
        state.pace.first(route, span)
    else:
        state.pace.between(route, span)
    index = len(request.tokens)
    request.tokens.append(event.text)
    out: list[effects.Effect] = [effects.Count(effects.Counter.TOKENS, route)]
    if request.attached:
        out.append(effects.SendToken(request.outlet, index, event.text))
    return out


def end(
    state: states.State, event: events.StreamEnded, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the regular end of a stream."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    out = moves.judge(
        state, request, now, failed=False, span=_mean_token_gap_ms(request)
    )
    out += _record_server_success(state, request)
    call = request.call
    state.pace.tokens(call.route.name, len(request.tokens))
    if request.attempt > 1 or call.resumed:
        recomputed = max(0, event.prompt_tokens - event.cached_tokens)
        counter = effects.Counter.TOKENS_RECOMPUTED
        out.append(effects.Count(counter, call.route.name, recomputed))
    out.append(effects.Count(effects.Counter.ANSWERED, call.route.name))
    detail = f'{len(request.tokens)} tokens, {request.attempt} attempts'
    out.append(requests.record(request, effects.Mark.ANSWERED, detail))
    if request.attached:
        out.append(
            effects.SendEnd(
                request.outlet,
                event.finish,
                event.prompt_tokens,
                len(request.tokens),
            )
        )
        return out + requests.drop(state, request)
    return out + _keep_finished(state, request, event)


def answer(
    state: states.State, event: events.AnswerCame, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the complete answer of a plain service."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    if request.call.is_relayed:
        return relays.answer(state, request, event.answer, now)
    status = event.answer.status
    if status in RETRYABLE and not request.is_order:
        fault = calls.Fault(
            calls.FaultKind.ERROR, calls.Ran.UNKNOWN, f'status {status}'
        )
        return _handle_failure(state, request, fault, event.answer, now)
    span = now.mono - request.started
    state.pace.answer(request.call.route.name, span)
    out = moves.judge(
        state, request, now, failed=status in RETRYABLE, span=span
    )
    out += _record_server_success(state, request)
    if request.is_order:
        return out + orders.store(state, request, event.answer, now)
    return out + _deliver_answer(state, request, event.answer)


def fail(
    state: states.State, event: events.AttemptFailed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle an attempt that ended without an answer."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    if request.call.is_relayed:
        return relays.fail(state, request, event.fault, None, now)
    return _handle_failure(state, request, event.fault, None, now)


def relay(
    state: states.State,
    event: events.HeadCame | events.EventsCame | events.RelayEnded,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the progress of a relayed stream."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    match event:
        case events.HeadCame():
            return relays.head(state, request, event, now)
        case events.EventsCame():
            return relays.events_came(state, request, event, now)
        case events.RelayEnded():
            return relays.ended(state, request, now)


def tick(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Enforce the deadline, end backoffs and leave reclaimed servers."""
    if request.call.is_relayed:
        return relays.tick(state, request, now)
    if request.remaining(now) <= 0:
        return _handle_deadline(state, request, now)
    if drain.is_abandoned(request, now):
        return requests.drop(state, request)
    if request.phase is requests.Phase.BACKOFF and request.due <= now.mono:
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
    if server is None or not server.gone_at:
        return []
    left = server.gone_at - now.mono
    if left > RECLAIM_MARGIN_MS:
        return []
    if not _has_usable_server(state, request, now):
        return []
    out = requests.release(state, request)
    requests.enqueue(state, request)
    out.append(effects.Count(effects.Counter.RESUMED, 'reclaim'))
    return out


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
    requests.leave_server(state, request)
    if fault.ran is calls.Ran.NO and request.attempt == 1:
        request.in_doubt = False
    if request.is_order and fault.ran is not calls.Ran.NO:
        return out + _refuse_outcome_unknown(state, request, fault)
    if request.is_order:
        request.in_doubt = False
    if not _can_retry(state, request, fault, now):
        if answered is not None:
            return out + _deliver_answer(state, request, answered)
        return out + _refuse_after_failure(state, request, fault, now)
    wait = 0
    if request.attempt > 1:
        wait = retry.backoff(request.attempt, state.random)
    request.due = now.mono + wait
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
    out = requests.tell_fault(request, fault)
    server = state.servers.get(request.host)
    if server is None:
        return out
    if fault.kind is calls.FaultKind.BUSY or _was_queued_at_server(
        request, fault, server
    ):
        server.others = max(server.others, server.slots - server.inflight + 1)
        return out
    if fault.kind is calls.FaultKind.SILENT:
        out.append(effects.DropConnections(server.row.address))
    if fault.kind in BLAMED and not server.leaving:
        request.failed_on = server.version
        out += moves.judge(state, request, now, failed=True, span=0.0)
    if fault.kind is calls.FaultKind.RESET:
        out += poison.crash(state, request.call, server, now)
    return out + servers.fail(server, fault.kind.value, now)


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
    if fault.kind is calls.FaultKind.BUSY and fault.ran is calls.Ran.NO:
        return True
    if request.attempt >= retry.ATTEMPTS_MOST:
        return False
    if state.poison.is_refused(request.call.fingerprint, now.wall):
        return False
    service = state.pace.service(request.call, len(request.tokens))
    if service > request.remaining(now):
        return False
    server = state.servers.get(request.host)
    if server is None or server.leaving:
        return True
    if _was_queued_at_server(request, fault, server):
        return True
    return state.budgets.spend(request.call.route)


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
        retry_after = requests.RETRY_AFTER_MS
    refusal = calls.Refusal(reason, request.ran, fault.detail, retry_after)
    return orders.give_up(state, request, refusal, now)


def _refuse_outcome_unknown(
    state: states.State, request: requests.Request, fault: calls.Fault
) -> list[effects.Effect]:
    detail = f'the server may have run the request: {fault.detail}'
    refusal = calls.Refusal(calls.Reason.IN_DOUBT, calls.Ran.UNKNOWN, detail)
    return requests.refuse(state, request, refusal)


def _handle_deadline(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    if request.is_order and request.phase in _LEDGER_PHASES:
        return []
    refusal = calls.Refusal(
        calls.Reason.DEADLINE, request.ran, 'the deadline has passed'
    )
    if request.phase is requests.Phase.TWIN:
        refusal = calls.Refusal(
            calls.Reason.DEADLINE,
            calls.Ran.UNKNOWN,
            'a duplicate of the request is still running',
        )
        return requests.refuse(state, request, refusal)
    if request.is_order and request.phase is requests.Phase.RUNNING:
        return orders.outlive(state, request, refusal, now)
    return orders.give_up(state, request, refusal, now)


def _mean_token_gap_ms(request: requests.Request) -> float:
    """Return the mean milliseconds between tokens of the last attempt.

    :return: 0 where too few tokens came.
    """
    gaps = len(request.tokens) - request.base - 1
    if gaps < GAPS_LEAST:
        return 0.0
    return (request.progressed - request.first_at) / gaps


def _record_server_success(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    server = state.servers.get(request.host)
    requests.leave_server(state, request)
    return [] if server is None else servers.succeed(server)


def _deliver_answer(
    state: states.State, request: requests.Request, received: calls.Answer
) -> list[effects.Effect]:
    out = requests.drop(state, request)
    route = request.call.route.name
    out.append(effects.Count(effects.Counter.ANSWERED, route))
    detail = f'status {received.status}, {request.attempt} attempts'
    out.append(requests.record(request, effects.Mark.ANSWERED, detail))
    if request.attached:
        out.append(effects.SendAnswer(request.outlet, received, False))
    return out


def _keep_finished(
    state: states.State,
    request: requests.Request,
    event: events.StreamEnded,
) -> list[effects.Effect]:
    """Keep a finished answer until the caller that was sent here attaches."""
    request.phase = requests.Phase.FINISHED
    request.finished = event
    return []


def _current(
    state: states.State, handle: int, attempt: int
) -> requests.Request | None:
    request = state.requests.get(handle)
    if request is None or request.attempt != attempt:
        return None
    if request.phase is not requests.Phase.RUNNING:
        return None
    return request
