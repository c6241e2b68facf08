"""Progress and failure of the attempts of relayed requests.

Every request of a caller has an id of its own, also when the caller repeats
it, so the route alone decides what may be retried: idempotent requests, and
streams that another server can continue. Any other request is retried only
if no server ran it.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import freshness
from teaselbridge.decisions import moves
from teaselbridge.decisions import placement
from teaselbridge.decisions import poison
from teaselbridge.decisions import prefill
from teaselbridge.decisions import rates
from teaselbridge.decisions import requests
from teaselbridge.decisions import servers
from teaselbridge.decisions import silence
from teaselbridge.decisions import usage

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

# A retry with less time left than the goal time divided by this is useless
# to the caller.
LEAST_GOAL_PARTS = 8
LEAST_MS = 20
# Number of times that a request may be retried after no server ran it.
REFUSALS_MOST = 4
# Linear backoff per refusal by a full server: a slot of a plain service
# becomes free after about 15 ms.
REFUSED_WAIT_MS = 15
# Retries of refused callers are spread over half a second, the minimum time
# until all nodes know of a lost server.
RETRY_AFTER_LEAST_MS = 150
RETRY_AFTER_SPREAD_MS = 350
# Weight of one outcome in the exponential moving average of a server's
# failure rate, which covers about seven outcomes.
FAILING_SMOOTHING = 0.15
# Time without new requests for a server that reported that it is full.
FULL_MS = 100


def pick_route(
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
        point = placement.hash_of('pool', request) % total
        for item in route.shares:
            point -= item.weight
            if point < 0:
                pool = item.pool
                break
    if pool == route.pool and priority == route.priority:
        return route
    return dataclasses.replace(route, pool=pool, priority=priority)


def check(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Check whether a new request can be accepted.

    :return: the refusal, none where the request is accepted.
    """
    if call.deadline - now.mono < least_ms(call):
        return _build_refusal(
            state, calls.Reason.TOO_LATE, 'not enough time is left'
        )
    if state.poison.is_refused(call.fingerprint, now.wall):
        detail = 'backend servers crashed running the same body'
        return calls.Refusal(calls.Reason.POISON, calls.Ran.NO, detail)
    wait = rates.check(state, call, now)
    if wait:
        detail = 'the workspace exceeds its request rate'
        return calls.Refusal(
            calls.Reason.RATE_LIMIT, calls.Ran.NO, detail, wait
        )
    return None


def check_again(
    state: states.State, request: requests.Request, now: clock.Instant
) -> calls.Refusal | None:
    """Check again whether a waiting request may be sent to a server.

    :return: the refusal, none where the request may be sent.
    """
    call = request.call
    if request.remaining(now) < least_ms(call):
        return _build_waiting_refusal(
            state, request, calls.Reason.TOO_LATE, 'no server had a free slot'
        )
    if not call.credential:
        return None
    if not freshness.is_fresh(state, now):
        return _build_waiting_refusal(
            state,
            request,
            calls.Reason.STALE,
            'workspace keys are not confirmed',
        )
    workspace = state.index.workspace_of_key(call.credential)
    if workspace is None or workspace.name != call.key.workspace:
        detail = 'the workspace key was revoked'
        return _build_waiting_refusal(
            state, request, calls.Reason.BAD_KEY, detail
        )
    return None


def _build_waiting_refusal(
    state: states.State,
    request: requests.Request,
    reason: calls.Reason,
    detail: str,
) -> calls.Refusal:
    """Return the refusal of a waiting request.

    An earlier attempt may have run the request.
    """
    if request.maybe_ran:
        return calls.Refusal(
            calls.Reason.SERVER_FAILED, calls.Ran.UNKNOWN, detail
        )
    if reason is calls.Reason.BAD_KEY:
        return calls.Refusal(reason, calls.Ran.NO, detail)
    return _build_refusal(state, reason, detail)


def least_ms(call: calls.Call) -> int:
    """Return the time left below which an attempt is useless."""
    return max(LEAST_MS, call.route.goal_ms // LEAST_GOAL_PARTS)


def start(
    state: states.State,
    request: requests.Request,
    server: servers.Server,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Start an attempt at a server."""
    call = request.call
    reading = prefill.Plan(state, call, now).of(server)
    unread = reading.unread
    request.unread = unread
    request.read_alone = not (server.prefill or server.others_prefill)
    server.prefill += unread
    state.loads.count_reading(call.route.pool, unread, call.tokens_in, now)
    for part in call.parts:
        state.loads.give(server.host, part.id, now)
    request.expected_ms = silence.expected(state, request, server)
    request.silent_ms = silence.limit(request)
    pool = state.index.pool(call.route.pool)
    uses_urgency = pool is not None and pool.engine is not None
    last = call.last_event
    if request.last_event is not None:
        last = str(request.last_event)
    load = server.inflight + server.others
    backlog = server.prefill + server.others_prefill
    detail = (
        f'attempt {request.attempt} at {server.row.instance},'
        f' {load} in flight, {backlog} tokens to prefill, {unread} of it;'
        f' failure rate {server.failing:.2f}'
    )
    source = ''
    if reading.source is not None:
        source = reading.source.row.address
        detail += f', {reading.copied} tokens copied from {source}'
    return [
        requests.record(request, effects.Mark.ATTEMPT, detail),
        effects.RelayAttempt(
            call=call,
            attempt=request.attempt,
            address=server.row.address,
            instance=server.row.instance,
            remaining_ms=max(1, request.remaining(now)),
            last_event=last,
            urgency=min(9, call.route.priority) if uses_urgency else None,
            fresh=request.is_order,
            source=source,
        ),
    ]


def read_in(state: states.State, request: requests.Request) -> None:
    """Subtract a request's prompt from its server's prefill backlog."""
    server = state.servers.get(request.host)
    if server is not None:
        server.prefill = max(0, server.prefill - request.unread)
    request.unread = 0


def head(
    state: states.State,
    request: requests.Request,
    event: events.HeadCame,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the start of a stream."""
    silence.heard(state, request, now)
    span = now.mono - request.started
    if request.read_alone:
        state.speed.learn(request.call.route.pool, request.unread, span)
    state.pace.first(request.call.route.name, span)
    read_in(state, request)
    _count_started(state, request, now)
    request.progressed = now.mono
    request.first = False
    if request.streaming:
        return []
    request.streaming = True
    return [
        _observe_latency(request, effects.Span.FIRST, now),
        effects.SendHead(request.outlet, event.head),
    ]


def events_came(
    state: states.State,
    request: requests.Request,
    event: events.EventsCame,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Forward complete events of a stream in their order."""
    silence.heard(state, request, now)
    request.progressed = now.mono
    if event.last is not None:
        known = request.last_event
        if known is not None and event.last <= known:
            fault = calls.Fault(
                calls.FaultKind.INVALID,
                calls.Ran.UNKNOWN,
                f'event {event.last} after {known}',
            )
            out = requests.release(state, request)
            return out + fail(state, request, fault, None, now)
        request.last_event = event.last
    return [
        effects.Count(effects.Counter.EVENTS, request.call.route.name),
        effects.SendEvents(request.outlet, event.data),
    ]


def ended(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the regular end of a stream."""
    span = now.mono - request.started
    out = moves.judge(state, request, now, failed=False, span=span)
    out += _record_server_success(state, request)
    out += _report_answered(state, request, 'stream', now)
    out.append(effects.SendFinish(request.outlet, True))
    return out + requests.drop(state, request)


def answer(
    state: states.State,
    request: requests.Request,
    received: calls.Answer,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle a complete answer; a server error may be retried."""
    silence.heard(state, request, now)
    _count_started(state, request, now)
    if received.status >= 500:
        fault = calls.Fault(
            calls.FaultKind.ERROR,
            calls.Ran.UNKNOWN,
            f'status {received.status}',
        )
        return fail(state, request, fault, received, now)
    span = now.mono - request.started
    state.pace.answer(request.call.route.name, span)
    out = moves.judge(state, request, now, failed=False, span=span)
    out += _record_server_success(state, request)
    return out + _deliver_answer(state, request, received, now)


def fail(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    answered: calls.Answer | None,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle a failed attempt: retry it if allowed, else tell the caller.

    :param answered: the server's own answer, none where it sent none.
    """
    out = _record_server_fault(state, request, fault, now)
    read_in(state, request)
    requests.leave_server(state, request)
    if fault.ran is calls.Ran.UNKNOWN:
        request.runs += 1
        request.maybe_ran = True
    request.in_doubt = request.maybe_ran
    if _can_retry(state, request, fault, now):
        out.append(effects.Count(effects.Counter.RETRIES, fault.kind.value))
        return out + _schedule_retry(state, request, fault, now)
    if request.streaming:
        out += _report_answered(
            state, request, f'stream broken: {fault.detail}', now
        )
        out.append(effects.SendFinish(request.outlet, False))
        return out + requests.drop(state, request)
    if answered is not None:
        return out + _deliver_answer(state, request, answered, now)
    return out + give_up(state, request, fault.detail)


def give_up(
    state: states.State, request: requests.Request, detail: str
) -> list[effects.Effect]:
    """Refuse a request, or abort its stream if that has begun."""
    if request.streaming:
        out = requests.drop(state, request)
        out.append(
            requests.record(
                request, effects.Mark.REFUSED, f'stream aborted: {detail}'
            )
        )
        return [*out, effects.SendFinish(request.outlet, False)]
    if request.maybe_ran or request.phase is requests.Phase.RUNNING:
        refusal = calls.Refusal(
            calls.Reason.SERVER_FAILED, calls.Ran.UNKNOWN, detail
        )
    else:
        refusal = _build_refusal(state, calls.Reason.NO_SERVER, detail)
    return requests.refuse(state, request, refusal)


def load_seen(
    state: states.State, event: events.LoadSeen, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the load that a server reported with an answer."""
    server = state.servers.at(event.address)
    if server is not None:
        server.heard = now.mono
        server.slots = max(1, event.slots)
    return []


def tick(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Enforce the deadline and the timeouts of a request."""
    if request.remaining(now) <= 0:
        return _handle_deadline(state, request, now)
    if request.phase is requests.Phase.BACKOFF:
        if request.due <= now.mono:
            requests.enqueue(state, request)
        return []
    if request.phase is requests.Phase.QUEUED:
        if request.remaining(now) < least_ms(request.call):
            detail = 'no server had a free slot in time'
            return give_up(state, request, detail)
        return []
    return _retry_if_silent(state, request, now)


def _retry_if_silent(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Retry an idempotent request whose server sends no data."""
    silence_ms = silence.overdue(state, request, now)
    route = request.call.route
    if not silence_ms or not route.idempotent:
        return []
    if request.runs + 1 >= route.attempts:
        return []
    fault = calls.Fault(
        calls.FaultKind.SILENT,
        calls.Ran.UNKNOWN,
        f'no data within {silence_ms} ms',
    )
    if not _can_retry(state, request, fault, now, spend_budget=False):
        return []
    cancel = effects.CancelAttempt(request.handle, request.attempt)
    return [cancel, *fail(state, request, fault, None, now)]


def _handle_deadline(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    running = request.phase is requests.Phase.RUNNING
    if request.streaming or not (running or request.maybe_ran):
        return give_up(state, request, 'the deadline has passed')
    refusal = calls.Refusal(
        calls.Reason.TIMEOUT, calls.Ran.UNKNOWN, 'the deadline has passed'
    )
    return requests.refuse(state, request, refusal)


def _can_retry(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
    *,
    spend_budget: bool = True,
) -> bool:
    call = request.call
    if request.remaining(now) < least_ms(call) or not request.attached:
        return False
    if state.poison.is_refused(call.fingerprint, now.wall):
        return False
    if fault.ran is calls.Ran.NO:
        if request.refusals >= REFUSALS_MOST:
            return False
    elif not call.route.idempotent or request.runs >= call.route.attempts:
        return False
    if fault.kind is calls.FaultKind.CONNECT:
        return True
    if not spend_budget:
        return state.budgets.has(call.route)
    return state.budgets.spend(call.route)


def _schedule_retry(
    state: states.State,
    request: requests.Request,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    if fault.ran is calls.Ran.NO:
        request.refusals += 1
    wait = 0
    if fault.kind is calls.FaultKind.BUSY:
        wait = REFUSED_WAIT_MS * request.refusals
    request.due = now.mono + wait
    if not wait:
        requests.enqueue(state, request)
    return []


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
    if fault.kind is calls.FaultKind.BUSY:
        server.full_until = now.mono + FULL_MS
        return out
    if fault.kind is calls.FaultKind.MISDIRECTED:
        out += servers.leave(state, server.host, 'address reused', now)
        return out
    server.failing += FAILING_SMOOTHING * (1 - server.failing)
    if not server.leaving:
        request.failed_on = server.version
        out += moves.judge(state, request, now, failed=True, span=0)
    if fault.kind is calls.FaultKind.SILENT:
        out.append(effects.DropConnections(server.row.address))
    if fault.kind in (calls.FaultKind.RESET, calls.FaultKind.CUT):
        poison.suspect(state, request.call, server, now)
    if fault.kind is calls.FaultKind.ERROR:
        return out
    return out + servers.fail(server, fault.kind.value, now)


def _record_server_success(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    server = state.servers.get(request.host)
    read_in(state, request)
    requests.leave_server(state, request)
    if server is None:
        return []
    server.failing -= FAILING_SMOOTHING * server.failing
    return servers.succeed(server)


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
        moment = now.later(request.started - now.mono)
    usage.begin(state, request.call.key.workspace, moment)


def _deliver_answer(
    state: states.State,
    request: requests.Request,
    received: calls.Answer,
    now: clock.Instant,
) -> list[effects.Effect]:
    out = _report_answered(state, request, f'status {received.status}', now)
    out.append(effects.SendAnswer(request.outlet, received, False))
    return out + requests.drop(state, request)


def _report_answered(
    state: states.State,
    request: requests.Request,
    detail: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    route = request.call.route.name
    span = now.mono - request.arrived
    return [
        effects.Count(effects.Counter.ANSWERED, route),
        _observe_latency(request, effects.Span.WHOLE, now),
        requests.record(
            request,
            effects.Mark.ANSWERED,
            f'{detail}, {request.attempt} attempts, {span} ms',
        ),
    ]


def _observe_latency(
    request: requests.Request, span: effects.Span, now: clock.Instant
) -> effects.Effect:
    route = request.call.route.name
    return effects.Observe(span, route, now.mono - request.arrived)


def _build_refusal(
    state: states.State, reason: calls.Reason, detail: str
) -> calls.Refusal:
    """Return the refusal of a request that no server ran.

    The time to a retry is jittered, so that callers do not return at once.
    """
    wait = RETRY_AFTER_LEAST_MS + state.random.randint(
        0, RETRY_AFTER_SPREAD_MS
    )
    return calls.Refusal(reason, calls.Ran.NO, detail, wait)
