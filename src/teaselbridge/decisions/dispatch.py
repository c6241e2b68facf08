"""Dispatch of waiting requests to backend servers."""

from __future__ import annotations

import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import orders
from teaselbridge.decisions import placement
from teaselbridge.decisions import prefill
from teaselbridge.decisions import prompts
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions import versions
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

FIRST_FACTOR = 10
FIRST_LEAST_MS = 2_000
FIRST_MOST_MS = 15_000
BETWEEN_FACTOR = 20
BETWEEN_LEAST_MS = 500
BETWEEN_MOST_MS = 5_000


def give_up_hopeless(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Refuse a waiting request once it cannot finish in time."""
    if request.phase is not requests.Phase.QUEUED or request.call.is_relayed:
        return []
    if not _cannot_finish_in_time(state, request, now):
        return []
    return _refuse_too_late(state, request, now)


def pump(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Dispatch as many waiting requests as servers have free slots."""
    out: list[effects.Effect] = []
    for pool in state.queue.pools():
        while True:
            call = state.queue.peek(pool)
            if call is None:
                break
            request = state.requests[call.handle]
            if call.is_relayed:
                refusal = relays.check_again(state, request, now)
                if refusal is not None:
                    out += requests.refuse(state, request, refusal)
                    continue
            elif _cannot_finish_in_time(state, request, now):
                out += _refuse_too_late(state, request, now)
                continue
            server = choose(state, request, now)
            if server is None:
                break
            out += _start_attempt(state, request, server, now)
    return out


def choose(
    state: states.State, request: requests.Request, now: clock.Instant
) -> servers.Server | None:
    """Choose a backend server with a free slot for a request.

    :return: the server, none where no server may take the request now.
    """
    call = request.call
    nodes = state.membership.nodes
    usable = state.servers.usable(call.route.pool, now)
    wanted = usable
    if not call.is_relayed or state.moves.get(call.route.pool) is not None:
        wanted = versions.narrow(state, request, usable)
    candidates = [server for server in wanted if server.has_room(nodes)]
    if state.poison.is_suspect(call.fingerprint):
        candidates = [item for item in candidates if not item.suspects]
    untried = [
        server for server in candidates if server.host not in request.tried
    ]
    candidates = untried or candidates
    if not candidates:
        return None
    if call.is_relayed:
        if call.parts:
            return prefill.choose(state, candidates, call, now)
        return prefill.least_loaded(state, candidates, now)
    view = placement.View(
        call, state.random, state.rotation, state.options.me.zone
    )
    return state.options.policy(candidates, view)


def _start_attempt(
    state: states.State,
    request: requests.Request,
    server: servers.Server,
    now: clock.Instant,
) -> list[effects.Effect]:
    call = request.call
    state.queue.charge(call, state.index.weight_of(call.key.workspace))
    state.queue.remove(request.handle)
    waiting = state.queue.ahead(call) > 0
    state.pace.dispatch(call, now.mono, waiting)
    source = None
    if not call.is_relayed:
        source = prompts.source(state, request, server, now)
    request.phase = requests.Phase.RUNNING
    request.attempt += 1
    request.host = server.host
    request.tried.append(server.host)
    request.started = now.mono
    request.progressed = now.mono
    request.first = True
    request.base = len(request.tokens)
    request.in_doubt = True
    server.inflight += 1
    if state.poison.is_suspect(call.fingerprint):
        server.suspects += 1
    out: list[effects.Effect] = [
        effects.Count(effects.Counter.ATTEMPTS, call.route.name)
    ]
    if call.is_relayed:
        return out + relays.start(state, request, server, now)
    return [
        *out,
        requests.record(
            request,
            effects.Mark.ATTEMPT,
            f'attempt {request.attempt}, {len(request.tokens)} tokens sent',
        ),
        effects.StartAttempt(
            call=call,
            attempt=request.attempt,
            host=server.host,
            address=server.row.address,
            sent=tuple(request.tokens),
            first_ms=_first_token_timeout_ms(state, request, now),
            between_ms=_token_gap_timeout_ms(state, request),
            fresh=request.is_order,
            source=source,
        ),
    ]


def _cannot_finish_in_time(
    state: states.State, request: requests.Request, now: clock.Instant
) -> bool:
    service = state.pace.service(request.call, len(request.tokens))
    return now.mono + service > request.call.deadline


def _refuse_too_late(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    refusal = calls.Refusal(
        calls.Reason.TOO_LATE,
        request.ran,
        'the request can no longer finish before its deadline',
        requests.RETRY_AFTER_MS,
    )
    return orders.give_up(state, request, refusal, now)


def _first_token_timeout_ms(
    state: states.State, request: requests.Request, now: clock.Instant
) -> int:
    remaining = max(1, request.remaining(now))
    if request.is_order or request.call.kind is model.Kind.SERVICE:
        return remaining
    scaled_ms = round(
        FIRST_FACTOR * state.pace.first_ms(request.call.route.name)
    )
    return min(remaining, FIRST_MOST_MS, max(FIRST_LEAST_MS, scaled_ms))


def _token_gap_timeout_ms(
    state: states.State, request: requests.Request
) -> int:
    scaled_ms = BETWEEN_FACTOR * state.pace.between_ms(request.call.route.name)
    return min(BETWEEN_MOST_MS, max(BETWEEN_LEAST_MS, round(scaled_ms)))
