"""Who reads the store, and who is told by a reader.

Workspace keys are valid only for a limited time after the last confirmation.
When the store fails, callers are served for that time less the age of the
last confirmation, so confirmations have to be recent at all times. One active
node, the reader, watches the store and queries it a few times a second.
The others ask the reader for the changes, which costs no call to the store and
confirms the configuration too, and follow the store themselves only while the
reader has no newer confirmation.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import freshness
from teaselbridge.decisions import loads
from teaselbridge.decisions import placement

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.peers import messages

# Age of its last confirmation at which the reader queries the store.
READER_QUERY_AGE_MS = 400
# Ages at which the other nodes ask the reader, and then the store. Both leave
# more than half of the five seconds within which a revoked key must stop
# working.
QUERY_READER_AGE_MS = 500
QUERY_STORE_AGE_MS = 1_200
# The same for nodes without callers.
QUERY_READER_IDLE_AGE_MS = 2_000
QUERY_STORE_IDLE_AGE_MS = 3_300
# Least time between two queries of a node to the reader, and to the store.
QUERY_READER_INTERVAL_MS = 250
QUERY_STORE_INTERVAL_MS = 800


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Ask the reader or query the store if a confirmation is due."""
    bounds = state.options.bounds
    if bounds is None or not bounds.revoke_ms or not state.configured:
        return []
    age = freshness.confirmed_ms(state, now)
    reader = _find_reader(state)
    if reader is None:
        out = _watch_store(state, on=True)
        if age >= READER_QUERY_AGE_MS:
            out += _query_store(state, now, READER_QUERY_AGE_MS)
        return out
    ask_age_ms, store_age_ms = QUERY_READER_AGE_MS, QUERY_STORE_AGE_MS
    if not loads.is_participant(state):
        ask_age_ms = QUERY_READER_IDLE_AGE_MS
        store_age_ms = QUERY_STORE_IDLE_AGE_MS
    out = _watch_store(state, on=age >= store_age_ms)
    if age >= store_age_ms:
        out += _query_store(state, now, QUERY_STORE_INTERVAL_MS)
    known = state.freshness
    # Answers to probes confirm keys too, but tell of no other change.
    changes_age_ms = now.mono - known.changes_known_at
    if (
        max(age, changes_age_ms) < ask_age_ms
        or now.mono < known.next_peer_query
    ):
        return out
    known.next_peer_query = now.mono + QUERY_READER_INTERVAL_MS
    return [*out, effects.AskChanges(reader.peers)]


def handle_changes_asked(
    state: states.State, message: messages.ChangesAsked, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a node's request for the changes of the store."""
    return [
        effects.AnswerChanges(
            message,
            confirmed_ms=freshness.confirmed_ms(state, now),
            generation=state.index.generation,
        )
    ]


def handle_changes_sent(
    state: states.State,
    message: messages.ChangesSent,
    sender: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Handle the changes of the store, and the reader's confirmation.

    A confirmation of another configuration than this node's counts only
    once both are the same.
    """
    is_same = state.configured and (
        message.generation == state.index.generation
    )
    if is_same and message.confirmed_ms >= 0 and message.asked_at <= now.mono:
        sent = message.asked_at - message.confirmed_ms
        freshness.record_confirmation(state, sent)
    if message.entries is not None and message.asked_at <= now.mono:
        known = state.freshness
        known.changes_known_at = max(known.changes_known_at, message.asked_at)
    member = state.membership.get_peer(sender)
    address = '' if member is None else member.peers
    out = configuration.request_newer(state, message.generation, address)
    return [*out, effects.ApplyChanges(message, is_same)]


def _watch_store(state: states.State, *, on: bool) -> list[effects.Effect]:
    """Start or stop watching the store, if that is a change."""
    if state.store_view.is_watched is on:
        return []
    state.store_view.is_watched = on
    return [effects.WatchStore(on)]


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
    """Return the node that this node asks, none where it reads the store.

    Nodes that know the same peers choose the same reader, a large host if
    there is one. Nodes without callers ask an active node of their zone
    instead, which shares out their requests.
    """
    names = active.list_names(state)
    me = state.membership.me
    nodes = [item for item in state.membership.alive if item.name in names]
    if not loads.is_participant(state):
        nodes = [item for item in nodes if item.zone == me.zone] or nodes
        return max(
            nodes,
            key=lambda item: placement.hash_text(me.name, item.name),
            default=None,
        )
    if me.name in names:
        nodes.append(me)
    first = min(
        nodes, key=lambda item: (-int(item.cores), item.name), default=me
    )
    return None if first is me else first
