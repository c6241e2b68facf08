"""Queries that confirm that the configuration is still current.

Workspace keys are valid only for a limited time after the last confirmation.
When the store fails, callers are served for that time less the age of the
last confirmation, so confirmations have to be recent at all times. One node
of a group, its reader, queries the store a few times a second. The others
query the reader, which costs no call to the store, and the store itself only
where the reader has no newer confirmation.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import freshness
from teaselbridge.decisions import membership

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.peers import messages

# Age of its last confirmation at which the reader queries the store.
READER_QUERY_AGE_MS = 400
# Ages at which the other nodes query the reader, and then the store. Both
# leave more than half of the five seconds within which a revoked key must
# stop working.
QUERY_READER_AGE_MS = 500
QUERY_STORE_AGE_MS = 1_200
# Least time between two queries of a node to the reader, and to the store.
QUERY_READER_INTERVAL_MS = 250
QUERY_STORE_INTERVAL_MS = 800
# A larger fleet has a reader in each zone, a smaller one a single reader.
MAX_GROUP_NODES = 16


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Query a peer or the store if a confirmation is due."""
    bounds = state.options.bounds
    if bounds is None or not bounds.revoke_ms or not state.configured:
        return []
    age = freshness.confirmed_ms(state, now)
    reader = _find_reader(state)
    known = state.freshness
    if reader is None:
        return (
            _query_store(state, now, READER_QUERY_AGE_MS)
            if age >= READER_QUERY_AGE_MS
            else []
        )
    if age >= QUERY_STORE_AGE_MS:
        return _query_store(state, now, QUERY_STORE_INTERVAL_MS)
    if age < QUERY_READER_AGE_MS or now.mono < known.next_peer_query:
        return []
    known.next_peer_query = now.mono + QUERY_READER_INTERVAL_MS
    return [membership.send_probe(state, reader, now)]


def _query_store(
    state: states.State, now: clock.Instant, min_interval_ms: int
) -> list[effects.Effect]:
    """Query the store, unless a query was sent recently.

    :param min_interval_ms: least time between two queries.
    """
    known = state.freshness
    if now.mono < known.next_store_query:
        return []
    known.next_store_query = now.mono + min_interval_ms
    return [effects.ConfirmConfiguration()]


def _find_reader(state: states.State) -> messages.Member | None:
    """Return the node that queries the store, none for this one.

    Nodes that know the same peers choose the same reader.
    """
    member_list = state.membership
    alive = member_list.alive
    if len(alive) >= MAX_GROUP_NODES:
        alive = [
            member for member in alive if member.zone == member_list.me.zone
        ]
    first = min(alive, key=lambda member: member.name, default=None)
    if first is None or member_list.me.name < first.name:
        return None
    return first
