"""Which nodes are alive, by probes and gossip.

The protocol follows SWIM: each node probes one peer a period, asks others
to probe it where no answer comes, suspects it, and declares it dead unless
it refutes with a higher incarnation. News rides on the probes; what is new
is also pushed at once to a few peers, so that it spreads within a second.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import freshness
from teaselbridge.decisions import gossip
from teaselbridge.decisions import members
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

PERIOD_MS = 500
PROBE_MS = 300
HELPERS = 2
SUSPECT_MS = 2_500
FORGET_MS = 120_000
PUSH_FANOUT = 3
SYNC_EVERY_MS = 10_000
JOIN_EVERY_MS = 1_000
ISOLATED_MS = 10_000


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Probe, suspect, push and join, as far as due."""
    ship = state.membership
    out = _check_probes(state, now)
    out += _check_suspects(state, now)
    if now.mono >= ship.probe_due:
        ship.probe_due = now.mono + PERIOD_MS
        out += _probe_next(state, now)
    if ship.news.fresh and now.mono >= ship.push_due:
        ship.push_due = now.mono + PROBE_MS // 6
        ship.news.fresh = False
        out += _push(state, now)
    if now.mono >= ship.sync_due:
        ship.sync_due = now.mono + SYNC_EVERY_MS
        out += _sync(state)
    if now.mono >= ship.join_due:
        ship.join_due = now.mono + JOIN_EVERY_MS
        out += _join(state)
    out += _check_watch(state)
    out += _check_isolation(state, now)
    return out


def note(state: states.State, sender: str, now: clock.Instant) -> None:
    """Any message proves that its sender is there."""
    ship = state.membership
    ship.heard = now.mono
    peer = ship.peers.get(sender)
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
            out = gossip.merge(state, message.gossip, message.reply_to, now)
            return out + _acknowledge(state, message, now)
        case messages.Ack():
            return _acknowledged(state, message, now)
        case messages.PingFor():
            return _relay(state, message, now)
        case messages.SyncAsked():
            out = gossip.merge(state, message.gossip, message.reply_to, now)
            return out + gossip.answer_sync(state, message)
        case messages.SyncSent():
            member = ship.get(sender)
            address = '' if member is None else member.peers
            return gossip.merge(state, message.gossip, address, now)
    return []


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
    news = messages.Gossip(
        members=(ship.me,), generation=state.index.generation
    )
    return gossip.tell_all(state, news)


def _check_probes(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    out: list[effects.Effect] = []
    for sequence, probe in list(ship.probes.items()):
        waited = now.mono - probe.sent
        peer = ship.peers.get(probe.name)
        if peer is None or peer.heard > probe.sent:
            del ship.probes[sequence]
        elif waited > 2 * PROBE_MS:
            del ship.probes[sequence]
            out += _suspect(state, peer, now)
        elif waited > PROBE_MS and not probe.relayed:
            probe.relayed = True
            out += _ask_helpers(state, sequence, peer.member)
    for sequence, relay in list(ship.relays.items()):
        if now.mono - relay.sent > 2 * PROBE_MS:
            del ship.relays[sequence]
    return out


def _suspect(
    state: states.State, peer: members.Peer, now: clock.Instant
) -> list[effects.Effect]:
    if peer.member.status is not messages.Status.ALIVE:
        return []
    peer.member = dataclasses.replace(
        peer.member, status=messages.Status.SUSPECT
    )
    gossip.date(peer, now)
    state.membership.news.add_member(peer.member.name)
    return [gossip.record(peer.member, 'no answer to probes')]


def _check_suspects(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    out: list[effects.Effect] = []
    for name, peer in list(ship.peers.items()):
        status = peer.member.status
        if status >= messages.Status.DEAD:
            if now.mono - peer.ended > FORGET_MS:
                del ship.peers[name]
            continue
        if status is not messages.Status.SUSPECT:
            continue
        if now.mono - peer.suspected < SUSPECT_MS:
            continue
        peer.member = dataclasses.replace(
            peer.member, status=messages.Status.DEAD
        )
        gossip.date(peer, now)
        ship.news.add_member(name)
        out.append(gossip.record(peer.member, 'suspicion not refuted'))
    return out


def _probe_next(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    alive = {member.name: member for member in ship.alive}
    ship.order = [name for name in ship.order if name in alive]
    if not ship.order:
        ship.order = sorted(alive)
        state.random.shuffle(ship.order)
    if not ship.order:
        return []
    target = alive[ship.order.pop()]
    return [probe(state, target, now)]


def probe(
    state: states.State, target: messages.Member, now: clock.Instant
) -> effects.Effect:
    """Ask a peer whether it is there, and what it knows to be new."""
    ship = state.membership
    ship.sequence += 1
    ship.probes[ship.sequence] = members.Probe(target.name, now.mono)
    ping = messages.Ping(
        sequence=ship.sequence,
        reply_to=ship.me.peers,
        gossip=gossip.collect(state, target),
    )
    return effects.SendPeer(target.peers, ping)


def _push(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    alive = state.membership.alive
    count = min(PUSH_FANOUT, len(alive))
    chosen = state.random.sample(alive, count)
    return [probe(state, member, now) for member in chosen]


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
    ship.sequence += 1
    ship.relays[ship.sequence] = members.Relay(
        message.sequence, message.reply_to, now.mono
    )
    ping = messages.Ping(
        sequence=ship.sequence,
        reply_to=ship.me.peers,
        gossip=messages.Gossip(generation=state.index.generation),
    )
    return [effects.SendPeer(message.target, ping)]


def _acknowledge(
    state: states.State, message: messages.Ping, now: clock.Instant
) -> list[effects.Effect]:
    ack = messages.Ack(
        sequence=message.sequence,
        member=state.membership.me.name,
        gossip=gossip.collect(state, None),
        confirmed_ms=freshness.confirmed_ms(state, now),
    )
    return [effects.SendPeer(message.reply_to, ack)]


def _acknowledged(
    state: states.State, message: messages.Ack, now: clock.Instant
) -> list[effects.Effect]:
    ship = state.membership
    peer = ship.peers.get(message.member)
    if peer is not None:
        peer.heard = now.mono
    address = '' if peer is None else peer.member.peers
    out = gossip.merge(state, message.gossip, address, now)
    probe = ship.probes.pop(message.sequence, None)
    if probe is not None:
        freshness.relay(state, message, probe.sent)
    relay = ship.relays.pop(message.sequence, None)
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
    return [gossip.ask_sync(state, target.peers)]


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
    return [gossip.ask_sync(state, address) for address in strangers]


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
