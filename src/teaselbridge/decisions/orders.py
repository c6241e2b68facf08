"""Non-idempotent requests: claim, run at most once, keep the outcome."""

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

TWIN_EVERY_MS = 100
STORE_WAIT_MS = 1_000
CLAIM_MARGIN_MS = 50
OUTLIVE_MS = 30_000
LOOK_WAIT_MS = 3_000


def claim(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Write a claim before the request may be sent to a server."""
    refusal = _check_id(request, now)
    if refusal is not None:
        return requests.refuse(state, request, refusal)
    request.phase = requests.Phase.CLAIMING
    if not request.token:
        me = state.options.me
        request.token = f'{me.name}/{me.incarnation}/{request.handle}'
    until = request.call.deadline - CLAIM_MARGIN_MS
    return _submit(state, request, claims.Wish.CLAIM, until, now)


def store(
    state: states.State,
    request: requests.Request,
    answer: calls.Answer,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Write the outcome before the caller hears it."""
    request.phase = requests.Phase.STORING
    request.answer = answer
    request.due = min(
        now.mono + STORE_WAIT_MS, request.call.deadline - CLAIM_MARGIN_MS
    )
    until = now.mono + request.call.route.window_ms
    return _submit(state, request, claims.Wish.FINISH, until, now)


def give_up(
    state: states.State,
    request: requests.Request,
    refusal: calls.Refusal,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Refuse a request; a claim that was never used is closed.

    The caller is told at once. Should the closing not succeed, a re-send
    hears that the outcome is unknown, which is safe.
    """
    out: list[effects.Effect] = []
    if request.is_order and request.token and not request.in_doubt:
        out += close(state, request, now)
    return out + requests.refuse(state, request, refusal)


def close(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Write that a claimed request was not run and will not be."""
    until = now.mono + request.call.route.window_ms
    return _submit(state, request, claims.Wish.CLOSE, until, now)


def outlive(
    state: states.State,
    request: requests.Request,
    refusal: calls.Refusal,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Tell the caller of a running order that its time is up.

    The attempt goes on for a while, so that its outcome is still stored
    and a re-send finds it.
    """
    if now.mono > request.call.deadline + OUTLIVE_MS:
        return requests.refuse(state, request, refusal)
    if not request.attached:
        return []
    request.attached = False
    route = request.call.route.name
    return [
        effects.Count(effects.Counter.LATE, route),
        effects.SendRefusal(request.outlet, refusal),
    ]


def look(
    state: states.State, event: events.LookAsked, now: clock.Instant
) -> list[effects.Effect]:
    """A caller asks what became of a request."""
    held = state.held.get(event.key)
    if held is not None and state.requests[held].call.route.idempotent:
        return [effects.SendStatus(event.handle, effects.Fate.RUNNING)]
    if not event.id_time:
        return [effects.SendStatus(event.handle, effects.Fate.UNKNOWN)]
    state.looks.add(event.handle)
    operation = claims.Operation(
        wish=claims.Wish.LOOK,
        handle=event.handle,
        key=event.key,
        id_time=event.id_time,
        token='',
        node=state.options.me.name,
        until=now.mono + LOOK_WAIT_MS,
        keep_ms=0,
    )
    return _route(state, operation, now)


def settle(
    state: states.State, step: ledger.Step, now: clock.Instant
) -> list[effects.Effect]:
    """Perform what a step of the ledger leads to."""
    out = list(step.effects)
    for settled in step.settled:
        if settled.operation.reply_to:
            out += _answer_peer(settled)
            continue
        if settled.operation.handle in state.looks:
            out.append(_tell(state, settled))
            continue
        request = state.requests.get(settled.operation.handle)
        if request is None:
            continue
        if request.token != settled.operation.token:
            continue
        out += _settle_one(state, request, settled, now)
    return out


def tick(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Look again at a twin; deliver an outcome that cannot be stored."""
    if request.due > now.mono:
        return []
    if request.phase is requests.Phase.TWIN:
        request.due = request.call.deadline
        return _submit(
            state, request, claims.Wish.LOOK, request.call.deadline, now
        )
    if request.phase is requests.Phase.STORING:
        return _deliver(state, request, stored=False)
    return []


def _settle_one(
    state: states.State,
    request: requests.Request,
    settled: ledger.Settled,
    now: clock.Instant,
) -> list[effects.Effect]:
    match settled.operation.wish, request.phase:
        case claims.Wish.CLAIM, requests.Phase.CLAIMING:
            return _claimed(state, request, settled, now)
        case claims.Wish.LOOK, requests.Phase.TWIN:
            return _looked(state, request, settled, now)
        case claims.Wish.FINISH, requests.Phase.STORING:
            return _deliver(state, request, stored=False)
        case claims.Wish.CLOSE, requests.Phase.CLOSING:
            return _send_away(state, request)
    return []


def _tell(state: states.State, settled: ledger.Settled) -> effects.SendStatus:
    handle = settled.operation.handle
    state.looks.discard(handle)
    claim = settled.claim
    if settled.failed:
        return effects.SendStatus(handle, effects.Fate.UNKNOWN)
    if claim is None or claim.stage is claims.Stage.NOT_RUN:
        return effects.SendStatus(handle, effects.Fate.NOT_RUN)
    if claim.answer is not None:
        return effects.SendStatus(handle, effects.Fate.DONE, claim.answer)
    if _is_running(state, claim):
        return effects.SendStatus(handle, effects.Fate.RUNNING)
    return effects.SendStatus(handle, effects.Fate.UNKNOWN)


def ask(
    state: states.State, message: messages.LedgerAsked, now: clock.Instant
) -> list[effects.Effect]:
    """Another node wants an operation done together with those of others."""
    operation = dataclasses.replace(
        message.operation, until=now.mono + message.remaining_ms
    )
    return settle(state, state.ledger.submit(operation, now), now)


def told(
    state: states.State, message: messages.LedgerTold, now: clock.Instant
) -> list[effects.Effect]:
    """Another node did an operation for this one."""
    step = state.ledger.told(message.ticket, message.claim)
    return settle(state, step, now)


def _route(
    state: states.State, operation: claims.Operation, now: clock.Instant
) -> list[effects.Effect]:
    """Do an operation here, or let the node do it that gathers its shard."""
    gatherer = _gatherer(state, operation.key)
    if gatherer is None:
        return settle(state, state.ledger.submit(operation, now), now)
    ticket = state.ledger.hand_over(operation, now)
    asked = dataclasses.replace(
        operation, handle=ticket, reply_to=state.options.me.peers
    )
    message = messages.LedgerAsked(
        operation=asked, remaining_ms=ledger.REMOTE_MS
    )
    return [effects.SendPeer(gatherer.peers, message)]


def _gatherer(
    state: states.State, key: calls.RequestKey
) -> messages.Member | None:
    """Give the node that gathers the operations of a request's shard.

    :return: none where that is this node.
    """
    shard = str(ledger.shard_of(key))
    best: messages.Member | None = None
    best_hash = placement.hash_of('ledger', shard, state.options.me.name)
    for member in state.membership.alive:
        if member.draining or member.status is not messages.Status.ALIVE:
            continue
        found = placement.hash_of('ledger', shard, member.name)
        if found > best_hash:
            best, best_hash = member, found
    return best


def _answer_peer(settled: ledger.Settled) -> list[effects.Effect]:
    if settled.failed:
        return []
    operation = settled.operation
    message = messages.LedgerTold(ticket=operation.handle, claim=settled.claim)
    return [effects.SendPeer(operation.reply_to, message)]


def _claimed(
    state: states.State,
    request: requests.Request,
    settled: ledger.Settled,
    now: clock.Instant,
) -> list[effects.Effect]:
    found = settled.claim
    if settled.failed or found is None:
        detail = 'the claim could not be written in time'
        refusal = calls.Refusal(
            calls.Reason.LEDGER_DOWN,
            request.ran,
            detail,
            requests.RETRY_AFTER_MS,
        )
        return give_up(state, request, refusal, now)
    if found.token != request.token:
        return _meet_twin(state, request, found, now)
    request.claimed = True
    requests.enqueue(state, request)
    return [requests.record(request, effects.Mark.CLAIMED, '')]


def _looked(
    state: states.State,
    request: requests.Request,
    settled: ledger.Settled,
    now: clock.Instant,
) -> list[effects.Effect]:
    found = settled.claim
    if settled.failed:
        return _doubt(state, request, 'the ledger cannot be read')
    if found is None or found.stage is claims.Stage.NOT_RUN:
        return claim(state, request, now)
    return _meet_twin(state, request, found, now)


def _meet_twin(
    state: states.State,
    request: requests.Request,
    found: claims.Claim,
    now: clock.Instant,
) -> list[effects.Effect]:
    """The same request was claimed by another sending of it."""
    if found.answer is not None:
        request.answer = found.answer
        return _deliver(state, request, stored=True)
    if not _is_running(state, found):
        return _doubt(state, request, f'node {found.node} is gone')
    request.phase = requests.Phase.TWIN
    request.due = now.mono + TWIN_EVERY_MS
    return []


def _is_running(state: states.State, found: claims.Claim) -> bool:
    me = state.options.me
    if found.node == me.name:
        return any(
            request.token == found.token for request in state.requests.values()
        )
    member = state.membership.get(found.node)
    return member is not None and member.status < messages.Status.DEAD


def _doubt(
    state: states.State, request: requests.Request, cause: str
) -> list[effects.Effect]:
    detail = f'it was claimed before and has no outcome: {cause}'
    refusal = calls.Refusal(calls.Reason.IN_DOUBT, calls.Ran.UNKNOWN, detail)
    return requests.refuse(state, request, refusal)


def _deliver(
    state: states.State, request: requests.Request, *, stored: bool
) -> list[effects.Effect]:
    assert request.answer is not None
    answer = request.answer
    out = requests.drop(state, request)
    counter = effects.Counter.ANSWERED
    if stored:
        counter = effects.Counter.STORED_ANSWERS
    out.append(effects.Count(counter, request.call.route.name))
    detail = f'status {answer.status}, stored {stored}'
    out.append(requests.record(request, effects.Mark.ANSWERED, detail))
    if request.attached:
        out.append(effects.SendAnswer(request.outlet, answer, stored))
    return out


def _send_away(
    state: states.State, request: requests.Request
) -> list[effects.Effect]:
    out = requests.drop(state, request)
    out.append(requests.record(request, effects.Mark.MOVED, request.peer))
    if request.attached:
        out.append(effects.SendMoved(request.outlet, request.peer))
    return out


def _check_id(
    request: requests.Request, now: clock.Instant
) -> calls.Refusal | None:
    age = now.wall - request.call.id_time
    if age < -ledger.SKEW_MS:
        detail = 'the time in the request id lies in the future'
        return calls.Refusal(calls.Reason.ID_INVALID, request.ran, detail)
    if age > request.call.route.window_ms:
        detail = 'the request id is older than outcomes are kept'
        return calls.Refusal(
            calls.Reason.ID_EXPIRED, calls.Ran.UNKNOWN, detail
        )
    return None


def _submit(
    state: states.State,
    request: requests.Request,
    wish: claims.Wish,
    until: int,
    now: clock.Instant,
) -> list[effects.Effect]:
    operation = claims.Operation(
        wish=wish,
        handle=request.handle,
        key=request.call.key,
        id_time=request.call.id_time,
        token=request.token,
        node=state.options.me.name,
        answer=request.answer,
        until=until,
        keep_ms=request.call.route.window_ms + 2 * ledger.SKEW_MS,
    )
    return _route(state, operation, now)
