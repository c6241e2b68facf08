"""Availability zones whose backend servers get no requests.

Operators write an entry for a zone, and remove it when the zone may be used
again. What counts is that the entry is there: one that cannot be read
evacuates its zone as well. Each node follows the entries itself, so that
nothing has to be agreed on, and keeps what it knows while the store is
silent.

Requests that run at the servers of such a zone are not disturbed.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import effects

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

# A restored store may lack an entry until operators have written it again.
RESTORE_GRACE_MS = 2_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Evacuations:
    """Evacuated zones by this node's view of the store.

    :param zones: names of the zones.
    :param missing_from: zones whose entries a restored store lacks, with the
        monotonic milliseconds from which they count as removed.
    """

    zones: frozenset[str] = frozenset()
    missing_from: dict[str, int] = dataclasses.field(default_factory=dict)


def handle_evacuations_listed(
    state: states.State, event: events.EvacuationsListed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a full list of the evacuated zones."""
    known = state.evacuations
    restored_at = state.store_view.restored_at
    grace_until = 0
    if restored_at is not None:
        grace_until = restored_at + RESTORE_GRACE_MS
    kept: set[str] = set()
    for zone in known.zones - event.zones:
        until = known.missing_from.setdefault(zone, grace_until)
        if until > now.mono:
            kept.add(zone)
    return _set_zones(state, event.zones | kept)


def handle_evacuations_changed(
    state: states.State, event: events.EvacuationsChanged
) -> list[effects.Effect]:
    """Handle entries that were written or removed."""
    known = state.evacuations
    for zone in event.zones:
        known.missing_from.pop(zone, None)
    lifted = {zone for zone, ordered in event.zones.items() if not ordered}
    ordered = event.zones.keys() - lifted
    return _set_zones(state, (known.zones | ordered) - lifted)


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Lift evacuations whose entries stayed missing after a restore."""
    known = state.evacuations
    if not known.missing_from:
        return []
    ended = {
        zone for zone, until in known.missing_from.items() if until <= now.mono
    }
    return _set_zones(state, known.zones - ended)


def _set_zones(
    state: states.State, zones: frozenset[str]
) -> list[effects.Effect]:
    known = state.evacuations
    changed = known.zones ^ zones
    known.zones = zones
    known.missing_from = {
        zone: until
        for zone, until in known.missing_from.items()
        if zone in zones
    }
    state.servers.set_closed_zones(zones)
    return [
        effects.RecordEntry(
            mark=(
                effects.Mark.ZONE_EVACUATED
                if zone in zones
                else effects.Mark.ZONE_RESTORED
            ),
            host=zone,
            detail=f'{len(zones)} zones evacuated',
        )
        for zone in sorted(changed)
    ]
