"""Explanation of where a request would be sent now, without sending it.

The decision code runs on copies of what it changes, and draws from a copy of
the node's generator. Its answer is therefore the one that the same request
gets if it is sent next.
"""

from __future__ import annotations

import copy
import dataclasses
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import arrival
from teaselbridge.decisions import calls
from teaselbridge.decisions import dispatch
from teaselbridge.decisions import drain
from teaselbridge.decisions.limits import room
from teaselbridge.decisions.limits import sending
from teaselbridge.decisions import placement
from teaselbridge.decisions import prefill
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions.room import predict
from teaselbridge.decisions.spreading import choice
from teaselbridge.decisions import versions
from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

SOURCE = 'question'
# Parts of the state that checks and choices of a new request change: budgets,
# memoized shares, standings that are renewed, and generators.
CHANGED_BY_CHECKS = (
    'random',
    'rotation',
    'head_orders',
    'rates',
    'limits',
    'parts',
    'poison',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartOfPrompt:
    """A part of a prompt.

    :param id: its id, as callers state it.
    :param tokens: its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """A request that is to be explained.

    :param route: name of its route.
    :param workspace: name of its workspace.
    :param id: its id, which decides between versions and shared pools.
    :param parts: parts of its prompt in order, for model engines.
    :param tokens: tokens of its prompt, the sum of the parts if 0.
    :param prompt: text of its prompt, for engines that are not relayed to.
    :param deadline_ms: time that its caller has, 0 for that of the route.
    """

    route: str
    workspace: str = ''
    id: str = 'explain'
    parts: tuple[PartOfPrompt, ...] = ()
    tokens: int = 0
    prompt: str = ''
    deadline_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ranked:
    """A server that may take the request.

    :param server: name of its host.
    :param wait_ms: predicted milliseconds to the first byte, penalties
        included, by which servers are compared.
    :param reported_ms: the same with the load of other nodes as reported.
    :param inflight: requests of this node on it.
    :param others: requests of other nodes on it, as reported.
    :param slots: requests that it runs at once.
    :param cached_tokens: leading prompt tokens in its prefix cache.
    :param age_ms: age of what is known of the other nodes' load.
    :param pace: pace of its machine now, in percent of the usual one.
    :param held_tokens: tokens that running requests hold in its memory.
    """

    server: str
    wait_ms: float
    reported_ms: float
    inflight: int
    others: int
    slots: int
    cached_tokens: int
    age_ms: float
    pace: int = 100
    held_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Excluded:
    """A server of the pool that may not take the request, and why."""

    server: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Where a request would be sent now, and why.

    :param node: node that answers.
    :param pool: pool that the route leads to.
    :param admitted: whether the request would be accepted.
    :param refusal: reason of the refusal, empty if it is accepted.
    :param detail: explanation of the refusal.
    :param retry_after_ms: when its caller would be told to return.
    :param ahead: requests that wait for the pool before it.
    :param forwarded: whether another node would send it, since this one may
        not or cannot.
    :param chosen: host that it would be sent to, empty if it would wait.
    :param candidates: servers that may take it, the least wait first.
    :param excluded: other servers of the pool.
    """

    node: str
    pool: str
    admitted: bool
    refusal: str = ''
    detail: str = ''
    retry_after_ms: int = 0
    ahead: int = 0
    forwarded: bool = False
    chosen: str = ''
    candidates: tuple[Ranked, ...] = ()
    excluded: tuple[Excluded, ...] = ()


def explain(
    state: states.State, question: Question, now: clock.Instant
) -> Explanation:
    """Explain where a request would be sent now; the state is unchanged.

    :raises errors.DocumentError: the question has an unusable field.
    """
    call = build_call(state, question, now)
    scratch = _copy(state)
    request = requests.Request(call=call, now=now)
    refusal = _check(scratch, request, now)
    candidates = dispatch.list_candidates(scratch, request, now)
    ahead = state.queue.count_before(call)
    forwarded = refusal is None and dispatch.needs_other_node(scratch, request)
    chosen = None
    if refusal is None and not ahead and not forwarded:
        chosen = dispatch.choose_server(scratch, request, now)
    return Explanation(
        node=state.options.me.name,
        pool=call.route.pool,
        admitted=refusal is None,
        refusal='' if refusal is None else refusal.reason.value,
        detail='' if refusal is None else refusal.detail,
        retry_after_ms=0 if refusal is None else refusal.retry_after_ms,
        ahead=ahead,
        forwarded=forwarded,
        chosen='' if chosen is None else chosen.host,
        candidates=_rank(scratch, candidates, call, now),
        excluded=_list_excluded(scratch, request, candidates, now),
    )


def parse_question(data: bytes) -> Question:
    """Parse a question from JSON.

    :raises errors.DocumentError: it is malformed, with the field.
    """
    document = documents.decode(data, dict[str, object], SOURCE)
    return documents.convert(document, Question, SOURCE)


def build_call(
    state: states.State, question: Question, now: clock.Instant
) -> calls.Call:
    """Return the request that a question describes.

    :raises errors.DocumentError: a field names nothing that exists, or its
        value is out of range.
    """
    route = state.index.route(question.route)
    if route is None:
        raise _build_error('route', f'no route `{question.route}`')
    workspace = state.index.workspace(question.workspace)
    if workspace is None and question.workspace:
        detail = f'no workspace `{question.workspace}`'
        raise _build_error('workspace', detail)
    if question.deadline_ms < 0:
        raise _build_error('deadline_ms', 'expected 0 or more')
    if question.tokens < 0:
        raise _build_error('tokens', 'expected 0 or more')
    for number, part in enumerate(question.parts):
        if part.tokens < 0:
            raise _build_error(f'parts[{number}].tokens', 'expected 0 or more')
    route = relays.resolve_route(route, workspace, question.id)
    pool = state.index.pool(route.pool)
    parts = tuple(
        calls.PromptPart(part.id, part.tokens) for part in question.parts
    )
    return calls.Call(
        handle=0,
        key=calls.RequestKey(question.workspace, question.id),
        route=route,
        kind=model.Kind.RELAYED if pool is None else pool.kind,
        deadline=now.mono + (question.deadline_ms or route.deadline_ms),
        path=route.match.path,
        parts=parts,
        tokens_in=question.tokens or sum(part.tokens for part in parts),
        prompt_size=len(question.prompt),
        prefix=placement.hash_prefix(question.prompt),
    )


def _build_error(field: str, detail: str) -> errors.DocumentError:
    return errors.DocumentError(SOURCE, f'$.{field}', detail)


def _copy(state: states.State) -> states.State:
    """Return a state whose parts that checks change are copies."""
    scratch = copy.copy(state)
    for name in CHANGED_BY_CHECKS:
        setattr(scratch, name, copy.deepcopy(getattr(state, name)))
    return scratch


def _check(
    state: states.State, request: requests.Request, now: clock.Instant
) -> calls.Refusal | None:
    """Return the refusal of a request, none where it is accepted."""
    call = request.call
    if drain.is_closed_to_new_requests(state, now) and not call.is_relayed:
        return calls.Refusal(
            calls.Reason.STOPPING,
            calls.RunStatus.NOT_RUN,
            'this node is stopping',
        )
    refusal = arrival.check_new_request(state, call, now)
    if refusal is not None:
        return refusal
    if len(state.queue) >= state.options.queue:
        return calls.Refusal(
            calls.Reason.OVERLOAD,
            calls.RunStatus.NOT_RUN,
            'the queue is full',
        )
    if not call.is_relayed:
        return None
    return relay_checks.check_waiting_request(state, request, now)


def _rank(
    state: states.State,
    candidates: list[servers.Server],
    call: calls.Call,
    now: clock.Instant,
) -> tuple[Ranked, ...]:
    """Return the candidates, those with the least predicted wait first."""
    if not candidates:
        return ()
    if call.parts:
        options = prefill.describe_engines(state, candidates, call, now)
    else:
        options = prefill.describe_plain_servers(state, candidates, now)
    costs = [item.cost_ms for item in options]
    if active.count_nodes(state) > 1:
        costs = choice.level_costs(options)
    ranked = [
        Ranked(
            server=item.server.host,
            wait_ms=round(cost, 1),
            reported_ms=round(item.cost_ms, 1),
            inflight=item.server.inflight,
            others=item.server.other_requests,
            slots=item.server.slots,
            cached_tokens=item.cached_tokens,
            pace=round(item.server.profile.get_pace(now)),
            held_tokens=item.server.profile.tokens
            + item.server.profile.other_tokens,
            age_ms=round(item.age_ms, 1),
        )
        for item, cost in zip(options, costs, strict=True)
    ]
    return tuple(sorted(ranked, key=lambda item: (item.wait_ms, item.server)))


def _list_excluded(
    state: states.State,
    request: requests.Request,
    candidates: list[servers.Server],
    now: clock.Instant,
) -> tuple[Excluded, ...]:
    """Return the other servers of the pool, each with the first reason."""
    hosts = {server.host for server in candidates}
    pool = request.call.route.pool
    usable = dispatch.list_usable(state, pool, now)
    wanted = versions.filter_by_version(state, request, usable)
    wanted_hosts = {server.host for server in wanted}
    return tuple(
        Excluded(
            server=server.host,
            reason=_find_unusable_reason(state, server, now)
            or _find_unwanted_reason(
                state, server, request.call, wanted_hosts, now
            ),
        )
        for server in state.servers.in_pool(pool)
        if server.host not in hosts
    )


def _find_unusable_reason(
    state: states.State, server: servers.Server, now: clock.Instant
) -> str:
    """Return why a server takes no request at all, empty if it may."""
    if server.leaving:
        return 'leaving'
    if server.row.zone in state.servers.closed_zones:
        return f'its availability zone {server.row.zone} is evacuated'
    if not server.version:
        return 'its version is not known'
    for until, reason in (
        (server.ejected_until, 'ejected for failures'),
        (server.full_until, 'answered that it is full'),
        (server.backoff_until, 'asked for no requests'),
    ):
        if until > now.mono:
            return f'{reason}, {until - now.mono} ms left'
    if state.limits.is_empty:
        return ''
    if not sending.filter_by_rate(state, [server], now):
        cold = 'cold, and ' if server.host in state.limits.cold_rates else ''
        return f'{cold}its rate allows none of this node now'
    if not room.filter_by_room(state, [server]):
        return "this node's part of its slots is in use"
    return ''


def _find_unwanted_reason(
    state: states.State,
    server: servers.Server,
    call: calls.Call,
    wanted: set[str],
    now: clock.Instant,
) -> str:
    """Return why a usable server may not take this request."""
    if server.host not in wanted:
        return f'version {server.version} is not the one for this request'
    if not server.has_free_slot(active.count_nodes(state)):
        return f'all {server.slots} slots are in use'
    if call.is_relayed and not predict.fits(state, server, call, now):
        return 'its memory has no room for the request'
    return 'runs a request that is suspected to crash servers'
