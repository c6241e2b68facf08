"""What this node knows from the platform's store, and how old that is.

Entries of backend servers that lapse while the store is away come back
soon after it. Until then what was known before still holds.
"""

from __future__ import annotations

import dataclasses
import typing

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

# Entries are back within about two seconds of the store's return.
MISSING_GRACE_MS = 2_000
# A shorter time without answers lets no entry lapse: three heartbeats do.
OUTAGE_MS = 1_000


@dataclasses.dataclass(slots=True)
class Knowledge:
    """What the store has told; times are monotonic milliseconds.

    :param rows: entries of backend servers by key.
    :param missing: keys that a full list lacked, with when that counts.
    :param nodes: ``ip:port`` of the zmq sockets of other nodes.
    :param answered: when the store last answered.
    :param up: whether it answers.
    :param outage_ended: when it answered again after an outage.
    :param undecodable: keys of entries that cannot be decoded.
    :param fresh: whether workspace keys count.
    """

    rows: dict[str, events.HostRow] = dataclasses.field(default_factory=dict)
    missing: dict[str, int] = dataclasses.field(default_factory=dict)
    nodes: tuple[str, ...] = ()
    answered: int = 0
    up: bool = True
    outage_ended: int | None = None
    undecodable: set[str] = dataclasses.field(default_factory=set)
    fresh: bool = False


def seen(
    state: states.State, event: events.ConfigurationSeen, now: clock.Instant
) -> list[effects.Effect]:
    """The store told what stands of the configuration."""
    out: list[effects.Effect] = []
    if event.found is not None:
        out += configuration.adopt(state, event.found, 'store', now)
    if state.configured:
        freshness.confirm(state, event.sent)
    return out


def listed(
    state: states.State, event: events.ServersListed, now: clock.Instant
) -> list[effects.Effect]:
    """All entries were read: find what is missing by difference."""
    known = state.knowledge
    counts_at = now.mono
    if known.outage_ended is not None:
        counts_at = max(now.mono, known.outage_ended + MISSING_GRACE_MS)
    for key in known.rows:
        if key not in event.rows:
            known.missing.setdefault(key, counts_at)
    known.rows.update(event.rows)
    for key in event.rows:
        known.missing.pop(key, None)
    detail = f'{len(event.rows)} entries, {len(known.missing)} missing'
    record = effects.Record(mark=effects.Mark.STORE_LISTED, detail=detail)
    return [record, *_drop_missing(state, now), *_use(state, now)]


def changed(
    state: states.State, event: events.ServersChanged, now: clock.Instant
) -> list[effects.Effect]:
    """Entries were written or removed."""
    known = state.knowledge
    for key, row in event.rows.items():
        known.missing.pop(key, None)
        if row is None:
            known.rows.pop(key, None)
        else:
            known.rows[key] = row
    return _use(state, now)


def nodes(
    state: states.State, event: events.NodesListed, now: clock.Instant
) -> list[effects.Effect]:
    """The store told where other nodes can be reached."""
    state.knowledge.nodes = event.addresses
    return _use(state, now)


def heard(
    state: states.State, event: events.StoreAnswered, now: clock.Instant
) -> list[effects.Effect]:
    """The store answered, or did not."""
    known = state.knowledge
    if not event.answered:
        if not known.up:
            return []
        known.up = False
        return [
            effects.Record(
                mark=effects.Mark.KEYVALUE_DOWN, detail=event.detail
            )
        ]
    state.keyvalue_heard = now.mono
    away = now.mono - known.answered
    known.answered = now.mono
    if known.up:
        return []
    known.up = True
    if away > OUTAGE_MS:
        known.outage_ended = now.mono
    detail = f'away for {away} ms'
    return [effects.Record(mark=effects.Mark.KEYVALUE_UP, detail=detail)]


def reject(
    state: states.State, event: events.Undecodable
) -> list[effects.Effect]:
    """An entry cannot be decoded: count it, and tell of it once."""
    out: list[effects.Effect] = [
        effects.Count(effects.Counter.UNDECODABLE, event.key.split('/')[0])
    ]
    if event.key not in state.knowledge.undecodable:
        state.knowledge.undecodable.add(event.key)
        detail = f'{event.key}: {event.detail}'
        out.append(
            effects.Record(mark=effects.Mark.UNDECODABLE, detail=detail)
        )
    return out


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Drop what stayed missing; tell the others whether keys count here."""
    out = _drop_missing(state, now)
    if out:
        out += _use(state, now)
    fresh = freshness.is_fresh(state, now) and state.configured
    if fresh is state.knowledge.fresh or state.drain is not None:
        return out
    state.knowledge.fresh = fresh
    mark = effects.Mark.NODE_RESTORED
    if not fresh:
        mark = effects.Mark.NODE_WITHDRAWN
    detail = (
        f'configuration confirmed {freshness.confirmed_ms(state, now)} ms ago'
    )
    return [
        *out,
        effects.Record(mark=mark, host=state.options.me.name, detail=detail),
        *membership.announce(
            state, draining=not fresh, status=messages.Status.ALIVE
        ),
    ]


def _drop_missing(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    known = state.knowledge
    out: list[effects.Effect] = []
    for key, counts_at in list(known.missing.items()):
        if counts_at > now.mono:
            continue
        del known.missing[key]
        row = known.rows.pop(key, None)
        if row is not None:
            out.append(
                effects.Record(
                    mark=effects.Mark.SERVER_GONE,
                    pool=row.pool,
                    host=row.host,
                    detail='missing in the list',
                )
            )
    return out


def _use(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    known = state.knowledge
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
    before = state.servers.all
    out = servers.read_hosts(state, rows, now)
    for server in before:
        if state.servers.get(server.host) is None:
            out += poison.confirm(state, server, now)
    return out
