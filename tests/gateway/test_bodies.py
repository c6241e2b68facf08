"""Tests of the memory for bodies of requests."""

from __future__ import annotations

import testtools

from teaselbridge.gateway import bodies


class TestReservation(testtools.TestCase):
    """Large bodies share the memory of a node."""

    def test_small_bodies_need_no_memory(self) -> None:
        budget = bodies.BodyBudget(capacity_bytes=1)
        other = bodies.Reservation(budget)
        self.assertTrue(other.grow(bodies.FREE_BYTES + 1))
        reservation = bodies.Reservation(budget)
        self.assertTrue(reservation.grow(bodies.FREE_BYTES))
        self.assertFalse(reservation.grow(bodies.FREE_BYTES + 1))

    def test_memory_is_shared(self) -> None:
        budget = bodies.BodyBudget(capacity_bytes=1_000)
        first = bodies.Reservation(budget)
        second = bodies.Reservation(budget)
        self.assertTrue(first.grow(bodies.FREE_BYTES + 400))
        self.assertTrue(first.grow(bodies.FREE_BYTES + 700))
        self.assertFalse(second.grow(bodies.FREE_BYTES + 301))
        self.assertTrue(second.grow(bodies.FREE_BYTES + 300))
        first.release()
        self.assertTrue(second.grow(bodies.FREE_BYTES + 1_000))
        second.release()
        self.assertTrue(first.grow(bodies.FREE_BYTES + 1_000))

    # Guards against proper bodies that are refused whenever they come.
    def test_body_alone_may_be_larger(self) -> None:
        budget = bodies.BodyBudget(capacity_bytes=1_000)
        large = bodies.Reservation(budget)
        for size in (900, 1_100, 2_000):
            self.assertTrue(large.grow(bodies.FREE_BYTES + size))
        other = bodies.Reservation(budget)
        self.assertFalse(other.grow(bodies.FREE_BYTES + 1))
        large.release()
        self.assertTrue(other.grow(bodies.FREE_BYTES + 1))
