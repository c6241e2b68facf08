"""Tests of the memory for bodies of requests."""

from __future__ import annotations

import testtools

from teaselbridge.gateway import bodies


class TestClaim(testtools.TestCase):
    """Large bodies share the room of a node."""

    def test_small_bodies_need_no_room(self) -> None:
        claim = bodies.Claim(bodies.Room(most=0))
        self.assertTrue(claim.grow(bodies.FREE_BYTES))
        self.assertFalse(claim.grow(bodies.FREE_BYTES + 1))

    def test_room_is_shared(self) -> None:
        room = bodies.Room(most=1_000)
        first, second = bodies.Claim(room), bodies.Claim(room)
        self.assertTrue(first.grow(bodies.FREE_BYTES + 400))
        self.assertTrue(first.grow(bodies.FREE_BYTES + 700))
        self.assertFalse(second.grow(bodies.FREE_BYTES + 301))
        self.assertTrue(second.grow(bodies.FREE_BYTES + 300))
        first.release()
        self.assertTrue(second.grow(bodies.FREE_BYTES + 1_000))
        second.release()
        self.assertTrue(first.grow(bodies.FREE_BYTES + 1_000))
