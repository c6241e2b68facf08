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
_SETTLING = (requests.Phase.STORING, requests.Phase.CLAIMING)


def token(
    state: states.State, event: events.TokenCame, now: clock.Instant
) -> list[effects.Effect]:
    """Pass on the next token; one of an abandoned attempt is dropped."""
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
    """End a stream whole."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    out = moves.judge(
        state, request, now, failed=False, span=_token_span(request)
    )
    out += _succeed(state, request)
    call = request.call
    state.pace.tokens(call.route.name, len(request.tokens))
    if request.attempt > 1 or call.resumed:
        again = max(0, event.prompt_tokens - event.cached_tokens)
        counter = effects.Counter.TOKENS_RECOMPUTED
        out.append(effects.Count(counter, call.route.name, again))
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
    return out + _keep_adopted(state, request, event)


def answer(
    state: states.State, event: events.AnswerCame, now: clock.Instant
) -> list[effects.Effect]:
    """Take a plain service's whole answer."""
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
        return _fail(state, request, fault, event.answer, now)
    span = now.mono - request.started
    state.pace.answer(request.call.route.name, span)
    out = moves.judge(
        state, request, now, failed=status in RETRYABLE, span=span
    )
    out += _succeed(state, request)
    if request.is_order:
        return out + orders.store(state, request, event.answer, now)
    return out + _deliver(state, request, event.answer)


def fail(
    state: states.State, event: events.AttemptFailed, now: clock.Instant
) -> list[effects.Effect]:
    """An attempt ended without an answer: try again, or tell the caller."""
    request = _current(state, event.handle, event.attempt)
    if request is None:
        return []
    if request.call.is_relayed:
        return relays.fail(state, request, event.fault, None, now)
    return _fail(state, request, event.fault, None, now)


def relay(
    state: states.State,
    event: events.HeadCame | events.EventsCame | events.RelayEnded,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Take in progress of a relayed stream."""
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
    """Keep the deadline, end backoffs, move away from leaving servers."""
    if request.call.is_relayed:
        return relays.tick(state, request, now)
    if request.remaining(now) <= 0:
        return _time_out(state, request, now)
    if drain.is_abandoned(request, now):
        return requests.drop(state, request)
    if request.phase is requests.Phase.BACKOFF and request.due <= now.mono:
        requests.enqueue(state, request)
        return []
    if request.phase is requests.Phase.RUNNING and request.is_resumable:
        return _flee(state, request, now)
    return []


def _flee(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Resume elsewhere before the server is taken back."""
    server = state.servers.get(request.host)
    if server is None or not server.gone_at:
        return []
    left = server.gone_at - now.mono
    if left > RECLAIM_MARGIN_MS:
        return []
    if not _has_other(state, request, now):
        return []
    out = requests.release(state, request)
    requests.enqueue(state, request)
    out.append(effects.Count(effects.Counter.RESUMED, 'reclaim'))
    return out


def _has_other(
    state: states.State, request: requests.Request, now: clock.Instant
) -> bool:
    pool = request.call.route.pool
    return bool(state.servers.usable(pool, now))


def _fail(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    answered: calls.Answer | None,
    now: clock.Instant,
) -> list[effects.Effect]:
    out = _blame(state, request, fault, now)
    requests.leave_server(state, request)
    if fault.ran is calls.Ran.NO and request.attempt == 1:
        request.in_doubt = False
    if request.is_order and fault.ran is not calls.Ran.NO:
        return out + _refuse_in_doubt(state, request, fault)
    if request.is_order:
        request.in_doubt = False
    if not _may_retry(state, request, fault, now):
        if answered is not None:
            return out + _deliver(state, request, answered)
        return out + _give_up(state, request, fault, now)
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


def _blame(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    out = requests.tell_fault(request, fault)
    server = state.servers.get(request.host)
    if server is None:
        return out
    if fault.kind is calls.FaultKind.BUSY or _was_queued(
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


def _was_queued(
    request: requests.Request, fault: calls.Fault, server: servers.Server
) -> bool:
    """Tell whether no first token came because the server was full.

    A full engine lets less urgent work wait; that is no fault of it.
    """
    silent = fault.kind is calls.FaultKind.SILENT
    return silent and request.first and server.load >= 1


def _may_retry(
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
    if _was_queued(request, fault, server):
        return True
    return state.budgets.spend(request.call.route)


def _give_up(
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


def _refuse_in_doubt(
    state: states.State, request: requests.Request, fault: calls.Fault
) -> list[effects.Effect]:
    detail = f'the server may have run it: {fault.detail}'
    refusal = calls.Refusal(calls.Reason.IN_DOUBT, calls.Ran.UNKNOWN, detail)
    return requests.refuse(state, request, refusal)


def _time_out(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    if request.is_order and request.phase in _SETTLING:
        return []
    refusal = calls.Refusal(
        calls.Reason.DEADLINE, request.ran, 'the deadline has passed'
    )
    if request.phase is requests.Phase.TWIN:
        refusal = calls.Refusal(
            calls.Reason.DEADLINE,
            calls.Ran.UNKNOWN,
            'another sending of it still runs',
        )
        return requests.refuse(state, request, refusal)
    if request.is_order and request.phase is requests.Phase.RUNNING:
        return orders.outlive(state, request, refusal, now)
    return orders.give_up(state, request, refusal, now)


def _token_span(request: requests.Request) -> float:
    """Mean milliseconds between the tokens of the last attempt."""
    gaps = len(request.tokens) - request.base - 1
    if gaps < GAPS_LEAST:
        return 0.0
    return (request.progressed - request.first_at) / gaps


def _succeed(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    server = state.servers.get(request.host)
    requests.leave_server(state, request)
    return [] if server is None else servers.succeed(server)


def _deliver(
    state: states.State, request: requests.Request, found: calls.Answer
) -> list[effects.Effect]:
    out = requests.drop(state, request)
    route = request.call.route.name
    out.append(effects.Count(effects.Counter.ANSWERED, route))
    detail = f'status {found.status}, {request.attempt} attempts'
    out.append(requests.record(request, effects.Mark.ANSWERED, detail))
    if request.attached:
        out.append(effects.SendAnswer(request.outlet, found, False))
    return out


def _keep_adopted(
    state: states.State,
    request: requests.Request,
    event: events.StreamEnded,
) -> list[effects.Effect]:
    """Hold a finished answer until the caller, sent here, comes for it."""
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
