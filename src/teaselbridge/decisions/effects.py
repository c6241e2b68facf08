"""Everything that the reducer can ask the runtime to do, as data."""

from __future__ import annotations

import dataclasses
import enum

from teaselbridge.decisions import calls
from teaselbridge.decisions import tickets
from teaselbridge.peers import messages
from teaselbridge.tables import diff
from teaselbridge.tables import model


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A backend server.

    :param host: name of the host.
    :param address: ``ip:port``.
    """

    host: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartAttempt:
    """Send a request to a backend server.

    :param call: the request.
    :param attempt: number of the attempt.
    :param host: name of the backend server's host.
    :param address: ``ip:port`` of the backend server.
    :param sent: tokens that the caller already has.
    :param first_ms: longest silence before the first byte.
    :param between_ms: longest silence between two tokens.
    :param fresh: whether it needs a connection of its own.
    :param source: server to take the prompt's KV cache from, none to
        compute it.
    """

    call: calls.Call
    attempt: int
    host: str
    address: str
    sent: tuple[str, ...]
    first_ms: int
    between_ms: int
    fresh: bool
    source: Target | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayAttempt:
    """Pass a request on to a backend server as it came.

    :param call: the request.
    :param attempt: number of the attempt.
    :param address: ``ip:port`` of the backend server.
    :param instance: name that the server must answer to.
    :param remaining_ms: time that the server has.
    :param last_event: last event that the caller has of the stream.
    :param urgency: rank among the server's requests, 0 goes first, none
        where the server does not rank them.
    :param fresh: whether it needs a connection of its own.
    """

    call: calls.Call
    attempt: int
    address: str
    instance: str
    remaining_ms: int
    last_event: str
    urgency: int | None
    fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give up an attempt; its late tokens are dropped."""

    handle: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class DropConnections:
    """Close all kept connections to a backend server.

    :param address: ``ip:port`` of the backend server.
    """

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendToken:
    """Pass a token on to the caller.

    :param index: place of the token in the whole answer, from 0.
    """

    handle: int
    index: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendHead:
    """Start a streamed answer to the caller."""

    handle: int
    head: calls.Head


@dataclasses.dataclass(frozen=True, slots=True)
class SendEvents:
    """Pass whole events of a stream on to the caller."""

    handle: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendFinish:
    """End a relayed stream.

    :param whole: whether it is complete; it is broken off otherwise.
    """

    handle: int
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SendEnd:
    """End a stream explicitly.

    :param finish: finish reason of the engine.
    :param prompt_tokens: prompt tokens in all.
    :param completion_tokens: tokens of the whole answer.
    """

    handle: int
    finish: str
    prompt_tokens: int
    completion_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendAnswer:
    """Give the caller a whole answer.

    :param stored: whether it is the stored answer of an earlier run.
    """

    handle: int
    answer: calls.Answer
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SendRefusal:
    """Tell the caller that its request ends without an answer."""

    handle: int
    refusal: calls.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class SendMoved:
    """Lead the caller to another node, which holds its request.

    :param address: ``ip:port`` of that node's callers' interface.
    """

    handle: int
    address: str


class Fate(enum.Enum):
    """What became of a request."""

    NOT_RUN = 'not-run'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class SendStatus:
    """Tell a caller what became of a request.

    :param answer: its answer, once done.
    """

    handle: int
    fate: Fate
    answer: calls.Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadKey:
    """Read one key."""

    ticket: tickets.Ticket
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SwapKey:
    """Write one key if its revision is still the given one.

    :param revision: expected modification revision, 0 for a new key.
    :param keep_ms: how long the value must be kept, 0 for ever.
    :param lease: lease that the key is to end with, 0 for none.
    """

    ticket: tickets.Ticket
    key: str
    value: bytes
    revision: int
    keep_ms: int = 0
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLease:
    """Ask for a lease."""

    ticket: tickets.Ticket
    ttl_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeepLease:
    """Renew a lease."""

    ticket: tickets.Ticket
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeLease:
    """End a lease, and with it its key."""

    ticket: tickets.Ticket
    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartHost:
    """Order a host of the cloud.

    :param token: repeated orders with one token start one host.
    :param until: monotonic milliseconds; it must not be sent later.
    """

    token: str
    pool: str
    version: str
    zone: str
    host_class: str
    reclaimable: bool
    until: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopHost:
    """Give a host back to the cloud.

    :param until: monotonic milliseconds; it must not be sent later.
    """

    host: str
    until: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderServer:
    """Order a backend server to run a version.

    :param fence: number of the lease's holder.
    :param until: monotonic milliseconds; it must not be sent later.
    """

    host: str
    address: str
    version: str
    fence: int
    until: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderServers:
    """Order a number of backend servers in an availability zone.

    :param reclaimable: whether the platform may take them back.
    :param count: how many there shall be of that sort.
    :param fence: number of the lease's holder.
    :param until: monotonic milliseconds; it must not be sent later.
    """

    pool: str
    zone: str
    reclaimable: bool
    count: int
    fence: int
    until: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceCount:
    """Requests of a workspace that began to run."""

    workspace: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportUsage:
    """Report the usage of one window.

    :param window: number of the window since the epoch.
    :param fence: number of the lease's holder.
    :param until: monotonic milliseconds; it must not be sent later.
    """

    window: int
    counts: tuple[WorkspaceCount, ...]
    fence: int
    until: int


class MoveState(enum.Enum):
    """What operators are told of a move."""

    RUNNING = 'running'
    DONE = 'done'
    UNDONE = 'undone'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TellMove:
    """Tell the operators how far a pool's move has come.

    :param number: number of the move.
    :param version: version that was asked for.
    """

    pool: str
    number: int
    version: str
    state: MoveState


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPrices:
    """Ask the cloud for its prices."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to another node.

    :param address: ``ip:port`` of its zmq socket.
    """

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """An operator's change is in the key-value service."""

    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Another change came first.

    :param generation: generation that stands.
    :param writer: token of its writer.
    :param changes: how the tables that stand differ from the wanted ones.
    """

    generation: int
    writer: str
    changes: tuple[diff.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyFailed:
    """The key-value service gave no answer.

    :param in_doubt: whether the change may have been accepted.
    """

    in_doubt: bool


ApplyOutcome = Applied | LostRace | ApplyFailed


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerApply:
    """Tell an operator what became of a change."""

    ticket: int
    outcome: ApplyOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class UseConfiguration:
    """Put a generation in force at the gateway."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Start or stop to watch the configuration.

    :param on: whether to watch.
    """

    on: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmConfiguration:
    """Ask the store for its revision, to confirm what is known of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLoad:
    """Ask backend servers for their load.

    :param hosts: hosts to ask, each by name and ``ip:port``.
    """

    hosts: tuple[Target, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """Post that time has passed, sooner than the next tick.

    :param delay_ms: milliseconds from now.
    """

    delay_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Everything held has ended or moved; the process may exit."""


class Counter(enum.Enum):
    """Counters of decisions; the runtime exports them."""

    ARRIVED = 'arrived'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    LATE = 'late'
    ATTEMPTS = 'attempts'
    RETRIES = 'retries'
    RESUMED = 'resumed'
    FAULTS = 'faults'
    TOKENS = 'tokens'
    TOKENS_DROPPED = 'tokens_dropped'
    TOKENS_RECOMPUTED = 'tokens_recomputed'
    CACHES_MOVED = 'caches_moved'
    CLAIMS = 'claims'
    BUCKET_WRITES = 'bucket_writes'
    STORED_ANSWERS = 'stored_answers'
    MOVED = 'moved'
    EVENTS = 'events'
    UNDECODABLE = 'undecodable'
    DUTY = 'duty'


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter.

    :param label: route, fault or reason that it is counted under.
    """

    counter: Counter
    label: str = ''
    amount: int = 1


class Span(enum.Enum):
    """Times that are shown as histograms."""

    FIRST = 'first'
    WHOLE = 'whole'


@dataclasses.dataclass(frozen=True, slots=True)
class Observe:
    """Add to a histogram.

    :param label: route that it is shown under.
    :param span_ms: milliseconds from the arrival of the request.
    """

    span: Span
    label: str
    span_ms: int


class Mark(enum.Enum):
    """Kinds of entries in the time line."""

    NODE_STARTED = 'node-started'
    NODE_DRAINING = 'node-draining'
    NODE_STOPPED = 'node-stopped'
    NODE_WITHDRAWN = 'node-withdrawn'
    NODE_RESTORED = 'node-restored'
    CERTIFICATE_USED = 'certificate-used'
    CERTIFICATE_REFUSED = 'certificate-refused'
    MEMBER_ALIVE = 'member-alive'
    MEMBER_SUSPECT = 'member-suspect'
    MEMBER_DEAD = 'member-dead'
    MEMBER_LEFT = 'member-left'
    CONFIGURATION = 'configuration-in-force'
    CHANGE_APPLIED = 'change-applied'
    CHANGE_LOST = 'change-lost'
    SERVER_SEEN = 'server-seen'
    SERVER_LEAVING = 'server-leaving'
    SERVER_GONE = 'server-gone'
    SERVER_EJECTED = 'server-ejected'
    SERVER_RESTORED = 'server-restored'
    ARRIVED = 'request-arrived'
    ATTEMPT = 'request-attempt'
    FAULT = 'request-fault'
    ANSWERED = 'request-answered'
    REFUSED = 'request-refused'
    CLAIMED = 'request-claimed'
    MOVED = 'request-moved'
    ADOPTED = 'request-adopted'
    POISON = 'request-poison'
    KEYVALUE_DOWN = 'keyvalue-down'
    KEYVALUE_UP = 'keyvalue-up'
    LEASE_TAKEN = 'lease-taken'
    LEASE_LOST = 'lease-lost'
    MOVE_BEGAN = 'move-began'
    MOVE_STEP = 'move-step'
    MOVE_DONE = 'move-done'
    MOVE_UNDONE = 'move-undone'
    MOVE_VERDICT = 'move-verdict'
    HOST_ORDERED = 'host-ordered'
    HOST_REFUSED = 'host-refused'
    HOST_RELEASED = 'host-released'
    VERSION_ORDERED = 'version-ordered'
    SERVERS_ORDERED = 'servers-ordered'
    SERVERS_REFUSED = 'servers-refused'
    USAGE_REPORTED = 'usage-reported'
    USAGE_FAILED = 'usage-failed'
    UNDECODABLE = 'undecodable'
    STORE_LISTED = 'store-listed'
    SETTINGS_CHANGED = 'settings-changed'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Add an entry to the time line.

    :param mark: kind of the entry.
    :param request: id of the request.
    :param route: name of the route.
    :param pool: name of the pool.
    :param host: host or node that it is about.
    :param detail: cause and figures.
    """

    mark: Mark
    request: str = ''
    route: str = ''
    pool: str = ''
    host: str = ''
    detail: str = ''


KeyCall = ReadKey | SwapKey | GrantLease | KeepLease | RevokeLease

Effect = (
    StartAttempt
    | RelayAttempt
    | SendHead
    | SendEvents
    | SendFinish
    | OrderServers
    | ReportUsage
    | TellMove
    | CancelAttempt
    | DropConnections
    | SendToken
    | SendEnd
    | SendAnswer
    | SendRefusal
    | SendMoved
    | SendStatus
    | ReadKey
    | SwapKey
    | GrantLease
    | KeepLease
    | RevokeLease
    | StartHost
    | StopHost
    | OrderServer
    | ReadPrices
    | SendPeer
    | AnswerApply
    | UseConfiguration
    | Watch
    | ConfirmConfiguration
    | ReportLoad
    | Wake
    | Stop
    | Count
    | Observe
    | Record
)
