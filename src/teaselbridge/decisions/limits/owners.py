"""Nodes that may send requests to servers that all nodes share."""

from __future__ import annotations

import typing

from teaselbridge.decisions.limits import room
from teaselbridge.decisions.limits import shares

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states


def has_no_part(state: states.State, allowed: list[servers.Server]) -> bool:
    """Return whether other nodes have all that some servers take.

    :param allowed: servers that may serve a request.
    """
    return bool(allowed) and not any(
        _has_part(state, server) for server in allowed
    )


def list_owners(
    state: states.State, allowed: list[servers.Server]
) -> frozenset[str]:
    """Return the nodes that may send requests to any of some servers."""
    return frozenset().union(
        *(_list_owners_of(state, server) for server in allowed)
    )


def _list_owners_of(
    state: states.State, server: servers.Server
) -> frozenset[str]:
    owners = state.limits.candidates.names
    if room.is_divided(state, server):
        owners &= frozenset(room.list_owners(state, server))
    rate = state.limits.get_rate(server.host)
    if rate is not None:
        owners &= frozenset(shares.list_senders(state, server.host, rate))
    return owners


def _has_part(state: states.State, server: servers.Server) -> bool:
    if not state.limits.buckets.has_rate(server.host):
        return False
    if not room.is_divided(state, server):
        return True
    return room.count_own_slots(state, server) > 0
