"""Which hosts serve a need at least cost, and survive a lost zone.

Reclaimable hosts are cheap, but a whole availability zone of them can go at
once. A plan keeps the need met when any one zone's reclaimable hosts are
gone. On-demand hosts count in full, as the cloud does not take them back.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import events


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of host.

    :param zone: availability zone.
    :param host_class: machine class.
    :param reclaimable: whether the cloud may take it back.
    """

    zone: str
    host_class: str
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Need:
    """What a pool needs.

    :param hosts: hosts that the load needs.
    :param on_demand: least on-demand hosts.
    :param most: most hosts in all.
    """

    hosts: int
    on_demand: int
    most: int


def kind_of(item: events.Price | events.HostRow) -> Kind:
    """Give the kind of a host, or of hosts at a price."""
    return Kind(item.zone, item.host_class, item.reclaimable)


Plan: typing.TypeAlias = 'collections.Counter[Kind]'
Planner: typing.TypeAlias = (
    'collections.abc.Callable[[Need, collections.abc.Sequence[events.Price]],'
    ' Plan]'
)


def survivor(
    need: Need, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Plan at least cost so that any one zone may be lost.

    :param prices: kinds that can be had now.
    :return: hosts by kind.
    """
    plans = list(_plans(need, prices))
    if not plans:
        return even_spread(need, prices)
    return min(plans, key=lambda plan: (cost(plan, prices), -_spread(plan)))


def all_on_demand(
    need: Need, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Plan with hosts that are never taken back only."""
    hosts = min(need.hosts, need.most)
    return _evenly(hosts, _firm(prices))


def cheapest(
    need: Need, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Plan with the single cheapest kind, whatever may be lost."""
    if not prices:
        return collections.Counter()
    best = min(prices, key=lambda price: price.hourly)
    hosts = min(need.hosts, need.most)
    return collections.Counter({kind_of(best): hosts})


def even_spread(
    need: Need, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Plan with reclaimable hosts spread evenly, without spares."""
    firm = min(need.on_demand, need.most)
    rest = min(need.hosts, need.most) - firm
    plan = _evenly(firm, _firm(prices))
    plan.update(_evenly(max(0, rest), _by_zone(prices)))
    return plan


PLANNERS: dict[str, Planner] = {
    'survivor': survivor,
    'all-on-demand': all_on_demand,
    'cheapest': cheapest,
    'even-spread': even_spread,
}


def cost(plan: Plan, prices: collections.abc.Sequence[events.Price]) -> float:
    """Price of a plan for an hour."""
    hourly = {kind_of(price): price.hourly for price in prices}
    return sum(hourly.get(kind, 0.0) * count for kind, count in plan.items())


def left_after_loss(plan: Plan) -> int:
    """Hosts that are left when the worst zone loses its reclaimable ones."""
    by_zone: collections.Counter[str] = collections.Counter()
    for kind, count in plan.items():
        if kind.reclaimable:
            by_zone[kind.zone] += count
    return sum(plan.values()) - max(by_zone.values(), default=0)


def _plans(
    need: Need, prices: collections.abc.Sequence[events.Price]
) -> collections.abc.Iterator[Plan]:
    """Try each number of on-demand hosts with each number of zones."""
    firm_prices = _firm(prices)
    zones = _by_zone(prices)
    most_firm = max(need.hosts, need.on_demand) if firm_prices else 0
    for firm in range(need.on_demand if firm_prices else 0, most_firm + 1):
        rest = max(0, need.hosts - firm)
        if not rest:
            yield _within(_evenly(firm, firm_prices), need)
            continue
        for count in range(2, len(zones) + 1):
            hosts = _with_spares(rest, count)
            if firm + hosts > need.most:
                continue
            plan = _evenly(firm, firm_prices)
            plan.update(_evenly(hosts, zones[:count]))
            yield plan


def _with_spares(rest: int, zones: int) -> int:
    """Hosts over some zones that leave enough when one zone is lost."""
    hosts = rest
    while hosts - -(-hosts // zones) < rest:
        hosts += 1
    return hosts


def _within(plan: Plan, need: Need) -> Plan:
    while sum(plan.values()) > need.most:
        kind = plan.most_common(1)[0][0]
        plan[kind] -= 1
    return plan


def _evenly(
    hosts: int, prices: collections.abc.Sequence[events.Price]
) -> Plan:
    """Spread hosts over kinds, the cheaper ones first."""
    plan: Plan = collections.Counter()
    if not prices:
        return plan
    for number in range(hosts):
        plan[kind_of(prices[number % len(prices)])] += 1
    return plan


def _firm(
    prices: collections.abc.Sequence[events.Price],
) -> list[events.Price]:
    """Cheapest on-demand kind of each zone, the cheapest first."""
    return _cheapest_by_zone(
        [price for price in prices if not price.reclaimable]
    )


def _by_zone(
    prices: collections.abc.Sequence[events.Price],
) -> list[events.Price]:
    """Cheapest reclaimable kind of each zone, the cheapest first."""
    return _cheapest_by_zone([price for price in prices if price.reclaimable])


def _cheapest_by_zone(
    prices: list[events.Price],
) -> list[events.Price]:
    best: dict[str, events.Price] = {}
    for price in prices:
        known = best.get(price.zone)
        if known is None or price.hourly < known.hourly:
            best[price.zone] = price
    return sorted(best.values(), key=lambda price: (price.hourly, price.zone))


def _spread(plan: Plan) -> int:
    return len({kind.zone for kind in plan})
