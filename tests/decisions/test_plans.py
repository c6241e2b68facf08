"""Tests of capacity plans."""

from __future__ import annotations

import collections

import hypothesis
import hypothesis.strategies as st
import testtools

from teaselbridge.decisions import events
from teaselbridge.decisions import fleetplan
from teaselbridge.standins import cloud

ZONES = ('a', 'b', 'c', 'd')
PRICES = cloud.make_default_prices(ZONES)


def need(
    hosts: int, on_demand: int = 0, most: int = 100
) -> fleetplan.HostNeed:
    """Return a need.

    :param most: maximum number of all hosts.
    """
    return fleetplan.HostNeed(hosts=hosts, on_demand=on_demand, most=most)


class TestSurvivor(testtools.TestCase):
    """Plans that tolerate the loss of a zone."""

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        hosts=st.integers(1, 40),
        floor=st.integers(0, 6),
        zones=st.integers(2, 4),
    )
    def test_any_zone_may_be_lost(
        self, hosts: int, floor: int, zones: int
    ) -> None:
        prices = cloud.make_default_prices(ZONES[:zones])
        plan = fleetplan.survivor(need(hosts, floor), prices)
        self.assertGreaterEqual(
            fleetplan.count_left_after_zone_loss(plan), hosts
        )
        on_demand = sum(
            count for kind, count in plan.items() if not kind.reclaimable
        )
        self.assertGreaterEqual(on_demand, floor)

    def test_cheaper_than_on_demand(self) -> None:
        plan = fleetplan.survivor(need(12), PRICES)
        on_demand = fleetplan.all_on_demand(need(12), PRICES)
        self.assertLess(
            fleetplan.cost(plan, PRICES), fleetplan.cost(on_demand, PRICES)
        )

    def test_plan_stays_within_maximum(self) -> None:
        plan = fleetplan.survivor(need(10, 0, 10), PRICES)
        self.assertLessEqual(plan.total(), 10)

    def test_no_kind_is_available(self) -> None:
        plan = fleetplan.survivor(need(3), ())
        self.assertEqual(collections.Counter(), plan)

    def test_refused_reclaimable_hosts(self) -> None:
        on_demand = [price for price in PRICES if not price.reclaimable]
        plan = fleetplan.survivor(need(3), on_demand)
        self.assertEqual(3, plan.total())

    def test_expensive_zone_is_left_out(self) -> None:
        expensive = events.Price(
            zone='e', host_class='standard', reclaimable=True, hourly=9.0
        )
        plan = fleetplan.survivor(need(6), (*PRICES, expensive))
        self.assertNotIn('e', {kind.zone for kind in plan})
