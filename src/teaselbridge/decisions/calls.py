"""Requests of callers, their answers, refusals and faults."""

from __future__ import annotations

import dataclasses
import enum

from teaselbridge.tables import model


class RunStatus(enum.Enum):
    """Knowledge of whether a refused request may have been run."""

    NOT_RUN = 'no'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Reason for a refusal.

    The value is the last part of the problem type.
    """

    BAD_REQUEST = 'bad-request'
    BAD_KEY = 'bad-workspace-key'
    NO_ROUTE = 'no-route'
    TOO_LARGE = 'body-too-large'
    DEADLINE = 'deadline-passed'
    CANNOT_FINISH_IN_TIME = 'cannot-finish-in-time'
    OVERLOAD = 'overload'
    WORKSPACE_LIMIT = 'workspace-limit'
    STOPPING = 'node-stopping'
    WITHDRAWN = 'node-withdrawn'
    NO_SERVER = 'no-backend-server'
    POISON = 'request-crashes-servers'
    RATE_LIMIT = 'workspace-rate-limit'
    KEYS_NOT_CONFIRMED = 'keys-not-confirmed'
    HEADERS_TOO_LARGE = 'headers-too-large'
    TIMEOUT = 'route-timeout'
    ID_EXPIRED = 'request-id-expired'
    ID_INVALID = 'request-id-invalid'
    LEDGER_DOWN = 'ledger-unavailable'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    SERVER_FAILED = 'backend-server-failed'
    INTERNAL = 'internal-fault'


STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_KEY: 401,
    Reason.NO_ROUTE: 404,
    Reason.TOO_LARGE: 413,
    Reason.DEADLINE: 504,
    Reason.CANNOT_FINISH_IN_TIME: 503,
    Reason.OVERLOAD: 503,
    Reason.WORKSPACE_LIMIT: 429,
    Reason.STOPPING: 503,
    Reason.WITHDRAWN: 503,
    Reason.NO_SERVER: 503,
    Reason.POISON: 422,
    Reason.RATE_LIMIT: 429,
    Reason.KEYS_NOT_CONFIRMED: 503,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.TIMEOUT: 504,
    Reason.ID_EXPIRED: 409,
    Reason.ID_INVALID: 400,
    Reason.LEDGER_DOWN: 503,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.SERVER_FAILED: 502,
    Reason.INTERNAL: 500,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Identity of a request; ids are unique within a workspace.

    :param workspace: workspace that sent it.
    :param id: id chosen by the caller or assigned to it.
    """

    workspace: str
    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer of a plain service.

    :param status: HTTP status.
    :param headers: headers to forward.
    :param body: content.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the server served the request."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a streamed answer.

    :param status: HTTP status.
    :param headers: headers to forward.
    """

    status: int
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    :param id: identifier, the same for equal parts.
    :param tokens: length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """End of a request without an answer.

    :param reason: machine-readable reason.
    :param ran: whether the request may have been run.
    :param detail: human-readable explanation.
    :param retry_after_ms: time after which a retry may succeed, 0 where no
        retry is advised.
    :param log_detail: figures for the log, which the caller does not get.
    """

    reason: Reason
    ran: RunStatus
    detail: str
    retry_after_ms: int = 0
    log_detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A validated request, as the gateway passes it to the reducer.

    :param handle: number of the request within this process.
    :param key: identity of the request.
    :param route: route that matches it.
    :param kind: protocol of the pool.
    :param deadline: deadline in monotonic milliseconds.
    :param id_time: wall-clock milliseconds in the id, 0 where it has none.
    :param method: HTTP method, for services.
    :param path: path and query string.
    :param headers: headers to forward, for services.
    :param body: request body.
    :param stream: whether the caller wants tokens as they are generated.
    :param max_tokens: maximum number of tokens to generate, for engines.
    :param prompt_size: length of the prompt in characters.
    :param prefix: hash of the start of the prompt, for placement.
    :param fingerprint: hash of the body, to detect requests that crash
        servers.
    :param resumed: tokens already produced through another node.
    :param first: whether the caller states that this id was never sent
        before.
    :param credential: workspace key that authenticated it, checked again
        before it is sent to a backend server.
    :param parts: parts of the prompt in order, for relayed engines.
    :param tokens_in: tokens of the prompt, for relayed engines.
    :param length_hint: output tokens that the caller expects, 0 for unknown.
    :param last_event: id of the last stream event that the caller received.
    :param origin: name of the node that forwarded it, empty where a caller
        sent it to this node.
    :param is_counted: whether that node has counted a run for usage.
    """

    handle: int
    key: RequestKey
    route: model.Route
    kind: model.Kind
    deadline: int
    id_time: int = 0
    method: str = 'POST'
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    stream: bool = False
    max_tokens: int = 0
    prompt_size: int = 0
    prefix: int = 0
    fingerprint: str = ''
    resumed: tuple[str, ...] = ()
    first: bool = True
    credential: str = ''
    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    length_hint: int = 0
    last_event: str = ''
    origin: str = ''
    is_counted: bool = False

    @property
    def is_relayed(self) -> bool:
        """Whether the request is relayed unchanged."""
        return self.kind is model.Kind.RELAYED

    @property
    def prior_run(self) -> RunStatus:
        """Whether an earlier request with the same id may have run."""
        if self.first and not self.resumed:
            return RunStatus.NOT_RUN
        return RunStatus.UNKNOWN


class FaultKind(enum.Enum):
    """Kind of failure of an attempt at a backend server."""

    CONNECT = 'connect'
    RESET = 'reset'
    SILENT = 'silent'
    ERROR = 'error'
    BUSY = 'busy'
    CUT = 'cut'
    MISDIRECTED = 'misdirected'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Failure of an attempt.

    :param kind: kind of failure.
    :param ran: NO only where the server provably did not start the request.
    :param detail: human-readable explanation.
    :param answered_ms: how long before the failure the answer began, none
        where none did.
    """

    kind: FaultKind
    ran: RunStatus
    detail: str
    answered_ms: int | None = None
