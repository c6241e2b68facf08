"""Messages between nodes, as frozen data classes."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from teaselbridge.decisions import calls
from teaselbridge.decisions import claims
from teaselbridge.decisions import evidence
from teaselbridge.decisions.limits import terms as terms_module
from teaselbridge.tables import delta
from teaselbridge.tables import model

MAX_PART_HOSTS = 64


class Status(enum.IntEnum):
    """Status of a member; a higher value overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Membership record of one node.

    :param name: unique name of the node.
    :param incarnation: number that grows with each restart and with each
        refutation of a suspicion.
    :param status: status of the node in the sender's view.
    :param peers: ``ip:port`` of its zmq socket.
    :param callers: ``ip:port`` of its HTTP interface for callers.
    :param admin: ``ip:port`` of its HTTP interface for operators.
    :param zone: availability zone.
    :param region: region of the zone.
    :param draining: whether it accepts no new work.
    :param cores: processor cores of its host, 0 for unknown.
    :param forwarding: ``ip:port`` of its HTTP interface for requests that
        other nodes forward, empty for none.
    :param unreachable: pools of which it reaches no server.
    :param takes_usage_counts: whether it takes `UsageCounts`. Older builds
        take usage counts in load updates only.
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
    cores: float = 0.0
    forwarding: str = ''
    unreachable: tuple[str, ...] = ()
    takes_usage_counts: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leaving:
    """Notice that a backend server accepts no new work; irrevocable.

    :param host: name of the server's host; names are never reused.
    """

    host: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crashes:
    """Record of a request body that crashed backend servers.

    :param fingerprint: hash of the body.
    :param hosts: hosts whose servers crashed while running it.
    :param until: wall-clock milliseconds when the record expires.
    """

    fingerprint: str
    hosts: tuple[str, ...]
    until: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartCrashes:
    """Record of a prompt part that is accused of crashes.

    :param part: id of the part.
    :param hosts: hosts whose servers crashed as they began an answer to a
        prompt with it.
    :param cleared: those of them whose accusation was withdrawn.
    :param until: wall-clock milliseconds when the record expires.
    """

    part: str
    hosts: tuple[str, ...]
    cleared: tuple[str, ...] = ()
    until: int

    @property
    def accused(self) -> frozenset[str]:
        """Hosts whose crashes the part is accused of."""
        return frozenset(self.hosts) - frozenset(self.cleared)

    def merge(self, other: PartCrashes) -> PartCrashes:
        """Return a record with the content of both.

        Some withdrawn accusations are left out if there are many.
        """
        hosts = {*self.hosts, *other.hosts}
        cleared = {*self.cleared, *other.cleared}
        surplus = max(0, len(hosts) - MAX_PART_HOSTS)
        dropped = set(sorted(hosts & cleared)[:surplus])
        return PartCrashes(
            part=self.part,
            hosts=tuple(sorted(hosts - dropped)),
            cleared=tuple(sorted(cleared - dropped)),
            until=max(self.until, other.until),
        )


class Stage(enum.Enum):
    """Stage of a rollout."""

    PREPARING = 'preparing'
    RUNNING = 'running'
    DONE = 'done'
    UNDONE = 'undone'


ENDED_STAGES = frozenset({Stage.DONE, Stage.UNDONE})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """State of a rollout that moves a pool from one version to another.

    :param pool: name of the pool.
    :param number: number that grows with each rollout of the pool.
    :param sequence: number that grows with each step of the rollout.
    :param old: version that is replaced.
    :param new: version that replaces it.
    :param wished_by: deadline in the operator's row, 0 for the default. A
        change of it starts a new rollout, as a change of the version does.
    :param deadline: wall-clock milliseconds by which it must be done.
    :param began: wall-clock milliseconds of its start.
    :param stepped: wall-clock milliseconds of its latest step.
    :param stage: stage of the rollout.
    :param share: share of traffic for the new version.
    :param reason: cause of the latest step.
    :param node: node that took the latest step.
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
        """Key that orders states; a higher one is newer."""
        return (self.number, self.sequence)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Decision that a new version is bad; final for its rollout.

    :param pool: name of the pool.
    :param number: number of the rollout.
    :param node: node that made the decision.
    :param route: route on which the version performs badly.
    :param cause: evidence for the decision, with figures.
    """

    pool: str
    number: int
    node: str
    route: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gossip:
    """Updates that are piggybacked on other messages.

    :param members: membership records of nodes.
    :param leaving: backend servers that accept no new work.
    :param crashes: request bodies that crash backend servers.
    :param parts: prompt parts that are accused of crashes.
    :param moves: states of rollouts.
    :param verdicts: decisions that new versions are bad.
    :param generation: newest configuration generation of the sender.
    """

    members: tuple[Member, ...] = ()
    leaving: tuple[Leaving, ...] = ()
    crashes: tuple[Crashes, ...] = ()
    parts: tuple[PartCrashes, ...] = ()
    moves: tuple[Move, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    generation: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Probe of a member.

    :param sequence: number of the probe at its sender.
    :param reply_to: ``ip:port`` that the reply is sent to.
    :param gossip: piggybacked updates.
    """

    sequence: int
    reply_to: str
    gossip: Gossip


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Reply to a probe, from the probed member or on its behalf.

    :param sequence: number of the probe.
    :param member: name of the member that answered the probe.
    :param gossip: piggybacked updates.
    :param confirmed_ms: age of the sender's latest read of the store that
        confirmed its configuration, counted from when the read was sent;
        -1 if there was none.
    """

    sequence: int
    member: str
    gossip: Gossip
    confirmed_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PingFor:
    """Request to probe a member on the sender's behalf.

    :param sequence: number of the probe at its sender.
    :param reply_to: ``ip:port`` of the sender.
    :param target: ``ip:port`` of the member to probe.
    """

    sequence: int
    reply_to: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SyncAsked:
    """Request for an anti-entropy sync of the full state.

    There is no reply if the receiver's state has the same digest.

    :param reply_to: ``ip:port`` that the reply is sent to.
    :param digest: hash of the sender's state.
    :param both_ways: whether the receiver should request a sync in turn.
    :param gossip: membership record of the sender.
    """

    reply_to: str
    digest: int
    both_ways: bool
    gossip: Gossip


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SyncSent:
    """Full state of the sender.

    :param gossip: the state.
    """

    gossip: Gossip


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationAsked:
    """Request for the receiver's configuration, unless it is older.

    :param have: configuration generation of the sender.
    :param reply_to: ``ip:port`` that the reply is sent to.
    :param whole: whether the reply must be a whole configuration, not a
        delta.
    """

    have: int
    reply_to: str
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSent:
    """The sender's whole configuration.

    :param configuration: the configuration.
    """

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """Delta from the receiver's configuration to the sender's.

    :param change: the delta.
    :param reply_to: ``ip:port`` of the sender, for a request for the whole
        configuration if the delta does not apply.
    """

    change: delta.Delta
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandOver:
    """Handoff of a request that the sender can no longer hold.

    :param ticket: number of the handoff at its sender.
    :param reply_to: ``ip:port`` that the reply is sent to.
    :param call: the request; its deadline and handle are valid only at the
        sender.
    :param remaining_ms: time left until the request's deadline.
    :param tokens: tokens produced so far.
    """

    ticket: int
    reply_to: str
    call: calls.Call
    remaining_ms: int
    tokens: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HandOverTaken:
    """Reply to a handoff.

    :param ticket: number of the handoff.
    :param taken: whether the sender of the reply now holds the request.
    """

    ticket: int
    taken: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerAsked:
    """Request to perform a ledger operation in a batch with others.

    :param operation: the operation; its handle is the sender's ticket.
    :param remaining_ms: how long the sender waits for the result.
    """

    operation: claims.Operation
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerTold:
    """Result of a ledger operation.

    :param ticket: ticket of the node that requested the operation.
    :param claim: entry of the request in the ledger after the operation.
    """

    ticket: int
    claim: claims.Claim | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scores:
    """Results of a rollout's new version that the sender has observed.

    :param pool: name of the pool.
    :param number: number of the rollout.
    :param node: name of the sender.
    :param incarnation: incarnation of the sender at its start.
    :param scores: totals by route since the sender's start.
    :param elapsed_ms: time since the sender learned of the rollout.
    """

    pool: str
    number: int
    node: str
    incarnation: int
    scores: tuple[evidence.Score, ...]
    elapsed_ms: int = 0


class ServerLoad(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """In-flight work of the sender at a backend server, and news of it.

    Fields with their default are not sent, which keeps updates small.

    :param host: name of the server's host.
    :param running: number of in-flight requests.
    :param prefill: prompt tokens that are not prefilled yet.
    :param pace: pace of its machine that the sender heard last, in percent of
        the usual one, 0 for no news.
    :param pace_age_ms: time since the sender heard it.
    :param speed: prompt tokens per second that the sender recently saw it
        read, at the usual pace; 0 for no news.
    :param tokens: tokens in its memory that the sender's requests hold and
        will hold.
    """

    host: str
    running: int
    prefill: int
    pace: int = 0
    pace_age_ms: int = 0
    speed: int = 0
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cached:
    """Prompt parts that the sender sent to a backend server.

    The server is expected to have them in its prefix cache.

    :param host: name of the server's host.
    :param parts: ids of the prompt parts.
    """

    host: str
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Cost of a workspace's requests to the sender.

    :param workspace: name of the workspace.
    :param spent: cost of those admitted since the start of the sender.
    :param asked: cost of all of the last two seconds, by rank from 0 on;
        empty from senders that do not report it.
    """

    workspace: str
    spent: int
    asked: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Count of a workspace's requests that started running at the sender.

    :param window: number of the usage window since the epoch.
    :param workspace: name of the workspace.
    :param count: number of requests.
    """

    window: int
    workspace: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageSource:
    """Usage counts of one run of a node.

    :param source: name and incarnation of the node.
    :param usage: its counts, all of them in the windows from ``since`` on
        and before ``settled``, elsewhere those that have changed.
    :param settled: first window whose counts may still rise, 0 for unknown.
    :param since: first window whose counts are repeated as a whole.
    """

    source: str
    usage: tuple[Usage, ...] = ()
    settled: int = 0
    since: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageCounts:
    """Usage counts, sent to the nodes that may have to report them.

    :param node: name of the sender.
    :param wall: wall-clock milliseconds of the sender.
    :param sources: the sender's counts first, and in an answer also those
        of runs that have ended.
    :param answers: whether this answers `UsageAsked`.
    """

    node: str
    wall: int
    sources: tuple[UsageSource, ...]
    answers: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageAsked:
    """Request of the node that reports usage for the receiver's counts.

    :param node: name of the sender.
    :param reply_to: ``ip:port`` of the sender's zmq socket.
    """

    node: str
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """Prompt tokens that the sender recently sent to a pool.

    :param pool: name of the pool.
    :param tokens: prompt tokens that no cache held.
    :param prompts: all prompt tokens.
    """

    pool: str
    tokens: int
    prompts: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatedTerms:
    """Terms of a backend server, as one of its answers stated them.

    :param host: name of the server's host.
    :param terms: the terms.
    :param asked_ms_ago: time since the request was sent.
    :param heard_ms_ago: time since its answer came.
    """

    host: str
    terms: terms_module.Terms
    asked_ms_ago: int
    heard_ms_ago: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FullServer:
    """Backend server that no node should send requests to for a time.

    :param host: name of the server's host.
    :param left_ms: the time left.
    """

    host: str
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Loads:
    """Load that the sender causes; sent several times a second.

    :param node: name of the sender.
    :param incarnation: incarnation of the sender at its start.
    :param wall: wall-clock milliseconds of the sender.
    :param servers: all servers with in-flight work of the sender, or news.
    :param cached: prompt parts sent to servers since the last message.
    :param demand: cost of admitted requests by workspace.
    :param usage: counts of the latest usage windows, empty in messages that
        carry none.
    :param reading: recent prompt tokens by pool.
    :param terms: what servers stated, changes first.
    :param full: servers that fail if they refuse many requests, and are full.
    :param takes_part: whether the sender gets the updates of others.
    :param arrivals_per_s: requests that arrive at the sender per second, -1
        for unknown.
    """

    node: str
    incarnation: int
    wall: int
    servers: tuple[ServerLoad, ...]
    cached: tuple[Cached, ...] = ()
    demand: tuple[Demand, ...] = ()
    usage: tuple[Usage, ...] = ()
    reading: tuple[Reading, ...] = ()
    terms: tuple[StatedTerms, ...] = ()
    full: tuple[FullServer, ...] = ()
    takes_part: bool = True
    arrivals_per_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreEntry:
    """Entry of the store, as it was read.

    :param data: content, none where the entry was removed.
    :param revision: revision of its last change.
    """

    key: str
    data: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangesAsked:
    """Request for the changes of the store since a position.

    :param reply_to: ``ip:port`` of the sender's zmq socket.
    :param era: era of the store that the sender knows.
    :param revision: revision in that era up to which it knows all changes.
    :param asked_at: monotonic milliseconds of the sender.
    """

    reply_to: str
    era: int
    revision: int
    asked_at: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangesSent:
    """Answer to `ChangesAsked`.

    :param era: era of the store that the sender knows.
    :param revision: revision in that era up to which it knows all changes.
    :param since: revision that the request stated.
    :param entries: the changes since then, less the configuration; none
        where the sender does not know them all.
    :param asked_at: as the request stated it.
    :param confirmed_ms: age of the sender's last confirmation of the
        configuration, -1 for never.
    :param generation: generation of that configuration.
    :param configuration_revision: revision in that era up to which the
        sender knows the configuration, 0 for unknown.
    """

    era: int
    revision: int
    since: int
    entries: tuple[StoreEntry, ...] | None
    asked_at: int
    confirmed_ms: int
    generation: int
    configuration_revision: int = 0


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
    | UsageAsked
    | UsageCounts
    | ChangesAsked
    | ChangesSent
)
