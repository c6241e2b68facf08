"""How many backend servers are ordered, where, and of which sort.

Load pattern: reclaimable servers cost a fraction, but a whole zone's worth
goes at a few seconds' notice, and for a while no new ones are to be had.
They are spread over all zones, so that one loss leaves the others. What is
missing until they can be had again is filled up with servers that stay,
which are released once reclaimable ones serve again.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from teaselbridge.decisions import demand
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import leases

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

DUTY = 'scale'
# Servers take seconds to come; a notice to leave gives two.
EVERY_MS = 250
# After a refusal: the platform has none for many seconds, and asking costs.
REFUSED_MS = 3_000
# After no answer the order may stand; it is sent again as it was.
UNANSWERED_MS = 1_000
# After a refusal ends, the next loss of a zone is still borne alone.
DRY_MS = 3_000
# A server that did not come this long after it should have is ordered anew.
LATE_MS = 2_500
# On-demand servers are kept until others have served for this long.
RELEASE_MS = 500
# Reclaimable ones cost a fraction, and new ones take four seconds.
CHEAP_RELEASE_MS = 4_000
# Released servers leave room after so long.
ROOM_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """One sort of server of a pool in a zone."""

    pool: str
    zone: str
    reclaimable: bool


@dataclasses.dataclass(slots=True)
class _Order:
    """What was ordered last.

    :param count: how many servers.
    :param sent: monotonic milliseconds.
    :param filled: whether as many were there since.
    """

    count: int
    sent: int
    filled: bool = False


class Scaling:
    """Orders of servers; times are monotonic milliseconds."""

    def __init__(self) -> None:
        self.orders: dict[Place, _Order] = {}
        self.refused: dict[Place, int] = {}
        self.surplus: dict[Place, int] = {}
        self.due = 0
        self.fence = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Count:
    """Servers of one sort.

    :param serving: servers that take work.
    :param coming: servers that were ordered and are not there yet.
    """

    serving: int
    coming: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stock:
    """Servers of a pool that serve or are on their way, by place.

    :param serving: servers that take work.
    :param coming: servers that were ordered and are not there yet.
    """

    serving: dict[Place, int]
    coming: dict[Place, int]

    def of(self, place: Place) -> int:
        """Count the servers of a place."""
        return self.serving.get(place, 0) + self.coming.get(place, 0)

    def count(self, *, reclaimable: bool) -> Count:
        """Count the servers of one sort in all zones."""
        return Count(
            serving=_sum(self.serving, reclaimable),
            coming=_sum(self.coming, reclaimable),
        )


def _sum(counts: dict[Place, int], reclaimable: bool) -> int:
    return sum(
        count
        for place, count in counts.items()
        if place.reclaimable is reclaimable
    )


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Order what is missing and release what is too much."""
    bounds = state.options.bounds
    scaling = state.scaling
    if bounds is None or DUTY not in bounds.duties or now.mono < scaling.due:
        return []
    scaling.due = now.mono + EVERY_MS
    for pool in state.index.pools:
        demand.follow(state, pool, now)
    lease = leases.held(state, leases.DUTIES, now)
    if lease is None or lease.orders_from > now.mono:
        return []
    if lease.fence != scaling.fence:
        scaling.fence = lease.fence
        scaling.orders.clear()
        scaling.refused.clear()
        scaling.surplus.clear()
    out: list[effects.Effect] = []
    for pool in state.index.pools:
        if pool.scaling is not None and state.demands.is_counted(
            pool.name, now
        ):
            out += _order(state, pool, pool.scaling, lease, now)
    return out


def ordered(
    state: states.State, event: events.ServersOrdered, now: clock.Instant
) -> list[effects.Effect]:
    """The platform decided on an order."""
    scaling = state.scaling
    place = Place(event.pool, event.zone, event.reclaimable)
    mark = effects.Mark.SERVERS_ORDERED
    if not event.accepted:
        mark = effects.Mark.SERVERS_REFUSED
        scaling.orders.pop(place, None)
        wait = UNANSWERED_MS if event.accepted is None else REFUSED_MS
        scaling.refused[place] = now.mono + wait
    sort = 'reclaimable' if event.reclaimable else 'on demand'
    detail = f'{event.count} {sort}, accepted {event.accepted}'
    return [
        effects.Record(
            mark=mark, pool=event.pool, host=event.zone, detail=detail
        )
    ]


def plan(
    wanted: demand.Need,
    scaling: model.Scaling,
    stock: Stock,
    pool: str,
    *,
    dry: bool,
) -> dict[Place, int]:
    """Decide how many servers of each sort there shall be in each zone.

    Both sorts share the limit of a zone, so that on-demand servers leave as
    soon as the reclaimable ones bear the most of the load, and make room
    for more of them.

    :param wanted: servers that are needed to serve in time.
    :param stock: what there is and what comes.
    :param pool: name of the pool.
    :param dry: whether reclaimable servers were refused lately; the loss of
        another zone must be borne without new ones then.
    """
    zones = sorted(scaling.prices, key=lambda item: item.price)
    share = math.ceil(wanted.usual * demand.SPARE / max(1, len(zones)))
    target: dict[Place, int] = {}
    largest = 0
    for item in zones:
        place = Place(pool, item.zone, True)
        target[place] = min(scaling.most, max(scaling.least, share))
        largest = max(largest, stock.serving.get(place, 0))
    reclaimable = stock.count(reclaimable=True)
    on_demand = stock.count(reclaimable=False)
    held = on_demand.serving + on_demand.coming
    borne = reclaimable.serving - (largest if dry else 0)
    missing = max(0, wanted.least - borne - reclaimable.coming)
    # Those that are there stay until others are in comfort without them.
    kept = 0
    if borne < wanted.least:
        kept = max(wanted.usual, wanted.least) - borne
    left = max(missing, min(held, kept))
    for item in zones:
        place = Place(pool, item.zone, False)
        target[place] = min(stock.of(place), left)
        left -= target[place]
    for item in zones:
        place = Place(pool, item.zone, False)
        room = scaling.most - target[place]
        room -= stock.of(Place(pool, item.zone, True))
        more = max(0, min(left, room))
        target[place] += more
        left -= more
    return target


def _order(
    state: states.State,
    pool: model.Pool,
    limits: model.Scaling,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    scaling = state.scaling
    stock = _stock(state, pool, limits, now)
    refused = {
        place
        for place, until in scaling.refused.items()
        if until > now.mono and place.pool == pool.name
    }
    wanted = demand.need(state, pool, now)
    dry = any(
        now.mono - until < DRY_MS
        for place, until in scaling.refused.items()
        if place.pool == pool.name
    )
    target = plan(wanted, limits, stock, pool.name, dry=dry)
    out: list[effects.Effect] = []
    for place, count in target.items():
        have = stock.serving.get(place, 0)
        if count >= have:
            scaling.surplus.pop(place, None)
        elif place.reclaimable and dry:
            # What is given back now is not to be had again.
            continue
        elif not _is_settled(scaling, place, now):
            continue
        elif not place.reclaimable:
            _order_again_soon(scaling, place, limits, now)
        if place in refused or not _is_due(
            scaling.orders.get(place), count, have, limits, now
        ):
            continue
        scaling.orders[place] = _Order(count, now.mono, have >= count)
        out.append(
            effects.OrderServers(
                pool=pool.name,
                zone=place.zone,
                reclaimable=place.reclaimable,
                count=count,
                fence=lease.fence,
                until=lease.until,
            )
        )
    if out:
        out.insert(0, _tell_need(state, pool, wanted, stock, now, dry=dry))
    return out


def _tell_need(
    state: states.State,
    pool: model.Pool,
    wanted: demand.Need,
    stock: Stock,
    now: clock.Instant,
    *,
    dry: bool,
) -> effects.Effect:
    """Record what orders follow from."""
    reclaimable = stock.count(reclaimable=True)
    on_demand = stock.count(reclaimable=False)
    load = state.demands.get(pool.name, now)
    detail = (
        f'{wanted.usual} usual, {wanted.least} least;'
        f' {load.unread:.0f} of {load.prompts:.0f} tokens/s to read'
        f' at {state.speed.of(pool.name):.1f}/ms;'
        f' {reclaimable.serving}+{reclaimable.coming} reclaimable,'
        f' {on_demand.serving}+{on_demand.coming} on demand, dry {dry}'
    )
    return effects.Record(
        mark=effects.Mark.SERVERS_WANTED, pool=pool.name, detail=detail
    )


def _order_again_soon(
    scaling: Scaling,
    released: Place,
    limits: model.Scaling,
    now: clock.Instant,
) -> None:
    """Order again what had no room while other servers were there.

    :param released: on-demand servers that leave.
    """
    order = scaling.orders.get(dataclasses.replace(released, reclaimable=True))
    if order is not None and not order.filled:
        order.sent = now.mono - limits.boot_ms - LATE_MS + ROOM_MS


def _is_due(
    order: _Order | None,
    count: int,
    have: int,
    limits: model.Scaling,
    now: clock.Instant,
) -> bool:
    """Tell whether an order must be sent."""
    if order is None:
        return count != have
    if order.count != count:
        return True
    if have >= count:
        order.filled = True
        return False
    if order.filled:
        return True
    return now.mono - order.sent > limits.boot_ms + LATE_MS


def _is_settled(scaling: Scaling, place: Place, now: clock.Instant) -> bool:
    """Tell whether servers have been too many for a while."""
    since = scaling.surplus.setdefault(place, now.mono)
    span = CHEAP_RELEASE_MS if place.reclaimable else RELEASE_MS
    return now.mono - since >= span


def _stock(
    state: states.State,
    pool: model.Pool,
    limits: model.Scaling,
    now: clock.Instant,
) -> Stock:
    serving: dict[Place, int] = {}
    for server in state.servers.in_pool(pool.name):
        if not server.leaving:
            place = _place_of(server)
            serving[place] = serving.get(place, 0) + 1
    coming: dict[Place, int] = {}
    for place, order in state.scaling.orders.items():
        late = now.mono - order.sent > limits.boot_ms + LATE_MS
        if place.pool != pool.name or late or order.filled:
            continue
        coming[place] = max(0, order.count - serving.get(place, 0))
    return Stock(serving=serving, coming=coming)


def _place_of(server: servers.Server) -> Place:
    row = server.row
    return Place(row.pool, row.zone, row.reclaimable)
