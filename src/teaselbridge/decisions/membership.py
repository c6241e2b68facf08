"""Which nodes are alive, by probes and gossip.

The protocol follows SWIM: each node probes one peer a period, asks others
to probe it where no answer comes, suspects it, and declares it dead unless
it refutes with a higher incarnation. News rides on the probes; what is new
is also pushed at once to a few peers, so that it spreads within a second.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import moves
from teaselbridge.decisions import servers
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

T = typing.TypeVar('T')

PERIOD_MS = 500
PROBE_MS = 300
HELPERS = 2
SUSPECT_MS = 2_500
FORGET_MS = 120_000
PUSH_FANOUT = 3
CARRIED = 24
SYNC_EVERY_MS = 10_000
JOIN_EVERY_MS = 1_000
ISOLATED_MS = 10_000
REPEATS = 3


@dataclasses.dataclass(slots=True)
class _Peer:
    member: messages.Member
    heard: int = 0
    suspected: int = 0
    ended: int = 0


@dataclasses.dataclass(slots=True)
class _Probe:
    name: str
    sent: int
    relayed: bool = False


@dataclasses.dataclass(slots=True)
class _Relay:
    sequence: int
    reply_to: str
    sent: int


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


class Membership:
    """What this node believes of the others.

    :param me: this node.
    """

    def __init__(self, *, me: messages.Member) -> None:
        self.me = me
        self.news = News()
        self.news.add_member(me.name)
        self._peers: dict[str, _Peer] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._order: list[str] = []
        self._sequence = 0
        self._probe_due = 0
        self._sync_due = 0
        self._join_due = 0
        self._push_due = 0
        self.heard = 0
        self.withdrawn = False
        self.watching = False

    @property
    def alive(self) -> list[messages.Member]:
        """Peers that are believed to be alive, suspects among them."""
        return [
            peer.member
            for peer in self._peers.values()
            if peer.member.status <= messages.Status.SUSPECT
        ]

    @property
    def all(self) -> list[messages.Member]:
        """Every peer that is known, dead ones too."""
        return [peer.member for peer in self._peers.values()]

    @property
    def nodes(self) -> int:
        """Live nodes that take work, this one included."""
        return 1 + sum(not member.draining for member in self.alive)

    def get(self, name: str) -> messages.Member | None:
        """Find a peer by name."""
        peer = self._peers.get(name)
        return None if peer is None else peer.member


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Probe, suspect, push and join, as far as due."""
    ship = state.membership
    out = _check_probes(state, now)
    out += _check_suspects(state, now)
    if now.mono >= ship._probe_due:
        ship._probe_due = now.mono + PERIOD_MS
        out += _probe_next(state, now)
    if ship.news.fresh and now.mono >= ship._push_due:
        ship._push_due = now.mono + PROBE_MS // 6
        ship.news.fresh = False
        out += _push(state, now)
    if now.mono >= ship._sync_due:
        ship._sync_due = now.mono + SYNC_EVERY_MS
        out += _sync(state)
    if now.mono >= ship._join_due:
        ship._join_due = now.mono + JOIN_EVERY_MS
        out += _join(state)
    out += _check_watch(state)
    out += _check_isolation(state, now)
    return out


def note(state: states.State, sender: str, now: clock.Instant) -> None:
    """Any message proves that its sender is there."""
    ship = state.membership
    ship.heard = now.mono
    peer = ship._peers.get(sender)
    if peer is not None:
        peer.heard = now.mono


def hear(
    state: states.State,
    sender: str,
    message: messages.Message,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Take in a message of the membership protocol.

    :param sender: name of the sending node.
    """
    ship = state.membership
    match message:
        case messages.Ping():
            out = merge(state, message.gossip, message.reply_to, now)
            return out + _acknowledge(state, message)
        case messages.Ack():
            return _acknowledged(state, message, now)
        case messages.PingFor():
            return _relay(state, message, now)
        case messages.SyncAsked():
            answer = messages.SyncSent(gossip=_everything(state))
            out = merge(state, message.gossip, message.reply_to, now)
            return [*out, effects.SendPeer(message.reply_to, answer)]
        case messages.SyncSent():
            member = ship.get(sender)
            address = '' if member is None else member.peers
            return merge(state, message.gossip, address, now)
    return []


def merge(
    state: states.State,
    gossip: messages.Gossip,
    address: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Take in news; all of it only ever goes forward.

    :param address: ``ip:port`` of the node that told it.
    """
    out: list[effects.Effect] = []
    for member in gossip.members:
        out += _merge_member(state, member, now)
    for leaving in gossip.leaving:
        out += servers.leave(state, leaving.host, 'gossip', now)
    for crashes in gossip.crashes:
        if state.poison.merge(crashes):
            state.membership.news.add_crashes(crashes.fingerprint)
    for move in gossip.moves:
        out += moves.hear(state, move)
    for verdict in gossip.verdicts:
        out += moves.hear_verdict(state, verdict)
    out += configuration.hear(state, gossip.generation, address)
    return out


def announce(
    state: states.State, *, draining: bool, status: messages.Status
) -> list[effects.Effect]:
    """Change what this node says of itself, and tell all peers at once."""
    ship = state.membership
    ship.me = dataclasses.replace(
        ship.me,
        incarnation=ship.me.incarnation + 1,
        draining=draining,
        status=status,
    )
    ship.news.add_member(ship.me.name)
    gossip = messages.Gossip(
        members=(ship.me,), generation=state.index.generation
    )
    ship._sequence += 1
    ping = messages.Ping(
        sequence=ship._sequence, reply_to=ship.me.peers, gossip=gossip
    )
    return [effects.SendPeer(member.peers, ping) for member in ship.alive]


def _merge_member(
    state: states.State, heard: messages.Member, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    if heard.name == ship.me.name:
        return _refute(state, heard)
    peer = ship._peers.get(heard.name)
    if peer is not None and not _is_newer(heard, peer.member):
        return []
    if peer is None and heard.status >= messages.Status.DEAD:
        return []
    if peer is None:
        peer = ship._peers[heard.name] = _Peer(heard, now.mono)
    ship.news.repeats = _repeats(len(ship._peers))
    before = peer.member.status if peer.member is not heard else None
    peer.member = heard
    _date(peer, now)
    ship.news.add_member(heard.name)
    if before is heard.status:
        return []
    return [_record(heard, 'gossip')]


def _refute(
    state: states.State, heard: messages.Member
) -> list[effects.Effect]:
    ship = state.membership
    if heard.incarnation < ship.me.incarnation:
        return []
    same = heard.incarnation == ship.me.incarnation
    if same and heard.status <= ship.me.status:
        return []
    ship.me = dataclasses.replace(ship.me, incarnation=heard.incarnation + 1)
    ship.news.add_member(ship.me.name)
    return []


def _is_newer(heard: messages.Member, known: messages.Member) -> bool:
    if heard.incarnation != known.incarnation:
        return heard.incarnation > known.incarnation
    return heard.status > known.status


def _date(peer: _Peer, now: clock.Instant) -> None:
    status = peer.member.status
    if status is messages.Status.SUSPECT:
        peer.suspected = now.mono
    if status >= messages.Status.DEAD:
        peer.ended = now.mono


def _check_probes(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    out: list[effects.Effect] = []
    for sequence, probe in list(ship._probes.items()):
        waited = now.mono - probe.sent
        peer = ship._peers.get(probe.name)
        if peer is None or peer.heard > probe.sent:
            del ship._probes[sequence]
        elif waited > 2 * PROBE_MS:
            del ship._probes[sequence]
            out += _suspect(state, peer, now)
        elif waited > PROBE_MS and not probe.relayed:
            probe.relayed = True
            out += _ask_helpers(state, sequence, peer.member)
    for sequence, relay in list(ship._relays.items()):
        if now.mono - relay.sent > 2 * PROBE_MS:
            del ship._relays[sequence]
    return out


def _suspect(
    state: states.State, peer: _Peer, now: clock.Instant
) -> list[effects.Effect]:
    if peer.member.status is not messages.Status.ALIVE:
        return []
    peer.member = dataclasses.replace(
        peer.member, status=messages.Status.SUSPECT
    )
    _date(peer, now)
    state.membership.news.add_member(peer.member.name)
    return [_record(peer.member, 'no answer to probes')]


def _check_suspects(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    out: list[effects.Effect] = []
    for name, peer in list(ship._peers.items()):
        status = peer.member.status
        if status >= messages.Status.DEAD:
            if now.mono - peer.ended > FORGET_MS:
                del ship._peers[name]
            continue
        if status is not messages.Status.SUSPECT:
            continue
        if now.mono - peer.suspected < SUSPECT_MS:
            continue
        peer.member = dataclasses.replace(
            peer.member, status=messages.Status.DEAD
        )
        _date(peer, now)
        ship.news.add_member(name)
        out.append(_record(peer.member, 'suspicion not refuted'))
    return out


def _probe_next(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    alive = {member.name: member for member in ship.alive}
    ship._order = [name for name in ship._order if name in alive]
    if not ship._order:
        ship._order = sorted(alive)
        state.random.shuffle(ship._order)
    if not ship._order:
        return []
    target = alive[ship._order.pop()]
    return [_probe(state, target, now)]


def _probe(
    state: states.State, target: messages.Member, now: clock.Instant
) -> effects.Effect:
    ship = state.membership
    ship._sequence += 1
    ship._probes[ship._sequence] = _Probe(target.name, now.mono)
    ping = messages.Ping(
        sequence=ship._sequence,
        reply_to=ship.me.peers,
        gossip=_news(state, target),
    )
    return effects.SendPeer(target.peers, ping)


def _push(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    alive = state.membership.alive
    count = min(PUSH_FANOUT, len(alive))
    chosen = state.random.sample(alive, count)
    return [_probe(state, member, now) for member in chosen]


def _ask_helpers(
    state: states.State, sequence: int, target: messages.Member
) -> list[effects.Effect]:
    others = [
        member
        for member in state.membership.alive
        if member.name != target.name
    ]
    chosen = state.random.sample(others, min(HELPERS, len(others)))
    ask = messages.PingFor(
        sequence=sequence,
        reply_to=state.membership.me.peers,
        target=target.peers,
    )
    return [effects.SendPeer(member.peers, ask) for member in chosen]


def _relay(
    state: states.State, message: messages.PingFor, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    ship._sequence += 1
    ship._relays[ship._sequence] = _Relay(
        message.sequence, message.reply_to, now.mono
    )
    ping = messages.Ping(
        sequence=ship._sequence,
        reply_to=ship.me.peers,
        gossip=messages.Gossip(generation=state.index.generation),
    )
    return [effects.SendPeer(message.target, ping)]


def _acknowledge(
    state: states.State, message: messages.Ping
) -> list[effects.Effect]:
    ack = messages.Ack(
        sequence=message.sequence,
        member=state.membership.me.name,
        gossip=_news(state, None),
    )
    return [effects.SendPeer(message.reply_to, ack)]


def _acknowledged(
    state: states.State, message: messages.Ack, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    peer = ship._peers.get(message.member)
    if peer is not None:
        peer.heard = now.mono
    address = '' if peer is None else peer.member.peers
    out = merge(state, message.gossip, address, now)
    ship._probes.pop(message.sequence, None)
    relay = ship._relays.pop(message.sequence, None)
    if relay is not None:
        ack = messages.Ack(
            sequence=relay.sequence,
            member=message.member,
            gossip=messages.Gossip(generation=state.index.generation),
        )
        out.append(effects.SendPeer(relay.reply_to, ack))
    return out


def _sync(state: states.State) -> list[effects.Effect]:
    alive = state.membership.alive
    if not alive:
        return []
    target = state.random.choice(alive)
    return [_ask_sync(state, target.peers)]


def _join(state: states.State) -> list[effects.Effect]:
    """Ask strangers for all they know.

    A node that knows nobody asks everyone at once. One that has company
    asks a single stranger, so that halves that lost each other meet again.
    """
    known = {member.peers for member in state.membership.alive}
    mine = state.options.me.peers
    listed = [row.address for row in state.servers.entries]
    remembered = [member.peers for member in state.membership.all]
    strangers = sorted(
        {*state.options.seeds, *listed, *remembered} - known - {mine}
    )
    if known and strangers:
        strangers = [state.random.choice(strangers)]
    return [_ask_sync(state, address) for address in strangers]


def _ask_sync(state: states.State, address: str) -> effects.Effect:
    message = messages.SyncAsked(
        reply_to=state.options.me.peers, gossip=_everything(state)
    )
    return effects.SendPeer(address, message)


def _check_watch(state: states.State) -> list[effects.Effect]:
    wanted = configuration.is_watcher(state)
    if wanted is state.membership.watching:
        return []
    state.membership.watching = wanted
    return [effects.Watch(wanted)]


def _check_isolation(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    heard = max(ship.heard, state.keyvalue_heard)
    known = any(
        member.status is not messages.Status.LEFT for member in ship.all
    )
    isolated = known and now.mono - heard > ISOLATED_MS
    if isolated is ship.withdrawn:
        return []
    ship.withdrawn = isolated
    mark = effects.Mark.NODE_RESTORED
    if isolated:
        mark = effects.Mark.NODE_WITHDRAWN
    detail = 'neither a peer nor the key-value service was heard'
    return [effects.Record(mark=mark, host=ship.me.name, detail=detail)]


def _news(
    state: states.State, target: messages.Member | None
) -> messages.Gossip:
    ship = state.membership
    news = ship.news
    members = [_lookup(ship, name) for name in news.take(Topic.MEMBER)]
    if target is not None and target.status is messages.Status.SUSPECT:
        members.append(target)
    crashes = {item.fingerprint: item for item in state.poison.crashes}
    verdicts = {
        f'{item.pool}/{item.number}': item for item in state.moves.verdicts
    }
    moves = [state.moves.get(pool) for pool in news.take(Topic.MOVE)]
    return messages.Gossip(
        members=tuple(member for member in members if member is not None),
        leaving=tuple(
            messages.Leaving(host=host) for host in news.take(Topic.LEAVING)
        ),
        crashes=_chosen(crashes, news.take(Topic.CRASHES)),
        moves=tuple(move for move in moves if move is not None),
        verdicts=_chosen(verdicts, news.take(Topic.VERDICT)),
        generation=state.index.generation,
    )


def _chosen(known: dict[str, T], names: list[str]) -> tuple[T, ...]:
    return tuple(known[name] for name in names if name in known)


def _everything(state: states.State) -> messages.Gossip:
    ship = state.membership
    return messages.Gossip(
        members=(ship.me, *ship.all),
        leaving=tuple(
            messages.Leaving(host=host)
            for host in sorted(state.servers.leaving)
        ),
        crashes=state.poison.crashes,
        moves=state.moves.all,
        verdicts=state.moves.verdicts,
        generation=state.index.generation,
    )


def _lookup(ship: Membership, name: str) -> messages.Member | None:
    return ship.me if name == ship.me.name else ship.get(name)


def _repeats(peers: int) -> int:
    return REPEATS * max(1, peers.bit_length())


_MARKS = {
    messages.Status.ALIVE: effects.Mark.MEMBER_ALIVE,
    messages.Status.SUSPECT: effects.Mark.MEMBER_SUSPECT,
    messages.Status.DEAD: effects.Mark.MEMBER_DEAD,
    messages.Status.LEFT: effects.Mark.MEMBER_LEFT,
}


def _record(member: messages.Member, detail: str) -> effects.Record:
    return effects.Record(
        mark=_MARKS[member.status], host=member.name, detail=detail
    )
