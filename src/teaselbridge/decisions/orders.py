"""Handling of non-idempotent requests, which run at most once.

A request is claimed in the ledger before it is sent to a backend server, and
its outcome is stored before the caller gets the answer. A duplicate with the
same request id finds the claim and waits for the outcome, or gets the stored
answer.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import claims
from teaselbridge.decisions import effects
from teaselbridge.decisions import ledger
from teaselbridge.decisions import placement
from teaselbridge.decisions import requests
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

# Interval at which a duplicate looks for the outcome of the claimed request.
DUPLICATE_POLL_INTERVAL_MS = 100
# Maximum wait for an outcome to be stored before the answer is delivered
# anyway.
STORE_TIMEOUT_MS = 1_000
# Time before the deadline at which a claim, or the wait for an outcome to be
# stored, is given up.
CLAIM_MARGIN_MS = 50
# Time after the deadline for which a running attempt is continued.
POST_DEADLINE_TIMEOUT_MS = 30_000
# Timeout of a status lookup by a caller.
LOOKUP_TIMEOUT_MS = 3_000


def claim(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Claim a request in the ledger before it may be sent to a server."""
    refusal = _check_id_time(request, now)
    if refusal is not None:
        return requests.refuse(state, request, refusal, now)
    request.phase = requests.Phase.CLAIMING
    if not request.token:
        me = state.options.me
        request.token = f'{me.name}/{me.incarnation}/{request.handle}'
    until = request.call.deadline - CLAIM_MARGIN_MS
    return _submit_for(state, request, claims.OperationKind.CLAIM, until, now)


def store(
    state: states.State,
    request: requests.Request,
    answer: calls.Answer,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Store the outcome before the caller gets the answer."""
    request.phase = requests.Phase.STORING
    request.answer = answer
    request.due_at = min(
        now.mono + STORE_TIMEOUT_MS, request.call.deadline - CLAIM_MARGIN_MS
    )
    until = now.mono + request.call.route.window_ms
    return _submit_for(state, request, claims.OperationKind.FINISH, until, now)


def refuse_and_close(
    state: states.State,
    request: requests.Request,
    refusal: calls.Refusal,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Refuse a request, and close its claim if it was never run.

    The refusal is sent without waiting for the close. If the close fails, a
    retry is told that the outcome is unknown, which is safe.
    """
    out: list[effects.Effect] = []
    if request.is_at_most_once and request.token and not request.in_doubt:
        out += close(state, request, now)
    return out + requests.refuse(state, request, refusal, now)


def close(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Record in the ledger that a claimed request will not be run."""
    until = now.mono + request.call.route.window_ms
    return _submit_for(state, request, claims.OperationKind.CLOSE, until, now)


def handle_deadline(
    state: states.State,
    request: requests.Request,
    refusal: calls.Refusal,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the deadline of a running non-idempotent request.

    The caller is refused, but the attempt continues for a while, so that
    its outcome is still stored and a retry finds it.
    """
    if now.mono > request.call.deadline + POST_DEADLINE_TIMEOUT_MS:
        return requests.refuse(state, request, refusal, now)
    if not request.attached:
        return []
    request.attached = False
    route = request.call.route.name
    return [
        effects.Count(effects.Counter.LATE, route),
        effects.SendRefusal(request.caller_handle, refusal),
    ]


def look(
    state: states.State, event: events.StatusRequested, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a caller's lookup of the status of a request."""
    held = state.held.get(event.key)
    if held is not None and state.requests[held].call.route.idempotent:
        return [
            effects.SendStatus(event.handle, effects.RequestStatus.RUNNING)
        ]
    if not event.id_time:
        return [
            effects.SendStatus(event.handle, effects.RequestStatus.UNKNOWN)
        ]
    state.status_queries.add(event.handle)
    operation = claims.Operation(
        wish=claims.OperationKind.READ,
        handle=event.handle,
        key=event.key,
        id_time=event.id_time,
        token='',
        node=state.options.me.name,
        until=now.mono + LOOKUP_TIMEOUT_MS,
        keep_ms=0,
    )
    return _submit_or_hand_over(state, operation, now)


def apply_step(
    state: states.State, step: ledger.Step, now: clock.Instant
) -> list[effects.Effect]:
    """Return the effects of a step of the ledger and of its results."""
    out = list(step.effects)
    for settled in step.results:
        if settled.operation.reply_to:
            out += _answer_peer(settled)
            continue
        if settled.operation.handle in state.status_queries:
            out.append(_make_status(state, settled))
            continue
        request = state.requests.get(settled.operation.handle)
        if request is None:
            continue
        if request.token != settled.operation.token:
            continue
        out += _settle_request(state, request, settled, now)
    return out


def tick(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Repeat a duplicate's lookup, or deliver an answer not yet stored."""
    if request.due_at > now.mono:
        return []
    if request.phase is requests.Phase.DUPLICATE:
        request.due_at = request.call.deadline
        return _submit_for(
            state,
            request,
            claims.OperationKind.READ,
            request.call.deadline,
            now,
        )
    if request.phase is requests.Phase.STORING:
        return _deliver_answer(state, request, stored=False)
    return []


def _settle_request(
    state: states.State,
    request: requests.Request,
    settled: ledger.OperationResult,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the result of an operation, by the phase of its request."""
    match settled.operation.wish, request.phase:
        case claims.OperationKind.CLAIM, requests.Phase.CLAIMING:
            return _handle_claim_result(state, request, settled, now)
        case claims.OperationKind.READ, requests.Phase.DUPLICATE:
            return _handle_lookup_result(state, request, settled, now)
        case claims.OperationKind.FINISH, requests.Phase.STORING:
            return _deliver_answer(state, request, stored=False)
        case claims.OperationKind.CLOSE, requests.Phase.CLOSING:
            return _redirect_caller(state, request)
    return []


def _make_status(
    state: states.State, settled: ledger.OperationResult
) -> effects.SendStatus:
    """Return the status of a request to the caller that looked it up."""
    handle = settled.operation.handle
    state.status_queries.discard(handle)
    claim = settled.claim
    if settled.failed:
        return effects.SendStatus(handle, effects.RequestStatus.UNKNOWN)
    if claim is None or claim.stage is claims.Stage.NOT_RUN:
        return effects.SendStatus(handle, effects.RequestStatus.NOT_RUN)
    if claim.answer is not None:
        return effects.SendStatus(
            handle, effects.RequestStatus.DONE, claim.answer
        )
    if _is_running(state, claim):
        return effects.SendStatus(handle, effects.RequestStatus.RUNNING)
    return effects.SendStatus(handle, effects.RequestStatus.UNKNOWN)


def handle_ledger_asked(
    state: states.State, message: messages.LedgerAsked, now: clock.Instant
) -> list[effects.Effect]:
    """Handle an operation that another node hands over to this one."""
    operation = dataclasses.replace(
        message.operation, until=now.mono + message.remaining_ms
    )
    return apply_step(state, state.ledger.submit(operation, now), now)


def handle_ledger_told(
    state: states.State, message: messages.LedgerTold, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the result of an operation that another node did."""
    step = state.ledger.handle_ledger_told(message.ticket, message.claim)
    return apply_step(state, step, now)


def _submit_or_hand_over(
    state: states.State, operation: claims.Operation, now: clock.Instant
) -> list[effects.Effect]:
    """Submit an operation here, or hand it over to the owner of its shard."""
    owner = _find_shard_owner(state, operation.key)
    if owner is None:
        return apply_step(state, state.ledger.submit(operation, now), now)
    ticket = state.ledger.hand_over(operation, now)
    handed_over = dataclasses.replace(
        operation, handle=ticket, reply_to=state.options.me.peers
    )
    message = messages.LedgerAsked(
        operation=handed_over, remaining_ms=ledger.HANDOVER_TIMEOUT_MS
    )
    return [effects.SendPeer(owner.peers, message)]


def _find_shard_owner(
    state: states.State, key: calls.RequestKey
) -> messages.Member | None:
    """Find the node that batches the operations of a request's shard.

    :return: none if that is this node.
    """
    shard = str(ledger.get_shard(key))
    best: messages.Member | None = None
    best_hash = placement.hash_text('ledger', shard, state.options.me.name)
    for member in state.membership.alive:
        if member.draining or member.status is not messages.Status.ALIVE:
            continue
        candidate_hash = placement.hash_text('ledger', shard, member.name)
        if candidate_hash > best_hash:
            best, best_hash = member, candidate_hash
    return best


def _answer_peer(settled: ledger.OperationResult) -> list[effects.Effect]:
    """Send the result of an operation to the node that handed it over.

    A failure is not sent, since that node submits the operation itself when
    the answer does not arrive in time.
    """
    if settled.failed:
        return []
    operation = settled.operation
    message = messages.LedgerTold(ticket=operation.handle, claim=settled.claim)
    return [effects.SendPeer(operation.reply_to, message)]


def _handle_claim_result(
    state: states.State,
    request: requests.Request,
    settled: ledger.OperationResult,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the result of a claim: enqueue the request if it succeeded."""
    existing = settled.claim
    if settled.failed or existing is None:
        detail = 'the claim could not be written in time'
        refusal = calls.Refusal(
            calls.Reason.LEDGER_DOWN,
            request.ran,
            detail,
            requests.MIN_RETRY_AFTER_MS,
        )
        return refuse_and_close(state, request, refusal, now)
    if existing.token != request.token:
        return _handle_duplicate(state, request, existing, now)
    request.claimed = True
    requests.enqueue(state, request)
    return [requests.build_record(request, effects.Mark.CLAIMED, '')]


def _handle_lookup_result(
    state: states.State,
    request: requests.Request,
    settled: ledger.OperationResult,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the result of a duplicate's lookup."""
    existing = settled.claim
    if settled.failed:
        cause = 'the ledger cannot be read'
        return _refuse_in_doubt(state, request, cause, now)
    if existing is None or existing.stage is claims.Stage.NOT_RUN:
        return claim(state, request, now)
    return _handle_duplicate(state, request, existing, now)


def _handle_duplicate(
    state: states.State,
    request: requests.Request,
    existing: claims.Claim,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle a request that was already claimed by a duplicate of it."""
    if existing.answer is not None:
        request.answer = existing.answer
        return _deliver_answer(state, request, stored=True)
    if not _is_running(state, existing):
        cause = f'node {existing.node} is gone'
        return _refuse_in_doubt(state, request, cause, now)
    request.phase = requests.Phase.DUPLICATE
    request.due_at = now.mono + DUPLICATE_POLL_INTERVAL_MS
    return []


def _is_running(state: states.State, existing: claims.Claim) -> bool:
    """Return whether the node that wrote a claim may still run the request."""
    me = state.options.me
    if existing.node == me.name:
        return any(
            request.token == existing.token
            for request in state.requests.values()
        )
    member = state.membership.get_peer(existing.node)
    return member is not None and member.status < messages.Status.DEAD


def _refuse_in_doubt(
    state: states.State,
    request: requests.Request,
    cause: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Refuse a claimed request whose outcome is unknown."""
    detail = f'it was claimed before and has no outcome: {cause}'
    refusal = calls.Refusal(
        calls.Reason.OUTCOME_UNKNOWN, calls.RunStatus.UNKNOWN, detail
    )
    return requests.refuse(state, request, refusal, now)


def _deliver_answer(
    state: states.State, request: requests.Request, *, stored: bool
) -> list[effects.Effect]:
    """Send the answer of a request to its caller and end the request.

    :param stored: whether the answer was read from the ledger.
    """
    assert request.answer is not None
    answer = request.answer
    out = requests.remove_request(state, request)
    counter = effects.Counter.ANSWERED
    if stored:
        counter = effects.Counter.STORED_ANSWERS
    out.append(effects.Count(counter, request.call.route.name))
    detail = f'status {answer.status}, stored {stored}'
    out.append(requests.build_record(request, effects.Mark.ANSWERED, detail))
    if request.attached:
        out.append(effects.SendAnswer(request.caller_handle, answer, stored))
    return out


def _redirect_caller(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    """Redirect the caller of a request to another node."""
    out = requests.remove_request(state, request)
    out.append(
        requests.build_record(request, effects.Mark.MOVED, request.peer)
    )
    if request.attached:
        out.append(effects.SendRedirect(request.caller_handle, request.peer))
    return out


def _check_id_time(
    request: requests.Request, now: clock.Instant
) -> calls.Refusal | None:
    """Return a refusal if the time in a request id is not acceptable."""
    age = now.wall - request.call.id_time
    if age < -ledger.MAX_CLOCK_SKEW_MS:
        detail = 'the time in the request id lies in the future'
        return calls.Refusal(calls.Reason.ID_INVALID, request.ran, detail)
    if age > request.call.route.window_ms:
        detail = 'the request id is older than outcomes are kept'
        return calls.Refusal(
            calls.Reason.ID_EXPIRED, calls.RunStatus.UNKNOWN, detail
        )
    return None


def _submit_for(
    state: states.State,
    request: requests.Request,
    wish: claims.OperationKind,
    until: int,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Submit a ledger operation for a request.

    :param until: monotonic milliseconds after which it is given up.
    """
    operation = claims.Operation(
        wish=wish,
        handle=request.handle,
        key=request.call.key,
        id_time=request.call.id_time,
        token=request.token,
        node=state.options.me.name,
        answer=request.answer,
        until=until,
        keep_ms=request.call.route.window_ms + 2 * ledger.MAX_CLOCK_SKEW_MS,
    )
    return _submit_or_hand_over(state, operation, now)
