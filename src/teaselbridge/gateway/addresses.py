"""Addresses of the nodes that a caller should use."""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import active
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states


# With so many nodes in the caller's zone, the list holds no others: traffic
# between zones costs, and one that fails leaves others to try.
MIN_LOCAL_NODES = active.MIN_ZONE_NODES


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


def list_addresses(state: states.State, zone: str) -> Addresses:
    """List the nodes that take new work, nearest first.

    Nodes at the same distance come in random order.

    :param zone: availability zone of the caller, empty for unknown.
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


def _find_region(members: list[messages.Member], zone: str) -> str:
    """Return the region of a zone, empty if no member is in the zone."""
    for member in members:
        if member.zone == zone:
            return member.region
    return ''
