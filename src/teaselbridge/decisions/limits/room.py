"""Room at servers that fail if they have to refuse many requests.

Load pattern: a burst over a pool whose servers are nearly full. What a node
knows of the load of others is some hundred milliseconds old, so that several
nodes take the same free slot. The slots of such a server are therefore
divided among the nodes, and a refusal holds back all of them. All servers of
a pool count as such once one says so.
"""

from __future__ import annotations

import typing

from teaselbridge import clock as clocks
from teaselbridge.decisions import placement
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

# Time without new requests for a server that reported that it is full.
FULL_BACKOFF_MS = 100
MAX_FULL_BACKOFF_MS = 1_000


def refresh(state: states.State) -> None:
    """Update which pools bear few refusals, and this node's slots there."""
    limits = state.limits
    limits.own_slots.clear()
    limits.refusals_by_pool.clear()
    for host in limits.terms.restricted_hosts:
        learn_pool(state, host)


def learn_pool(state: states.State, host: str) -> None:
    """Apply what a server says of refusals to its pool."""
    server = state.servers.get(host)
    refusals = state.limits.terms.get(host).refusals
    if server is None or refusals is None:
        return
    known = state.limits.refusals_by_pool
    pool = server.row.pool
    known[pool] = min(refusals, known.get(pool, refusals))


def filter_by_room(
    state: states.State, usable: list[servers.Server]
) -> list[servers.Server]:
    """Return the servers at which this node has a free slot of its own."""
    return [
        server
        for server in usable
        if not is_divided(state, server)
        or server.inflight < count_own_slots(state, server)
    ]


def is_divided(state: states.State, server: servers.Server) -> bool:
    """Return whether the slots of a server are divided among the nodes."""
    return server.row.pool in state.limits.refusals_by_pool


def record_refusal(
    state: states.State, server: servers.Server, now: clock.Instant
) -> None:
    """Record that a server refused a request for want of room."""
    backoff_ms = FULL_BACKOFF_MS
    refusals = state.limits.refusals_by_pool.get(server.row.pool)
    if refusals is not None:
        # Refusals come from several nodes before all of them know.
        backoff_ms = round(2 * clocks.SECOND_MS / max(1.0, refusals))
        backoff_ms = min(MAX_FULL_BACKOFF_MS, backoff_ms)
        state.loads.next_update_at = now.mono
    server.full_until = max(server.full_until, now.mono + backoff_ms)


def list_full(
    state: states.State, now: clock.Instant
) -> tuple[messages.FullServer, ...]:
    """Return the servers that no node should send requests to for a time."""
    return tuple(
        messages.FullServer(
            host=server.host, left_ms=server.full_until - now.mono
        )
        for server in state.servers.all
        if server.full_until > now.mono and is_divided(state, server)
    )


def merge_full(
    state: states.State, message: messages.Loads, now: clock.Instant
) -> None:
    """Hold back from the servers that another node found full."""
    for item in message.full:
        server = state.servers.get(item.host)
        if server is not None:
            left_ms = min(MAX_FULL_BACKOFF_MS, item.left_ms)
            server.full_until = max(server.full_until, now.mono + left_ms)


def count_own_slots(state: states.State, server: servers.Server) -> int:
    """Return how many slots of a server are this node's part.

    Slots that cannot be divided evenly go to some nodes by rendezvous hashing.
    """
    known = state.limits.own_slots
    if server.host not in known:
        names = state.limits.candidates.names
        part, _ = divmod(server.slots, max(1, len(names)))
        me = state.options.me.name
        known[server.host] = part * (me in names) + (
            me in _list_rest_owners(state, server)
        )
    return known[server.host]


def list_owners(
    state: states.State, server: servers.Server
) -> collections.abc.Iterable[str]:
    """Return the nodes that have slots of a server."""
    names = state.limits.candidates.names
    if server.slots >= len(names):
        return names
    return _list_rest_owners(state, server)


def _list_rest_owners(
    state: states.State, server: servers.Server
) -> list[str]:
    names = state.limits.candidates.names
    rest = server.slots % max(1, len(names))
    return placement.first(names, rest, 'slot', server.host)
