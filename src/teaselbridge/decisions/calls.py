"""What a caller asks for, and what it is told."""

from __future__ import annotations

import dataclasses
import enum

from teaselbridge.tables import model


class Ran(enum.Enum):
    """Whether a refused request may have been run."""

    NO = 'no'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why a request is refused; the last part of the problem type."""

    BAD_REQUEST = 'bad-request'
    BAD_KEY = 'bad-workspace-key'
    NO_ROUTE = 'no-route'
    TOO_LARGE = 'body-too-large'
    DEADLINE = 'deadline-passed'
    TOO_LATE = 'cannot-finish-in-time'
    OVERLOAD = 'overload'
    WORKSPACE_LIMIT = 'workspace-limit'
    STOPPING = 'node-stopping'
    WITHDRAWN = 'node-withdrawn'
    NO_SERVER = 'no-backend-server'
    POISON = 'request-crashes-servers'
    RATE_LIMIT = 'workspace-rate-limit'
    STALE = 'keys-not-confirmed'
    HEADERS_TOO_LARGE = 'headers-too-large'
    TIMEOUT = 'route-timeout'
    ID_EXPIRED = 'request-id-expired'
    ID_INVALID = 'request-id-invalid'
    LEDGER_DOWN = 'ledger-unavailable'
    IN_DOUBT = 'outcome-unknown'
    SERVER_FAILED = 'backend-server-failed'
    INTERNAL = 'internal-fault'


STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_KEY: 401,
    Reason.NO_ROUTE: 404,
    Reason.TOO_LARGE: 413,
    Reason.DEADLINE: 504,
    Reason.TOO_LATE: 503,
    Reason.OVERLOAD: 503,
    Reason.WORKSPACE_LIMIT: 429,
    Reason.STOPPING: 503,
    Reason.WITHDRAWN: 503,
    Reason.NO_SERVER: 503,
    Reason.POISON: 422,
    Reason.RATE_LIMIT: 429,
    Reason.STALE: 503,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.TIMEOUT: 504,
    Reason.ID_EXPIRED: 409,
    Reason.ID_INVALID: 400,
    Reason.LEDGER_DOWN: 503,
    Reason.IN_DOUBT: 409,
    Reason.SERVER_FAILED: 502,
    Reason.INTERNAL: 500,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Identity of a request; ids are scoped by workspace.

    :param workspace: who sent it.
    :param id: id that the caller chose or was given.
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
    """Whole answer of a plain service.

    :param status: HTTP status.
    :param headers: headers to pass on.
    :param body: content.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Start of a streamed answer.

    :param status: HTTP status.
    :param headers: headers to pass on.
    """

    status: int
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    :param id: the same for equal parts.
    :param tokens: its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that ends without an answer.

    :param reason: stable reason.
    :param ran: whether it may have been run.
    :param detail: a sentence for people.
    :param retry_after_ms: when a retry can help, 0 for never.
    """

    reason: Reason
    ran: Ran
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A checked request, as the gateway hands it to the reducer.

    :param handle: number of the request within this process.
    :param key: identity of the request.
    :param route: row of the table that takes it.
    :param kind: what the pool speaks.
    :param deadline: monotonic milliseconds.
    :param id_time: wall milliseconds in the id, 0 where it has none.
    :param method: HTTP method, for services.
    :param path: path and query to call.
    :param headers: headers to pass on, for services.
    :param body: request body.
    :param stream: whether the caller wants tokens as they come.
    :param max_tokens: most tokens to generate, for engines.
    :param prompt_size: length of the prompt in characters.
    :param prefix: hash of the head of the prompt, for placement.
    :param fingerprint: hash of the body, to find crashing requests.
    :param resumed: tokens that an earlier node has already produced.
    :param first: whether the caller says that it never sent this id before.
    :param credential: workspace key that it was accepted by, to be checked
        again before it is sent on.
    :param parts: parts of the prompt in order, for relayed engines.
    :param tokens_in: tokens of the prompt, for relayed engines.
    :param last_event: last event that the caller has of the stream.
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
    last_event: str = ''

    @property
    def is_relayed(self) -> bool:
        """Whether it is passed on as it came."""
        return self.kind is model.Kind.RELAYED

    @property
    def ran_before(self) -> Ran:
        """Whether an earlier sending of the same id may have been run."""
        if self.first and not self.resumed:
            return Ran.NO
        return Ran.UNKNOWN


class FaultKind(enum.Enum):
    """How an attempt at a backend server failed."""

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
    """A failed attempt.

    :param kind: how it failed.
    :param ran: NO only where the server provably did not start it.
    :param detail: a sentence for people.
    """

    kind: FaultKind
    ran: Ran
    detail: str
