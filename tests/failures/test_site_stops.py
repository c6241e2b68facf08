"""Tests of a planned stop of one node while callers go on sending."""

from __future__ import annotations

from tests.failures import base
from tests.failures import stops

GRACE_S = 6.0
SEED = 1


class TestPlannedStop(base.TestCase):
    """A planned stop in calm ends each request that was read."""

    # Guards against requests that a stopping node accepts and cuts off.
    def test_each_request_has_its_end(self) -> None:
        async def run() -> None:
            result = await stops.stop_one_of_three(SEED, GRACE_S)
            self.assertEqual([], result.faults)
            self.assertLess(result.ended_s, GRACE_S)
            self.assertGreater(len(result.sent), 200)

        self.run_coroutine(run())
