"""Requests held by this node, from arrival to the end of the answer."""

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
    """Stage of a request's life cycle."""

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
    """One request and its progress.

    :param call: the checked request.
    :param now: time of arrival.
    :ivar attached: whether a caller is connected and waits for the answer.
    :ivar outlet: handle of the call that receives the output.
    :ivar finished: end of the stream, kept until a caller attaches.
    :ivar attempt: number of the latest attempt.
    :ivar started: monotonic milliseconds at which that attempt started.
    :ivar progressed: monotonic milliseconds of its last progress.
    :ivar first: whether its first token or first byte is still awaited.
    :ivar first_at: monotonic milliseconds of its first token.
    :ivar base: number of tokens received before it started.
    :ivar tried: hosts that the request was sent to.
    :ivar failed_on: version of the server that failed it last.
    :ivar due: monotonic milliseconds of the next step.
    :ivar token: unique token of its claim.
    :ivar in_doubt: whether an attempt may have run it with unknown outcome.
    :ivar claimed: whether this node holds its claim.
    :ivar streaming: whether the head of the stream was sent to the caller.
    :ivar began: whether it has been counted for the usage reports.
    :ivar maybe_ran: whether a failed attempt may have run it.
    :ivar runs: failed attempts that may have run it.
    :ivar refusals: failed attempts that provably did not run it.
    :ivar unread: prompt tokens that its server has yet to prefill.
    :ivar read_alone: whether its server had no other prefill queued.
    :ivar silent_ms: time without data after which it is retried elsewhere.
    :ivar expected_ms: predicted time to the first byte.
    :ivar last_event: number of the last event passed on to the caller.
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
        """Whether the request may run at most once."""
        return not self.call.route.idempotent

    @property
    def has_claim(self) -> bool:
        """Whether the caller may resend it under the same id."""
        return self.is_order and not self.call.is_relayed

    @property
    def is_resumable(self) -> bool:
        """Whether another server can continue an interrupted stream."""
        return self.call.kind is model.Kind.ENGINE

    @property
    def ran(self) -> calls.Ran:
        """Whether the request may have been run.

        Holding the claim proves that no duplicate of a request that may
        run at most once has been run.
        """
        if self.in_doubt:
            return calls.Ran.UNKNOWN
        return calls.Ran.NO if self.claimed else self.call.ran_before

    def remaining(self, now: clock.Instant) -> int:
        """Return the milliseconds left until the deadline."""
        return self.call.deadline - now.mono


def check(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Check whether a new request can be accepted.

    :return: the refusal, none where the request is accepted.
    """
    if state.membership.withdrawn:
        return _build_refusal(
            call,
            calls.Reason.WITHDRAWN,
            'this node is isolated from the cluster',
        )
    if call.deadline <= now.mono:
        detail = 'the deadline has passed'
        return _build_refusal(call, calls.Reason.DEADLINE, detail)
    if state.poison.is_refused(call.fingerprint, now.wall):
        detail = 'backend servers crashed running the same body'
        return calls.Refusal(calls.Reason.POISON, call.ran_before, detail)
    if _count_held(state, call) >= call.route.workspace_limit:
        detail = 'the workspace has too many requests on this route'
        return _build_refusal(call, calls.Reason.WORKSPACE_LIMIT, detail)
    return _check_completion_time(state, call, now)


def refuse(
    state: states.State, request: Request, refusal: calls.Refusal
) -> list[effects.Effect]:
    """Remove a request and send its caller a refusal."""
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
    """Build a timeline entry for a request."""
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
    """Count a failed attempt and add it to the timeline."""
    detail = f'{fault.kind.value}, ran {fault.ran.value}: {fault.detail}'
    return [
        effects.Count(effects.Counter.FAULTS, fault.kind.value),
        record(request, effects.Mark.FAULT, detail),
    ]


def drop(state: states.State, request: Request) -> list[effects.Effect]:
    """Remove a request and cancel its attempt."""
    out = release(state, request)
    state.queue.remove(request.handle)
    state.requests.pop(request.handle, None)
    state.aliases.pop(request.outlet, None)
    if state.held.get(request.call.key) == request.handle:
        del state.held[request.call.key]
    return out


def release(state: states.State, request: Request) -> list[effects.Effect]:
    """Cancel the running attempt of a request, if it has one."""
    if request.phase is not Phase.RUNNING:
        return []
    leave_server(state, request)
    return [effects.CancelAttempt(request.handle, request.attempt)]


def leave_server(state: states.State, request: Request) -> None:
    """Remove a request from its server's counts and mark it as waiting."""
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
    """Queue a request for a backend server."""
    request.phase = Phase.QUEUED
    state.queue.push(request.call)


def attach(
    state: states.State, request: Request, call: calls.Call
) -> list[effects.Effect]:
    """Attach a caller to a request that this node already holds.

    Send the tokens that the caller has not received yet.
    """
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
    """Handle the disconnect of a caller.

    A request with a claim continues, so that a resend finds its outcome.
    """
    handle = state.aliases.get(event.handle, event.handle)
    request = state.requests.get(handle)
    if request is None or request.outlet != event.handle:
        return []
    request.attached = False
    if request.has_claim:
        return []
    return drop(state, request)


def _count_held(state: states.State, call: calls.Call) -> int:
    return sum(
        1
        for request in state.requests.values()
        if request.call.key.workspace == call.key.workspace
        and request.call.route.name == call.route.name
    )


def _check_completion_time(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    ahead = state.queue.ahead(call)
    wait = state.pace.wait(call, ahead, now.mono)
    service = state.pace.service(call, len(call.resumed))
    if now.mono + wait + service <= call.deadline:
        return None
    detail = f'{wait + service:.0f} ms needed, the deadline is earlier'
    return calls.Refusal(
        calls.Reason.TOO_LATE,
        call.ran_before,
        detail,
        max(RETRY_AFTER_MS, round(wait)),
    )


def _build_refusal(
    call: calls.Call, reason: calls.Reason, detail: str
) -> calls.Refusal:
    return calls.Refusal(reason, call.ran_before, detail, RETRY_AFTER_MS)
