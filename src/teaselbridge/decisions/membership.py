"""Failure detection and membership by probes and gossip.

The protocol follows SWIM. Each node probes one peer per interval. If the
peer does not answer, other peers probe it on the node's behalf. If that
fails too, the node marks the peer as suspect, and later as dead unless the
peer refutes the suspicion with a higher incarnation. Updates are
piggybacked on probes; new updates are also pushed to a few peers at once,
so that they spread within a second.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import broadcasts
from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import freshness
from teaselbridge.decisions import gossip
from teaselbridge.decisions import members
from teaselbridge.decisions import placement
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 300
# Peers that a node probes in turn. They stay the same while the membership
# does, so that few connections are needed, and each node has as many probers.
PROBED_PEERS = 8
INDIRECT_PROBE_PEERS = 2
SUSPICION_TIMEOUT_MS = 2_500
ENDED_PEER_RETENTION_MS = 120_000
PUSH_FANOUT_PEERS = 3
SYNC_INTERVAL_MS = 10_000
JOIN_INTERVAL_MS = 1_000
ISOLATION_TIMEOUT_MS = 10_000


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Run the membership tasks that are due: probe, push, sync and join."""
    membership = state.membership
    out = _check_probes(state, now)
    out += _expire_peers(state, now)
    if now.mono >= membership.probe_due:
        membership.probe_due = now.mono + PROBE_INTERVAL_MS
        out += _probe_next(state, now)
    if membership.updates.has_new and now.mono >= membership.push_due:
        membership.push_due = now.mono + PROBE_TIMEOUT_MS // 6
        membership.updates.has_new = False
        out += _push_updates(state, now)
    if now.mono >= membership.sync_due:
        membership.sync_due = now.mono + SYNC_INTERVAL_MS
        out += _sync_with_random_peer(state)
    if now.mono >= membership.join_due:
        membership.join_due = now.mono + JOIN_INTERVAL_MS
        out += _sync_with_unknown_nodes(state)
    out += _update_watch(state)
    out += _check_isolation(state, now)
    return out


def record_message(
    state: states.State, sender: str, now: clock.Instant
) -> None:
    """Record when a peer was last heard; any message proves it is alive."""
    membership = state.membership
    membership.last_heard_at = now.mono
    peer = membership.peers.get(sender)
    if peer is not None:
        peer.last_heard_at = now.mono


def handle_message(
    state: states.State,
    sender: str,
    message: messages.Message,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle a message of the membership protocol.

    :param sender: name of the sending node.
    """
    membership = state.membership
    match message:
        case messages.Ping():
            out = gossip.merge_updates(
                state, message.gossip, message.reply_to, now
            )
            return out + _send_ack(state, message, now)
        case messages.Ack():
            return _handle_ack(state, message, now)
        case messages.PingFor():
            return _relay_probe(state, message, now)
        case messages.SyncAsked():
            out = gossip.merge_updates(
                state, message.gossip, message.reply_to, now
            )
            return out + gossip.answer_sync(state, message)
        case messages.SyncSent():
            member = membership.get_peer(sender)
            address = '' if member is None else member.peers
            return gossip.merge_updates(state, message.gossip, address, now)
    return []


def announce_own_status(
    state: states.State, *, draining: bool, status: messages.Status
) -> list[effects.Effect]:
    """Change this node's own entry and broadcast it to peers at once."""
    me = dataclasses.replace(
        state.membership.me, draining=draining, status=status
    )
    return _announce(state, me)


def announce_unreachable(
    state: states.State, pools: tuple[str, ...]
) -> list[effects.Effect]:
    """Tell the peers of which pools this node reaches no server."""
    me = dataclasses.replace(state.membership.me, unreachable=pools)
    return _announce(state, me)


def _announce(
    state: states.State, me: messages.Member
) -> list[effects.Effect]:
    membership = state.membership
    membership.me = dataclasses.replace(me, incarnation=me.incarnation + 1)
    membership.updates.add_member(membership.me.name)
    update = messages.Gossip(
        members=(membership.me,), generation=state.index.generation
    )
    return broadcasts.broadcast(state, update)


def _check_probes(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    membership = state.membership
    out: list[effects.Effect] = []
    for sequence, probe in list(membership.probes.items()):
        elapsed = state.heard_until - probe.sent
        peer = membership.peers.get(probe.name)
        if peer is None or peer.last_heard_at > probe.sent:
            del membership.probes[sequence]
        elif elapsed > 2 * PROBE_TIMEOUT_MS:
            del membership.probes[sequence]
            out += _mark_suspect(state, peer, now)
        elif elapsed > PROBE_TIMEOUT_MS and not probe.relayed:
            probe.relayed = True
            out += _request_indirect_probes(state, sequence, peer.member)
    for sequence, relay in list(membership.relays.items()):
        if now.mono - relay.sent > 2 * PROBE_TIMEOUT_MS:
            del membership.relays[sequence]
    return out


def _mark_suspect(
    state: states.State, peer: members.Peer, now: clock.Instant
) -> list[effects.Effect]:
    if peer.member.status is not messages.Status.ALIVE:
        return []
    peer.member = dataclasses.replace(
        peer.member, status=messages.Status.SUSPECT
    )
    gossip.record_status_time(peer, now)
    state.membership.updates.add_member(peer.member.name)
    return [gossip.build_status_record(peer.member, 'no answer to probes')]


def _expire_peers(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    membership = state.membership
    out: list[effects.Effect] = []
    for name, peer in list(membership.peers.items()):
        status = peer.member.status
        if status >= messages.Status.DEAD:
            if now.mono - peer.ended_at > ENDED_PEER_RETENTION_MS:
                del membership.peers[name]
            continue
        if status is not messages.Status.SUSPECT:
            continue
        if now.mono - peer.suspected_at < SUSPICION_TIMEOUT_MS:
            continue
        peer.member = dataclasses.replace(
            peer.member, status=messages.Status.DEAD
        )
        gossip.record_status_time(peer, now)
        membership.updates.add_member(name)
        out.append(
            gossip.build_status_record(peer.member, 'suspicion not refuted')
        )
    return out


def _probe_next(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    membership = state.membership
    alive = {member.name: member for member in membership.alive}
    membership.order = [name for name in membership.order if name in alive]
    if not membership.order:
        membership.order = _list_probed(membership.me.name, sorted(alive))
        state.random.shuffle(membership.order)
    if not membership.order:
        return []
    target = alive[membership.order.pop()]
    return [send_probe(state, target, now)]


def _list_probed(me: str, peers: list[str]) -> list[str]:
    """Return the peers that follow this node in an order of all nodes.

    A hash of the names is the order, so that they are in other zones too.
    """
    ring = sorted([me, *peers], key=lambda name: placement.hash_text(name))
    after = ring.index(me) + 1
    return (ring[after:] + ring[: after - 1])[:PROBED_PEERS]


def send_probe(
    state: states.State, target: messages.Member, now: clock.Instant
) -> effects.Effect:
    """Send a probe that carries pending updates to a peer."""
    membership = state.membership
    membership.sequence += 1
    membership.probes[membership.sequence] = members.Probe(
        target.name, now.mono
    )
    ping = messages.Ping(
        sequence=membership.sequence,
        reply_to=membership.me.peers,
        gossip=gossip.collect_updates(state, target),
    )
    return effects.SendPeer(target.peers, ping)


def _push_updates(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    alive = state.membership.alive
    count = min(PUSH_FANOUT_PEERS, len(alive))
    chosen = state.random.sample(alive, count)
    return [send_probe(state, member, now) for member in chosen]


def _request_indirect_probes(
    state: states.State, sequence: int, target: messages.Member
) -> list[effects.Effect]:
    helpers = [
        member
        for member in state.membership.alive
        if member.name != target.name
    ]
    chosen = state.random.sample(
        helpers, min(INDIRECT_PROBE_PEERS, len(helpers))
    )
    request = messages.PingFor(
        sequence=sequence,
        reply_to=state.membership.me.peers,
        target=target.peers,
    )
    return [effects.SendPeer(member.peers, request) for member in chosen]


def _relay_probe(
    state: states.State, message: messages.PingFor, now: clock.Instant
) -> list[effects.Effect]:
    membership = state.membership
    membership.sequence += 1
    membership.relays[membership.sequence] = members.Relay(
        message.sequence, message.reply_to, now.mono
    )
    ping = messages.Ping(
        sequence=membership.sequence,
        reply_to=membership.me.peers,
        gossip=messages.Gossip(generation=state.index.generation),
    )
    return [effects.SendPeer(message.target, ping)]


def _send_ack(
    state: states.State, message: messages.Ping, now: clock.Instant
) -> list[effects.Effect]:
    ack = messages.Ack(
        sequence=message.sequence,
        member=state.membership.me.name,
        gossip=gossip.collect_updates(state, None),
        confirmed_ms=freshness.confirmed_ms(state, now),
    )
    return [effects.SendPeer(message.reply_to, ack)]


def _handle_ack(
    state: states.State, message: messages.Ack, now: clock.Instant
) -> list[effects.Effect]:
    membership = state.membership
    peer = membership.peers.get(message.member)
    if peer is not None:
        peer.last_heard_at = now.mono
    address = '' if peer is None else peer.member.peers
    out = gossip.merge_updates(state, message.gossip, address, now)
    pending = membership.probes.pop(message.sequence, None)
    if pending is not None:
        freshness.record_peer_confirmation(state, message, pending.sent)
    relay = membership.relays.pop(message.sequence, None)
    if relay is not None:
        ack = messages.Ack(
            sequence=relay.sequence,
            member=message.member,
            gossip=messages.Gossip(generation=state.index.generation),
        )
        out.append(effects.SendPeer(relay.reply_to, ack))
    return out


def _sync_with_random_peer(state: states.State) -> list[effects.Effect]:
    alive = state.membership.alive
    if not alive:
        return []
    target = state.random.choice(alive)
    return [gossip.request_sync(state, target.peers)]


def _sync_with_unknown_nodes(state: states.State) -> list[effects.Effect]:
    """Request a sync from nodes that are not among the live peers.

    A node without live peers asks all known addresses at once. A node with
    live peers asks a single other address, so that the two sides of a
    network partition find each other again.
    """
    known = {member.peers for member in state.membership.alive}
    own_address = state.options.me.peers
    listed_addresses = [row.address for row in state.servers.entries]
    peer_addresses = [member.peers for member in state.membership.known_peers]
    others = sorted(
        {*state.options.seeds, *listed_addresses, *peer_addresses}
        - known
        - {own_address}
    )
    if known and others:
        others = [state.random.choice(others)]
    return [gossip.request_sync(state, address) for address in others]


def _update_watch(state: states.State) -> list[effects.Effect]:
    if state.options.bounds is not None:
        # On the users' platform every node watches the store.
        return []
    wanted = configuration.is_watcher(state)
    if wanted is state.membership.is_watching:
        return []
    state.membership.is_watching = wanted
    return [effects.WatchConfiguration(wanted)]


def _check_isolation(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    membership = state.membership
    last_heard = max(membership.last_heard_at, state.keyvalue_answered_at)
    known = any(
        member.status is not messages.Status.LEFT
        for member in membership.known_peers
    )
    isolated = known and now.mono - last_heard > ISOLATION_TIMEOUT_MS
    if isolated is membership.withdrawn:
        return []
    membership.withdrawn = isolated
    mark = effects.Mark.NODE_RESTORED
    if isolated:
        mark = effects.Mark.NODE_WITHDRAWN
    detail = 'no message from any peer or from the key-value service'
    return [
        effects.RecordEntry(mark=mark, host=membership.me.name, detail=detail)
    ]
