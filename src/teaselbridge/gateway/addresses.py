"""Which nodes a caller should use."""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """One node.

    :param node: its name.
    :param address: ``ip:port`` of its callers' interface.
    :param zone: its availability zone.
    """

    node: str
    address: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """Answer to a question for addresses.

    :param ttl_ms: how long the caller may keep it.
    :param addresses: the best first.
    """

    ttl_ms: int
    addresses: tuple[Address, ...]


def choose(state: states.State, zone: str) -> Addresses:
    """List the nodes that take new work, nearest first.

    :param zone: availability zone of the caller, empty for unknown.
    """
    members = [
        member
        for member in state.membership.alive
        if member.status is messages.Status.ALIVE and not member.draining
    ]
    if state.drain is None and not state.membership.withdrawn:
        members.append(state.membership.me)
    wanted = zone or state.options.me.zone
    region = _region_of(members, wanted) or state.options.me.region
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


def _region_of(members: list[messages.Member], zone: str) -> str:
    for member in members:
        if member.zone == zone:
            return member.region
    return ''
