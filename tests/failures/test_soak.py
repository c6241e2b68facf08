"""A short seeded soak of the real processes; long ones are run by hand."""

from __future__ import annotations

from bench import soak
from tests.failures import base

SEED = 1
SECONDS = 10.0


class TestSoak(base.TestCase):
    """Guarantees under faults that overlap."""

    def test_short_soak(self) -> None:
        settings = soak.SoakSettings(seed=SEED, seconds=SECONDS, nodes=3)

        async def run() -> None:
            self.assertEqual([], await soak.soak(settings))

        self.run_coroutine(run())
