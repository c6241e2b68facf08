"""Hosts of the pools that this node controls: start, load, give back."""

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

PLAN_EVERY_MS = 1_000
PRICES_EVERY_MS = 10_000
HEADROOM = 1.3
DECAY = 0.02
REFUSED_MS = 15_000
STARTING_MS = 60_000
LOADS_AT_ONCE = 4
ORDER_EVERY_MS = 1_000
SURPLUS_MS = 20_000
DRAIN_MS = 6_000


@dataclasses.dataclass(slots=True)
class _Starting:
    pool: str
    version: str
    kind: fleetplan.Kind
    since: int
    host: str = ''


class Capacity:
    """What is known of prices, of demand and of hosts under way."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self.prices: tuple[events.Price, ...] = ()
        self.prices_due = 0
        self.plan_due: dict[str, int] = {}
        self.demand: dict[str, float] = {}
        self.refused: dict[fleetplan.Kind, int] = {}
        self.starting: dict[str, _Starting] = {}
        self.ordered: dict[str, int] = {}
        self.surplus_since: dict[str, int] = {}
        self.planner: fleetplan.Planner = fleetplan.survivor

    def token(self, fence: int) -> str:
        """Make a token for an order to the cloud."""
        return f'{fence}-{next(self._numbers)}'

    def available(
        self, pool: model.Pool, now: clock.Instant
    ) -> list[events.Price]:
        """List the kinds of hosts that can be had for a pool now."""
        return [
            price
            for price in self.allowed(pool)
            if self.refused.get(fleetplan.kind_of(price), 0) <= now.mono
        ]

    def allowed(self, pool: model.Pool) -> list[events.Price]:
        """List the kinds of hosts that a pool may use."""
        return [
            price
            for price in self.prices
            if price.zone in pool.zones and price.host_class in pool.classes
        ]


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Look after the pools that this node controls, as far as due."""
    out: list[effects.Effect] = []
    for pool in state.index.pools:
        lease = state.leases.held(pool.name, now)
        if lease is None:
            continue
        if now.mono < state.capacity.plan_due.get(pool.name, 0):
            continue
        state.capacity.plan_due[pool.name] = now.mono + PLAN_EVERY_MS
        out += _ask_prices(state, now)
        out += _look_after(state, pool, lease, now)
    return out


def read_prices(
    state: states.State, event: events.PricesRead
) -> list[effects.Effect]:
    """Take in the cloud's prices."""
    state.capacity.prices = event.prices
    return []


def started(
    state: states.State, event: events.HostStarted, now: clock.Instant
) -> list[effects.Effect]:
    """The cloud decided on an order of a host."""
    starting = state.capacity.starting.get(event.token)
    if starting is None:
        return []
    if event.host is not None:
        starting.host = event.host
        return []
    del state.capacity.starting[event.token]
    state.capacity.refused[starting.kind] = now.mono + REFUSED_MS
    return [
        effects.Record(
            mark=effects.Mark.HOST_REFUSED,
            pool=starting.pool,
            detail=_describe(starting.kind),
        )
    ]


def wanted(
    state: states.State, pool: model.Pool, now: clock.Instant
) -> collections.Counter[str]:
    """Say how many hosts of each version a pool needs for its load.

    The old version keeps its hosts while the new one is tested, so that
    taking the move back never lacks capacity.
    """
    hosts = _hosts_needed(state, pool)
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


def _look_after(
    state: states.State,
    pool: model.Pool,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    _measure(state, pool, now)
    _forget(state, now)
    out = _order_versions(state, pool, lease, now)
    if not state.capacity.prices:
        return out
    for version, hosts in wanted(state, pool, now).items():
        out += _reach(state, pool, version, hosts, lease, now)
    return out + _give_back(state, pool, lease, now)


def _measure(
    state: states.State, pool: model.Pool, now: clock.Instant
) -> None:
    """Follow the demand up at once, and down slowly."""
    known = state.servers.in_pool(pool.name)
    busy = float(sum(server.inflight + server.others for server in known))
    queued = sum(
        request.call.route.pool == pool.name
        for request in state.requests.values()
        if request.handle in state.queue
    )
    busy += queued * state.membership.nodes
    before = state.capacity.demand.get(pool.name, 0.0)
    smoothed = before + DECAY * (busy - before)
    state.capacity.demand[pool.name] = max(busy, smoothed)


def _hosts_needed(state: states.State, pool: model.Pool) -> int:
    known = state.servers.in_pool(pool.name)
    slots = servers.DEFAULT_SLOTS
    if known:
        slots = max(1, sum(server.slots for server in known) // len(known))
    demand = state.capacity.demand.get(pool.name, 0.0)
    hosts = math.ceil(HEADROOM * demand / slots)
    return max(pool.least, min(pool.most, hosts))


def _next_share(move: messages.Move) -> float:
    """Give the share that the next step will ask for."""
    if move.stage is messages.Stage.PREPARING:
        return moves.SHARES[0]
    index = moves.SHARES.index(move.share)
    return moves.SHARES[min(index + 1, len(moves.SHARES) - 1)]


def _reach(
    state: states.State,
    pool: model.Pool,
    version: str,
    hosts: int,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Start what a plan has more than there is."""
    plan = _plan_of(state, pool, hosts, state.capacity.available(pool, now))
    have = _present(state, pool.name, version)
    out: list[effects.Effect] = []
    for kind, count in sorted(plan.items(), key=lambda item: str(item[0])):
        for _ in range(count - have[kind]):
            if len(state.capacity.starting) >= LOADS_AT_ONCE:
                return out
            out += _start(state, pool, version, kind, lease, now)
    return out


def _start(
    state: states.State,
    pool: model.Pool,
    version: str,
    kind: fleetplan.Kind,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    token = state.capacity.token(lease.fence)
    state.capacity.starting[token] = _Starting(
        pool.name, version, kind, now.mono
    )
    return [
        effects.Record(
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


def _present(
    state: states.State, pool: str, version: str
) -> collections.Counter[fleetplan.Kind]:
    """Count the hosts of a version by kind, those under way included."""
    have = collections.Counter(
        fleetplan.kind_of(server.row)
        for server in state.servers.in_pool(pool)
        if not server.leaving and server.row.version == version
    )
    for starting in state.capacity.starting.values():
        if starting.pool == pool and starting.version == version:
            have[starting.kind] += 1
    return have


def _forget(state: states.State, now: clock.Instant) -> None:
    """Drop hosts under way that are listed now, or never came."""
    for token, starting in list(state.capacity.starting.items()):
        server = state.servers.get(starting.host)
        listed = server is not None
        if listed or now.mono - starting.since > STARTING_MS:
            del state.capacity.starting[token]


def _order_versions(
    state: states.State,
    pool: model.Pool,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Order engines to run the version that their host was started for.

    The order states the wanted end and is repeated until the load report
    confirms it.
    """
    if pool.kind is not model.Kind.ENGINE:
        return []
    if not pool.checks_fencing and now.mono < lease.orders_from:
        return []
    out: list[effects.Effect] = []
    for server in state.servers.in_pool(pool.name):
        if server.leaving or not server.reported:
            continue
        if server.version == server.row.version:
            continue
        if state.capacity.ordered.get(server.host, 0) > now.mono:
            continue
        state.capacity.ordered[server.host] = now.mono + ORDER_EVERY_MS
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


def _give_back(
    state: states.State,
    pool: model.Pool,
    lease: leases.Lease,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Drain hosts that are too many, and stop those that are drained."""
    out: list[effects.Effect] = []
    for server in state.servers.in_pool(pool.name):
        given_back = server.host in state.capacity.surplus_since
        if given_back and _is_drained(state, server):
            out.append(effects.StopHost(host=server.host, until=lease.until))
    surplus = _surplus(state, pool, now)
    if surplus is None:
        state.capacity.surplus_since.pop(pool.name, None)
        return out
    since = state.capacity.surplus_since.setdefault(pool.name, now.mono)
    if now.mono - since < SURPLUS_MS:
        return out
    state.capacity.surplus_since[surplus.host] = now.mono
    out.append(
        effects.Record(
            mark=effects.Mark.HOST_RELEASED,
            pool=pool.name,
            host=surplus.host,
            detail=f'{surplus.version} has too many hosts',
        )
    )
    return out + servers.leave(state, surplus.host, 'too many hosts', now)


def _is_drained(state: states.State, server: servers.Server) -> bool:
    """Tell whether nobody uses a leaving server any more.

    The mark needs a moment to reach all nodes, and the load report lags, so
    only a report from well after the mark counts.
    """
    left_at = state.servers.left_at(server.host)
    if left_at is None or server.reported < left_at + DRAIN_MS:
        return False
    return server.inflight + server.others == 0


def _surplus(
    state: states.State, pool: model.Pool, now: clock.Instant
) -> servers.Server | None:
    """Find one host that no plan needs.

    Only one at a time is drained, the dearest kind first, so that a wrong
    guess costs little.
    """
    wanted_hosts = wanted(state, pool, now)
    prices = state.capacity.allowed(pool)
    for server in state.servers.in_pool(pool.name):
        if server.leaving:
            continue
        hosts = wanted_hosts.get(server.row.version, 0)
        plan = _plan_of(state, pool, hosts, prices)
        have = _present(state, pool.name, server.row.version)
        kind = fleetplan.kind_of(server.row)
        if have[kind] > plan[kind] and have.total() > plan.total():
            return server
    return None


def _plan_of(
    state: states.State,
    pool: model.Pool,
    hosts: int,
    prices: list[events.Price],
) -> fleetplan.Plan:
    if not hosts:
        return collections.Counter()
    need = fleetplan.Need(
        hosts=hosts, on_demand=pool.on_demand, most=pool.most
    )
    return state.capacity.planner(need, prices)


def _ask_prices(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    if now.mono < state.capacity.prices_due:
        return []
    state.capacity.prices_due = now.mono + PRICES_EVERY_MS
    return [effects.ReadPrices()]


def _describe(kind: fleetplan.Kind) -> str:
    firmness = 'reclaimable' if kind.reclaimable else 'on demand'
    return f'{kind.zone}, {kind.host_class}, {firmness}'
