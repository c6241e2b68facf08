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
    owners: set[str] = set()
    for server in allowed:
        rate = state.limits.terms.get(server.host).rate
        names = set(room.list_owners(state, server))
        if rate is not None:
            senders = shares.list_senders(state, server.host, rate)
            names = (
                names & set(senders)
                if _is_divided(state, server)
                else set(senders)
            )
        owners |= names
    return frozenset(owners)


def _has_part(state: states.State, server: servers.Server) -> bool:
    if not state.limits.buckets.has_rate(server.host):
        return False
    return not _is_divided(state, server) or (
        room.count_own_slots(state, server) > 0
    )


def _is_divided(state: states.State, server: servers.Server) -> bool:
    return room.is_divided(state, server)
