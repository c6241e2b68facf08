"""What a node believes of the others, and what it still has to tell."""

from __future__ import annotations

import dataclasses
import enum

from teaselbridge.peers import messages

CARRIED = 24
REPEATS = 3


class Topic(enum.Enum):
    """Kinds of news."""

    MEMBER = 'member'
    LEAVING = 'leaving'
    CRASHES = 'crashes'
    MOVE = 'move'
    VERDICT = 'verdict'


class News:
    """What is still worth telling, with how often to tell it."""

    def __init__(self) -> None:
        self._told: dict[Topic, dict[str, int]] = {
            topic: {} for topic in Topic
        }
        self.fresh = False
        self.repeats = REPEATS

    def add_member(self, name: str) -> None:
        """A member changed."""
        self._add(Topic.MEMBER, name)

    def add_leaving(self, host: str) -> None:
        """A backend server leaves."""
        self._add(Topic.LEAVING, host)

    def add_crashes(self, fingerprint: str) -> None:
        """A request body was seen to crash a server."""
        self._add(Topic.CRASHES, fingerprint)

    def add_move(self, pool: str) -> None:
        """A move of a pool took a step."""
        self._add(Topic.MOVE, pool)

    def add_verdict(self, pool: str, number: int) -> None:
        """A version was found bad."""
        self._add(Topic.VERDICT, f'{pool}/{number}')

    def add_generation(self, number: int) -> None:
        """A generation was put in force; each message tells it."""
        self.fresh = True

    def take(self, topic: Topic) -> list[str]:
        """Names to tell of, the least told first, each counted as told."""
        told = self._told[topic]
        chosen = sorted(told, key=lambda name: told[name], reverse=True)
        chosen = chosen[:CARRIED]
        for name in chosen:
            told[name] -= 1
            if told[name] <= 0:
                del told[name]
        return chosen

    def _add(self, topic: Topic, name: str) -> None:
        self._told[topic][name] = self.repeats
        self.fresh = True


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node.

    :param heard: monotonic milliseconds of its last message.
    :param suspected: when it was suspected.
    :param ended: when it was declared dead, or left.
    """

    member: messages.Member
    heard: int = 0
    suspected: int = 0
    ended: int = 0


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe without an answer yet.

    :param name: peer that was probed.
    :param relayed: whether others were asked to probe it.
    """

    name: str
    sent: int
    relayed: bool = False


@dataclasses.dataclass(slots=True)
class Relay:
    """A probe made on behalf of another node."""

    sequence: int
    reply_to: str
    sent: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Membership:
    """State of the membership protocol; times are monotonic milliseconds.

    :param me: this node.
    :param order: peers to probe next, in shuffled order.
    :param heard: when any peer was heard last.
    :param withdrawn: whether this node is cut off and takes no work.
    :param watching: whether it watches the configuration.
    """

    me: messages.Member
    news: News = dataclasses.field(default_factory=News)
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    probes: dict[int, Probe] = dataclasses.field(default_factory=dict)
    relays: dict[int, Relay] = dataclasses.field(default_factory=dict)
    order: list[str] = dataclasses.field(default_factory=list)
    sequence: int = 0
    probe_due: int = 0
    sync_due: int = 0
    join_due: int = 0
    push_due: int = 0
    heard: int = 0
    withdrawn: bool = False
    watching: bool = False

    @property
    def alive(self) -> list[messages.Member]:
        """Peers that are believed to be alive, suspects among them."""
        return [
            peer.member
            for peer in self.peers.values()
            if peer.member.status <= messages.Status.SUSPECT
        ]

    @property
    def all(self) -> list[messages.Member]:
        """Every peer that is known, dead ones too."""
        return [peer.member for peer in self.peers.values()]

    @property
    def nodes(self) -> int:
        """Live nodes that take work, this one included."""
        return len(self.workers)

    @property
    def workers(self) -> list[str]:
        """Names of the live nodes that take work, this one included."""
        others = [one.name for one in self.alive if not one.draining]
        return [self.me.name, *others]

    def get(self, name: str) -> messages.Member | None:
        """Find a peer by name."""
        peer = self.peers.get(name)
        return None if peer is None else peer.member

    def look_up(self, name: str) -> messages.Member | None:
        """Find a node by name, this one included."""
        return self.me if name == self.me.name else self.get(name)
