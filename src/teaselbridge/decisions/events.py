"""Everything that can happen to a node, as data.

These are structs of msgspec, which are frozen data classes as well: each node
makes a hundred kinds of them at its start, and the standard ones take a tenth
of the time until it serves again.
"""

from __future__ import annotations

import enum

import msgspec

from teaselbridge.decisions import calls
from teaselbridge.decisions import tickets
from teaselbridge.peers import messages
from teaselbridge.tables import model


class Ticked(msgspec.Struct, frozen=True):
    """Time has passed; due work is done."""


class Woke(msgspec.Struct, frozen=True):
    """A wait that was asked for is over."""


class CallArrived(msgspec.Struct, frozen=True):
    """A caller sent a request that passed the gateway's checks."""

    call: calls.Call


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of a request closed its connection."""

    handle: int


class TokenCame(msgspec.Struct, frozen=True):
    """An engine produced the next token of an attempt."""

    handle: int
    attempt: int
    text: str


class StreamEnded(msgspec.Struct, frozen=True):
    """An engine ended an attempt explicitly.

    :param cached_tokens: prompt tokens found in the prefix cache.
    :param prompt_tokens: prompt tokens in all.
    """

    handle: int
    attempt: int
    finish: str
    cached_tokens: int
    prompt_tokens: int


class CacheMoved(msgspec.Struct, frozen=True):
    """A prompt's KV cache was moved before an attempt, or could not be.

    :param blocks: blocks that were moved, none where it failed.
    """

    blocks: int | None


class AnswerCame(msgspec.Struct, frozen=True):
    """A plain service answered an attempt whole."""

    handle: int
    attempt: int
    answer: calls.Answer


class HeadCame(msgspec.Struct, frozen=True):
    """A relayed stream began."""

    handle: int
    attempt: int
    head: calls.Head


class EventsCame(msgspec.Struct, frozen=True):
    """Whole events of a relayed stream came.

    :param data: the bytes of the events.
    :param last: number of the last of them, none where it bears none.
    """

    handle: int
    attempt: int
    data: bytes
    last: int | None


class RelayEnded(msgspec.Struct, frozen=True):
    """A relayed stream ended whole."""

    handle: int
    attempt: int


class LoadSeen(msgspec.Struct, frozen=True):
    """An answer told its server's load.

    :param address: ``ip:port`` of the server.
    """

    address: str
    running: int
    waiting: int
    slots: int


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt ended without an answer."""

    handle: int
    attempt: int
    fault: calls.Fault


class HostState(enum.Enum):
    """State of a host in the platform's host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class HostRole(enum.Enum):
    """What runs on a host."""

    BACKEND = 'backend'
    ENTRY = 'entry'


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the platform's host list.

    :param host: unique name.
    :param address: ``ip:port`` of what runs there.
    :param zone: availability zone.
    :param role: backend server or entry host.
    :param pool: pool that the host was started for.
    :param version: version it was started with.
    :param host_class: machine class.
    :param reclaimable: whether the cloud may take it back.
    :param state: live or leaving.
    :param instance: name that what runs there answers to.
    :param slots: requests that it runs at a time, 0 for unknown.
    :param left_ms: time until it is taken back, 0 for unknown.
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


class HostsRead(msgspec.Struct, frozen=True):
    """The host list was read."""

    hosts: tuple[HostRow, ...]


class ServersListed(msgspec.Struct, frozen=True, kw_only=True):
    """All entries of backend servers were read from the store.

    :param rows: entries that could be decoded, by their keys.
    """

    rows: dict[str, HostRow]


class ServersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Entries of backend servers changed in the store.

    :param rows: new content by key, none for entries that are gone.
    """

    rows: dict[str, HostRow | None]


class NodesListed(msgspec.Struct, frozen=True):
    """The store told where other nodes can be reached.

    :param addresses: ``ip:port`` of their zmq sockets.
    """

    addresses: tuple[str, ...]


class ConfigurationSeen(msgspec.Struct, frozen=True, kw_only=True):
    """The store told what stands of the configuration.

    :param found: what was written, none where nothing is new.
    :param sent: monotonic milliseconds before the question was sent.
    """

    found: model.Configuration | None
    sent: int


class StoreAnswered(msgspec.Struct, frozen=True):
    """A watch or a list of the store was answered, or not.

    :param answered: whether it was.
    :param detail: what went wrong.
    """

    answered: bool
    detail: str = ''


class RolloutSeen(msgspec.Struct, frozen=True, kw_only=True):
    """The operators ask for another version of a pool.

    :param version: version that is wanted.
    :param duration_ms: time that the move may take.
    :param number: grows with each such order.
    """

    pool: str
    version: str
    duration_ms: int
    number: int


class RolloutEnded(msgspec.Struct, frozen=True, kw_only=True):
    """The operators have been told how a move ended.

    :param version: version that was asked for.
    :param done: whether it serves now, else the old one does.
    """

    pool: str
    version: str
    done: bool


class MoveTold(msgspec.Struct, frozen=True, kw_only=True):
    """The operators were told of a move, or could not be.

    :param number: number of the move.
    :param written: whether it stands in the store.
    """

    pool: str
    number: int
    written: bool


class Undecodable(msgspec.Struct, frozen=True):
    """An entry of the store could not be decoded.

    :param key: its key.
    :param detail: what is wrong with it.
    """

    key: str
    detail: str


class ServersOrdered(msgspec.Struct, frozen=True):
    """The platform decided on an order of backend servers.

    :param accepted: whether it was taken, none where no answer came.
    """

    pool: str
    zone: str
    reclaimable: bool
    count: int
    accepted: bool | None


class UsageReported(msgspec.Struct, frozen=True):
    """The platform answered a usage report.

    :param accepted: whether it was taken.
    """

    window: int
    accepted: bool


class ReclaimNoticed(msgspec.Struct, frozen=True):
    """The cloud announced that it takes hosts back.

    :param hosts: names of the hosts.
    :param left_ms: time until they are gone.
    """

    hosts: tuple[str, ...]
    left_ms: int


class LoadReported(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server reported its load.

    :param host: name of the host.
    :param version: version that it runs.
    :param slots: requests that it runs at a time.
    :param running: requests that it runs.
    :param waiting: requests that wait in it.
    :param leaving: whether it takes no new work.
    """

    host: str
    version: str
    slots: int
    running: int
    waiting: int
    leaving: bool


class LoadMissing(msgspec.Struct, frozen=True):
    """A backend server did not report its load."""

    host: str


class KeyRead(msgspec.Struct, frozen=True):
    """The key-value service answered a read.

    :param value: content, none where the key does not exist.
    :param revision: modification revision, 0 where it does not exist.
    """

    ticket: tickets.Ticket
    value: bytes | None
    revision: int


class KeySwapped(msgspec.Struct, frozen=True):
    """The key-value service decided a compare-and-swap.

    :param swapped: whether the new value stands.
    :param revision: revision of the write, where it stands.
    """

    ticket: tickets.Ticket
    swapped: bool
    revision: int


class KeyFailed(msgspec.Struct, frozen=True):
    """A call to the key-value service got no usable answer.

    :param in_doubt: whether a write may have taken effect all the same.
    """

    ticket: tickets.Ticket
    in_doubt: bool


class LeaseGranted(msgspec.Struct, frozen=True):
    """The key-value service granted a lease.

    :param number: number of the lease.
    """

    ticket: tickets.Ticket
    number: int


class LeaseKept(msgspec.Struct, frozen=True):
    """The key-value service answered a renewal.

    :param stands: whether the lease still stood.
    """

    ticket: tickets.Ticket
    stands: bool


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
    """The cloud told its prices."""

    prices: tuple[Price, ...]


class HostStarted(msgspec.Struct, frozen=True):
    """The cloud decided on the start of a host.

    :param token: token of the order.
    :param host: name of the host, none where it was refused.
    """

    token: str
    host: str | None


class PeerSpoke(msgspec.Struct, frozen=True):
    """A message of another node came.

    :param sender: name of the sender.
    """

    sender: str
    message: messages.Message


class ApplyAsked(msgspec.Struct, frozen=True):
    """An operator wants new tables.

    :param ticket: number of the question within this process.
    :param base: generation that the operator has read.
    :param tables: checked tables.
    :param writer: unique token of this write.
    """

    ticket: int
    base: int
    tables: model.Tables
    writer: str


class LookAsked(msgspec.Struct, frozen=True):
    """A caller asks what became of a request.

    :param handle: number of the question within this process.
    :param key: identity of the request.
    :param id_time: wall milliseconds in its id, 0 where it has none.
    """

    handle: int
    key: calls.RequestKey
    id_time: int


class DrainAsked(msgspec.Struct, frozen=True):
    """The node has to stop.

    :param by: monotonic milliseconds by which it must have stopped.
    """

    by: int


Event = (
    Ticked
    | Woke
    | CallArrived
    | CallerLeft
    | TokenCame
    | StreamEnded
    | CacheMoved
    | AnswerCame
    | AttemptFailed
    | HeadCame
    | EventsCame
    | RelayEnded
    | LoadSeen
    | ServersListed
    | ServersChanged
    | NodesListed
    | ConfigurationSeen
    | StoreAnswered
    | RolloutSeen
    | RolloutEnded
    | MoveTold
    | Undecodable
    | ServersOrdered
    | UsageReported
    | HostsRead
    | ReclaimNoticed
    | LoadReported
    | LoadMissing
    | KeyRead
    | KeySwapped
    | KeyFailed
    | LeaseGranted
    | LeaseKept
    | PricesRead
    | HostStarted
    | PeerSpoke
    | ApplyAsked
    | LookAsked
    | DrainAsked
)
