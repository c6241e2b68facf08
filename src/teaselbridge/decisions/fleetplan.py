"""Capacity plans: the cheapest hosts that tolerate the loss of a zone.

Reclaimable hosts are cheap, but the cloud can take back all those of an
availability zone at once. A plan still meets the need when the reclaimable
hosts of any one zone are gone. On-demand hosts count in full, because the
cloud does not take them back.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import events


@dataclasses.dataclass(frozen=True, slots=True)
class HostKind:
    """Kind of host.

    :param zone: availability zone.
    :param host_class: machine class.
    :param reclaimable: whether the cloud may take it back.
    """

    zone: str
    host_class: str
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostNeed:
    """Capacity that a pool needs.

    :param hosts: hosts that the load needs.
    :param on_demand: minimum number of on-demand hosts.
    :param most: maximum number of all hosts.
    """

    hosts: int
    on_demand: int
    most: int


def get_kind(item: events.Price | events.HostRow) -> HostKind:
    """Return the kind of a host or of a price entry."""
    return HostKind(item.zone, item.host_class, item.reclaimable)


Plan: typing.TypeAlias = 'collections.Counter[HostKind]'
Planner: typing.TypeAlias = (
    'collections.abc.Callable['
    '[HostNeed, collections.abc.Sequence[events.Price]], Plan]'
)


def survivor(
    need: HostNeed, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Return the cheapest plan that tolerates the loss of any one zone.

    Without such a plan, spread the hosts evenly. Of equally cheap plans, the
    one over the most zones is returned.

    :param prices: kinds that are available now.
    :return: number of hosts by kind.
    """
    plans = list(_iterate_plans(need, prices))
    if not plans:
        return even_spread(need, prices)
    return min(
        plans, key=lambda plan: (cost(plan, prices), -_count_zones(plan))
    )


def all_on_demand(
    need: HostNeed, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Return a plan of on-demand hosts only."""
    hosts = min(need.hosts, need.most)
    return _spread_evenly(hosts, _select_on_demand(prices))


def cheapest(
    need: HostNeed, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Return a plan of the single cheapest kind, without redundancy."""
    if not prices:
        return collections.Counter()
    best = min(prices, key=lambda price: price.hourly)
    hosts = min(need.hosts, need.most)
    return collections.Counter({get_kind(best): hosts})


def even_spread(
    need: HostNeed, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Return a plan of evenly spread reclaimable hosts, without spares.

    It has the minimum number of on-demand hosts.
    """
    on_demand_count = min(need.on_demand, need.most)
    remaining = min(need.hosts, need.most) - on_demand_count
    plan = _spread_evenly(on_demand_count, _select_on_demand(prices))
    plan.update(_spread_evenly(max(0, remaining), _select_reclaimable(prices)))
    return plan


PLANNERS: dict[str, Planner] = {
    'survivor': survivor,
    'all-on-demand': all_on_demand,
    'cheapest': cheapest,
    'even-spread': even_spread,
}


def cost(plan: Plan, prices: collections.abc.Sequence[events.Price]) -> float:
    """Return the hourly price of a plan."""
    hourly = {get_kind(price): price.hourly for price in prices}
    return sum(hourly.get(kind, 0.0) * count for kind, count in plan.items())


def compute_mean_speed(
    factors: collections.abc.Collection[float],
) -> float:
    """Return how much of a usual host each host counts on average.

    A host of half the usual speed counts as half. Faster ones make up for it,
    but do not lower the need below that of usual hosts.

    :param factors: speed of each host as a multiple of the usual one.
    """
    if not factors:
        return 1.0
    return min(1.0, sum(factors) / len(factors))


def count_left_after_zone_loss(plan: Plan) -> int:
    """Return the hosts left after the worst loss of one zone."""
    by_zone: collections.Counter[str] = collections.Counter()
    for kind, count in plan.items():
        if kind.reclaimable:
            by_zone[kind.zone] += count
    return sum(plan.values()) - max(by_zone.values(), default=0)


def _iterate_plans(
    need: HostNeed, prices: collections.abc.Sequence[events.Price]
) -> collections.abc.Iterator[Plan]:
    """Generate plans for each number of on-demand hosts and zones."""
    on_demand_prices = _select_on_demand(prices)
    zones = _select_reclaimable(prices)
    max_on_demand = max(need.hosts, need.on_demand) if on_demand_prices else 0
    for on_demand_count in range(
        need.on_demand if on_demand_prices else 0, max_on_demand + 1
    ):
        remaining = max(0, need.hosts - on_demand_count)
        if not remaining:
            yield _limit_to_max(
                _spread_evenly(on_demand_count, on_demand_prices), need
            )
            continue
        for count in range(2, len(zones) + 1):
            hosts = _add_spares(remaining, count)
            if on_demand_count + hosts > need.most:
                continue
            plan = _spread_evenly(on_demand_count, on_demand_prices)
            plan.update(_spread_evenly(hosts, zones[:count]))
            yield plan


def _add_spares(remaining: int, zones: int) -> int:
    """Return the hosts over some zones that leave enough without one."""
    hosts = remaining
    while hosts - -(-hosts // zones) < remaining:
        hosts += 1
    return hosts


def _limit_to_max(plan: Plan, need: HostNeed) -> Plan:
    while sum(plan.values()) > need.most:
        kind = plan.most_common(1)[0][0]
        plan[kind] -= 1
    return plan


def _spread_evenly(
    hosts: int, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Spread hosts evenly over kinds, in the order of the prices."""
    plan: Plan = collections.Counter()
    if not prices:
        return plan
    for number in range(hosts):
        plan[get_kind(prices[number % len(prices)])] += 1
    return plan


def _select_on_demand(
    prices: collections.abc.Sequence[events.Price],
) -> list[events.Price]:
    """Return the cheapest on-demand kind of each zone, cheapest first."""
    return _select_cheapest_by_zone(
        [price for price in prices if not price.reclaimable]
    )


def _select_reclaimable(
    prices: collections.abc.Sequence[events.Price],
) -> list[events.Price]:
    """Return the cheapest reclaimable kind of each zone, cheapest first."""
    return _select_cheapest_by_zone(
        [price for price in prices if price.reclaimable]
    )


def _select_cheapest_by_zone(
    prices: list[events.Price],
) -> list[events.Price]:
    best_by_zone: dict[str, events.Price] = {}
    for price in prices:
        known = best_by_zone.get(price.zone)
        if known is None or price.hourly < known.hourly:
            best_by_zone[price.zone] = price
    return sorted(
        best_by_zone.values(), key=lambda price: (price.hourly, price.zone)
    )


def _count_zones(plan: Plan) -> int:
    return len({kind.zone for kind in plan})
