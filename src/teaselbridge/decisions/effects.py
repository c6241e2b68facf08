"""Commands of the reducer to the runtime, as data.

Structs of msgspec, for the reason given in ``events``.
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
    """Address of a backend server.

    :param host: name of the host.
    :param address: ``ip:port``.
    """

    host: str
    address: str


class StartAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Command to send a request to an engine.

    :param call: the request.
    :param attempt: number of the attempt.
    :param host: name of the backend server's host.
    :param address: ``ip:port`` of the backend server.
    :param sent: tokens that the caller already has.
    :param first_ms: timeout for the first byte.
    :param token_timeout_ms: timeout between two tokens.
    :param new_connection: whether it needs a new connection of its own.
    :param source: server to copy the prompt's KV cache from, none to
        compute it.
    """

    call: calls.Call
    attempt: int
    host: str
    address: str
    sent: tuple[str, ...]
    first_ms: int
    token_timeout_ms: int
    new_connection: bool
    source: Target | None = None


class RelayAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Command to forward a request unchanged to a backend server.

    :param call: the request.
    :param attempt: number of the attempt.
    :param address: ``ip:port`` of the backend server.
    :param host: host of the server's lifetime that is meant.
    :param instance: name by which the server must identify itself.
    :param remaining_ms: time left until the deadline.
    :param last_event: last event of the stream that the caller has.
    :param urgency: rank among the server's requests, 0 is served first; none
        where the server does not rank them.
    :param new_connection: whether it needs a new connection of its own.
    :param source: ``ip:port`` of the server to copy the prompt's KV cache
        from, empty for none.
    :param origin: name of this node, if the request goes to another node
        instead of a server; else empty.
    :param is_counted: whether this node has counted a run for usage.
    :param reports_sending: whether to post ``events.AttemptSent``.
    """

    call: calls.Call
    attempt: int
    address: str
    host: str
    instance: str
    remaining_ms: int
    last_event: str
    urgency: int | None
    new_connection: bool
    source: str = ''
    origin: str = ''
    is_counted: bool = False
    reports_sending: bool = False


class CancelAttempt(msgspec.Struct, frozen=True):
    """Command to cancel an attempt; tokens that still arrive are dropped."""

    handle: int
    attempt: int


class CheckServer(msgspec.Struct, frozen=True):
    """Command to check whether a backend server accepts connections."""

    host: str
    address: str


class ProbeLink(msgspec.Struct, frozen=True):
    """Command to open a connection to a backend server and close it."""

    host: str
    pool: str
    address: str


class DropConnections(msgspec.Struct, frozen=True):
    """Command to close all pooled connections to a backend server.

    :param address: ``ip:port`` of the backend server.
    """

    address: str


class SendToken(msgspec.Struct, frozen=True):
    """Command to send a token to the caller.

    :param index: position of the token in the whole answer, from 0.
    """

    handle: int
    index: int
    text: str


class SendHead(msgspec.Struct, frozen=True):
    """Command to send the status and headers of a stream to the caller."""

    handle: int
    head: calls.Head


class SendEvents(msgspec.Struct, frozen=True):
    """Command to send complete events of a stream to the caller."""

    handle: int
    data: bytes


class SendFinish(msgspec.Struct, frozen=True):
    """Command to end a relayed stream.

    :param whole: whether it is complete; otherwise it is aborted.
    """

    handle: int
    whole: bool


class SendEnd(msgspec.Struct, frozen=True):
    """Command to end a token stream explicitly.

    :param finish: finish reason of the engine.
    :param prompt_tokens: prompt tokens in all, 0 for unknown.
    :param completion_tokens: tokens of the whole answer.
    """

    handle: int
    finish: str
    prompt_tokens: int
    completion_tokens: int


class SendAnswer(msgspec.Struct, frozen=True):
    """Command to send a complete answer to the caller.

    :param stored: whether it is the stored answer of an earlier run.
    """

    handle: int
    answer: calls.Answer
    stored: bool


class SendRefusal(msgspec.Struct, frozen=True):
    """Command to end a request with a refusal instead of an answer."""

    handle: int
    refusal: calls.Refusal


class SendRedirect(msgspec.Struct, frozen=True):
    """Command to redirect the caller to another node.

    :param address: ``ip:port`` of that node's interface for callers.
    """

    handle: int
    address: str


class RequestStatus(enum.Enum):
    """Status of a request that a caller queries."""

    NOT_RUN = 'not-run'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


class SendStatus(msgspec.Struct, frozen=True):
    """Command to reply to a status query.

    :param answer: answer of the request, once it is done.
    """

    handle: int
    status: RequestStatus
    answer: calls.Answer | None = None


class ReadKey(msgspec.Struct, frozen=True):
    """Command to read one key."""

    ticket: tickets.Ticket
    key: str


class SwapKey(msgspec.Struct, frozen=True, kw_only=True):
    """Command to write one key if its revision is as expected.

    :param revision: expected modification revision, 0 for a new key.
    :param keep_ms: how long the value must be kept, 0 for ever.
    :param lease: lease that the key expires with, 0 for none.
    """

    ticket: tickets.Ticket
    key: str
    value: bytes
    revision: int
    keep_ms: int = 0
    lease: int = 0


class GrantLease(msgspec.Struct, frozen=True):
    """Command to request a lease."""

    ticket: tickets.Ticket
    ttl_ms: int


class RenewLease(msgspec.Struct, frozen=True):
    """Command to renew a lease."""

    ticket: tickets.Ticket
    number: int


class RevokeLease(msgspec.Struct, frozen=True):
    """Command to revoke a lease, which removes its key."""

    ticket: tickets.Ticket
    number: int


class StartHost(msgspec.Struct, frozen=True, kw_only=True):
    """Command to order a host from the cloud.

    :param token: idempotency token: repeated orders with one token start
        one host.
    :param until: monotonic milliseconds after which it must not be sent.
    """

    token: str
    pool: str
    version: str
    zone: str
    host_class: str
    reclaimable: bool
    until: int


class StopHost(msgspec.Struct, frozen=True, kw_only=True):
    """Command to release a host to the cloud.

    :param until: monotonic milliseconds after which it must not be sent.
    """

    host: str
    until: int


class OrderServer(msgspec.Struct, frozen=True, kw_only=True):
    """Command that tells a backend server to run a version.

    :param fence: fencing token of the lease's holder.
    :param until: monotonic milliseconds after which it must not be sent.
    """

    host: str
    address: str
    version: str
    fence: int
    until: int


class OrderServers(msgspec.Struct, frozen=True, kw_only=True):
    """Command to order backend servers in an availability zone.

    :param reclaimable: whether the platform may take them back.
    :param count: total number of servers of this kind to run.
    :param fence: fencing token of the lease's holder.
    :param until: monotonic milliseconds after which it must not be sent.
    """

    pool: str
    zone: str
    reclaimable: bool
    count: int
    fence: int
    until: int


class WorkspaceCount(msgspec.Struct, frozen=True):
    """Number of requests of a workspace that started to run."""

    workspace: str
    count: int


class ReportUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Command to report the usage of one window.

    :param window: number of the window since the epoch.
    :param fence: fencing token of the lease's holder.
    :param until: monotonic milliseconds after which it must not be sent.
    """

    window: int
    counts: tuple[WorkspaceCount, ...]
    fence: int
    until: int


class MoveStatus(enum.Enum):
    """Status of a rollout, as shown to operators."""

    RUNNING = 'running'
    DONE = 'done'
    UNDONE = 'undone'


class ReportMove(msgspec.Struct, frozen=True, kw_only=True):
    """Command to show operators the status of a pool's rollout.

    :param number: number of the rollout.
    :param version: version that was ordered.
    """

    pool: str
    number: int
    version: str
    state: MoveStatus


class StorePart(msgspec.Struct, frozen=True):
    """Command to keep the record of a prompt part in the store.

    :param keep_ms: how long it is kept.
    """

    record: messages.PartCrashes
    keep_ms: int


class ReadPrices(msgspec.Struct, frozen=True):
    """Command to read the cloud's prices."""


class SendPeer(msgspec.Struct, frozen=True):
    """Command to send a message to another node.

    :param address: ``ip:port`` of its zmq socket.
    """

    address: str
    message: messages.Message


class Applied(msgspec.Struct, frozen=True):
    """Outcome of an operator's change that was written."""

    generation: int


class LostRace(msgspec.Struct, frozen=True):
    """Outcome of a change that another change preceded.

    :param generation: current generation.
    :param writer: token of its writer.
    :param changes: differences between the current and the wanted tables.
    """

    generation: int
    writer: str
    changes: tuple[diff.Change, ...]


class ApplyFailed(msgspec.Struct, frozen=True):
    """Outcome of a change that the key-value service did not answer.

    :param in_doubt: whether the change may have been accepted.
    """

    in_doubt: bool


ApplyOutcome = Applied | LostRace | ApplyFailed


class SendApplyResult(msgspec.Struct, frozen=True):
    """Command to tell an operator the outcome of a change."""

    ticket: int
    outcome: ApplyOutcome


class ActivateConfiguration(msgspec.Struct, frozen=True):
    """Command to put a configuration in force at the gateway."""

    configuration: model.Configuration


class WatchConfiguration(msgspec.Struct, frozen=True):
    """Command to start or stop watching the configuration.

    :param on: whether to watch.
    """

    on: bool


class ConfirmConfiguration(msgspec.Struct, frozen=True):
    """Command to query the store's revision.

    It confirms that the configuration that this node holds is current.
    """


class WatchStore(msgspec.Struct, frozen=True):
    """Command to start or stop watching the store.

    :param on: whether to watch.
    """

    on: bool


class AskChanges(msgspec.Struct, frozen=True):
    """Command to ask a node for the changes of the store.

    :param address: ``ip:port`` of its zmq socket.
    """

    address: str


class AnswerChanges(msgspec.Struct, frozen=True):
    """Command to answer a node that asked for the changes of the store.

    :param confirmed_ms: age of the last confirmation of the configuration,
        -1 for never.
    :param generation: generation of that configuration.
    """

    message: messages.ChangesAsked
    confirmed_ms: int
    generation: int


class ApplyChanges(msgspec.Struct, frozen=True):
    """Command to apply changes of the store that another node sent.

    :param is_same: whether this node has the sender's configuration.
    """

    message: messages.ChangesSent
    is_same: bool


class QueryLoad(msgspec.Struct, frozen=True):
    """Command to query the load of backend servers.

    :param hosts: servers to query.
    """

    hosts: tuple[Target, ...]


class Wake(msgspec.Struct, frozen=True):
    """Command to post ``events.DelayElapsed`` sooner than the next tick.

    :param delay_ms: milliseconds from now.
    """

    delay_ms: int


class EndConnections(msgspec.Struct, frozen=True):
    """Command to make the next answer of each connection its last one.

    A node that is stopping closes its idle connections at its end. Requests
    that cross the close have no answer.
    """


class ExitProcess(msgspec.Struct, frozen=True):
    """Command to exit the process.

    All requests that it held have ended or were handed over.
    """


class Counter(enum.Enum):
    """Counters of decisions, which the runtime exports."""

    ARRIVED = 'arrived'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    LATE = 'late'
    ATTEMPTS = 'attempts'
    LIMITED_ATTEMPTS = 'limited_attempts'
    FORWARDED = 'forwarded'
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
    ERRORS = 'errors'
    ENDED = 'ended'


class Count(msgspec.Struct, frozen=True):
    """Command to add to a counter.

    :param label: route, fault or reason that it is counted under.
    """

    counter: Counter
    label: str = ''
    amount: int = 1


class Span(enum.Enum):
    """Durations that are exported as histograms.

    ``LOAD_AGE`` is the age of what was known of other nodes' load when a
    server was chosen. ``PREDICTED`` and ``OBSERVED`` are the predicted and
    the actual time from there to the first byte, of the same attempts.
    """

    FIRST = 'first'
    WHOLE = 'whole'
    LOAD_AGE = 'load-age'
    PREDICTED = 'predicted-wait'
    OBSERVED = 'observed-wait'


class ObserveLatency(msgspec.Struct, frozen=True):
    """Command to add a value to a histogram.

    :param label: route that it is exported under.
    :param elapsed_ms: milliseconds, for ``FIRST`` and ``WHOLE`` since the
        arrival of the request.
    """

    span: Span
    label: str
    elapsed_ms: int


class Mark(enum.Enum):
    """Kinds of entries in the timeline."""

    NODE_STARTED = 'node-started'
    NODE_ACTIVE = 'node-active'
    NODE_IDLE = 'node-idle'
    NODE_DRAINING = 'node-draining'
    NODE_LATE = 'node-late'
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
    SERVER_BACKOFF = 'server-backoff'
    SERVER_TERMS = 'server-terms'
    SERVER_COLD = 'server-cold'
    ZONE_EVACUATED = 'zone-evacuated'
    ZONE_RESTORED = 'zone-restored'
    SERVER_LOAD_INVALID = 'server-load-invalid'
    MESSAGE_REFUSED = 'message-refused'
    LINKS_LOST = 'links-lost'
    LINKS_RESTORED = 'links-restored'
    SERVER_EJECTED = 'server-ejected'
    SERVER_RESTORED = 'server-restored'
    ARRIVED = 'request-arrived'
    ATTEMPT = 'request-attempt'
    FAULT = 'request-fault'
    FORWARDED = 'request-forwarded'
    ANSWERED = 'request-answered'
    REFUSED = 'request-refused'
    ENDED = 'request-ended'
    CLAIMED = 'request-claimed'
    MOVED = 'request-moved'
    ADOPTED = 'request-adopted'
    POISON = 'request-poison'
    PART_ACCUSED = 'part-accused'
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
    STORE_RESTORED = 'store-restored'
    SETTINGS_CHANGED = 'settings-changed'
    INTERNAL_ERROR = 'internal-error'


class RecordEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Command to add an entry to the timeline.

    :param mark: kind of the entry.
    :param request: id of the request.
    :param route: name of the route.
    :param pool: name of the pool.
    :param host: host or node that the entry is about.
    :param detail: cause and figures.
    """

    mark: Mark
    request: str = ''
    route: str = ''
    pool: str = ''
    host: str = ''
    detail: str = ''


KeyCall = ReadKey | SwapKey | GrantLease | RenewLease | RevokeLease

Effect = (
    StartAttempt
    | RelayAttempt
    | SendHead
    | SendEvents
    | SendFinish
    | OrderServers
    | ReportUsage
    | ReportMove
    | StorePart
    | CancelAttempt
    | CheckServer
    | ProbeLink
    | DropConnections
    | SendToken
    | SendEnd
    | SendAnswer
    | SendRefusal
    | SendRedirect
    | SendStatus
    | ReadKey
    | SwapKey
    | GrantLease
    | RenewLease
    | RevokeLease
    | StartHost
    | StopHost
    | OrderServer
    | ReadPrices
    | SendPeer
    | SendApplyResult
    | ActivateConfiguration
    | WatchConfiguration
    | ConfirmConfiguration
    | WatchStore
    | AskChanges
    | AnswerChanges
    | ApplyChanges
    | QueryLoad
    | Wake
    | EndConnections
    | ExitProcess
    | Count
    | ObserveLatency
    | RecordEntry
)
