"""Tests of the freshness of workspace keys."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import freshness
from teaselbridge.peers import messages
from tests.decisions import samples

REVOKING_BOUNDS = bounds.Bounds(revoke_ms=5_000)


def ack(age_ms: int, generation: int) -> messages.Ack:
    """Return the acknowledgement of a probe by a peer."""
    return messages.Ack(
        sequence=1,
        member='other',
        gossip=messages.Gossip(generation=generation),
        confirmed_ms=age_ms,
    )


class TestFreshness(testtools.TestCase):
    """Keys are valid for a part of the time that the platform allows."""

    def test_never_confirmed(self) -> None:
        state = samples.state(REVOKING_BOUNDS)
        self.assertFalse(freshness.is_fresh(state, samples.instant(0)))

    def test_age_starts_before_the_query(self) -> None:
        state = samples.state(REVOKING_BOUNDS)
        freshness.record_confirmation(state, 1_000)
        self.assertTrue(freshness.is_fresh(state, samples.instant(5_000)))
        self.assertFalse(freshness.is_fresh(state, samples.instant(5_200)))

    def test_older_confirmation_changes_nothing(self) -> None:
        state = samples.state(REVOKING_BOUNDS)
        freshness.record_confirmation(state, 3_000)
        freshness.record_confirmation(state, 1_000)
        self.assertTrue(freshness.is_fresh(state, samples.instant(7_000)))

    def test_peer_confirmation_keeps_its_age(self) -> None:
        state = samples.state(REVOKING_BOUNDS)
        state.configured = True
        freshness.record_peer_confirmation(state, ack(800, 0), 4_000)
        self.assertEqual(3_200, state.freshness.confirmed_at)

    def test_peer_with_another_configuration_is_ignored(self) -> None:
        state = samples.state(REVOKING_BOUNDS)
        state.configured = True
        freshness.record_peer_confirmation(state, ack(800, 7), 4_000)
        freshness.record_peer_confirmation(state, ack(-1, 0), 4_000)
        self.assertIsNone(state.freshness.confirmed_at)

    def test_no_revocation_limit(self) -> None:
        state = samples.state(bounds.Bounds(revoke_ms=0))
        self.assertTrue(freshness.is_fresh(state, samples.instant(9_000)))
