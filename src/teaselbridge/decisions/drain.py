"""Graceful shutdown of this node, and adoption of other nodes' requests.

A draining node is removed from the address list, keeps serving for as long
as callers may still use an older list, and hands over the requests that
cannot finish before it must stop. Relayed requests cannot be handed over: once
no list names the node any more, those that may outlast it are refused, and
when it must stop the remaining ones get a final answer. So do other requests
that could not be handed over, after some more time.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import completions
from teaselbridge.decisions import effects
from teaselbridge.decisions import ends
from teaselbridge.decisions import leases
from teaselbridge.decisions import membership
from teaselbridge.decisions import orders
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

HAND_OVER_TIMEOUT_MS = 400
STOP_MARGIN_MS = 1_500
# Requests that were not handed over may go on for so long after the deadline.
LAST_WORK_MS = 2_000
# Requests may be sent this long before the node knows of them, and the signal
# to stop arrive this long before it is handled.
ARRIVAL_MARGIN_MS = 200
ADOPTED_CALLER_TIMEOUT_MS = 10_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Drain:
    """Progress of a graceful shutdown; times are monotonic milliseconds.

    :param since: when the drain was requested.
    :param began: when it began, which may be later.
    :param stop_deadline: when the node stops, or begins the last work for
        requests that it cannot hand over.
    :param earliest_stop: earliest moment to which that may be shortened.
    :param is_final: whether the deadline leaves no time for other work.
    :param is_stopped: whether the effect that stops the runtime was returned.
    """

    since: int
    began: int
    stop_deadline: int
    earliest_stop: int
    is_final: bool = False
    is_stopped: bool = False


def handle_drain_requested(
    state: states.State, event: events.DrainRequested, now: clock.Instant
) -> list[effects.Effect]:
    """Start the graceful shutdown, or shorten its deadline."""
    drain = state.drain
    if drain is not None:
        drain.stop_deadline = min(drain.stop_deadline, event.by)
        drain.earliest_stop = min(drain.earliest_stop, drain.stop_deadline)
        drain.is_final |= event.is_final
        return []
    since = now.mono if event.since is None else event.since
    state.drain = Drain(
        since=since,
        began=now.mono,
        stop_deadline=event.by,
        earliest_stop=event.by
        if event.earliest_stop is None
        else event.earliest_stop,
        is_final=event.is_final,
    )
    me = state.options.me
    detail = (
        f'{event.by - now.mono} ms left, {len(state.requests)} held,'
        f' requested {now.mono - since} ms ago'
    )
    out: list[effects.Effect] = [
        effects.RecordEntry(
            mark=effects.Mark.NODE_DRAINING, host=me.name, detail=detail
        ),
        *membership.announce_own_status(
            state, draining=True, status=messages.Status.ALIVE
        ),
    ]
    if state.options.bounds is None:
        out.append(effects.EndConnections())
    return out


def is_closed_to_new_requests(state: states.State, now: clock.Instant) -> bool:
    """Return whether new requests are redirected or refused."""
    drain = state.drain
    if drain is None:
        return False
    listed_until = drain.began + state.options.address_list_max_age_ms
    return now.mono >= min(listed_until, drain.stop_deadline - STOP_MARGIN_MS)


def check(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Check whether a relayed request surely ends before the node stops.

    The length of an answer is not known in advance, so that only the
    deadline tells. Requests that callers may have sent by a list with this
    node in it are accepted in any case, but not for longer if the drain began
    late: the node ends no later for it.

    :return: the refusal, none where the request is accepted.
    """
    drain = state.drain
    if drain is None or call.deadline <= drain.earliest_stop:
        return None
    listed_until = drain.since + state.options.address_list_max_age_ms
    if now.mono < listed_until - ARRIVAL_MARGIN_MS:
        return None
    return _build_refusal(state, now)


def redirect_or_refuse(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Redirect a new request, of which nothing has run, to another node."""
    peer = _choose_peer(state, request)
    if peer is None:
        refusal = calls.Refusal(
            calls.Reason.STOPPING,
            request.ran,
            'this node is stopping and knows no other live node',
            requests.MIN_RETRY_AFTER_MS,
        )
        return requests.refuse(state, request, refusal, now)
    out = requests.remove_request(state, request)
    out.append(effects.Count(effects.Counter.MOVED, 'turned away'))
    out.append(effects.SendRedirect(request.caller_handle, peer.callers))
    return out


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Hand over requests that cannot finish here; stop when none is left."""
    drain = state.drain
    if drain is None:
        return []
    out: list[effects.Effect] = []
    if now.mono >= drain.stop_deadline:
        out += _end_relayed(state, now)
    if drain.is_stopped:
        return out
    for request in list(state.requests.values()):
        out += _drain_request(state, request, now)
    listed_until = drain.began + state.options.address_list_max_age_ms
    is_idle = not state.requests and not state.ledger.pending_count
    stop_at = drain.stop_deadline
    if not drain.is_final and _list_unanswered(state):
        stop_at += LAST_WORK_MS
    if now.mono < stop_at and not (is_idle and now.mono >= listed_until):
        return out
    drain.is_stopped = True
    for request in _list_unanswered(state):
        out += _end_unanswered(state, request, now)
    for handle in state.status_queries:
        out.append(effects.SendStatus(handle, effects.RequestStatus.UNKNOWN))
    state.status_queries.clear()
    out += leases.revoke_all(state)
    out += membership.announce_own_status(
        state, draining=True, status=messages.Status.LEFT
    )
    return [*out, effects.ExitProcess()]


def handle_hand_over(
    state: states.State, message: messages.HandOver, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a hand-over: adopt a request of a node that is stopping."""
    route = state.index.route(message.call.route.name)
    taken = route is not None and state.drain is None
    answer = messages.HandOverTaken(ticket=message.ticket, taken=taken)
    out: list[effects.Effect] = [effects.SendPeer(message.reply_to, answer)]
    if route is None or not taken or message.call.key in state.held:
        return out
    state.last_adopted_handle -= 1
    call = dataclasses.replace(
        message.call,
        handle=state.last_adopted_handle,
        route=route,
        deadline=now.mono + message.remaining_ms,
        resumed=message.tokens,
    )
    request = requests.Request(call=call, now=now)
    request.attached = False
    request.in_doubt = True
    state.requests[call.handle] = request
    state.held[call.key] = call.handle
    out.append(
        requests.build_record(
            request, effects.Mark.ADOPTED, f'{len(message.tokens)} sent'
        )
    )
    if request.has_all_tokens:
        return out + completions.finish_at_token_limit(state, request)
    requests.enqueue(state, request)
    return out


def taken(
    state: states.State, message: messages.HandOverTaken, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a peer's answer to a hand-over."""
    request = state.requests.get(message.ticket)
    if request is None or request.phase is not requests.Phase.HANDING_OVER:
        return []
    if not message.taken:
        request.due_at = now.mono
        return []
    out = requests.remove_request(state, request)
    out.append(effects.Count(effects.Counter.MOVED, 'handed over'))
    out.append(
        requests.build_record(request, effects.Mark.MOVED, request.peer)
    )
    if request.attached:
        out.append(effects.SendRedirect(request.caller_handle, request.peer))
    return out


def is_abandoned(request: requests.Request, now: clock.Instant) -> bool:
    """Return whether no caller came back in time for an adopted request."""
    if request.attached or request.is_at_most_once:
        return False
    return now.mono - request.arrived > ADOPTED_CALLER_TIMEOUT_MS


def _end_relayed(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    """Give the callers of all relayed requests a final answer.

    Their connections would be closed without one.
    """
    out: list[effects.Effect] = []
    for request in list(state.requests.values()):
        if request.call.is_relayed:
            refusal = _build_refusal(state, now)
            out += relays.give_up(
                state,
                request,
                ends.Cause.STOPPING,
                refusal.detail,
                now,
                refusal,
            )
    return out


def _list_unanswered(state: states.State) -> list[requests.Request]:
    """List the requests of the own interface that need a final answer.

    Callers of relayed ones have got it, and begun streams go on elsewhere when
    their connection ends.
    """
    return [
        request
        for request in state.requests.values()
        if request.attached
        and not request.call.is_relayed
        and not (request.is_resumable and request.tokens)
    ]


def _end_unanswered(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Give the caller of a request a final answer.

    A duplicate may have run a request whose claim is being written or belongs
    to it, and a peer one that is being handed over.
    """
    if request.phase is requests.Phase.STORING:
        request.due_at = now.mono
        return orders.tick(state, request, now)
    ran = request.ran
    if request.phase in (
        requests.Phase.CLAIMING,
        requests.Phase.DUPLICATE,
        requests.Phase.HANDING_OVER,
    ):
        ran = calls.RunStatus.UNKNOWN
    refusal = calls.Refusal(
        calls.Reason.STOPPING,
        ran,
        'this node is stopping',
        requests.MIN_RETRY_AFTER_MS,
    )
    return orders.refuse_and_close(state, request, refusal, now)


def _build_refusal(state: states.State, now: clock.Instant) -> calls.Refusal:
    """Return the refusal of a relayed request that no server ran.

    Where all known nodes are stopping, the caller is asked to return when
    this one has stopped and others may be back.
    """
    wait_ms = relay_checks.MIN_RETRY_AFTER_MS
    if not any(_is_staying(member) for member in state.membership.alive):
        assert state.drain is not None
        wait_ms = max(wait_ms, state.drain.stop_deadline - now.mono)
    return relay_checks.build_refusal(
        state, calls.Reason.STOPPING, 'this node is stopping', wait_ms
    )


def _is_staying(member: messages.Member) -> bool:
    return member.status is messages.Status.ALIVE and not member.draining


def _drain_request(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    if request.call.is_relayed:
        return []
    match request.phase:
        case requests.Phase.HANDING_OVER:
            return _retry_hand_over(state, request, now)
        case requests.Phase.QUEUED | requests.Phase.BACKOFF:
            if request.is_at_most_once:
                return _redirect_order(state, request, now)
            if not _can_finish(state, request, now):
                return _hand_over(state, request, now)
        case requests.Phase.RUNNING:
            if request.is_resumable and not _can_finish(state, request, now):
                return _hand_over(state, request, now)
    return []


def _can_finish(
    state: states.State, request: requests.Request, now: clock.Instant
) -> bool:
    """Return whether a request can finish before the node must stop."""
    assert state.drain is not None
    left = state.drain.stop_deadline - STOP_MARGIN_MS - now.mono
    service = state.latency_estimator.service(
        request.call, len(request.tokens)
    )
    return service < left


def _hand_over(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Offer a request to a peer.

    The attempt is stopped first, so that both nodes agree on the tokens
    that were produced.
    """
    peer = _choose_peer(state, request)
    if peer is None:
        return []
    out = requests.cancel_attempt(state, request)
    state.queue.remove(request.handle)
    request.phase = requests.Phase.HANDING_OVER
    request.peer = peer.callers
    request.peers_tried.append(peer.name)
    request.due_at = now.mono + HAND_OVER_TIMEOUT_MS
    message = messages.HandOver(
        ticket=request.handle,
        reply_to=state.options.me.peers,
        call=request.call,
        remaining_ms=max(1, request.remaining_ms(now)),
        tokens=tuple(request.tokens),
    )
    return [*out, effects.SendPeer(peer.peers, message)]


def _retry_hand_over(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Try another peer after a timeout or a refusal, or resume here."""
    if request.due_at > now.mono:
        return []
    out = _hand_over(state, request, now)
    if out:
        return out
    request.peers_tried.clear()
    return completions.resume(state, request)


def _redirect_order(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Close the unused claim of an order, then redirect its caller."""
    peer = _choose_peer(state, request)
    if peer is None:
        return []
    state.queue.remove(request.handle)
    request.phase = requests.Phase.CLOSING
    request.peer = peer.callers
    return orders.close(state, request, now)


def _choose_peer(
    state: states.State, request: requests.Request
) -> messages.Member | None:
    peers = [
        member
        for member in state.membership.alive
        if _is_staying(member) and member.name not in request.peers_tried
    ]
    zone = state.options.me.zone
    same_zone = [member for member in peers if member.zone == zone]
    peers = same_zone or peers
    return state.random.choice(peers) if peers else None
