"""Tests of whether workspace keys count."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import freshness
from teaselbridge.peers import messages
from tests.decisions import samples

STRICT = bounds.Bounds(revoke_ms=5_000)


def ack(age_ms: int, generation: int) -> messages.Ack:
    """Make a peer's answer to a probe."""
    return messages.Ack(
        sequence=1,
        member='other',
        gossip=messages.Gossip(generation=generation),
        confirmed_ms=age_ms,
    )


class TestFreshness(testtools.TestCase):
    """Keys count for a part of the time that the platform gives."""

    def test_never_asked(self) -> None:
        state = samples.state(STRICT)
        self.assertFalse(freshness.is_fresh(state, samples.instant(0)))

    def test_counts_from_before_the_question(self) -> None:
        state = samples.state(STRICT)
        freshness.confirm(state, 1_000)
        self.assertTrue(freshness.is_fresh(state, samples.instant(5_000)))
        self.assertFalse(freshness.is_fresh(state, samples.instant(5_200)))

    def test_older_confirmation_changes_nothing(self) -> None:
        state = samples.state(STRICT)
        freshness.confirm(state, 3_000)
        freshness.confirm(state, 1_000)
        self.assertTrue(freshness.is_fresh(state, samples.instant(7_000)))

    def test_peer_relays_with_the_age(self) -> None:
        state = samples.state(STRICT)
        state.configured = True
        freshness.relay(state, ack(800, 0), 4_000)
        self.assertEqual(3_200, state.freshness.confirmed)

    def test_peer_with_another_configuration_proves_nothing(self) -> None:
        state = samples.state(STRICT)
        state.configured = True
        freshness.relay(state, ack(800, 7), 4_000)
        freshness.relay(state, ack(-1, 0), 4_000)
        self.assertIsNone(state.freshness.confirmed)

    def test_not_asked_for(self) -> None:
        state = samples.state(bounds.Bounds(revoke_ms=0))
        self.assertTrue(freshness.is_fresh(state, samples.instant(9_000)))
