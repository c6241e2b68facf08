"""Restores of the store from a copy that is some seconds old.

What was acknowledged since that copy is gone, leases included, and revisions
are given out again. Operators and backend servers write their entries again;
this node writes its own again. Until then, what it knew stays in force where
that is newer than what the store says.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import knowledge
from teaselbridge.decisions import leases
from teaselbridge.decisions import rollouts
from teaselbridge.decisions import usage

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states


def handle_store_era_seen(
    state: states.State, event: events.StoreEraSeen, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the first answer of an era, after a restore or at the start."""
    known = state.store_view
    if event.era <= known.era:
        return []
    earlier = known.era
    if event.restored:
        usage.handle_restore(state, now)
        rollouts.handle_restore(state)
        knowledge.handle_restore(state, now)
    known.era = event.era
    if not event.restored:
        return []
    cause = f'the store was restored, era {event.era} after {earlier}'
    record = effects.RecordEntry(
        mark=effects.Mark.STORE_RESTORED, detail=cause
    )
    return [record, *leases.void_all(state, cause, now)]
