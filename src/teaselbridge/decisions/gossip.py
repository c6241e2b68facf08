"""Gossip: news that rides on messages, and syncs of all that is known.

All news only goes forward, so it may come late, twice or in any order.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import members
from teaselbridge.decisions import moves
from teaselbridge.decisions import placement
from teaselbridge.decisions import servers
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

T = typing.TypeVar('T')

TOLD_AT_ONCE = 24


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


def collect(
    state: states.State, target: messages.Member | None
) -> messages.Gossip:
    """Collect the news that the next message carries.

    :param target: who gets it; a suspect hears that it is one.
    """
    ship = state.membership
    news = ship.news
    told = [ship.look_up(name) for name in news.take(members.Topic.MEMBER)]
    if target is not None and target.status is messages.Status.SUSPECT:
        told.append(target)
    crashes = {item.fingerprint: item for item in state.poison.crashes}
    verdicts = {
        f'{item.pool}/{item.number}': item for item in state.moves.verdicts
    }
    steps = [state.moves.get(pool) for pool in news.take(members.Topic.MOVE)]
    return messages.Gossip(
        members=tuple(member for member in told if member is not None),
        leaving=tuple(
            messages.Leaving(host=host)
            for host in news.take(members.Topic.LEAVING)
        ),
        crashes=_chosen(crashes, news.take(members.Topic.CRASHES)),
        moves=tuple(move for move in steps if move is not None),
        verdicts=_chosen(verdicts, news.take(members.Topic.VERDICT)),
        generation=state.index.generation,
    )


def tell_all(
    state: states.State, news: messages.Gossip
) -> list[effects.Effect]:
    """Send news to peers at once, for what cannot wait for a probe.

    In a large fleet a part of the peers is told, who push it on.
    """
    ship = state.membership
    ship.sequence += 1
    ping = messages.Ping(
        sequence=ship.sequence, reply_to=ship.me.peers, gossip=news
    )
    alive = ship.alive
    chosen = state.random.sample(alive, min(TOLD_AT_ONCE, len(alive)))
    return [effects.SendPeer(member.peers, ping) for member in chosen]


def everything(state: states.State) -> messages.Gossip:
    """Collect all that is known."""
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


def ask_sync(
    state: states.State, address: str, *, both_ways: bool = True
) -> effects.Effect:
    """Ask a node for all that it knows.

    :param address: ``ip:port`` of its zmq socket.
    :param both_ways: whether it shall ask in turn.
    """
    ship = state.membership
    message = messages.SyncAsked(
        reply_to=state.options.me.peers,
        digest=_digest(state),
        both_ways=both_ways,
        gossip=messages.Gossip(
            members=(ship.me,), generation=state.index.generation
        ),
    )
    return effects.SendPeer(address, message)


def answer_sync(
    state: states.State, message: messages.SyncAsked
) -> list[effects.Effect]:
    """Send all that is known where the asker knows something else."""
    if message.digest == _digest(state):
        return []
    answer = messages.SyncSent(gossip=everything(state))
    out: list[effects.Effect] = [effects.SendPeer(message.reply_to, answer)]
    if message.both_ways:
        out.append(ask_sync(state, message.reply_to, both_ways=False))
    return out


def record(member: messages.Member, detail: str) -> effects.Record:
    """Build the time line's entry for a change of a member."""
    return effects.Record(
        mark=_MARKS[member.status], host=member.name, detail=detail
    )


def date(peer: members.Peer, now: clock.Instant) -> None:
    """Note since when a peer has its status."""
    status = peer.member.status
    if status is messages.Status.SUSPECT:
        peer.suspected = now.mono
    if status >= messages.Status.DEAD:
        peer.ended = now.mono


def _merge_member(
    state: states.State, heard: messages.Member, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    if heard.name == ship.me.name:
        return _refute(state, heard)
    peer = ship.peers.get(heard.name)
    if peer is not None and not _is_newer(heard, peer.member):
        return []
    if peer is None and heard.status >= messages.Status.DEAD:
        return []
    if peer is None:
        peer = ship.peers[heard.name] = members.Peer(heard, now.mono)
    ship.news.repeats = _repeats(len(ship.peers))
    before = peer.member.status if peer.member is not heard else None
    peer.member = heard
    date(peer, now)
    ship.news.add_member(heard.name)
    if before is heard.status:
        return []
    return [record(heard, 'gossip')]


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


def _digest(state: states.State) -> int:
    """Hash all that is known, but for nodes that have ended.

    Each node forgets those at a time of its own.
    """
    ship = state.membership
    alive = [
        f'{member.name} {member.incarnation} {member.status} {member.draining}'
        for member in (ship.me, *ship.alive)
    ]
    moves_known = [f'{move.pool} {move.order}' for move in state.moves.all]
    verdicts = [f'{one.pool} {one.number}' for one in state.moves.verdicts]
    crashes = [
        f'{one.fingerprint} {one.hosts}' for one in state.poison.crashes
    ]
    parts = (
        alive,
        list(state.servers.leaving),
        crashes,
        moves_known,
        verdicts,
    )
    return placement.hash_of(*(str(sorted(part)) for part in parts))


def _chosen(known: dict[str, T], names: list[str]) -> tuple[T, ...]:
    return tuple(known[name] for name in names if name in known)


def _repeats(peers: int) -> int:
    return members.REPEATS * max(1, peers.bit_length())


_MARKS = {
    messages.Status.ALIVE: effects.Mark.MEMBER_ALIVE,
    messages.Status.SUSPECT: effects.Mark.MEMBER_SUSPECT,
    messages.Status.DEAD: effects.Mark.MEMBER_DEAD,
    messages.Status.LEFT: effects.Mark.MEMBER_LEFT,
}
