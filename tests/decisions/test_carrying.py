"""Tests of what nodes can carry, and carry."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import carrying
from teaselbridge.decisions import events
from teaselbridge.decisions import loads
from teaselbridge.decisions import reducer
from tests.decisions import samples
from tests.decisions import test_active


class TestArrivals(testtools.TestCase):
    """Rate of arriving requests."""

    def test_steady_rate(self) -> None:
        found = carrying.Arrivals()
        for mono in range(0, 20_000, 50):
            found.record(samples.instant(mono))
        rate = found.get_per_s(samples.instant(20_000))
        self.assertTrue(19 < rate < 21, rate)

    def test_rate_falls_without_requests(self) -> None:
        found = carrying.Arrivals()
        for mono in range(0, 20_000, 50):
            found.record(samples.instant(mono))
        self.assertLess(found.get_per_s(samples.instant(40_000)), 0.1)

    def test_refused_requests_count(self) -> None:
        """Guards against a load that is hidden by refusals."""
        state = samples.state(bounds.Bounds())
        event = events.CallArrived(samples.relayed(1, deadline=0))
        reducer.reduce(state, event, samples.instant(10))
        self.assertGreater(state.arrivals.get_per_s(samples.instant(10)), 0)

    def test_nodes_report_it(self) -> None:
        state = test_active.build_state(9)
        state.arrivals.record(samples.instant(0))
        found = [
            effect.message.arrivals_per_s  # type: ignore[union-attr]
            for effect in loads.tick(state, samples.instant(0))
        ]
        self.assertEqual({0.3}, set(found))


class TestWeight(testtools.TestCase):
    """Weights among nodes that callers can use."""

    def test_weight_follows_cores_until_half_of_the_load(self) -> None:
        small = test_active.member(1, cores=0.53)
        large = test_active.member(2, cores=2.03)
        self.assertEqual(50, round(carrying.compute_capacity(small)))
        for load in (None, 0.0, 24.0):
            ratio = carrying.compute_weight(
                large, load
            ) / carrying.compute_weight(small, load)
            self.assertAlmostEqual(4.0, ratio)

    def test_weight_falls_under_load_and_stays_positive(self) -> None:
        node = test_active.member(1, cores=0.53)
        weights = [
            carrying.compute_weight(node, load) for load in (10, 40, 50, 500)
        ]
        self.assertEqual(sorted(weights, reverse=True), weights)
        self.assertGreater(weights[-1], 0)

    def test_process_uses_one_core(self) -> None:
        """Guards against more callers than one process can serve."""
        node = test_active.member(1, cores=16.0)
        self.assertEqual(97, round(carrying.compute_capacity(node)))
