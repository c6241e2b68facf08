"""Dispatch of waiting requests to backend servers."""

from __future__ import annotations

import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import ends
from teaselbridge.decisions.forwarding import origin
from teaselbridge.decisions.limits import owners
from teaselbridge.decisions.limits import room
from teaselbridge.decisions.limits import sending
from teaselbridge.decisions import orders
from teaselbridge.decisions import placement
from teaselbridge.decisions import prefill
from teaselbridge.decisions import prompts
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions.room import predict
from teaselbridge.decisions import suspects
from teaselbridge.decisions import versions
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states
    from teaselbridge.peers import messages

# Bounds the work of one event.
MAX_SET_ASIDE = 16
FIRST_TOKEN_TIMEOUT_FACTOR = 10
MIN_FIRST_TOKEN_TIMEOUT_MS = 2_000
MAX_FIRST_TOKEN_TIMEOUT_MS = 15_000
TOKEN_GAP_TIMEOUT_FACTOR = 20
MIN_TOKEN_GAP_TIMEOUT_MS = 500
MAX_TOKEN_GAP_TIMEOUT_MS = 5_000


def refuse_if_too_late(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Refuse a waiting request once it cannot finish in time."""
    if request.phase is not requests.Phase.QUEUED or request.call.is_relayed:
        return []
    if not _cannot_finish_in_time(state, request, now):
        return []
    return _refuse_too_late(state, request, now)


def dispatch_waiting_requests(
    state: states.State, now: clock.Instant
) -> collections.abc.Iterator[effects.Effect]:
    """Dispatch as many waiting requests as servers have free slots.

    A request that the free servers may not serve is set aside meanwhile, so
    that it does not hold up those behind it.
    """
    for pool in state.queue.pools():
        set_aside: list[calls.Call] = []
        try:
            yield from _dispatch_pool(state, pool, set_aside, now)
        finally:
            for call in set_aside:
                state.queue.push(call)


def _dispatch_pool(
    state: states.State,
    pool: str,
    set_aside: list[calls.Call],
    now: clock.Instant,
) -> collections.abc.Iterator[effects.Effect]:
    """Dispatch the waiting requests of a pool.

    :param set_aside: list that those are added to that wait for a server
        that is not free; they are taken off the queue.
    """
    while len(set_aside) < MAX_SET_ASIDE:
        call = state.queue.peek(pool)
        if call is None:
            return
        request = state.requests[call.handle]
        if request.streaming and request.has_stopped_run:
            held = _hold_back(state, request, now)
            if held is not None:
                yield from held
                continue
        refused = _refuse_waiting(state, request, now)
        if refused:
            yield from refused
            continue
        if needs_other_node(state, request):
            passed = _pass_on(state, request, now)
            yield from passed
            if not passed:
                _set_aside(state, request, set_aside, now)
            continue
        server = choose_server(state, request, now)
        if server is not None:
            yield from start_attempt(state, request, server, now)
            continue
        if not _has_free_server(state, call, now):
            return
        _set_aside(state, request, set_aside, now)


def _set_aside(
    state: states.State,
    request: requests.Request,
    set_aside: list[calls.Call],
    now: clock.Instant,
) -> None:
    """Take a request that waits for a server that is not free off the queue.

    A stream that this node gave up may wait for longer than one event.
    """
    state.queue.remove(request.handle)
    if request.streaming and request.has_stopped_run:
        relays.postpone(request, now)
    else:
        set_aside.append(request.call)


def needs_other_node(state: states.State, request: requests.Request) -> bool:
    """Return whether this node cannot send a request to any server."""
    pool = request.call.route.pool
    if state.links.is_cut(pool):
        return True
    if state.limits.is_empty:
        return False
    return owners.has_no_part(state, state.servers.staying(pool))


def _pass_on(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Forward a request that this node cannot send, or refuse it.

    :return: no effects where a stream waits for a node that can help.
    """
    helper = choose_helper(state, request)
    if helper is not None:
        return origin.forward(state, request, helper, now)
    if request.streaming:
        if request.has_stopped_run:
            # Those that refused it may have room later.
            request.peers_tried.clear()
        return []
    detail = 'no node can send it to a server'
    return relays.give_up(state, request, ends.Cause.NODE, detail, now)


def choose_helper(
    state: states.State, request: requests.Request
) -> messages.Member | None:
    """Choose the node that gets a request that this one cannot send."""
    if request.call.origin or (
        request.has_stopped_run and request.has_used_attempts
    ):
        return None
    pool = request.call.route.pool
    able = None
    if not state.links.is_cut(pool):
        able = owners.list_owners(state, state.servers.staying(pool))
    return origin.choose_helper(state, request, able)


def _refuse_waiting(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    """Refuse a waiting request that must not be sent any more.

    :return: no effects where it may be sent.
    """
    if request.call.is_relayed:
        refusal = relay_checks.check_waiting_request(state, request, now)
        if refusal is None:
            return []
        cause = ends.Cause.NODE
        return requests.refuse(state, request, refusal, now, cause)
    if _cannot_finish_in_time(state, request, now):
        return _refuse_too_late(state, request, now)
    return []


def _hold_back(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect] | None:
    """Postpone a stream that must not be sent now, but may be later.

    Its server would have ended the stream that this node gave up.

    :return: none where it may be sent now; effects that end it where it never
        may.
    """
    if relay_checks.is_key_revoked(state, request.call):
        return relays.give_up(
            state,
            request,
            ends.Cause.NODE,
            relay_checks.REVOKED_DETAIL,
            now,
        )
    if not _may_go_on(state, request):
        detail = 'no server is left that may go on with it'
        return relays.give_up(state, request, ends.Cause.NODE, detail, now)
    if relay_checks.check_waiting_request(state, request, now) is None:
        return None
    state.queue.remove(request.handle)
    relays.postpone(request, now)
    return []


def _may_go_on(state: states.State, request: requests.Request) -> bool:
    """Return whether a server is left that may run a request.

    After as many runs as the route allows, only those that had it are.
    """
    if not request.has_used_attempts:
        return True
    staying = state.servers.staying(request.call.route.pool)
    return any(server.host in request.run_hosts for server in staying)


def _has_free_server(
    state: states.State, call: calls.Call, now: clock.Instant
) -> bool:
    """Return whether a server has a slot and memory for a request.

    Where none has, those behind it wait too, or small requests would take
    what becomes free for a large one.
    """
    nodes = active.count_nodes(state)
    return any(
        server.has_free_slot(nodes) and _has_memory(state, server, call, now)
        for server in list_usable(state, call.route.pool, now)
    )


def _has_memory(
    state: states.State,
    server: servers.Server,
    call: calls.Call,
    now: clock.Instant,
) -> bool:
    """Return whether an engine's memory has room for a request."""
    return not call.is_relayed or predict.fits(state, server, call, now)


def list_usable(
    state: states.State, pool: str, now: clock.Instant
) -> list[servers.Server]:
    """Return the servers of a pool that take a request of this node now."""
    usable = state.servers.usable(pool, now)
    if state.limits.is_empty:
        return usable
    usable = sending.filter_by_rate(state, usable, now)
    return room.filter_by_room(state, usable)


def choose_server(
    state: states.State, request: requests.Request, now: clock.Instant
) -> servers.Server | None:
    """Choose a backend server with a free slot for a request.

    :return: the server, none where no server may take the request now.
    """
    call = request.call
    candidates = list_candidates(state, request, now)
    if not candidates:
        return None
    if call.is_relayed:
        if call.parts:
            return prefill.choose_engine(state, candidates, call, now)
        return prefill.choose_least_loaded(state, candidates, now)
    view = placement.PolicyInput(
        call, state.random, state.rotation, state.options.me.zone
    )
    return state.options.policy(candidates, view)


def list_candidates(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[servers.Server]:
    """Return the servers among which one is chosen for a request."""
    call = request.call
    nodes = active.count_nodes(state)
    usable = list_usable(state, call.route.pool, now)
    wanted = versions.filter_by_version(state, request, usable)
    candidates = [
        server
        for server in wanted
        if server.has_free_slot(nodes)
        and _has_memory(state, server, call, now)
    ]
    if state.poison.is_suspect(call.fingerprint):
        candidates = [item for item in candidates if not item.suspect_requests]
    candidates = suspects.filter_for_trial(state, request, candidates)
    untried = [
        server for server in candidates if server.host not in request.tried
    ]
    if request.has_stopped_run and request.has_used_attempts:
        return [item for item in candidates if item.host in request.run_hosts]
    return untried or candidates


def start_attempt(
    state: states.State,
    request: requests.Request,
    server: servers.Server,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Start an attempt of a request, queued or not, at a server."""
    call = request.call
    state.queue.charge(
        call, state.index.get_workspace_weight(call.key.workspace)
    )
    state.queue.remove(request.handle)
    waiting = state.queue.count_ahead(call) > 0
    state.latency_estimator.observe_dispatch(call, now.mono, waiting)
    source = None
    if not call.is_relayed:
        source = prompts.source(state, request, server, now)
    request.phase = requests.Phase.RUNNING
    request.begin_attempt()
    request.host = server.host
    request.tried.append(server.host)
    request.started_at = now.mono
    request.progressed_at = now.mono
    request.first = True
    request.base = len(request.tokens)
    request.in_doubt = True
    server.inflight += 1
    if state.poison.is_suspect(call.fingerprint):
        server.suspect_requests += 1
    out: list[effects.Effect] = [
        effects.Count(effects.Counter.ATTEMPTS, call.route.name),
        *sending.record_attempt(state, server),
    ]
    if call.is_relayed:
        return out + relays.start_attempt(state, request, server, now)
    return [
        *out,
        requests.build_record(
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
            token_timeout_ms=_token_gap_timeout_ms(state, request),
            new_connection=request.is_at_most_once,
            source=source,
        ),
    ]


def _cannot_finish_in_time(
    state: states.State, request: requests.Request, now: clock.Instant
) -> bool:
    done = len(request.tokens)
    service = requests.predict_service(state, request.call, done, now)
    return now.mono + service > request.call.deadline


def _refuse_too_late(
    state: states.State, request: requests.Request, now: clock.Instant
) -> list[effects.Effect]:
    refusal = calls.Refusal(
        calls.Reason.CANNOT_FINISH_IN_TIME,
        request.ran,
        'the request can no longer finish before its deadline',
        requests.MIN_RETRY_AFTER_MS,
    )
    return orders.refuse_and_close(state, request, refusal, now)


def _first_token_timeout_ms(
    state: states.State, request: requests.Request, now: clock.Instant
) -> int:
    """Return after which time without a first byte an attempt has failed.

    The deadline is none: the reducer ends requests there, and lets an attempt
    that must not be repeated go on for a while.
    """
    if request.is_at_most_once or request.call.kind is model.Kind.SERVICE:
        remaining = max(1, request.remaining_ms(now))
        return remaining + 2 * orders.POST_DEADLINE_TIMEOUT_MS
    scaled_ms = round(
        FIRST_TOKEN_TIMEOUT_FACTOR
        * state.latency_estimator.first_ms(request.call.route.name)
    )
    return min(
        MAX_FIRST_TOKEN_TIMEOUT_MS,
        max(MIN_FIRST_TOKEN_TIMEOUT_MS, scaled_ms),
    )


def _token_gap_timeout_ms(
    state: states.State, request: requests.Request
) -> int:
    scaled_ms = (
        TOKEN_GAP_TIMEOUT_FACTOR
        * state.latency_estimator.mean_token_gap_ms(request.call.route.name)
    )
    return min(
        MAX_TOKEN_GAP_TIMEOUT_MS,
        max(MIN_TOKEN_GAP_TIMEOUT_MS, round(scaled_ms)),
    )
