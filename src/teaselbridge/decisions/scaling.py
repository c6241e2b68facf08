"""Autoscaling: how many backend servers are ordered, by zone and kind.

Load pattern: reclaimable servers cost a fraction of on-demand ones, but the
cloud takes back all those of a zone at a few seconds' notice, and no new
ones are available for a while. They are spread over all zones, so that the
loss of one zone leaves the others. Until reclaimable servers are available
again, on-demand servers fill the gap. They are released once reclaimable
servers serve again.
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
# Short, because servers take seconds to start and a reclaim notice leaves two.
TICK_INTERVAL_MS = 250
# Backoff after a refusal: the platform has no capacity for many seconds, and
# each request costs.
REFUSED_BACKOFF_MS = 3_000
# Backoff after a missing answer. The order may have been accepted, so the same
# order is sent again.
UNANSWERED_BACKOFF_MS = 1_000
# For this long after the backoff of a refusal, the loss of another zone must
# still be tolerated without new reclaimable servers.
SCARCITY_MS = 3_000
# A server that is this late after its start time is ordered again.
START_TIMEOUT_MS = 2_500
# On-demand servers are released after they were surplus for this long.
ON_DEMAND_RELEASE_MS = 500
# Reclaimable servers are kept longer: they cost a fraction, and new ones take
# four seconds to start.
RECLAIMABLE_RELEASE_MS = 4_000
# Released servers free their room in the zone limit after this long.
RELEASE_ROOM_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Pool, zone and kind for which servers are ordered together."""

    pool: str
    zone: str
    reclaimable: bool


@dataclasses.dataclass(slots=True)
class _Order:
    """Last order for a place.

    :param count: number of servers.
    :param sent: monotonic milliseconds at which it was sent.
    :param filled: whether that many servers have served since.
    """

    count: int
    sent: int
    filled: bool = False


class Scaling:
    """State of server orders; times are monotonic milliseconds."""

    def __init__(self) -> None:
        self.orders: dict[Place, _Order] = {}
        self.refused: dict[Place, int] = {}
        self.surplus_since: dict[Place, int] = {}
        self.next_tick_at = 0
        self.fence = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerCount:
    """Server count of one kind.

    :param serving: servers that accept requests.
    :param pending: servers that were ordered and have not started yet.
    """

    serving: int
    pending: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolStock:
    """Serving and ordered servers of a pool, by place.

    :param serving: servers that accept requests.
    :param pending: servers that were ordered and have not started yet.
    """

    serving: dict[Place, int]
    pending: dict[Place, int]

    def count_place(self, place: Place) -> int:
        """Return the number of serving and ordered servers of a place."""
        return self.serving.get(place, 0) + self.pending.get(place, 0)

    def count(self, *, reclaimable: bool) -> ServerCount:
        """Return the server count of one kind over all zones."""
        return ServerCount(
            serving=_sum_counts(self.serving, reclaimable),
            pending=_sum_counts(self.pending, reclaimable),
        )


def _sum_counts(counts: dict[Place, int], reclaimable: bool) -> int:
    return sum(
        count
        for place, count in counts.items()
        if place.reclaimable is reclaimable
    )


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Order missing servers and release surplus ones."""
    bounds = state.options.bounds
    scaling = state.scaling
    if (
        bounds is None
        or DUTY not in bounds.duties
        or now.mono < scaling.next_tick_at
    ):
        return []
    scaling.next_tick_at = now.mono + TICK_INTERVAL_MS
    for pool in state.index.pools:
        demand.update_demand(state, pool, now)
    lease = leases.held(state, leases.DUTIES_LEASE, now)
    if lease is None or lease.orders_from > now.mono:
        return []
    if lease.fence != scaling.fence:
        scaling.fence = lease.fence
        scaling.orders.clear()
        scaling.refused.clear()
        scaling.surplus_since.clear()
    out: list[effects.Effect] = []
    closed = state.servers.closed_zones
    for pool in state.index.pools:
        if pool.scaling is not None and state.demands.has_registered_servers(
            pool.name, now
        ):
            limits = _exclude_zones(pool.scaling, closed)
            out += _order_servers(state, pool, limits, lease, now)
    return out


def _exclude_zones(
    limits: model.Scaling, closed: frozenset[str]
) -> model.Scaling:
    """Return the limits without zones in which no servers may be used."""
    if not closed:
        return limits
    prices = tuple(item for item in limits.prices if item.zone not in closed)
    return dataclasses.replace(limits, prices=prices)


def handle_server_order_answered(
    state: states.State, event: events.ServerOrderAnswered, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the platform's answer to an order, or its absence."""
    scaling = state.scaling
    place = Place(event.pool, event.zone, event.reclaimable)
    mark = effects.Mark.SERVERS_ORDERED
    if not event.accepted:
        mark = effects.Mark.SERVERS_REFUSED
        scaling.orders.pop(place, None)
        wait = (
            UNANSWERED_BACKOFF_MS
            if event.accepted is None
            else REFUSED_BACKOFF_MS
        )
        scaling.refused[place] = now.mono + wait
    sort = 'reclaimable' if event.reclaimable else 'on demand'
    detail = f'{event.count} {sort}, accepted {event.accepted}'
    return [
        effects.RecordEntry(
            mark=mark, pool=event.pool, host=event.zone, detail=detail
        )
    ]


def plan_servers(
    wanted: demand.ServerNeed,
    scaling: model.Scaling,
    stock: PoolStock,
    pool: str,
    *,
    is_scarce: bool,
) -> dict[Place, int]:
    """Plan the number of servers of each kind in each zone.

    Both kinds share the limit of a zone. On-demand servers are therefore
    released as soon as the reclaimable ones carry most of the load, which
    makes room for more of them.

    :param wanted: servers that are needed to meet deadlines.
    :param stock: serving and ordered servers.
    :param pool: name of the pool.
    :param is_scarce: whether reclaimable servers were refused lately; the loss
        of another zone must then be tolerated without new ones.
    :return: target number of servers by place.
    """
    zones = sorted(scaling.prices, key=lambda item: item.price)
    share = math.ceil(
        wanted.usual_servers * demand.SPARE_RATIO / max(1, len(zones))
    )
    target: dict[Place, int] = {}
    largest = 0
    for item in zones:
        place = Place(pool, item.zone, True)
        target[place] = min(scaling.most, max(scaling.least, share))
        largest = max(largest, stock.serving.get(place, 0))
    reclaimable = stock.count(reclaimable=True)
    on_demand = stock.count(reclaimable=False)
    held = on_demand.serving + on_demand.pending
    covered = reclaimable.serving - (largest if is_scarce else 0)
    missing = max(0, wanted.least - covered - reclaimable.pending)
    # While the reclaimable servers do not meet the minimum, existing on-demand
    # servers are kept up to the usual number.
    retained = 0
    if covered < wanted.least:
        retained = max(wanted.usual_servers, wanted.least) - covered
    left = max(missing, min(held, retained))
    for item in zones:
        place = Place(pool, item.zone, False)
        target[place] = min(stock.count_place(place), left)
        left -= target[place]
    for item in zones:
        place = Place(pool, item.zone, False)
        room = scaling.most - target[place]
        room -= stock.count_place(Place(pool, item.zone, True))
        more = max(0, min(left, room))
        target[place] += more
        left -= more
    return target


def _order_servers(
    state: states.State,
    pool: model.Pool,
    limits: model.Scaling,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    scaling = state.scaling
    stock = _count_stock(state, pool, limits, now)
    refused = {
        place
        for place, until in scaling.refused.items()
        if until > now.mono and place.pool == pool.name
    }
    wanted = demand.estimate_need(state, pool, now)
    dry = any(
        now.mono - until < SCARCITY_MS
        for place, until in scaling.refused.items()
        if place.pool == pool.name
    )
    target = plan_servers(wanted, limits, stock, pool.name, is_scarce=dry)
    out: list[effects.Effect] = []
    for place, count in target.items():
        have = stock.serving.get(place, 0)
        if count >= have:
            scaling.surplus_since.pop(place, None)
        elif place.reclaimable and dry:
            # A server that is released now cannot be replaced.
            continue
        elif not _is_surplus_confirmed(scaling, place, now):
            continue
        elif not place.reclaimable:
            _expedite_order(scaling, place, limits, now)
        if place in refused or not _must_send(
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
        out.insert(0, _record_need(state, pool, wanted, stock, now, dry=dry))
    return out


def _record_need(
    state: states.State,
    pool: model.Pool,
    wanted: demand.ServerNeed,
    stock: PoolStock,
    now: clock.Instant,
    *,
    dry: bool,
) -> effects.Effect:
    """Return a record of the need and load that the orders result from."""
    reclaimable = stock.count(reclaimable=True)
    on_demand = stock.count(reclaimable=False)
    load = state.demands.get(pool.name, now)
    detail = (
        f'{wanted.usual_servers} usual, {wanted.least} least;'
        f' {load.uncached_per_s:.0f} of {load.prompts:.0f} tokens/s to read'
        f' at {state.prefill_speeds.get_tokens_per_ms(pool.name):.1f}/ms;'
        f' {reclaimable.serving}+{reclaimable.pending} reclaimable,'
        f' {on_demand.serving}+{on_demand.pending} on demand, dry {dry}'
    )
    return effects.RecordEntry(
        mark=effects.Mark.SERVERS_WANTED, pool=pool.name, detail=detail
    )


def _expedite_order(
    scaling: Scaling,
    released: Place,
    limits: model.Scaling,
    now: clock.Instant,
) -> None:
    """Make an unfilled reclaimable order due again soon.

    The zone limit had no room for it while the on-demand servers were there.

    :param released: place of the on-demand servers that are released.
    """
    order = scaling.orders.get(dataclasses.replace(released, reclaimable=True))
    if order is not None and not order.filled:
        order.sent = (
            now.mono - limits.boot_ms - START_TIMEOUT_MS + RELEASE_ROOM_MS
        )


def _must_send(
    order: _Order | None,
    count: int,
    have: int,
    limits: model.Scaling,
    now: clock.Instant,
) -> bool:
    """Return whether an order must be sent, and note a filled order."""
    if order is None:
        return count != have
    if order.count != count:
        return True
    if have >= count:
        order.filled = True
        return False
    if order.filled:
        return True
    return now.mono - order.sent > limits.boot_ms + START_TIMEOUT_MS


def _is_surplus_confirmed(
    scaling: Scaling, place: Place, now: clock.Instant
) -> bool:
    """Return whether a place has had surplus servers for long enough."""
    since = scaling.surplus_since.setdefault(place, now.mono)
    span = (
        RECLAIMABLE_RELEASE_MS if place.reclaimable else ON_DEMAND_RELEASE_MS
    )
    return now.mono - since >= span


def _count_stock(
    state: states.State,
    pool: model.Pool,
    limits: model.Scaling,
    now: clock.Instant,
) -> PoolStock:
    serving: dict[Place, int] = {}
    for server in state.servers.staying(pool.name):
        place = _place_of(server)
        serving[place] = serving.get(place, 0) + 1
    coming: dict[Place, int] = {}
    for place, order in state.scaling.orders.items():
        late = now.mono - order.sent > limits.boot_ms + START_TIMEOUT_MS
        if place.pool != pool.name or late or order.filled:
            continue
        coming[place] = max(0, order.count - serving.get(place, 0))
    return PoolStock(serving=serving, pending=coming)


def _place_of(server: servers.Server) -> Place:
    row = server.row
    return Place(row.pool, row.zone, row.reclaimable)
