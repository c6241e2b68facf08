"""This node's view of the platform's store, and how old that view is.

Entries of backend servers expire while the store is unavailable and are
written again soon after it is back. Until then the entries that were
known before the outage remain valid.

After a restore from an older copy the store may also list entries that had
been removed. Their servers are not used until they write them again, or have
kept them for longer than an entry without heartbeats lasts.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions.cold import rates as cold_rates
from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import freshness
from teaselbridge.decisions import membership
from teaselbridge.decisions import poison
from teaselbridge.decisions import servers
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Backend servers write their entries again within about two seconds after
# the store is back.
MISSING_GRACE_MS = 2_000
# An entry is removed after three missed heartbeats, which take some seconds.
RESTORED_ENTRY_HOLD_MS = 8_000
# Removed entries that are remembered, in case a restore brings them back.
MAX_REMOVED = 2_000
# Entries that cannot be decoded of which the record is remembered.
MAX_UNDECODABLE = 1_000
# A shorter outage cannot make an entry expire: that takes three missed
# heartbeats.
MIN_OUTAGE_MS = 1_000


@dataclasses.dataclass(slots=True)
class StoreView:
    """State that was read from the store; times are monotonic milliseconds.

    :param rows: entries of backend servers by key.
    :param missing_from: keys that were absent from a full list, with the time
        from which they are treated as removed.
    :param removed: hosts whose entries were removed, with the era of the
        store at that time.
    :param held: entries by key that a restore brought back, with the time
        until which their servers are not used.
    :param era: era of the store, 0 while unknown.
    :param restored_at: when this node saw that the store was restored.
    :param nodes: ``ip:port`` of the zmq sockets of other nodes.
    :param answered: when the store last answered.
    :param is_up: whether the store answers.
    :param is_watched: whether this node watches the store itself.
    :param outage_ended_at: when it first answered after an outage.
    :param undecodable: revisions of entries that cannot be decoded, by key.
    :param is_fresh: whether the configuration was confirmed recently enough
        for workspace keys to be accepted.
    """

    rows: dict[str, events.HostRow] = dataclasses.field(default_factory=dict)
    missing_from: dict[str, int] = dataclasses.field(default_factory=dict)
    removed: dict[str, int] = dataclasses.field(default_factory=dict)
    held: dict[str, tuple[events.HostRow, int]] = dataclasses.field(
        default_factory=dict
    )
    era: int = 0
    restored_at: int | None = None
    nodes: tuple[str, ...] = ()
    answered: int = 0
    is_up: bool = True
    is_watched: bool = True
    outage_ended_at: int | None = None
    undecodable: dict[str, int] = dataclasses.field(default_factory=dict)
    is_fresh: bool = False


def handle_configuration_read(
    state: states.State, event: events.ConfigurationRead, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a read of the configuration from the store."""
    out: list[effects.Effect] = []
    if event.configuration is not None:
        out += configuration.adopt(state, event.configuration, 'store', now)
    if state.configured:
        freshness.record_confirmation(state, event.sent)
    return out


def handle_servers_listed(
    state: states.State, event: events.ServersListed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a full list of entries: known keys that it lacks are missing."""
    known = state.store_view
    effective_at = now.mono
    if known.outage_ended_at is not None:
        effective_at = max(now.mono, known.outage_ended_at + MISSING_GRACE_MS)
    for key in known.rows:
        if key not in event.rows:
            known.missing_from.setdefault(key, effective_at)
    for key, row in event.rows.items():
        known.missing_from.pop(key, None)
        _apply_listed_row(known, key, row, now)
    detail = (
        f'{len(event.rows)} entries, {len(known.missing_from)} missing,'
        f' {len(known.held)} held'
    )
    record = effects.RecordEntry(mark=effects.Mark.STORE_LISTED, detail=detail)
    return [
        record,
        *_drop_missing(state, now),
        *_update_servers(state, now),
        *cold_rates.handle_rows(state, event.rows.values(), now),
    ]


def handle_servers_changed(
    state: states.State, event: events.ServersChanged, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a watch update: entries that were written or removed."""
    known = state.store_view
    for key, row in event.rows.items():
        known.missing_from.pop(key, None)
        known.held.pop(key, None)
        if row is None:
            _remove_row(known, key)
        else:
            known.removed.pop(row.host, None)
            known.rows[key] = row
    out = _update_servers(state, now)
    return out + cold_rates.handle_rows(state, event.rows.values(), now)


def handle_restore(state: states.State, now: clock.Instant) -> None:
    """Handle a restore of the store from an older copy.

    What servers and operators wrote since that copy is written again soon,
    so entries that are missing remain valid, and what is read until then
    does not confirm the configuration.
    """
    known = state.store_view
    known.restored_at = now.mono
    known.outage_ended_at = now.mono
    known.held.clear()
    freshness.suspend_confirmations(state, MISSING_GRACE_MS, now)


def nodes(
    state: states.State, event: events.NodesListed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a new list of the addresses of other nodes."""
    state.store_view.nodes = event.addresses
    return _update_servers(state, now)


def handle_store_call_ended(
    state: states.State, event: events.StoreCallEnded, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a call to the store that was answered or failed."""
    known = state.store_view
    if not event.answered:
        if not known.is_up:
            return []
        known.is_up = False
        return [
            effects.RecordEntry(
                mark=effects.Mark.KEYVALUE_DOWN, detail=event.detail
            )
        ]
    state.keyvalue_answered_at = now.mono
    outage_ms = now.mono - known.answered
    known.answered = now.mono
    if known.is_up:
        return []
    known.is_up = True
    if outage_ms > MIN_OUTAGE_MS:
        known.outage_ended_at = now.mono
    detail = f'unavailable for {outage_ms} ms'
    return [effects.RecordEntry(mark=effects.Mark.KEYVALUE_UP, detail=detail)]


def handle_entry_undecodable(
    state: states.State, event: events.EntryUndecodable
) -> list[effects.Effect]:
    """Handle an undecodable entry: count it, and record each change once."""
    out: list[effects.Effect] = [
        effects.Count(effects.Counter.UNDECODABLE, event.key.split('/')[0])
    ]
    known = state.store_view.undecodable
    if known.get(event.key) != event.revision:
        known.pop(event.key, None)
        known[event.key] = event.revision
        if len(known) > MAX_UNDECODABLE:
            del known[next(iter(known))]
        detail = f'{event.key}: {event.detail}'
        out.append(
            effects.RecordEntry(mark=effects.Mark.UNDECODABLE, detail=detail)
        )
    return out


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Drop entries that stayed missing; announce changes of freshness."""
    out = _drop_missing(state, now)
    if _release_held(state.store_view, now) or out:
        out += _update_servers(state, now)
    is_fresh = freshness.is_fresh(state, now) and state.configured
    if is_fresh is state.store_view.is_fresh or state.drain is not None:
        return out
    state.store_view.is_fresh = is_fresh
    mark = effects.Mark.NODE_RESTORED
    if not is_fresh:
        mark = effects.Mark.NODE_WITHDRAWN
    detail = (
        f'configuration confirmed {freshness.confirmed_ms(state, now)} ms ago'
    )
    return [
        *out,
        effects.RecordEntry(
            mark=mark, host=state.options.me.name, detail=detail
        ),
        *membership.announce_own_status(
            state, draining=not is_fresh, status=messages.Status.ALIVE
        ),
    ]


def _apply_listed_row(
    known: StoreView, key: str, row: events.HostRow, now: clock.Instant
) -> None:
    """Apply a listed entry, which a restore may have brought back.

    An earlier lifetime than the known one is not applied at all. One that
    was removed before the restore is held until its server proves alive.
    """
    current = known.rows.get(key)
    if current is not None and row.born < current.born:
        return
    if known.removed.get(row.host, known.era) < known.era:
        until = now.mono + RESTORED_ENTRY_HOLD_MS
        known.held.setdefault(key, (row, until))
        return
    known.removed.pop(row.host, None)
    known.rows[key] = row


def _release_held(known: StoreView, now: clock.Instant) -> bool:
    """Use the held entries that were kept for long enough.

    :return: whether there were any.
    """
    kept = [key for key, (_, until) in known.held.items() if until <= now.mono]
    for key in kept:
        row, _ = known.held.pop(key)
        known.removed.pop(row.host, None)
        known.rows[key] = row
    return bool(kept)


def _remove_row(known: StoreView, key: str) -> events.HostRow | None:
    """Remove an entry and remember that it was removed.

    :return: the entry, none where it was not known.
    """
    row = known.rows.pop(key, None)
    if row is None:
        return None
    known.removed.pop(row.host, None)
    known.removed[row.host] = known.era
    if len(known.removed) > MAX_REMOVED:
        del known.removed[next(iter(known.removed))]
    return row


def _drop_missing(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    known = state.store_view
    out: list[effects.Effect] = []
    for key, effective_at in list(known.missing_from.items()):
        if effective_at > now.mono:
            continue
        del known.missing_from[key]
        row = _remove_row(known, key)
        if row is not None:
            out.append(
                effects.RecordEntry(
                    mark=effects.Mark.SERVER_GONE,
                    pool=row.pool,
                    host=row.host,
                    detail='missing from the list',
                )
            )
    return out


def _update_servers(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    known = state.store_view
    entries = tuple(
        events.HostRow(
            host=address,
            address=address,
            zone='',
            role=events.HostRole.ENTRY,
        )
        for address in known.nodes
    )
    rows = events.HostsRead((*known.rows.values(), *entries))
    old_servers = state.servers.all
    out = servers.handle_hosts_read(state, rows, now)
    for server in old_servers:
        if state.servers.get(server.host) is None:
            out += poison.confirm_crashes(state, server, now)
    return out
