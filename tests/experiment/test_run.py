"""Tests of experiments in virtual time."""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.experiment import run
from teaselbridge.experiment import scenario

SHORT = {'seconds': 15.0, 'rate': 15.0}


class TestRun(testtools.TestCase):
    """What scenarios come to."""

    def _run(self, name: str, **more: object) -> run.Outcome:
        chosen = scenario.SCENARIOS[name]
        return run.run(dataclasses.replace(chosen, **more))

    def test_same_seed_gives_the_same_decisions(self) -> None:
        first, second = (
            dataclasses.replace(self._run('steady', **SHORT), wall_s=0.0)
            for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_zone_reclaimed(self) -> None:
        """No accepted request is lost, late or doubled."""
        found = self._run('zone-reclaimed', seconds=30.0)
        self.assertEqual(found.total.sent, found.total.whole)
        self.assertEqual(0, found.doubled)

    def test_half_of_the_engines_dies(self) -> None:
        found = self._run('half-dies', seconds=30.0)
        self.assertEqual(found.total.sent, found.total.whole)

    def test_prefixes_are_kept_together(self) -> None:
        spread = self._run('prefix', seconds=20.0, policy='round-robin')
        kept = self._run('prefix', seconds=20.0)
        self.assertLess(kept.recomputed_tokens, spread.recomputed_tokens)
