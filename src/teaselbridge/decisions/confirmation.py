"""Seeks confirmations that the configuration still stands.

Workspace keys count only for a while after the last confirmation, so its age
when the store fails is taken off the time for which callers are served on.
One node of a group asks the store a few times a second; the others ask that
node, which costs no call, and the store only where it knows nothing newer.
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

# The reader of a group asks the store when its confirmation is so old.
READER_MS = 400
# The others ask the reader then, and the store themselves after that: both
# leave more than half of the five seconds in which a revoked key must end.
ASK_READER_MS = 500
ASK_STORE_MS = 1_200
ASK_AGAIN_MS = 250
READ_AGAIN_MS = 800
# Larger fleets have a reader in each zone, smaller ones a single one.
GROUP_MOST = 16


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Ask a peer or the store, as far as due."""
    bounds = state.options.bounds
    if bounds is None or not bounds.revoke_ms or not state.configured:
        return []
    age = freshness.confirmed_ms(state, now)
    reader = _reader(state)
    known = state.freshness
    if reader is None:
        return _read(state, now, READER_MS) if age >= READER_MS else []
    if age >= ASK_STORE_MS:
        return _read(state, now, READ_AGAIN_MS)
    if age < ASK_READER_MS or now.mono < known.ask_due:
        return []
    known.ask_due = now.mono + ASK_AGAIN_MS
    return [membership.probe(state, reader, now)]


def _read(
    state: states.State, now: clock.Instant, again_ms: int
) -> list[effects.Effect]:
    """Ask the store, unless that was done just before.

    :param again_ms: least time between two questions.
    """
    known = state.freshness
    if now.mono < known.read_due:
        return []
    known.read_due = now.mono + again_ms
    return [effects.ConfirmConfiguration()]


def _reader(state: states.State) -> messages.Member | None:
    """Choose the node that asks the store, none for this one.

    All nodes choose the same one, as far as they know the same peers.
    """
    ship = state.membership
    alive = ship.alive
    if len(alive) >= GROUP_MOST:
        alive = [one for one in alive if one.zone == ship.me.zone]
    first = min(alive, key=lambda one: one.name, default=None)
    if first is None or ship.me.name < first.name:
        return None
    return first
