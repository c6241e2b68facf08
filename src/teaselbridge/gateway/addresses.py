"""Addresses of the nodes that a caller should use.

Callers pick one of the listed addresses at random for each connection, and
abandon connections to addresses that are missing from a new list. A node that
can carry less than the largest one is therefore listed for a part of the
callers only, so that its share of them follows what it can carry. Which part
follows from hashes of the node and of the caller, and moves slowly with time,
so that a caller's list seldom changes.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import carrying
from teaselbridge.decisions import placement
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states


# With so many nodes in the caller's zone, the list holds no others: traffic
# between zones costs, and one that fails leaves others to try.
MIN_LOCAL_NODES = active.MIN_ZONE_NODES
# A caller that loses one of its nodes keeps at least three others.
MIN_LISTED = 4
# Smaller fleets are listed as a whole: each of their nodes is needed.
MAX_UNSAMPLED = 9
# Nodes that can carry this fraction of what the largest one can are listed for
# all callers.
EQUAL_WEIGHT = 0.75
# Time in which each node is listed once for each caller. With 14 small nodes
# in a zone, a caller's list changes about every 40 s.
ROTATION_MS = 600_000
# Callers on the same host, or behind a proxy on it, have the same address.
SHARED_CALLERS = frozenset({'', '127.0.0.1', '::1'})
HASH_RANGE = 1 << 63


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """Address of one node.

    :param node: name of the node.
    :param address: ``ip:port`` of its HTTP interface for callers.
    :param zone: availability zone of the node.
    """

    node: str
    address: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """Response to a request for addresses.

    :param ttl_ms: time for which the caller may cache the response.
    :param addresses: addresses of nodes, nearest first.
    """

    ttl_ms: int
    addresses: tuple[Address, ...]


def list_addresses(
    state: states.State, zone: str, now: clock.Instant, caller: str = ''
) -> Addresses:
    """List nodes that take new work, nearest first.

    Nodes at the same distance come in random order.

    :param zone: availability zone of the caller, empty for unknown.
    :param caller: IP address of the caller.
    """
    names = active.list_names(state)
    members = [
        member
        for member in state.membership.alive
        if member.status is messages.Status.ALIVE
        and not member.draining
        and member.name in names
    ]
    me = state.membership.me
    if (
        state.drain is None
        and not state.membership.withdrawn
        and me.name in names
    ):
        members.append(me)
    # A node that reaches no server has to forward what it gets.
    members = [item for item in members if not item.unreachable] or members
    wanted = zone or state.options.me.zone
    nearest = [member for member in members if member.zone == wanted]
    if len(nearest) >= MIN_LOCAL_NODES:
        members = nearest
    region = _find_region(members, wanted) or state.options.me.region
    members = _sample(state, members, f'{wanted} {caller}', now)
    state.random.shuffle(members)
    members.sort(
        key=lambda member: (member.zone != wanted, member.region != region)
    )
    return Addresses(
        ttl_ms=state.options.address_ttl_ms,
        addresses=tuple(
            Address(node=member.name, address=member.callers, zone=member.zone)
            for member in members
        ),
    )


def _sample(
    state: states.State,
    members: list[messages.Member],
    caller: str,
    now: clock.Instant,
) -> list[messages.Member]:
    """Return the part of the nodes that is listed for a caller.

    :param caller: its zone and address.
    """
    if state.options.bounds is None:
        return members
    if active.count_nodes(state) <= MAX_UNSAMPLED:
        return members
    shares = _compute_shares(state, members, now)
    turn = _find_turn(state, caller, now)
    ranked = []
    for member in members:
        share = shares[member.name]
        # Pareto sampling: with odds instead of shares, each node is among the
        # first for a fraction of the callers that is close to its share.
        rank = 0.0
        if share < 1:
            position = _find_position(member.name, caller, turn)
            rank = _odds(position) / _odds(share)
        ranked.append((rank, member.name, member))
    ranked.sort(key=lambda item: item[:2])
    # With lists of one length, small nodes are not listed mainly where they
    # get fewer callers, among many others.
    count = round(sum(shares.values()))
    return [member for _, _, member in ranked[: max(MIN_LISTED, count)]]


def _compute_shares(
    state: states.State, members: list[messages.Member], now: clock.Instant
) -> dict[str, float]:
    """Return for which fraction of the callers each node is listed.

    Nodes whose cores are unknown are listed for all.
    """
    weights = {
        member.name: carrying.compute_weight(
            member, carrying.get_load(state, member.name, now)
        )
        for member in members
        if member.cores
    }
    largest = max(weights.values(), default=1.0)
    shares = dict.fromkeys((member.name for member in members), 1.0)
    for name, weight in weights.items():
        if weight < EQUAL_WEIGHT * largest:
            shares[name] = weight / largest
    return shares


def _find_turn(state: states.State, caller: str, now: clock.Instant) -> float:
    """Return how far the positions of nodes have moved, from 0 to 1.

    Callers that share an address would all be sent to the same few small
    nodes. They ask at different times within the time to live, and each of
    them at about the same one again, so that this time tells them apart.
    """
    period = ROTATION_MS
    if caller.rpartition(' ')[2] in SHARED_CALLERS:
        period = max(1, state.options.address_ttl_ms)
    return state.usage.wall(now) % period / period


def _find_position(node: str, caller: str, turn: float) -> float:
    """Return a node's position for a caller, from 0 to 1.

    Half of the nodes move up and the others down, so that they do not stay
    behind the same others.
    """
    number = placement.hash_text('listed', node, caller)
    moved = turn if number % 2 else -turn
    return (number / HASH_RANGE + moved) % 1.0


def _odds(fraction: float) -> float:
    return fraction / max(1e-9, 1 - fraction)


def _find_region(members: list[messages.Member], zone: str) -> str:
    """Return the region of a zone, empty if no member is in the zone."""
    for member in members:
        if member.zone == zone:
            return member.region
    return ''
