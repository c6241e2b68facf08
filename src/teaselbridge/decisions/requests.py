"""Requests that this node holds, from arrival to their last word."""

from __future__ import annotations

import enum
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

RETRY_AFTER_MS = 1_000


class Phase(enum.Enum):
    """Where a request stands."""

    CLAIMING = 'claiming'
    TWIN = 'twin'
    QUEUED = 'queued'
    RUNNING = 'running'
    BACKOFF = 'backoff'
    STORING = 'storing'
    CLOSING = 'closing'
    MOVING = 'moving'
    FINISHED = 'finished'


class Request:
    """One request and how far it has come.

    :param call: what the caller asked.
    :param now: when it arrived.
    """

    def __init__(self, *, call: calls.Call, now: clock.Instant) -> None:
        self.call = call
        self.phase = Phase.QUEUED
        self.arrived = now.mono
        self.attached = True
        self.outlet = call.handle
        self.finished: events.StreamEnded | None = None
        self.attempt = 0
        self.host = ''
        self.started = 0
        self.progressed = 0
        self.first = True
        self.first_at = 0
        self.base = 0
        self.tokens = list(call.resumed)
        self.tried: list[str] = []
        self.failed_on = ''
        self.due = 0
        self.token = ''
        self.answer: calls.Answer | None = None
        self.in_doubt = False
        self.claimed = False
        self.peer = ''
        self.peers_tried: list[str] = []
        self.streaming = False
        self.began = False
        self.maybe_ran = False
        self.runs = 0
        self.refusals = 0
        self.unread = 0
        self.read_alone = False
        self.silent_ms = 0
        self.expected_ms = 0.0
        self.last_event: int | None = None

    @property
    def handle(self) -> int:
        """Number of the request within this process."""
        return self.call.handle

    @property
    def is_order(self) -> bool:
        """Whether it may run at most once."""
        return not self.call.route.idempotent

    @property
    def has_claim(self) -> bool:
        """Whether its caller may send it again under the same id."""
        return self.is_order and not self.call.is_relayed

    @property
    def is_resumable(self) -> bool:
        """Whether another server can go on where one stopped."""
        return self.call.kind is model.Kind.ENGINE

    @property
    def ran(self) -> calls.Ran:
        """Whether it may have been run.

        A held claim proves that no other sending of an order has run.
        """
        if self.in_doubt:
            return calls.Ran.UNKNOWN
        return calls.Ran.NO if self.claimed else self.call.ran_before

    def remaining(self, now: clock.Instant) -> int:
        """Milliseconds left until its deadline."""
        return self.call.deadline - now.mono


def check(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Tell why a new request cannot be accepted.

    :return: none where it can.
    """
    if state.membership.withdrawn:
        return _refusal(call, calls.Reason.WITHDRAWN, 'this node is cut off')
    if call.deadline <= now.mono:
        detail = 'the deadline has passed'
        return _refusal(call, calls.Reason.DEADLINE, detail)
    if state.poison.is_refused(call.fingerprint, now.wall):
        detail = 'backend servers died running the same body'
        return calls.Refusal(calls.Reason.POISON, call.ran_before, detail)
    if _held_by(state, call) >= call.route.workspace_limit:
        detail = 'too many requests of this workspace on this route'
        return _refusal(call, calls.Reason.WORKSPACE_LIMIT, detail)
    return _check_time(state, call, now)


def refuse(
    state: states.State, request: Request, refusal: calls.Refusal
) -> list[effects.Effect]:
    """End a request without an answer."""
    out = drop(state, request)
    route = request.call.route.name
    counter = effects.Counter.REFUSED
    if refusal.reason is calls.Reason.DEADLINE:
        counter = effects.Counter.LATE
    out.append(effects.Count(counter, f'{route}:{refusal.reason.value}'))
    detail = f'{refusal.reason.value}, ran {refusal.ran.value}'
    out.append(record(request, effects.Mark.REFUSED, detail))
    if request.attached:
        out.append(effects.SendRefusal(request.outlet, refusal))
    return out


def record(
    request: Request, mark: effects.Mark, detail: str
) -> effects.Record:
    """Build the time line's entry for what happened to a request."""
    call = request.call
    return effects.Record(
        mark=mark,
        request=call.key.id,
        route=call.route.name,
        pool=call.route.pool,
        host=request.host,
        detail=detail,
    )


def tell_fault(request: Request, fault: calls.Fault) -> list[effects.Effect]:
    """Count a failed attempt, and add it to the time line."""
    detail = f'{fault.kind.value}, ran {fault.ran.value}: {fault.detail}'
    return [
        effects.Count(effects.Counter.FAULTS, fault.kind.value),
        record(request, effects.Mark.FAULT, detail),
    ]


def drop(state: states.State, request: Request) -> list[effects.Effect]:
    """Forget a request, and give up its attempt."""
    out = release(state, request)
    state.queue.remove(request.handle)
    state.requests.pop(request.handle, None)
    state.aliases.pop(request.outlet, None)
    if state.held.get(request.call.key) == request.handle:
        del state.held[request.call.key]
    return out


def release(state: states.State, request: Request) -> list[effects.Effect]:
    """Give up the attempt of a request, if it has one."""
    if request.phase is not Phase.RUNNING:
        return []
    leave_server(state, request)
    return [effects.CancelAttempt(request.handle, request.attempt)]


def leave_server(state: states.State, request: Request) -> None:
    """Count a request out of the server that it was on."""
    server = state.servers.get(request.host)
    request.phase = Phase.BACKOFF
    if server is None:
        return
    server.inflight = max(0, server.inflight - 1)
    server.prefill = max(0, server.prefill - request.unread)
    request.unread = 0
    if state.poison.is_suspect(request.call.fingerprint):
        server.suspects = max(0, server.suspects - 1)


def enqueue(state: states.State, request: Request) -> None:
    """Let a request wait for a backend server."""
    request.phase = Phase.QUEUED
    state.queue.push(request.call)


def attach(
    state: states.State, request: Request, call: calls.Call
) -> list[effects.Effect]:
    """Join a caller with its request, which this node holds already."""
    request.attached = True
    request.outlet = call.handle
    state.aliases[call.handle] = request.handle
    out: list[effects.Effect] = [
        effects.SendToken(call.handle, index, request.tokens[index])
        for index in range(len(call.resumed), len(request.tokens))
    ]
    if request.finished is None:
        return out
    out.append(
        effects.SendEnd(
            call.handle,
            request.finished.finish,
            request.finished.prompt_tokens,
            len(request.tokens),
        )
    )
    return out + drop(state, request)


def leave(
    state: states.State, event: events.CallerLeft
) -> list[effects.Effect]:
    """A caller closed its connection.

    An order goes on, so that a re-send finds its outcome.
    """
    handle = state.aliases.get(event.handle, event.handle)
    request = state.requests.get(handle)
    if request is None or request.outlet != event.handle:
        return []
    request.attached = False
    if request.has_claim:
        return []
    return drop(state, request)


def _held_by(state: states.State, call: calls.Call) -> int:
    return sum(
        1
        for request in state.requests.values()
        if request.call.key.workspace == call.key.workspace
        and request.call.route.name == call.route.name
    )


def _check_time(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    ahead = state.queue.ahead(call)
    wait = state.pace.wait(call, ahead, now.mono)
    service = state.pace.service(call, len(call.resumed))
    if now.mono + wait + service <= call.deadline:
        return None
    detail = f'{wait + service:.0f} ms needed, deadline is sooner'
    return calls.Refusal(
        calls.Reason.TOO_LATE,
        call.ran_before,
        detail,
        max(RETRY_AFTER_MS, round(wait)),
    )


def _refusal(
    call: calls.Call, reason: calls.Reason, detail: str
) -> calls.Refusal:
    return calls.Refusal(reason, call.ran_before, detail, RETRY_AFTER_MS)
