"""Tests of the advice on tables."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import fleetplan
from teaselbridge.standins import cloud
from teaselbridge.tables import advice
from teaselbridge.tables import model

ZONES = ('a', 'b', 'c', 'd')


def tables(**more: object) -> model.Tables:
    """Make tables with one pool."""
    row = {
        'name': 'p',
        'kind': model.Kind.ENGINE,
        'versions': (model.Version(name='v'),),
        'zones': ZONES,
        **more,
    }
    return model.Tables(pools=(model.Pool(**row),))


class TestAdvise(testtools.TestCase):
    """Pools that must use on-demand hosts are told of."""

    def test_room_for_spares(self) -> None:
        self.assertEqual((), advice.advise(tables(least=9, most=12)))

    def test_no_room_for_spares(self) -> None:
        (found,) = advice.advise(tables(least=9, most=11))
        self.assertEqual('most', found.field)
        self.assertIn('12 hosts', found.reason)

    def test_one_zone(self) -> None:
        (found,) = advice.advise(tables(zones=('a',), least=2))
        self.assertEqual('zones', found.field)

    def test_floor_on_demand_is_enough(self) -> None:
        asked = tables(zones=('a',), least=2, on_demand=2)
        self.assertEqual((), advice.advise(asked))

    def test_says_what_the_plan_does(self) -> None:
        """Below the number told the plan pays for on-demand hosts."""
        prices = cloud.usual_prices(ZONES)
        needed = advice.reclaimable_needed(9, len(ZONES))
        for most, firm in ((needed, False), (needed - 1, True)):
            need = fleetplan.Need(hosts=9, on_demand=0, most=most)
            plan = fleetplan.survivor(need, prices)
            uses_firm = any(not kind.reclaimable for kind in plan)
            self.assertEqual(firm, uses_firm, most)
