"""Messages between nodes, as frozen data classes."""

from __future__ import annotations

import dataclasses
import enum

from teaselbridge.decisions import calls
from teaselbridge.decisions import claims
from teaselbridge.decisions import evidence
from teaselbridge.tables import delta
from teaselbridge.tables import model


class Status(enum.IntEnum):
    """What is believed of a member; the higher beats the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One node, as the others know it.

    :param name: unique name.
    :param incarnation: grows with each restart and each refutation.
    :param status: what is believed of it.
    :param peers: ``ip:port`` of its zmq socket.
    :param callers: ``ip:port`` of its callers' interface.
    :param admin: ``ip:port`` of its operators' interface.
    :param zone: availability zone.
    :param region: region of the zone.
    :param draining: whether it takes no new work.
    """

    name: str
    incarnation: int
    status: Status
    peers: str
    callers: str
    admin: str
    zone: str
    region: str
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leaving:
    """A backend server takes no new work; never taken back.

    :param host: name of its host, unique over time.
    """

    host: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crashes:
    """A request body that backend servers died of.

    :param fingerprint: hash of the body.
    :param hosts: hosts that died running it.
    :param until: wall milliseconds after which it is forgotten.
    """

    fingerprint: str
    hosts: tuple[str, ...]
    until: int


class Stage(enum.Enum):
    """How far a move has come."""

    PREPARING = 'preparing'
    RUNNING = 'running'
    DONE = 'done'
    UNDONE = 'undone'


ENDED = frozenset({Stage.DONE, Stage.UNDONE})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """A pool's move from one version to another.

    :param number: grows with each move of the pool.
    :param sequence: grows with each step of the move.
    :param old: version that is left.
    :param new: version that is wanted.
    :param wished_by: time in the operator's row, to tell wishes apart.
    :param deadline: wall milliseconds by which it must be done.
    :param began: wall milliseconds.
    :param stepped: wall milliseconds of the last step.
    :param share: share of traffic for the new version.
    :param reason: why it is as it is.
    :param node: node that took the step.
    """

    pool: str
    number: int
    sequence: int
    old: str
    new: str
    wished_by: int
    deadline: int
    began: int
    stepped: int
    stage: Stage
    share: float
    reason: str
    node: str = ''

    @property
    def order(self) -> tuple[int, int]:
        """The higher is the newer."""
        return (self.number, self.sequence)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """A new version is bad; final for its move.

    :param number: number of the move.
    :param node: node that found it.
    :param route: route on which it shows.
    :param cause: what shows, with figures.
    """

    pool: str
    number: int
    node: str
    route: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gossip:
    """News of any kind, carried by other messages.

    :param members: what is believed of nodes.
    :param leaving: backend servers that leave.
    :param crashes: request bodies that crash servers.
    :param moves: how far moves have come.
    :param verdicts: new versions that are bad.
    :param generation: newest generation of the configuration.
    """

    members: tuple[Member, ...] = ()
    leaving: tuple[Leaving, ...] = ()
    crashes: tuple[Crashes, ...] = ()
    moves: tuple[Move, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    generation: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Are you there?

    :param sequence: number of the probe at its sender.
    :param reply_to: ``ip:port`` that the answer goes to.
    """

    sequence: int
    reply_to: str
    gossip: Gossip


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """I am here; or the probed member is.

    :param sequence: number of the probe.
    :param member: name of the member that is there.
    :param confirmed_ms: how long ago the sender asked the store the
        question whose answer confirmed its configuration, -1 for never.
    """

    sequence: int
    member: str
    gossip: Gossip
    confirmed_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PingFor:
    """Probe a member on the sender's behalf.

    :param sequence: number of the probe at its sender.
    :param reply_to: ``ip:port`` of the sender.
    :param target: ``ip:port`` of the member to probe.
    """

    sequence: int
    reply_to: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SyncAsked:
    """Send me all that you know, unless it is what I know.

    :param reply_to: ``ip:port`` that the answer goes to.
    :param digest: hash of all that the sender knows.
    :param both_ways: whether the sender wants to be asked in turn.
    :param gossip: the sender itself.
    """

    reply_to: str
    digest: int
    both_ways: bool
    gossip: Gossip


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SyncSent:
    """All that the sender knows."""

    gossip: Gossip


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationAsked:
    """Send me your configuration if it is newer.

    :param have: generation of the asker.
    :param reply_to: ``ip:port`` that the answer goes to.
    :param whole: whether differences do not help.
    """

    have: int
    reply_to: str
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSent:
    """The sender's configuration."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """What makes the receiver's configuration into the sender's.

    :param reply_to: ``ip:port`` of the sender, for a whole one.
    """

    change: delta.Delta
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandOver:
    """A request that the sender can no longer hold.

    :param ticket: number of the hand-over at its sender.
    :param reply_to: ``ip:port`` that the answer goes to.
    :param call: the request; its deadline and handle are the sender's.
    :param remaining_ms: time left until its deadline.
    :param tokens: tokens produced so far.
    """

    ticket: int
    reply_to: str
    call: calls.Call
    remaining_ms: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandOverTaken:
    """The sender holds the request now.

    :param ticket: number of the hand-over.
    :param taken: whether it holds the request.
    """

    ticket: int
    taken: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerAsked:
    """Do an operation on the ledger together with others.

    :param operation: its handle is the sender's ticket.
    :param remaining_ms: how long the sender waits for it.
    """

    operation: claims.Operation
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerTold:
    """An operation on the ledger was done.

    :param ticket: the sender's ticket.
    :param claim: entry that stands.
    """

    ticket: int
    claim: claims.Claim | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scores:
    """What the sender saw of a move's new version since its start.

    :param number: number of the move.
    :param node: the sender.
    :param incarnation: the sender's at its start.
    :param scores: by route.
    """

    pool: str
    number: int
    node: str
    incarnation: int
    scores: tuple[evidence.Score, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerLoad:
    """What the sender has under way at a backend server.

    :param host: name of the server's host.
    :param running: requests.
    :param prefill: prompt tokens that are not read yet.
    """

    host: str
    running: int
    prefill: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cached:
    """Parts of prompts that the sender gave a backend server.

    :param host: name of the server's host.
    :param parts: ids of the parts.
    """

    host: str
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What the sender let through of a workspace since its start."""

    workspace: str
    spent: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Requests of a workspace that began to run at the sender.

    :param window: number of the window since the epoch.
    """

    window: int
    workspace: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """Prompt tokens that the sender gave a pool to read lately.

    :param tokens: those that no cache held.
    :param prompts: all of them.
    """

    pool: str
    tokens: int
    prompts: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Loads:
    """What the sender has under way; sent a few times a second.

    :param node: the sender.
    :param incarnation: the sender's at its start.
    :param wall: the sender's wall milliseconds.
    :param servers: all servers with work of the sender.
    :param cached: what was given to servers since the last message.
    :param demand: by workspace.
    :param usage: counts of the last windows, none where they are not told.
    :param reading: by pool.
    """

    node: str
    incarnation: int
    wall: int
    servers: tuple[ServerLoad, ...]
    cached: tuple[Cached, ...] = ()
    demand: tuple[Demand, ...] = ()
    usage: tuple[Usage, ...] = ()
    reading: tuple[Reading, ...] = ()


Message = (
    Ping
    | Ack
    | PingFor
    | SyncAsked
    | SyncSent
    | ConfigurationAsked
    | ConfigurationSent
    | ConfigurationChanged
    | HandOver
    | HandOverTaken
    | LedgerAsked
    | LedgerTold
    | Scores
    | Loads
)
