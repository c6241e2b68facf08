"""Everything that the reducer can ask the runtime to do, as data.

Structs of msgspec, for the reason that ``events`` gives.
"""

from __future__ import annotations

import enum

import msgspec

from teaselbridge.decisions import calls
from teaselbridge.decisions import tickets
from teaselbridge.peers import messages
from teaselbridge.tables import diff
from teaselbridge.tables import model


class Target(msgspec.Struct, frozen=True):
    """A backend server.

    :param host: name of the host.
    :param address: ``ip:port``.
    """

    host: str
    address: str


class StartAttempt(msgspec.Struct, frozen=True, kw_only=True):
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


class RelayAttempt(msgspec.Struct, frozen=True, kw_only=True):
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
    :param source: ``ip:port`` of the server to copy the prompt's KV cache
        from, empty for none.
    """

    call: calls.Call
    attempt: int
    address: str
    instance: str
    remaining_ms: int
    last_event: str
    urgency: int | None
    fresh: bool
    source: str = ''


class CancelAttempt(msgspec.Struct, frozen=True):
    """Give up an attempt; its late tokens are dropped."""

    handle: int
    attempt: int


class DropConnections(msgspec.Struct, frozen=True):
    """Close all kept connections to a backend server.

    :param address: ``ip:port`` of the backend server.
    """

    address: str


class SendToken(msgspec.Struct, frozen=True):
    """Pass a token on to the caller.

    :param index: place of the token in the whole answer, from 0.
    """

    handle: int
    index: int
    text: str


class SendHead(msgspec.Struct, frozen=True):
    """Start a streamed answer to the caller."""

    handle: int
    head: calls.Head


class SendEvents(msgspec.Struct, frozen=True):
    """Pass whole events of a stream on to the caller."""

    handle: int
    data: bytes


class SendFinish(msgspec.Struct, frozen=True):
    """End a relayed stream.

    :param whole: whether it is complete; it is broken off otherwise.
    """

    handle: int
    whole: bool


class SendEnd(msgspec.Struct, frozen=True):
    """End a stream explicitly.

    :param finish: finish reason of the engine.
    :param prompt_tokens: prompt tokens in all.
    :param completion_tokens: tokens of the whole answer.
    """

    handle: int
    finish: str
    prompt_tokens: int
    completion_tokens: int


class SendAnswer(msgspec.Struct, frozen=True):
    """Give the caller a whole answer.

    :param stored: whether it is the stored answer of an earlier run.
    """

    handle: int
    answer: calls.Answer
    stored: bool


class SendRefusal(msgspec.Struct, frozen=True):
    """Tell the caller that its request ends without an answer."""

    handle: int
    refusal: calls.Refusal


class SendMoved(msgspec.Struct, frozen=True):
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


class SendStatus(msgspec.Struct, frozen=True):
    """Tell a caller what became of a request.

    :param answer: its answer, once done.
    """

    handle: int
    fate: Fate
    answer: calls.Answer | None = None


class ReadKey(msgspec.Struct, frozen=True):
    """Read one key."""

    ticket: tickets.Ticket
    key: str


class SwapKey(msgspec.Struct, frozen=True, kw_only=True):
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


class GrantLease(msgspec.Struct, frozen=True):
    """Ask for a lease."""

    ticket: tickets.Ticket
    ttl_ms: int


class KeepLease(msgspec.Struct, frozen=True):
    """Renew a lease."""

    ticket: tickets.Ticket
    number: int


class RevokeLease(msgspec.Struct, frozen=True):
    """End a lease, and with it its key."""

    ticket: tickets.Ticket
    number: int


class StartHost(msgspec.Struct, frozen=True, kw_only=True):
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


class StopHost(msgspec.Struct, frozen=True, kw_only=True):
    """Give a host back to the cloud.

    :param until: monotonic milliseconds; it must not be sent later.
    """

    host: str
    until: int


class OrderServer(msgspec.Struct, frozen=True, kw_only=True):
    """Order a backend server to run a version.

    :param fence: number of the lease's holder.
    :param until: monotonic milliseconds; it must not be sent later.
    """

    host: str
    address: str
    version: str
    fence: int
    until: int


class OrderServers(msgspec.Struct, frozen=True, kw_only=True):
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


class WorkspaceCount(msgspec.Struct, frozen=True):
    """Requests of a workspace that began to run."""

    workspace: str
    count: int


class ReportUsage(msgspec.Struct, frozen=True, kw_only=True):
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


class TellMove(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the operators how far a pool's move has come.

    :param number: number of the move.
    :param version: version that was asked for.
    """

    pool: str
    number: int
    version: str
    state: MoveState


class ReadPrices(msgspec.Struct, frozen=True):
    """Ask the cloud for its prices."""


class SendPeer(msgspec.Struct, frozen=True):
    """Send a message to another node.

    :param address: ``ip:port`` of its zmq socket.
    """

    address: str
    message: messages.Message


class Applied(msgspec.Struct, frozen=True):
    """An operator's change is in the key-value service."""

    generation: int


class LostRace(msgspec.Struct, frozen=True):
    """Another change came first.

    :param generation: generation that stands.
    :param writer: token of its writer.
    :param changes: how the tables that stand differ from the wanted ones.
    """

    generation: int
    writer: str
    changes: tuple[diff.Change, ...]


class ApplyFailed(msgspec.Struct, frozen=True):
    """The key-value service gave no answer.

    :param in_doubt: whether the change may have been accepted.
    """

    in_doubt: bool


ApplyOutcome = Applied | LostRace | ApplyFailed


class AnswerApply(msgspec.Struct, frozen=True):
    """Tell an operator what became of a change."""

    ticket: int
    outcome: ApplyOutcome


class UseConfiguration(msgspec.Struct, frozen=True):
    """Put a generation in force at the gateway."""

    configuration: model.Configuration


class Watch(msgspec.Struct, frozen=True):
    """Start or stop to watch the configuration.

    :param on: whether to watch.
    """

    on: bool


class ConfirmConfiguration(msgspec.Struct, frozen=True):
    """Ask the store for its revision, to confirm what is known of it."""


class ReportLoad(msgspec.Struct, frozen=True):
    """Ask backend servers for their load.

    :param hosts: hosts to ask, each by name and ``ip:port``.
    """

    hosts: tuple[Target, ...]


class Wake(msgspec.Struct, frozen=True):
    """Post that time has passed, sooner than the next tick.

    :param delay_ms: milliseconds from now.
    """

    delay_ms: int


class Stop(msgspec.Struct, frozen=True):
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


class Count(msgspec.Struct, frozen=True):
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


class Observe(msgspec.Struct, frozen=True):
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
    SERVERS_WANTED = 'servers-wanted'
    SERVERS_REFUSED = 'servers-refused'
    USAGE_REPORTED = 'usage-reported'
    USAGE_FAILED = 'usage-failed'
    UNDECODABLE = 'undecodable'
    STORE_LISTED = 'store-listed'
    SETTINGS_CHANGED = 'settings-changed'


class Record(msgspec.Struct, frozen=True, kw_only=True):
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
