"""Tests of the graceful shutdown."""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.decisions import drain
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from tests.decisions import samples


class TestDrain(testtools.TestCase):
    """A node stays up for as long as callers may use its address.

    A node that stops as soon as it is idle would refuse the callers that
    still have it in their address list.
    """

    def test_idle_node_stays_while_callers_keep_its_address(self) -> None:
        state = samples.state()
        state.options = dataclasses.replace(
            state.options, address_ttl_ms=1_000, address_list_max_age_ms=3_000
        )
        drain.handle_drain_requested(
            state, events.DrainRequested(7_000), samples.instant(0)
        )
        stopped = [
            now
            for now in range(0, 5_000, 100)
            if effects.ExitProcess() in drain.tick(state, samples.instant(now))
        ]
        self.assertEqual([3_000], stopped)
