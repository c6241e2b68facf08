"""Gossip: piggybacked updates, and anti-entropy syncs of the full state.

Every update is merged monotonically, so it may arrive late, repeatedly or
in any order.
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
from teaselbridge.decisions import suspects
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

T = typing.TypeVar('T')


def merge_updates(
    state: states.State,
    gossip: messages.Gossip,
    address: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Merge received updates into the state.

    :param address: ``ip:port`` of the node that sent them.
    """
    out: list[effects.Effect] = []
    for member in gossip.members:
        out += _merge_member(state, member, now)
    for leaving in gossip.leaving:
        out += servers.mark_leaving(state, leaving.host, 'gossip', now)
    for crashes in gossip.crashes:
        if state.poison.merge(crashes):
            state.membership.updates.add_crashes(crashes.fingerprint)
    for record in gossip.parts:
        out += suspects.merge_record(state, record, now)
    for move in gossip.moves:
        out += moves.merge_move(state, move)
    for verdict in gossip.verdicts:
        out += moves.merge_verdict(state, verdict)
    out += configuration.request_newer(state, gossip.generation, address)
    return out


def collect_updates(
    state: states.State, target: messages.Member | None
) -> messages.Gossip:
    """Collect the updates that the next message carries.

    :param target: receiver of the message, if known. A suspect receives
        its own entry, so that it can refute the suspicion.
    """
    membership = state.membership
    queue = membership.updates
    updated = [
        membership.get_node(name)
        for name in queue.take_keys(members.Topic.MEMBER)
    ]
    if target is not None and target.status is messages.Status.SUSPECT:
        updated.append(target)
    crashes = {item.fingerprint: item for item in state.poison.crashes}
    parts = {item.part: item for item in state.parts.records}
    verdicts = {
        f'{item.pool}/{item.number}': item for item in state.moves.verdicts
    }
    pending_moves = [
        state.moves.get(pool) for pool in queue.take_keys(members.Topic.MOVE)
    ]
    return messages.Gossip(
        members=tuple(member for member in updated if member is not None),
        leaving=tuple(
            messages.Leaving(host=host)
            for host in queue.take_keys(members.Topic.LEAVING)
        ),
        crashes=_select(crashes, queue.take_keys(members.Topic.CRASHES)),
        parts=_select(parts, queue.take_keys(members.Topic.PART)),
        moves=tuple(move for move in pending_moves if move is not None),
        verdicts=_select(verdicts, queue.take_keys(members.Topic.VERDICT)),
        generation=state.index.generation,
    )


def build_full_state(state: states.State) -> messages.Gossip:
    """Collect the full gossiped state for a sync."""
    membership = state.membership
    return messages.Gossip(
        members=(membership.me, *membership.known_peers),
        leaving=tuple(
            messages.Leaving(host=host)
            for host in sorted(state.servers.leaving)
        ),
        crashes=state.poison.crashes,
        parts=state.parts.records,
        moves=state.moves.all,
        verdicts=state.moves.verdicts,
        generation=state.index.generation,
    )


def request_sync(
    state: states.State, address: str, *, both_ways: bool = True
) -> effects.Effect:
    """Request the full gossiped state of a node.

    :param address: ``ip:port`` of its zmq socket.
    :param both_ways: whether the node should request this node's state in
        turn.
    """
    membership = state.membership
    message = messages.SyncAsked(
        reply_to=state.options.me.peers,
        digest=_digest(state),
        both_ways=both_ways,
        gossip=messages.Gossip(
            members=(membership.me,), generation=state.index.generation
        ),
    )
    return effects.SendPeer(address, message)


def answer_sync(
    state: states.State, message: messages.SyncAsked
) -> list[effects.Effect]:
    """Send the full state to a node whose digest differs."""
    if message.digest == _digest(state):
        return []
    answer = messages.SyncSent(gossip=build_full_state(state))
    out: list[effects.Effect] = [effects.SendPeer(message.reply_to, answer)]
    if message.both_ways:
        out.append(request_sync(state, message.reply_to, both_ways=False))
    return out


def build_status_record(
    member: messages.Member, detail: str
) -> effects.RecordEntry:
    """Build the timeline entry for a status change of a member."""
    return effects.RecordEntry(
        mark=_MARKS[member.status], host=member.name, detail=detail
    )


def record_status_time(peer: members.Peer, now: clock.Instant) -> None:
    """Record when a peer became suspect, or died or left."""
    status = peer.member.status
    if status is messages.Status.SUSPECT:
        peer.suspected_at = now.mono
    if status >= messages.Status.DEAD:
        peer.ended_at = now.mono


def _merge_member(
    state: states.State, received: messages.Member, now: clock.Instant
) -> list[effects.Effect]:
    membership = state.membership
    if received.name == membership.me.name:
        return _merge_own_entry(state, received)
    peer = membership.peers.get(received.name)
    if peer is not None and not _is_newer(received, peer.member):
        return []
    if peer is None and received.status >= messages.Status.DEAD:
        return []
    if peer is None:
        peer = membership.peers[received.name] = members.Peer(
            received, now.mono
        )
    membership.updates.max_transmissions = _transmission_limit(
        len(membership.peers)
    )
    old_status = peer.member.status if peer.member is not received else None
    peer.member = received
    record_status_time(peer, now)
    membership.updates.add_member(received.name)
    if old_status is received.status:
        return []
    return [build_status_record(received, 'gossip')]


def _merge_own_entry(
    state: states.State, received: messages.Member
) -> list[effects.Effect]:
    membership = state.membership
    if received.incarnation < membership.me.incarnation:
        return []
    is_same = received.incarnation == membership.me.incarnation
    if is_same and received.status <= membership.me.status:
        return []
    membership.me = dataclasses.replace(
        membership.me, incarnation=received.incarnation + 1
    )
    membership.updates.add_member(membership.me.name)
    return []


def _is_newer(received: messages.Member, known: messages.Member) -> bool:
    if received.incarnation != known.incarnation:
        return received.incarnation > known.incarnation
    return received.status > known.status


def _digest(state: states.State) -> int:
    """Return a hash of the gossiped state without dead and departed nodes.

    Each node removes those at a different time, so including them would
    make the digests of nodes with the same state differ.
    """
    membership = state.membership
    alive = [
        f'{member.name} {member.incarnation} {member.status} {member.draining}'
        for member in (membership.me, *membership.alive)
    ]
    moves_known = [f'{move.pool} {move.order}' for move in state.moves.all]
    verdicts = [f'{item.pool} {item.number}' for item in state.moves.verdicts]
    crashes = [
        f'{item.fingerprint} {item.hosts}' for item in state.poison.crashes
    ]
    accused = [
        f'{item.part} {item.hosts} {item.cleared}'
        for item in state.parts.records
    ]
    parts = (
        alive,
        list(state.servers.leaving),
        crashes,
        accused,
        moves_known,
        verdicts,
    )
    return placement.hash_text(*(str(sorted(part)) for part in parts))


def _select(known: dict[str, T], names: list[str]) -> tuple[T, ...]:
    return tuple(known[name] for name in names if name in known)


def _transmission_limit(peers: int) -> int:
    return members.TRANSMISSION_FACTOR * max(1, peers.bit_length())


_MARKS = {
    messages.Status.ALIVE: effects.Mark.MEMBER_ALIVE,
    messages.Status.SUSPECT: effects.Mark.MEMBER_SUSPECT,
    messages.Status.DEAD: effects.Mark.MEMBER_DEAD,
    messages.Status.LEFT: effects.Mark.MEMBER_LEFT,
}
