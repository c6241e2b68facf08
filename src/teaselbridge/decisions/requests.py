"""Requests held by this node, from arrival to the end of the answer."""

from __future__ import annotations

import dataclasses
import enum
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import ends
from teaselbridge.decisions.room import memory
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

MIN_RETRY_AFTER_MS = 1_000
MAX_LOGGED_PARTS = 8


class Phase(enum.Enum):
    """Stage of a request's life cycle."""

    CLAIMING = 'claiming'
    DUPLICATE = 'twin'
    QUEUED = 'queued'
    RUNNING = 'running'
    BACKOFF = 'backoff'
    STORING = 'storing'
    CLOSING = 'closing'
    HANDING_OVER = 'moving'
    FINISHED = 'finished'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SilentAttempt:
    """Attempt that goes on while the request is tried on another server.

    Each field has the meaning and the name of that of a request.
    """

    attempt: int
    host: str
    helper: str
    started_at: int
    progressed_at: int
    first: bool
    first_token_at: int
    event_count: int
    uncached_tokens: int
    is_only_prefill: bool
    pace: float
    held_tokens: int
    silence_timeout_ms: int
    expected_first_byte_ms: float


_ATTEMPT_FIELDS = tuple(
    field.name for field in dataclasses.fields(SilentAttempt)
)


class Request:
    """One request and its progress.

    :param call: the checked request.
    :param now: time of arrival.
    :ivar attached: whether a caller is connected and waits for the answer.
    :ivar caller_handle: handle of the call that receives the output.
    :ivar finished: end of the stream, kept until a caller attaches.
    :ivar attempt: number of the current attempt.
    :ivar attempt_count: number of attempts so far.
    :ivar silent: earlier attempt that is still running, none for none.
    :ivar has_stopped_run: whether this node gave up a run that its server
        had not ended, and no other server has sent events since.
    :ivar needs_budget: whether its next attempt waits for the retry budget.
    :ivar started_at: monotonic milliseconds at which that attempt started.
    :ivar sent_at: monotonic milliseconds at which its request was sent, none
        where that is not known.
    :ivar progressed_at: monotonic milliseconds of its last progress.
    :ivar first: whether its first token or first byte is still awaited.
    :ivar first_token_at: monotonic milliseconds of its first token.
    :ivar event_count: number of stream events that it received.
    :ivar base: number of tokens received before it started.
    :ivar tried: hosts that the request was sent to.
    :ivar run_hosts: hosts of failed attempts that may have run it.
    :ivar failed_version: version of the server that failed it last.
    :ivar due_at: monotonic milliseconds of the next step.
    :ivar token: unique token of its claim.
    :ivar in_doubt: whether an attempt may have run it with unknown outcome.
    :ivar claimed: whether this node holds its claim.
    :ivar streaming: whether the head of the stream was sent to the caller.
    :ivar began: whether it has been counted for the usage reports.
    :ivar may_have_run: whether a failed attempt may have run it.
    :ivar possible_runs: failed attempts that may have run it.
    :ivar refused_attempts: failed attempts that provably did not run it.
    :ivar uncached_tokens: prompt tokens that its server has yet to prefill.
    :ivar is_only_prefill: whether its server had no other prefill queued.
    :ivar pace: pace of its server at the start of the attempt, in percent.
    :ivar held_tokens: tokens that it holds in the memory of its server.
    :ivar silence_timeout_ms: time without data after which it is retried
        elsewhere.
    :ivar expected_first_byte_ms: predicted time to the first byte.
    :ivar helper: node that the running attempt was forwarded to.
    :ivar cancellation: latest attempt that this node cancelled.
    :ivar last_event: number of the last event passed on to the caller.
    :ivar numbered_attempt: number of the latest attempt whose events had
        numbers.
    :ivar has_unnumbered: whether the caller has events without a number, so
        that no other server can continue the stream.
    """

    def __init__(self, *, call: calls.Call, now: clock.Instant) -> None:
        self.call = call
        self.phase = Phase.QUEUED
        self.arrived = now.mono
        self.attached = True
        self.caller_handle = call.handle
        self.finished: events.StreamEnded | None = None
        self.attempt = 0
        self.attempt_count = 0
        self.silent: SilentAttempt | None = None
        self.has_stopped_run = False
        self.needs_budget = False
        self.host = ''
        self.started_at = 0
        self.sent_at: int | None = None
        self.progressed_at = 0
        self.first = True
        self.first_token_at = 0
        self.event_count = 0
        self.base = 0
        self.tokens = list(call.resumed)
        self.tried: list[str] = []
        self.run_hosts: set[str] = set()
        self.failed_version = ''
        self.due_at = 0
        self.token = ''
        self.answer: calls.Answer | None = None
        self.in_doubt = False
        self.claimed = False
        self.peer = ''
        self.peers_tried: list[str] = []
        self.streaming = False
        self.began = call.is_counted
        self.may_have_run = False
        self.possible_runs = 0
        self.refused_attempts = 0
        self.uncached_tokens = 0
        self.is_only_prefill = False
        self.pace = 100.0
        self.held_tokens = 0
        self.silence_timeout_ms = 0
        self.expected_first_byte_ms = 0.0
        self.last_event: int | None = None
        self.numbered_attempt = 0
        self.has_unnumbered = False
        self.helper = ''
        self.cancellation: ends.Cancellation | None = None

    @property
    def handle(self) -> int:
        """Number of the request within this process."""
        return self.call.handle

    @property
    def is_at_most_once(self) -> bool:
        """Whether the request may run at most once."""
        return not self.call.route.idempotent

    @property
    def uses_claim(self) -> bool:
        """Whether the caller may resend it under the same id."""
        return self.is_at_most_once and not self.call.is_relayed

    @property
    def is_resumable(self) -> bool:
        """Whether another server can continue an interrupted stream."""
        return self.call.kind is model.Kind.ENGINE

    @property
    def has_used_attempts(self) -> bool:
        """Whether no server may run it that has not had it yet."""
        return self.possible_runs >= self.call.route.attempts

    @property
    def resume_after(self) -> str:
        """Id of the last stream event that the caller has, empty for none."""
        if self.last_event is None:
            return self.call.last_event
        return str(self.last_event)

    @property
    def has_all_tokens(self) -> bool:
        """Whether a completion lacks nothing but its end."""
        return (
            self.is_resumable
            and not self.call.is_relayed
            and 0 < self.call.max_tokens <= len(self.tokens)
        )

    @property
    def ran(self) -> calls.RunStatus:
        """Whether the request may have been run.

        Holding the claim proves that no duplicate of a request that may
        run at most once has been run.
        """
        if self.in_doubt:
            return calls.RunStatus.UNKNOWN
        return calls.RunStatus.NOT_RUN if self.claimed else self.call.prior_run

    def remaining_ms(self, now: clock.Instant) -> int:
        """Return the milliseconds left until the deadline."""
        return self.call.deadline - now.mono

    def has_attempt(self, number: int) -> bool:
        """Return whether an attempt is the current or the kept one."""
        if number == self.attempt:
            return True
        return self.silent is not None and number == self.silent.attempt

    def begin_attempt(self) -> None:
        """Give the next attempt a number that no earlier one had."""
        self.attempt_count += 1
        self.attempt = self.attempt_count
        self.sent_at = None

    def keep_silent_attempt(self) -> None:
        """Keep the current attempt, as another one is about to begin."""
        self.silent = self._save_attempt()
        self.helper = ''
        self.uncached_tokens = self.held_tokens = 0

    def use_silent_attempt(self) -> None:
        """Go on with the kept attempt; the current one has ended."""
        silent = self.silent
        assert silent is not None
        self.silent = None
        self.phase = Phase.RUNNING
        self._load_attempt(silent)

    def swap_attempts(self) -> None:
        """Exchange the current attempt and the kept one."""
        silent = self.silent
        assert silent is not None
        self.silent = self._save_attempt()
        self._load_attempt(silent)

    def _save_attempt(self) -> SilentAttempt:
        return SilentAttempt(
            **{name: getattr(self, name) for name in _ATTEMPT_FIELDS}
        )

    def _load_attempt(self, saved: SilentAttempt) -> None:
        for name in _ATTEMPT_FIELDS:
            setattr(self, name, getattr(saved, name))


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
        return calls.Refusal(calls.Reason.POISON, call.prior_run, detail)
    if _count_held(state, call) >= call.route.workspace_limit:
        detail = 'the workspace has too many requests on this route'
        return _build_refusal(call, calls.Reason.WORKSPACE_LIMIT, detail)
    return _check_completion_time(state, call, now)


def refuse(
    state: states.State,
    request: Request,
    refusal: calls.Refusal,
    now: clock.Instant,
    cause: ends.Cause | None = None,
) -> list[effects.Effect]:
    """Remove a request and send its caller a refusal.

    A stream that has begun is broken off instead, as nothing but events may
    follow its start.

    :param cause: who ends the request, none where the refusal tells it.
    """
    out = remove_request(state, request)
    route = request.call.route.name
    counter = effects.Counter.REFUSED
    if refusal.reason is calls.Reason.DEADLINE:
        counter = effects.Counter.LATE
    out.append(effects.Count(counter, f'{route}:{refusal.reason.value}'))
    detail = f'{refusal.reason.value}, ran {refusal.ran.value}'
    detail += f': {refusal.log_detail or refusal.detail}'
    if cause is None:
        cause = ends.get_refusal_cause(refusal.reason)
    sent = ends.Sent.NOTHING
    if request.attached and request.streaming:
        sent = ends.Sent.PART
        out.append(effects.SendFinish(request.caller_handle, False))
    elif request.attached:
        sent = ends.Sent.REFUSAL
        out.append(effects.SendRefusal(request.caller_handle, refusal))
    return ends.report(request, cause, sent, detail, now) + out


def break_off(
    state: states.State,
    request: Request,
    cause: ends.Cause,
    detail: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Remove a request whose stream has begun, and break the stream off."""
    out = ends.report(request, cause, ends.Sent.PART, detail, now)
    out += remove_request(state, request)
    return [*out, effects.SendFinish(request.caller_handle, False)]


def build_record(
    request: Request, mark: effects.Mark, detail: str
) -> effects.RecordEntry:
    """Build a timeline entry for a request."""
    call = request.call
    return effects.RecordEntry(
        mark=mark,
        request=call.key.id,
        route=call.route.name,
        pool=call.route.pool,
        host=request.host,
        detail=detail,
    )


def report_fault(request: Request, fault: calls.Fault) -> list[effects.Effect]:
    """Count a failed attempt and add it to the timeline.

    The parts of a prompt are named, so that those that several failed
    requests share can be found.
    """
    detail = f'{fault.kind.value}, ran {fault.ran.value}: {fault.detail}'
    if request.call.parts:
        ids = [part.id for part in request.call.parts[:MAX_LOGGED_PARTS]]
        detail += f'; prompt parts {",".join(ids)}'
    return [
        effects.Count(effects.Counter.FAULTS, fault.kind.value),
        build_record(request, effects.Mark.FAULT, detail),
    ]


def accept_events(
    request: Request, event: events.StreamEventsReceived
) -> calls.Fault | None:
    """Check that stream events follow the last one, and remember them.

    :return: the fault, none where the events may be passed on.
    """
    fault = check_event_order(request, event)
    if fault is not None:
        return fault
    request.has_stopped_run = False
    if event.first is not None:
        request.last_event = event.last
        request.numbered_attempt = event.attempt
    elif _has_data(event.data):
        request.has_unnumbered = True
    return None


def check_event_order(
    request: Request, event: events.StreamEventsReceived
) -> calls.Fault | None:
    """Check that stream events follow the last one.

    :return: the fault, none where they do.
    """
    known = request.last_event
    if known is None:
        return None
    detail = ''
    if event.first is not None and event.first <= known:
        detail = f'event {event.first} after {known}'
    elif (
        event.first is None
        and _has_data(event.data)
        and request.numbered_attempt != event.attempt
    ):
        detail = f'an event without a number after {known}'
    if not detail:
        return None
    return calls.Fault(
        calls.FaultKind.INVALID, calls.RunStatus.UNKNOWN, detail
    )


def check_stream_end(
    request: Request, event: events.RelayEnded
) -> calls.Fault | None:
    """Check that a stream did not just close its connection.

    The event may be of the current attempt or of the kept one.

    :return: the fault, none where the end may be passed on.
    """
    event_count = request.event_count
    if request.silent is not None and event.attempt == request.silent.attempt:
        event_count = request.silent.event_count
    if event.is_framed or event_count or not request.streaming:
        return None
    return calls.Fault(
        calls.FaultKind.CUT,
        calls.RunStatus.UNKNOWN,
        'closed without an event',
    )


def _has_data(data: bytes) -> bool:
    """Return whether events hold more than comments."""
    return data.startswith(b'data') or b'\ndata' in data or b'\rdata' in data


def remove_request(
    state: states.State, request: Request
) -> list[effects.Effect]:
    """Remove a request and cancel its attempts."""
    out = cancel_attempt(state, request)
    state.queue.remove(request.handle)
    state.requests.pop(request.handle, None)
    state.attached_handles.pop(request.caller_handle, None)
    if state.held.get(request.call.key) == request.handle:
        del state.held[request.call.key]
    return out


def cancel_attempt(
    state: states.State, request: Request
) -> list[effects.Effect]:
    """Cancel the running attempts of a request, if it has any."""
    if request.phase is not Phase.RUNNING:
        return []
    out: list[effects.Effect] = []
    if request.silent is not None:
        request.swap_attempts()
        out.append(effects.CancelAttempt(request.handle, request.attempt))
        detach_from_server(state, request)
        request.use_silent_attempt()
    out.append(effects.CancelAttempt(request.handle, request.attempt))
    detach_from_server(state, request)
    return out


def count_possible_run(request: Request, fault: calls.Fault) -> None:
    """Count a failed attempt that the server may have run."""
    if fault.ran is calls.RunStatus.UNKNOWN:
        request.possible_runs += 1
        request.may_have_run = True
        request.run_hosts.add(request.host)
    request.in_doubt = request.may_have_run


def detach_from_server(state: states.State, request: Request) -> None:
    """Remove a request from its server's counts and mark it as waiting."""
    server = state.servers.get(request.host)
    request.phase = Phase.BACKOFF
    request.helper = ''
    if server is None:
        return
    server.inflight = max(0, server.inflight - 1)
    server.prefill = max(0, server.prefill - request.uncached_tokens)
    request.uncached_tokens = 0
    memory.release(server, request)
    if state.poison.is_suspect(request.call.fingerprint):
        server.suspect_requests = max(0, server.suspect_requests - 1)


def enqueue(state: states.State, request: Request) -> None:
    """Queue a request for a backend server."""
    request.phase = Phase.QUEUED
    state.queue.push(request.call)


def attach_caller(
    state: states.State, request: Request, call: calls.Call
) -> list[effects.Effect]:
    """Attach a caller to a request that this node already holds.

    Send the tokens that the caller has not received yet.
    """
    request.attached = True
    request.caller_handle = call.handle
    state.attached_handles[call.handle] = request.handle
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
    return out + remove_request(state, request)


def handle_caller_disconnected(
    state: states.State,
    event: events.CallerDisconnected,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the disconnect of a caller.

    A request with a claim continues, so that a resend finds its outcome.
    """
    handle = state.attached_handles.get(event.handle, event.handle)
    request = state.requests.get(handle)
    if request is None or request.caller_handle != event.handle:
        return []
    request.attached = False
    if request.uses_claim:
        return []
    cause = ends.Cause.CUT if event.is_cut else ends.Cause.CALLER
    sent = ends.Sent.PART if request.streaming else ends.Sent.NOTHING
    detail = f'disconnected while {request.phase.value}'
    out = ends.report(request, cause, sent, detail, now)
    return out + remove_request(state, request)


def _count_held(state: states.State, call: calls.Call) -> int:
    return sum(
        1
        for request in state.requests.values()
        if request.call.key.workspace == call.key.workspace
        and request.call.route.name == call.route.name
    )


def predict_service(
    state: states.State, call: calls.Call, done: int, now: clock.Instant
) -> float:
    """Predict the service time of a request that has not been sent yet.

    :param done: number of tokens that the caller already has.
    :return: milliseconds, 0 where the known times are outdated and no other
        request will renew them.
    """
    estimator = state.latency_estimator
    if estimator.is_outdated(call.route.name, now.mono) and not any(
        item.phase is Phase.RUNNING and item.call.route.name == call.route.name
        for item in state.requests.values()
    ):
        return 0.0
    return estimator.service(call, done)


def _check_completion_time(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    ahead = state.queue.count_ahead(call)
    wait = state.latency_estimator.wait(call, ahead, now.mono)
    service = predict_service(state, call, len(call.resumed), now)
    if now.mono + wait + service <= call.deadline:
        return None
    detail = f'{wait + service:.0f} ms needed, the deadline is earlier'
    return calls.Refusal(
        calls.Reason.CANNOT_FINISH_IN_TIME,
        call.prior_run,
        detail,
        max(MIN_RETRY_AFTER_MS, round(wait)),
    )


def _build_refusal(
    call: calls.Call, reason: calls.Reason, detail: str
) -> calls.Refusal:
    return calls.Refusal(reason, call.prior_run, detail, MIN_RETRY_AFTER_MS)
