"""Events that the reducer handles, as data.

They are structs of msgspec, which are frozen like the data classes of the
standard library: each node creates about a hundred such types at its start,
and structs take a tenth of the time that data classes would add to it.
"""

from __future__ import annotations

import enum

import msgspec

from teaselbridge.decisions import calls
from teaselbridge.decisions.limits import terms as terms_module
from teaselbridge.decisions import tickets
from teaselbridge.peers import messages
from teaselbridge.tables import model


class Ticked(msgspec.Struct, frozen=True):
    """Periodic tick, at which the reducer does all work that is due.

    :param heard_until: monotonic milliseconds; all that came before was
        handled. None where that is the time of the tick.
    """

    heard_until: int | None = None


class DelayElapsed(msgspec.Struct, frozen=True):
    """End of a delay that ``effects.Wake`` asked for."""


class CallArrived(msgspec.Struct, frozen=True):
    """Arrival of a request that passed the gateway's checks."""

    call: calls.Call


class CallerDisconnected(msgspec.Struct, frozen=True):
    """Close of the connection by a request's caller.

    :param is_cut: whether the web server closed it instead, at the end of a
        graceful shutdown.
    """

    handle: int
    is_cut: bool = False


class TokenReceived(msgspec.Struct, frozen=True):
    """Next token of an attempt, produced by an engine."""

    handle: int
    attempt: int
    text: str


class StreamEnded(msgspec.Struct, frozen=True):
    """Explicit end of an attempt, sent by an engine.

    :param cached_tokens: prompt tokens found in the prefix cache.
    :param prompt_tokens: prompt tokens in all.
    """

    handle: int
    attempt: int
    finish: str
    cached_tokens: int
    prompt_tokens: int


class CacheCopied(msgspec.Struct, frozen=True):
    """Result of copying a prompt's KV cache before an attempt.

    :param blocks: number of blocks copied, none where the copy failed.
    """

    blocks: int | None


class AnswerReceived(msgspec.Struct, frozen=True):
    """Complete answer of a plain service to an attempt."""

    handle: int
    attempt: int
    answer: calls.Answer


class HeadReceived(msgspec.Struct, frozen=True):
    """Status and headers of a relayed stream."""

    handle: int
    attempt: int
    head: calls.Head


class StreamEventsReceived(msgspec.Struct, frozen=True):
    """Complete events of a relayed stream, as they were received at once.

    :param data: the bytes of the events.
    :param first: number of the first of them that has a number, none where
        none has one. The numbers ascend from it to the last one.
    :param last: number of the last of them that has a number.
    :param count: number of events.
    """

    handle: int
    attempt: int
    data: bytes
    first: int | None
    last: int | None
    count: int = 1


class RelayEnded(msgspec.Struct, frozen=True):
    """Regular end of a relayed stream.

    :param is_framed: whether the answer stated its end. Otherwise it ended
        with its connection, as it does when the server crashes.
    """

    handle: int
    attempt: int
    is_framed: bool = True


class PartRead(msgspec.Struct, frozen=True):
    """Record of a prompt part that was read from the store.

    :param is_lifted: whether an operator ended the refusal of the part.
    """

    record: messages.PartCrashes
    is_lifted: bool = False


class ServerChecked(msgspec.Struct, frozen=True):
    """Result of a check whether a backend server accepts connections.

    :param is_gone: whether its port refuses connections. A server that does
        not answer is not known to be gone.
    """

    host: str
    is_gone: bool


class LinkProbed(msgspec.Struct, frozen=True):
    """End of an attempt to connect to a backend server.

    :param is_connected: whether the connection was opened in time.
    """

    host: str
    pool: str
    is_connected: bool


class AnswerLoadReceived(msgspec.Struct, frozen=True):
    """Load of a backend server, taken from one of its answers.

    :param host: host of the lifetime that the request was sent to.
    :param pace: pace of its machine in percent of the usual one, 0 where it
        states none.
    """

    host: str
    running: int
    waiting: int
    slots: int
    pace: int = 0


class AnswerLoadInvalid(msgspec.Struct, frozen=True, kw_only=True):
    """Answer whose load cannot be used, or not all of it.

    :param host: host of the lifetime that the request was sent to.
    :param detail: description of the value.
    """

    host: str
    detail: str


class ServerNoticed(msgspec.Struct, frozen=True, kw_only=True):
    """Notice of a backend server about itself, taken from its answer.

    :param host: host of the lifetime that the request was sent to.
    :param leaving: whether the server is leaving.
    :param backoff_ms: time for which it wants no requests from this node,
        0 where it asks for none.
    :param detail: description of a value that could not be used.
    """

    host: str
    leaving: bool = False
    backoff_ms: int = 0
    detail: str = ''


class TermsStated(msgspec.Struct, frozen=True, kw_only=True):
    """Terms of a backend server, as one of its answers states them.

    :param host: host of the lifetime that the request was sent to.
    :param terms: its terms; an answer without any states none.
    :param asked_at: monotonic milliseconds at which the request was sent.
    """

    host: str
    terms: terms_module.Terms
    asked_at: int


class TermsInvalid(msgspec.Struct, frozen=True, kw_only=True):
    """Answer whose terms cannot be used.

    :param host: host of the lifetime that the request was sent to.
    :param detail: description of the values.
    """

    host: str
    detail: str


class AttemptSent(msgspec.Struct, frozen=True):
    """Sending of the request of an attempt, on an open connection.

    It is posted only where ``effects.RelayAttempt`` asks for it.
    """

    handle: int
    attempt: int


class AttemptFailed(msgspec.Struct, frozen=True):
    """End of an attempt without an answer."""

    handle: int
    attempt: int
    fault: calls.Fault


class HostState(enum.Enum):
    """State of a host in the platform's host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostRole(enum.Enum):
    """Kind of process that runs on a host."""

    BACKEND = 'backend'
    ENTRY = 'entry'


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of the platform's host list.

    :param host: unique name.
    :param address: ``ip:port`` of the process that runs there.
    :param zone: availability zone.
    :param role: backend server or entry host.
    :param pool: pool that the host was started for.
    :param version: version it was started with.
    :param host_class: machine class.
    :param reclaimable: whether the cloud may take it back.
    :param state: live or leaving.
    :param instance: name by which the process there identifies itself.
    :param slots: requests that it runs concurrently, 0 for unknown.
    :param left_ms: time until it is taken back, 0 for unknown.
    :param born: wall-clock milliseconds of its start, 0 for unknown.
    :param cold_ms: how long it is still slow after its start.
    """

    host: str
    address: str
    zone: str
    role: HostRole = HostRole.BACKEND
    pool: str = ''
    version: str = ''
    host_class: str = 'standard'
    reclaimable: bool = True
    state: HostState = HostState.LIVE
    instance: str = ''
    slots: int = 0
    left_ms: int = 0
    born: int = 0
    cold_ms: int = 0


class HostsRead(msgspec.Struct, frozen=True):
    """Full host list, as read from the platform."""

    hosts: tuple[HostRow, ...]


class ServersListed(msgspec.Struct, frozen=True, kw_only=True):
    """Full list of the backend server entries in the store.

    :param rows: entries that could be decoded, by their keys.
    """

    rows: dict[str, HostRow]


class EvacuationsListed(msgspec.Struct, frozen=True, kw_only=True):
    """Full list of the evacuated availability zones in the store."""

    zones: frozenset[str]


class EvacuationsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Changes to the evacuated availability zones in the store.

    :param zones: whether a zone is evacuated, by its name.
    """

    zones: dict[str, bool]


class ServersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Changes to the backend server entries in the store.

    :param rows: new content by key, none for entries that were removed.
    """

    rows: dict[str, HostRow | None]


class NodesListed(msgspec.Struct, frozen=True):
    """Addresses of the other nodes, as read from the store.

    :param addresses: ``ip:port`` of their zmq sockets.
    """

    addresses: tuple[str, ...]


class ConfigurationRead(msgspec.Struct, frozen=True, kw_only=True):
    """Current configuration, as read from the store.

    :param configuration: the configuration, none where the store confirmed
        that nothing is newer.
    :param sent: monotonic milliseconds before the query was sent.
    """

    configuration: model.Configuration | None
    sent: int


class StoreCallEnded(msgspec.Struct, frozen=True):
    """Success or failure of a call to the store.

    :param answered: whether the store answered.
    :param detail: what went wrong.
    """

    answered: bool
    detail: str = ''


class StoreEraSeen(msgspec.Struct, frozen=True):
    """First answer of the store in an era.

    :param era: rises by one when the store is restored from an older copy.
    :param restored: whether this node saw an earlier era: what was written
        since the copy is gone, leases included.
    """

    era: int
    restored: bool


class RolloutOrdered(msgspec.Struct, frozen=True, kw_only=True):
    """Order of the operators to roll a pool out to another version.

    :param version: version that is wanted.
    :param duration_ms: time that the rollout may take.
    :param number: grows with each such order.
    """

    pool: str
    version: str
    duration_ms: int
    number: int


class RolloutEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Final status of a rollout, as read from the store.

    :param version: version that was ordered.
    :param done: whether that version serves now; otherwise the old one
        does.
    """

    pool: str
    version: str
    done: bool


class MoveStatusWritten(msgspec.Struct, frozen=True, kw_only=True):
    """Result of writing the status of a rollout to the store.

    :param number: number of the rollout.
    :param is_written: whether the status was written.
    """

    pool: str
    number: int
    is_written: bool


class EntryUndecodable(msgspec.Struct, frozen=True):
    """Entry of the store that cannot be decoded.

    :param key: its key.
    :param revision: revision of its last change.
    :param detail: what is wrong with it.
    """

    key: str
    revision: int
    detail: str


class ServerOrderAnswered(msgspec.Struct, frozen=True):
    """Platform's reply to an order of backend servers.

    :param accepted: whether it was accepted, none where no reply came.
    """

    pool: str
    zone: str
    reclaimable: bool
    count: int
    accepted: bool | None


class UsageReportAnswered(msgspec.Struct, frozen=True):
    """Platform's reply to a usage report.

    :param accepted: whether it was accepted.
    """

    window: int
    accepted: bool


class ReclaimAnnounced(msgspec.Struct, frozen=True):
    """Notice of the cloud that it takes hosts back.

    :param hosts: names of the hosts.
    :param left_ms: time until they are gone.
    """

    hosts: tuple[str, ...]
    left_ms: int


class LoadReported(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a backend server, as it reported itself.

    :param host: name of the host.
    :param version: version that it runs.
    :param slots: requests that it runs concurrently.
    :param running: requests that it runs.
    :param waiting: requests in its queue.
    :param leaving: whether it refuses new work.
    """

    host: str
    version: str
    slots: int
    running: int
    waiting: int
    leaving: bool


class LoadMissing(msgspec.Struct, frozen=True):
    """Failure of a backend server to report its load."""

    host: str


class KeyRead(msgspec.Struct, frozen=True):
    """Result of a read from the key-value service.

    :param value: content, none where the key does not exist.
    :param revision: modification revision, 0 where it does not exist.
    """

    ticket: tickets.Ticket
    value: bytes | None
    revision: int


class KeySwapped(msgspec.Struct, frozen=True):
    """Result of a compare-and-swap in the key-value service.

    :param swapped: whether the new value was written.
    :param revision: revision of the write, where there was one.
    """

    ticket: tickets.Ticket
    swapped: bool
    revision: int


class KeyFailed(msgspec.Struct, frozen=True):
    """Call to the key-value service that got no usable answer.

    :param in_doubt: whether a write may have taken effect nevertheless.
    """

    ticket: tickets.Ticket
    in_doubt: bool


class LeaseGranted(msgspec.Struct, frozen=True):
    """Lease that the key-value service granted.

    :param number: number of the lease.
    """

    ticket: tickets.Ticket
    number: int


class LeaseRenewed(msgspec.Struct, frozen=True):
    """Result of renewing a lease in the key-value service.

    :param is_valid: whether the lease was still valid.
    """

    ticket: tickets.Ticket
    is_valid: bool


class Price(msgspec.Struct, frozen=True, kw_only=True):
    """Price of one kind of host.

    :param zone: availability zone.
    :param host_class: machine class.
    :param reclaimable: whether the cloud may take it back.
    :param hourly: price for an hour.
    """

    zone: str
    host_class: str
    reclaimable: bool
    hourly: float


class PricesRead(msgspec.Struct, frozen=True):
    """Current prices of the cloud."""

    prices: tuple[Price, ...]


class HostStarted(msgspec.Struct, frozen=True):
    """Cloud's reply to an order of a host.

    :param token: token of the order.
    :param host: name of the host, none where the order was refused.
    """

    token: str
    host: str | None


class PeerMessageReceived(msgspec.Struct, frozen=True):
    """Message received from another node.

    :param sender: name of the sender.
    """

    sender: str
    message: messages.Message


class ApplyRequested(msgspec.Struct, frozen=True):
    """Operator's request to replace the tables.

    :param ticket: number of the request within this process.
    :param base: generation that the operator has read.
    :param tables: validated tables.
    :param writer: unique token of this write.
    """

    ticket: int
    base: int
    tables: model.Tables
    writer: str


class StatusRequested(msgspec.Struct, frozen=True):
    """Caller's query for the status of an earlier request.

    :param handle: number of the query within this process.
    :param key: identity of the request.
    :param id_time: wall milliseconds in its id, 0 where it has none.
    """

    handle: int
    key: calls.RequestKey
    id_time: int


class DrainRequested(msgspec.Struct, frozen=True):
    """Request to drain and stop the node.

    :param by: monotonic milliseconds by which it must have stopped.
    :param since: when the request was made, likewise; none for now.
    :param earliest_stop: earliest moment to which a later request may shorten
        the deadline, likewise; none for `by`.
    :param is_final: whether the process may not outlast `by` for the last
        answers.
    """

    by: int
    since: int | None = None
    earliest_stop: int | None = None
    is_final: bool = False


Event = (
    Ticked
    | DelayElapsed
    | CallArrived
    | CallerDisconnected
    | TokenReceived
    | StreamEnded
    | CacheCopied
    | AnswerReceived
    | AttemptSent
    | AttemptFailed
    | HeadReceived
    | StreamEventsReceived
    | RelayEnded
    | ServerChecked
    | PartRead
    | AnswerLoadReceived
    | AnswerLoadInvalid
    | LinkProbed
    | ServerNoticed
    | TermsStated
    | TermsInvalid
    | ServersListed
    | ServersChanged
    | EvacuationsListed
    | EvacuationsChanged
    | NodesListed
    | ConfigurationRead
    | StoreCallEnded
    | StoreEraSeen
    | RolloutOrdered
    | RolloutEnded
    | MoveStatusWritten
    | EntryUndecodable
    | ServerOrderAnswered
    | UsageReportAnswered
    | HostsRead
    | ReclaimAnnounced
    | LoadReported
    | LoadMissing
    | KeyRead
    | KeySwapped
    | KeyFailed
    | LeaseGranted
    | LeaseRenewed
    | PricesRead
    | HostStarted
    | PeerMessageReceived
    | ApplyRequested
    | StatusRequested
    | DrainRequested
)
