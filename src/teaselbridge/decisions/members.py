"""State of the membership protocol: peers, probes and pending updates."""

from __future__ import annotations

import dataclasses
import enum

from teaselbridge.peers import messages

MAX_UPDATES_PER_TOPIC = 24
TRANSMISSION_FACTOR = 3


class Topic(enum.Enum):
    """Kind of update that gossip carries."""

    MEMBER = 'member'
    LEAVING = 'leaving'
    CRASHES = 'crashes'
    PART = 'part'
    MOVE = 'move'
    VERDICT = 'verdict'


class UpdateQueue:
    """Queue of updates to gossip, with the transmissions left for each.

    The queue holds keys only; the update itself is looked up when a message
    is built, so that its latest state is sent.

    Attributes:

    * ``has_new``: whether an update was added since the last push.
    * ``max_transmissions``: number of messages in which each new update is
      sent.
    """

    def __init__(self) -> None:
        self._remaining: dict[Topic, dict[str, int]] = {
            topic: {} for topic in Topic
        }
        self.has_new = False
        self.max_transmissions = TRANSMISSION_FACTOR

    def add_member(self, name: str) -> None:
        """Queue a change of a member."""
        self._add(Topic.MEMBER, name)

    def add_leaving(self, host: str) -> None:
        """Queue the notice that a backend server is leaving."""
        self._add(Topic.LEAVING, host)

    def add_crashes(self, fingerprint: str) -> None:
        """Queue a request body that crashed a backend server."""
        self._add(Topic.CRASHES, fingerprint)

    def add_part(self, part: str) -> None:
        """Queue the record of a prompt part that is accused of crashes."""
        self._add(Topic.PART, part)

    def add_move(self, pool: str) -> None:
        """Queue a step of a pool's move to another version."""
        self._add(Topic.MOVE, pool)

    def add_verdict(self, pool: str, number: int) -> None:
        """Queue the verdict that the new version of a move is bad."""
        self._add(Topic.VERDICT, f'{pool}/{number}')

    def add_generation(self, number: int) -> None:
        """Request a push after a configuration generation took effect.

        Every message carries the generation, so nothing is queued.
        """
        self.has_new = True

    def take_keys(self, topic: Topic) -> list[str]:
        """Return the keys to send next and count one transmission of each.

        Keys with the most transmissions left come first; keys with none
        left are removed.
        """
        remaining = self._remaining[topic]
        chosen = sorted(
            remaining, key=lambda name: remaining[name], reverse=True
        )
        chosen = chosen[:MAX_UPDATES_PER_TOPIC]
        for name in chosen:
            remaining[name] -= 1
            if remaining[name] <= 0:
                del remaining[name]
        return chosen

    def _add(self, topic: Topic, name: str) -> None:
        self._remaining[topic][name] = self.max_transmissions
        self.has_new = True


@dataclasses.dataclass(slots=True)
class Peer:
    """A peer node; times are monotonic milliseconds.

    :param member: the newest entry that is known of it.
    :param last_heard_at: when its last message came.
    :param suspected_at: when it became suspect.
    :param ended_at: when it was declared dead or left.
    """

    member: messages.Member
    last_heard_at: int = 0
    suspected_at: int = 0
    ended_at: int = 0


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe that is not yet answered.

    :param name: name of the probed peer.
    :param sent: monotonic milliseconds.
    :param relayed: whether other peers were asked to probe it too.
    """

    name: str
    sent: int
    relayed: bool = False


@dataclasses.dataclass(slots=True)
class Relay:
    """A probe that is made on behalf of another node.

    :param sequence: number of the probe at that node.
    :param reply_to: ``ip:port`` that the answer is forwarded to.
    :param sent: monotonic milliseconds.
    """

    sequence: int
    reply_to: str
    sent: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Membership:
    """State of the membership protocol; times are monotonic milliseconds.

    :param me: this node's own entry.
    :param updates: updates that are still to be gossiped.
    :param peers: peers by name.
    :param probes: own probes without an answer, by sequence number.
    :param relays: probes made for other nodes, by sequence number.
    :param order: names of the peers to probe next, in shuffled order.
    :param sequence: number of the last probe that was sent.
    :param last_heard_at: when the last message of any peer came.
    :param withdrawn: whether this node is isolated and takes no work.
    :param is_watching: whether this node watches the configuration.
    """

    me: messages.Member
    updates: UpdateQueue = dataclasses.field(default_factory=UpdateQueue)
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    probes: dict[int, Probe] = dataclasses.field(default_factory=dict)
    relays: dict[int, Relay] = dataclasses.field(default_factory=dict)
    order: list[str] = dataclasses.field(default_factory=list)
    sequence: int = 0
    probe_due: int = 0
    sync_due: int = 0
    join_due: int = 0
    push_due: int = 0
    last_heard_at: int = 0
    withdrawn: bool = False
    is_watching: bool = False

    @property
    def alive(self) -> list[messages.Member]:
        """Peers that are alive or suspect."""
        return [
            peer.member
            for peer in self.peers.values()
            if peer.member.status <= messages.Status.SUSPECT
        ]

    @property
    def known_peers(self) -> list[messages.Member]:
        """All known peers, including those that are dead or left."""
        return [peer.member for peer in self.peers.values()]

    @property
    def nodes(self) -> int:
        """Number of live nodes that take work, this node included."""
        return len(self.serving_nodes)

    @property
    def serving_nodes(self) -> list[str]:
        """Names of the live nodes that take work, this node first."""
        others = [member.name for member in self.alive if not member.draining]
        return [self.me.name, *others]

    def get_peer(self, name: str) -> messages.Member | None:
        """Return the peer of a name, or none if it is unknown."""
        peer = self.peers.get(name)
        return None if peer is None else peer.member

    def get_node(self, name: str) -> messages.Member | None:
        """Return the node of a name, which may be this node."""
        return self.me if name == self.me.name else self.get_peer(name)
