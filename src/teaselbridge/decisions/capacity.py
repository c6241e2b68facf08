"""Autoscaling of the pools whose lease this node holds.

The node starts hosts, orders engines to load a version, and drains and
stops surplus hosts.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import fleetplan
from teaselbridge.decisions import leases
from teaselbridge.decisions import moves
from teaselbridge.decisions import servers
from teaselbridge.peers import messages
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

PLAN_INTERVAL_MS = 1_000
PRICES_INTERVAL_MS = 10_000
HEADROOM_RATIO = 1.3
DEMAND_DECAY_RATIO = 0.02
REFUSED_BACKOFF_MS = 15_000
HOST_START_TIMEOUT_MS = 60_000
MAX_PENDING_HOSTS = 4
ORDER_INTERVAL_MS = 1_000
MIN_SURPLUS_MS = 20_000
MIN_DRAIN_MS = 6_000


@dataclasses.dataclass(slots=True)
class _PendingHost:
    """A host that was ordered from the cloud and is not listed yet.

    :param since: monotonic milliseconds of the order.
    :param host: name of the host, empty until the cloud answers.
    """

    pool: str
    version: str
    kind: fleetplan.HostKind
    since: int
    host: str = ''


class Capacity:
    """State of autoscaling; times are monotonic milliseconds.

    Attributes:

    * ``plan_due``: when each pool is planned next, by pool.
    * ``demand``: smoothed number of concurrent requests, by pool.
    * ``refused``: until when a kind of host is not ordered again after the
      cloud refused it.
    * ``pending_hosts``: hosts that are not listed yet, by token of their
      order.
    * ``version_order_due``: when an engine may be ordered again to load its
      version, by host.
    * ``surplus_since``: since when a pool has surplus hosts, by pool, and
      when a surplus host was released, by host.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self.prices: tuple[events.Price, ...] = ()
        self.prices_due = 0
        self.plan_due: dict[str, int] = {}
        self.demand: dict[str, float] = {}
        self.refused: dict[fleetplan.HostKind, int] = {}
        self.pending_hosts: dict[str, _PendingHost] = {}
        self.version_order_due: dict[str, int] = {}
        self.surplus_since: dict[str, int] = {}
        self.planner: fleetplan.Planner = fleetplan.survivor

    def token(self, fence: int) -> str:
        """Return a unique token for an order, which starts with the fence."""
        return f'{fence}-{next(self._numbers)}'

    def list_available(
        self, pool: model.Pool, now: clock.Instant
    ) -> list[events.Price]:
        """Return the allowed kinds that the cloud did not refuse recently."""
        return [
            price
            for price in self.list_allowed(pool)
            if self.refused.get(fleetplan.get_kind(price), 0) <= now.mono
        ]

    def list_allowed(self, pool: model.Pool) -> list[events.Price]:
        """Return the kinds of hosts that a pool may use."""
        return [
            price
            for price in self.prices
            if price.zone in pool.zones and price.host_class in pool.classes
        ]


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Scale the pools whose lease this node holds, each when it is due."""
    out: list[effects.Effect] = []
    for pool in state.index.pools:
        lease = state.leases.held(pool.name, now)
        if lease is None:
            continue
        if now.mono < state.capacity.plan_due.get(pool.name, 0):
            continue
        state.capacity.plan_due[pool.name] = now.mono + PLAN_INTERVAL_MS
        out += _request_prices(state, now)
        out += _scale_pool(state, pool, lease, now)
    return out


def handle_prices_read(
    state: states.State, event: events.PricesRead
) -> list[effects.Effect]:
    """Handle the cloud's current prices."""
    state.capacity.prices = event.prices
    return []


def handle_host_started(
    state: states.State, event: events.HostStarted, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the cloud's answer to an order of a host."""
    pending = state.capacity.pending_hosts.get(event.token)
    if pending is None:
        return []
    if event.host is not None:
        pending.host = event.host
        return []
    del state.capacity.pending_hosts[event.token]
    state.capacity.refused[pending.kind] = now.mono + REFUSED_BACKOFF_MS
    return [
        effects.RecordEntry(
            mark=effects.Mark.HOST_REFUSED,
            pool=pending.pool,
            detail=_describe(pending.kind),
        )
    ]


def wanted(
    state: states.State, pool: model.Pool, now: clock.Instant
) -> collections.Counter[str]:
    """Return how many hosts of each version a pool needs for its load.

    The old version keeps its hosts while the new one is tested, so that
    a rollback always has enough capacity.
    """
    hosts = _count_needed_hosts(state, pool)
    move = state.moves.get(pool.name)
    if move is None or move.old == move.new:
        version = moves.target(pool) or pool.versions[0].name
        if move is not None:
            version = move.new
        return collections.Counter({version: hosts})
    undone = move.stage is messages.Stage.UNDONE
    if undone or state.moves.verdict(move) is not None:
        return collections.Counter({move.old: hosts})
    if move.stage is messages.Stage.DONE:
        plan = collections.Counter({move.new: hosts})
        if moves.is_tested(move, now):
            plan[move.old] = hosts
        return plan
    new = max(1, math.ceil(hosts * _next_share(move)))
    return collections.Counter({move.old: hosts, move.new: new})


def _scale_pool(
    state: states.State,
    pool: model.Pool,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    _update_demand(state, pool, now)
    _remove_settled_orders(state, now)
    out = _order_versions(state, pool, lease, now)
    if not state.capacity.prices:
        return out
    for version, hosts in wanted(state, pool, now).items():
        out += _start_missing_hosts(state, pool, version, hosts, lease, now)
    return out + _release_surplus(state, pool, lease, now)


def _update_demand(
    state: states.State, pool: model.Pool, now: clock.Instant
) -> None:
    """Update a pool's demand: upwards at once, downwards smoothed.

    Queued requests are known of this node only; the other nodes are assumed
    to have as many each.
    """
    known = state.servers.in_pool(pool.name)
    busy = float(
        sum(server.inflight + server.other_requests for server in known)
    )
    queued = sum(
        request.call.route.pool == pool.name
        for request in state.requests.values()
        if request.handle in state.queue
    )
    busy += queued * state.membership.nodes
    previous = state.capacity.demand.get(pool.name, 0.0)
    smoothed = previous + DEMAND_DECAY_RATIO * (busy - previous)
    state.capacity.demand[pool.name] = max(busy, smoothed)


def _count_needed_hosts(state: states.State, pool: model.Pool) -> int:
    known = state.servers.in_pool(pool.name)
    slots = servers.DEFAULT_SLOTS
    if known:
        slots = max(1, sum(server.slots for server in known) // len(known))
    demand = state.capacity.demand.get(pool.name, 0.0)
    hosts = math.ceil(HEADROOM_RATIO * demand / slots)
    return max(pool.least, min(pool.most, hosts))


def _next_share(move: messages.Move) -> float:
    """Return the share of traffic in the move's next step."""
    if move.stage is messages.Stage.PREPARING:
        return moves.TRAFFIC_SHARES[0]
    index = moves.TRAFFIC_SHARES.index(move.share)
    return moves.TRAFFIC_SHARES[min(index + 1, len(moves.TRAFFIC_SHARES) - 1)]


def _start_missing_hosts(
    state: states.State,
    pool: model.Pool,
    version: str,
    hosts: int,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Start the hosts that the plan has beyond the present ones."""
    plan = _plan_hosts(
        state, pool, hosts, state.capacity.list_available(pool, now)
    )
    have = _count_present_hosts(state, pool.name, version)
    out: list[effects.Effect] = []
    for kind, count in sorted(plan.items(), key=lambda item: str(item[0])):
        for _ in range(count - have[kind]):
            if len(state.capacity.pending_hosts) >= MAX_PENDING_HOSTS:
                return out
            out += _start_host(state, pool, version, kind, lease, now)
    return out


def _start_host(
    state: states.State,
    pool: model.Pool,
    version: str,
    kind: fleetplan.HostKind,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    token = state.capacity.token(lease.fence)
    state.capacity.pending_hosts[token] = _PendingHost(
        pool.name, version, kind, now.mono
    )
    return [
        effects.RecordEntry(
            mark=effects.Mark.HOST_ORDERED,
            pool=pool.name,
            detail=f'{version}, {_describe(kind)}',
        ),
        effects.StartHost(
            token=token,
            pool=pool.name,
            version=version,
            zone=kind.zone,
            host_class=kind.host_class,
            reclaimable=kind.reclaimable,
            until=lease.until,
        ),
    ]


def _count_present_hosts(
    state: states.State, pool: str, version: str
) -> collections.Counter[fleetplan.HostKind]:
    """Count the hosts of a version by kind, including pending ones."""
    have = collections.Counter(
        fleetplan.get_kind(server.row)
        for server in state.servers.in_pool(pool)
        if not server.leaving and server.row.version == version
    )
    for pending in state.capacity.pending_hosts.values():
        if pending.pool == pool and pending.version == version:
            have[pending.kind] += 1
    return have


def _remove_settled_orders(state: states.State, now: clock.Instant) -> None:
    """Remove pending hosts that are listed now or timed out."""
    for token, pending in list(state.capacity.pending_hosts.items()):
        server = state.servers.get(pending.host)
        listed = server is not None
        if listed or now.mono - pending.since > HOST_START_TIMEOUT_MS:
            del state.capacity.pending_hosts[token]


def _order_versions(
    state: states.State,
    pool: model.Pool,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Order engines to load the version that their host was started for.

    The order is declarative, so it is repeated until a load report confirms
    the version.
    """
    if pool.kind is not model.Kind.ENGINE:
        return []
    if not pool.checks_fencing and now.mono < lease.orders_from:
        return []
    out: list[effects.Effect] = []
    for server in state.servers.in_pool(pool.name):
        if server.leaving or not server.reported_at:
            continue
        if server.version == server.row.version:
            continue
        if state.capacity.version_order_due.get(server.host, 0) > now.mono:
            continue
        state.capacity.version_order_due[server.host] = (
            now.mono + ORDER_INTERVAL_MS
        )
        out.append(
            effects.OrderServer(
                host=server.host,
                address=server.row.address,
                version=server.row.version,
                fence=lease.fence,
                until=lease.until,
            )
        )
    return out


def _release_surplus(
    state: states.State,
    pool: model.Pool,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Drain a surplus host, and stop the hosts that have drained."""
    out: list[effects.Effect] = []
    for server in state.servers.in_pool(pool.name):
        is_released = server.host in state.capacity.surplus_since
        if is_released and _is_drained(state, server):
            out.append(effects.StopHost(host=server.host, until=lease.until))
    surplus = _find_surplus(state, pool, now)
    if surplus is None:
        state.capacity.surplus_since.pop(pool.name, None)
        return out
    since = state.capacity.surplus_since.setdefault(pool.name, now.mono)
    if now.mono - since < MIN_SURPLUS_MS:
        return out
    state.capacity.surplus_since[surplus.host] = now.mono
    out.append(
        effects.RecordEntry(
            mark=effects.Mark.HOST_RELEASED,
            pool=pool.name,
            host=surplus.host,
            detail=f'{surplus.version} has too many hosts',
        )
    )
    return out + servers.mark_leaving(
        state, surplus.host, 'too many hosts', now
    )


def _is_drained(state: states.State, server: servers.Server) -> bool:
    """Return whether a leaving server has no requests of any node left.

    The leaving mark takes time to reach all nodes and load reports lag, so
    only a report that came `MIN_DRAIN_MS` or more after the mark is used.
    """
    left_at = state.servers.leaving_since(server.host)
    if left_at is None or server.reported_at < left_at + MIN_DRAIN_MS:
        return False
    return server.inflight + server.other_requests == 0


def _find_surplus(
    state: states.State, pool: model.Pool, now: clock.Instant
) -> servers.Server | None:
    """Return a server that the plan does not need, or none.

    Only one server is drained at a time, so that a wrong estimate costs
    little.
    """
    wanted_hosts = wanted(state, pool, now)
    prices = state.capacity.list_allowed(pool)
    for server in state.servers.in_pool(pool.name):
        if server.leaving:
            continue
        hosts = wanted_hosts.get(server.row.version, 0)
        plan = _plan_hosts(state, pool, hosts, prices)
        have = _count_present_hosts(state, pool.name, server.row.version)
        kind = fleetplan.get_kind(server.row)
        if have[kind] > plan[kind] and have.total() > plan.total():
            return server
    return None


def _plan_hosts(
    state: states.State,
    pool: model.Pool,
    hosts: int,
    prices: list[events.Price],
) -> fleetplan.Plan:
    if not hosts:
        return collections.Counter()
    need = fleetplan.HostNeed(
        hosts=hosts, on_demand=pool.on_demand, most=pool.most
    )
    return state.capacity.planner(need, prices)


def _request_prices(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    if now.mono < state.capacity.prices_due:
        return []
    state.capacity.prices_due = now.mono + PRICES_INTERVAL_MS
    return [effects.ReadPrices()]


def _describe(kind: fleetplan.HostKind) -> str:
    market = 'reclaimable' if kind.reclaimable else 'on demand'
    return f'{kind.zone}, {kind.host_class}, {market}'
