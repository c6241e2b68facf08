"""Tests of the warnings about valid tables."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import fleetplan
from teaselbridge.standins import cloud
from teaselbridge.tables import advice
from teaselbridge.tables import model

ZONES = ('a', 'b', 'c', 'd')


def tables(**more: object) -> model.Tables:
    """Build tables with one pool.

    :param more: fields of the pool that differ from the defaults.
    """
    row = {
        'name': 'p',
        'kind': model.Kind.ENGINE,
        'versions': (model.Version(name='v'),),
        'zones': ZONES,
        **more,
    }
    return model.Tables(pools=(model.Pool(**row),))


class TestAdvise(testtools.TestCase):
    """Pools that need more on-demand hosts than set are reported."""

    def test_room_for_spares(self) -> None:
        self.assertEqual((), advice.list_advice(tables(least=9, most=12)))

    def test_no_room_for_spares(self) -> None:
        (found,) = advice.list_advice(tables(least=9, most=11))
        self.assertEqual('most', found.field)
        self.assertIn('12 hosts', found.reason)

    def test_one_zone(self) -> None:
        (found,) = advice.list_advice(tables(zones=('a',), least=2))
        self.assertEqual('zones', found.field)

    def test_enough_on_demand_hosts(self) -> None:
        valid = tables(zones=('a',), least=2, on_demand=2)
        self.assertEqual((), advice.list_advice(valid))

    def test_advice_agrees_with_plan(self) -> None:
        """Below the advised number, the plan uses on-demand hosts."""
        prices = cloud.make_default_prices(ZONES)
        needed = advice.compute_reclaimable_hosts(9, len(ZONES))
        for most, expected in ((needed, False), (needed - 1, True)):
            need = fleetplan.HostNeed(hosts=9, on_demand=0, most=most)
            plan = fleetplan.survivor(need, prices)
            uses_on_demand = any(not kind.reclaimable for kind in plan)
            self.assertEqual(expected, uses_on_demand, most)
