"""Tests of how many servers are ordered.

Load pattern: zones of reclaimable servers are taken back one after the
other, and no new ones are available for a while.
"""

from __future__ import annotations

import testtools

from teaselbridge.decisions import demand
from teaselbridge.decisions import scaling
from teaselbridge.tables import model

ZONES = ('a', 'b', 'c', 'd')
LIMITS = model.Scaling(
    least=1,
    most=3,
    boot_ms=4_000,
    reclaimable_price=0.15,
    prices=tuple(
        model.ZonePrice(zone=zone, price=price)
        for zone, price in zip(ZONES, (1.0, 0.8, 1.25, 0.9), strict=True)
    ),
)
WANTED = demand.ServerNeed(usual_servers=6, least=6)


def place(zone: str, *, reclaimable: bool) -> scaling.Place:
    """Return a place of the pool."""
    return scaling.Place('p', zone, reclaimable)


def stock(
    reclaimable: dict[str, int], on_demand: dict[str, int] | None = None
) -> scaling.PoolStock:
    """Return a stock of serving servers, given by zone."""
    serving = {
        place(zone, reclaimable=True): count
        for zone, count in reclaimable.items()
    }
    for zone, count in (on_demand or {}).items():
        serving[place(zone, reclaimable=False)] = count
    return scaling.PoolStock(serving=serving, pending={})


def on_demand(target: dict[scaling.Place, int]) -> int:
    """Return the number of on-demand servers of a plan."""
    return sum(count for item, count in target.items() if not item.reclaimable)


class TestPlan(testtools.TestCase):
    """Reclaimable servers in all zones; on-demand ones fill gaps only."""

    def test_reclaimable_servers_are_spread_over_all_zones(self) -> None:
        target = scaling.plan_servers(
            WANTED, LIMITS, stock({}), 'p', is_scarce=False
        )
        for zone in ZONES:
            self.assertEqual(3, target[place(zone, reclaimable=True)])

    def test_initial_servers_are_kept_at_the_start(self) -> None:
        present = stock({}, dict.fromkeys(ZONES, 1))
        target = scaling.plan_servers(
            WANTED, LIMITS, present, 'p', is_scarce=False
        )
        self.assertEqual(6, on_demand(target))

    def test_on_demand_servers_leave_once_reclaimable_ones_serve(self) -> None:
        present = stock(dict.fromkeys(ZONES, 2), dict.fromkeys(ZONES, 1))
        target = scaling.plan_servers(
            WANTED, LIMITS, present, 'p', is_scarce=False
        )
        self.assertEqual(0, on_demand(target))

    def test_loss_of_another_zone_is_covered_after_refusals(self) -> None:
        present = stock({'a': 2, 'b': 2})
        available = scaling.plan_servers(
            WANTED, LIMITS, present, 'p', is_scarce=False
        )
        dry = scaling.plan_servers(
            WANTED, LIMITS, present, 'p', is_scarce=True
        )
        self.assertEqual(2, on_demand(available))
        self.assertEqual(4, on_demand(dry))

    def test_on_demand_servers_fill_up_to_the_minimum(self) -> None:
        need = demand.ServerNeed(usual_servers=9, least=5)
        target = scaling.plan_servers(
            need, LIMITS, stock({'a': 1}), 'p', is_scarce=False
        )
        self.assertEqual(4, on_demand(target))
        self.assertEqual(3, target[place('a', reclaimable=True)])

    def test_target_is_stable_while_servers_start(self) -> None:
        need = demand.ServerNeed(usual_servers=5, least=9)
        present = stock({'a': 1, 'b': 1})
        first = scaling.plan_servers(
            need, LIMITS, present, 'p', is_scarce=True
        )
        coming = scaling.PoolStock(
            serving=present.serving,
            pending={
                item: count
                for item, count in first.items()
                if not item.reclaimable
            },
        )
        again = scaling.plan_servers(need, LIMITS, coming, 'p', is_scarce=True)
        self.assertEqual(8, on_demand(first))
        self.assertEqual(first, again)

    def test_both_kinds_share_the_limit_of_a_zone(self) -> None:
        present = stock({'a': 3, 'b': 1})
        target = scaling.plan_servers(
            demand.ServerNeed(usual_servers=12, least=12),
            LIMITS,
            present,
            'p',
            is_scarce=True,
        )
        self.assertEqual(0, target[place('a', reclaimable=False)])
        self.assertEqual(2, target[place('b', reclaimable=False)])

    def test_cheapest_zone_is_used_first(self) -> None:
        present = stock({'a': 1, 'b': 1, 'c': 1, 'd': 1})
        target = scaling.plan_servers(
            WANTED, LIMITS, present, 'p', is_scarce=False
        )
        self.assertEqual(2, target[place('b', reclaimable=False)])
        self.assertEqual(0, target[place('c', reclaimable=False)])
