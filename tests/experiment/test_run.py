"""Tests of experiments in virtual time."""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.experiment import run
from teaselbridge.experiment import scenario

SHORT = {'seconds': 15.0, 'rate': 15.0}


class TestRun(testtools.TestCase):
    """Outcomes of scenarios."""

    def _run(self, name: str, **overrides: object) -> run.Outcome:
        base_scenario = scenario.SCENARIOS[name]
        return run.run(dataclasses.replace(base_scenario, **overrides))

    def test_same_seed_gives_the_same_decisions(self) -> None:
        first, second = (
            dataclasses.replace(self._run('steady', **SHORT), wall_s=0.0)
            for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_zone_reclaimed(self) -> None:
        """No request is lost, late or run twice when a zone is reclaimed."""
        outcome = self._run('zone-reclaimed', seconds=30.0)
        self.assertEqual(outcome.total.sent, outcome.total.whole)
        self.assertEqual(0, outcome.doubled)

    def test_half_of_the_engines_dies(self) -> None:
        outcome = self._run('half-dies', seconds=30.0)
        self.assertEqual(outcome.total.sent, outcome.total.whole)

    def test_prefix_aware_policy_recomputes_fewer_tokens(self) -> None:
        round_robin = self._run('prefix', seconds=20.0, policy='round-robin')
        prefix_aware = self._run('prefix', seconds=20.0)
        self.assertLess(
            prefix_aware.recomputed_tokens, round_robin.recomputed_tokens
        )
