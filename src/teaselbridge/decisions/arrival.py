"""Admission of arriving requests."""

from __future__ import annotations

import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import completions
from teaselbridge.decisions import drain
from teaselbridge.decisions import effects
from teaselbridge.decisions.forwarding import helper
from teaselbridge.decisions import orders
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import requests

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states


def handle_call_arrived(
    state: states.State, event: events.CallArrived, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the arrival of a request.

    The request is accepted, refused, or attached to one already held.
    """
    call = event.call
    held = _find_detached(state, call)
    if held is not None:
        return requests.attach_caller(state, held, call)
    request = requests.Request(call=call, now=now)
    state.requests[call.handle] = request
    out: list[effects.Effect] = [
        effects.Count(effects.Counter.ARRIVED, call.route.name),
        requests.build_record(
            request,
            effects.Mark.ARRIVED,
            _describe(call),
        ),
    ]
    if drain.is_closed_to_new_requests(state, now) and not call.is_relayed:
        return out + drain.redirect_or_refuse(state, request, now)
    refusal = check_new_request(state, call, now)
    if refusal is not None:
        return out + requests.refuse(state, request, refusal, now)
    if request.has_all_tokens:
        return out + completions.finish_at_token_limit(state, request)
    out += _shed_if_full(state, request, now)
    if call.handle not in state.requests:
        return out
    state.held.setdefault(call.key, call.handle)
    if not call.origin:
        state.budgets.add_attempt(call.route)
    if request.uses_claim:
        return out + orders.claim(state, request, now)
    requests.enqueue(state, request)
    return out


def _describe(call: calls.Call) -> str:
    if not call.origin:
        return f'workspace {call.key.workspace}'
    return f'workspace {call.key.workspace}, forwarded by {call.origin}'


def check_new_request(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Check whether a new request is accepted.

    :return: the refusal, none where it is accepted.
    """
    refusal = helper.check(state, call) if call.origin else None
    if refusal is not None:
        return refusal
    if call.is_relayed:
        refusal = drain.check(state, call, now)
        return refusal or relay_checks.check(state, call, now)
    return requests.check(state, call, now)


def _find_detached(
    state: states.State, call: calls.Call
) -> requests.Request | None:
    handle = state.held.get(call.key)
    if handle is None or call.is_relayed:
        return None
    request = state.requests.get(handle)
    if request is None or request.attached or request.is_at_most_once:
        return None
    if len(call.resumed) > len(request.tokens):
        return None
    return request


def _shed_if_full(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Shed one request if the queue is full.

    That is the waiting request of the lowest priority, or the new one where
    its own priority is as low. Streams that have begun are kept.
    """
    if len(state.queue) < state.options.queue:
        return []
    begun = {item.handle for item in state.requests.values() if item.streaming}
    candidate = state.queue.find_shed_candidate(begun)
    shed = request
    priority = request.call.route.priority
    if candidate is not None and candidate.route.priority > priority:
        shed = state.requests[candidate.handle]
    refusal = calls.Refusal(
        calls.Reason.OVERLOAD,
        shed.ran,
        'the queue is full',
        requests.MIN_RETRY_AFTER_MS,
    )
    return orders.refuse_and_close(state, shed, refusal, now)
