"""Describe the state of a node for operators."""

from __future__ import annotations

import typing

from teaselbridge.admin import models

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import leases
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states
    from teaselbridge.peers import messages


def describe_node(
    state: states.State, now: clock.Instant
) -> models.NodeStatus:
    """Return the status of a node and its view of the cluster."""
    me = state.options.me
    members = (state.membership.me, *state.membership.known_peers)
    return models.NodeStatus(
        node=me.name,
        zone=me.zone,
        generation=state.index.generation,
        ready=is_ready(state),
        draining=state.drain is not None,
        withdrawn=state.membership.withdrawn,
        keyvalue_up=state.keyvalue_up,
        held=len(state.requests),
        queued=len(state.queue),
        members=tuple(_describe_member(member) for member in members),
        servers=tuple(
            _describe_server(server, now.mono) for server in state.servers.all
        ),
        leases=tuple(
            _describe_lease(state, lease, now) for lease in state.leases.all
        ),
        moves=state.moves.all,
        refused_bodies=state.poison.crashes,
    )


def is_ready(state: states.State) -> bool:
    """Return whether the node takes new work."""
    return (
        state.configured
        and state.drain is None
        and not state.membership.withdrawn
    )


def _describe_lease(
    state: states.State, lease: leases.Lease, now: clock.Instant
) -> models.LeaseStatus:
    held = state.leases.held(lease.pool, now)
    return models.LeaseStatus(
        pool=lease.pool,
        holder=state.options.me.name if held else lease.holder,
        fence=0 if held is None else held.fence,
    )


def _describe_member(member: messages.Member) -> models.MemberStatus:
    return models.MemberStatus(
        name=member.name,
        zone=member.zone,
        region=member.region,
        status=member.status.name.lower(),
        draining=member.draining,
        callers=member.callers,
        admin=member.admin,
    )


def _describe_server(server: servers.Server, mono: int) -> models.ServerStatus:
    return models.ServerStatus(
        host=server.host,
        pool=server.row.pool,
        version=server.version,
        zone=server.row.zone,
        inflight=server.inflight,
        slots=server.slots,
        leaving=server.leaving,
        ejected=server.ejected_until > mono,
    )
