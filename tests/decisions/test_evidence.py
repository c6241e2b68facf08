"""Tests of the comparison of versions, over many seeded runs."""

from __future__ import annotations

import testtools

from bench import verdicts
from teaselbridge.decisions import evidence

RUNS = 30
FALSE_ALARMS_MOST = 0.05
REQUESTS_MOST = 120


class TestEvidence(testtools.TestCase):
    """Few good versions are blamed, and bad ones are found soon."""

    def _measure(self, **more: float) -> verdicts.Found:
        version = verdicts.Version(name='x', **more)
        return verdicts.measure(version, RUNS)

    def test_good_versions(self) -> None:
        for errors in (0.0, 0.05, 0.2):
            found = self._measure(usual_errors=errors)
            self.assertLessEqual(found.verdicts, FALSE_ALARMS_MOST, errors)

    def test_good_version_seen_at_many_nodes(self) -> None:
        version = verdicts.Version(name='x', usual_errors=0.05)
        found = verdicts.measure(version, RUNS, nodes=verdicts.NODES)
        self.assertLessEqual(found.verdicts, FALSE_ALARMS_MOST)

    def test_bad_versions(self) -> None:
        for bad in ({'more_errors': 0.3}, {'slow': 2.0}):
            found = self._measure(**bad)
            self.assertEqual(1.0, found.verdicts)
            self.assertLessEqual(found.requests.p95, REQUESTS_MOST)


class TestPool(testtools.TestCase):
    """Scores of several nodes add up, whatever becomes of the reports."""

    def _seen(self, failed: int, well: int) -> evidence.Evidence:
        seen = evidence.Evidence()
        for number in range(failed + well):
            seen.new_outcome('r', number < failed, 0.0)
        return seen

    def test_few_failures_at_each_of_many_nodes(self) -> None:
        pool = evidence.Pool()
        faults = [
            pool.add(f'n{number}', 1, score)
            for number in range(6)
            for score in self._seen(2, 0).scores
        ]
        self.assertIsNone(faults[0])
        self.assertEqual('r', faults[-1].route)

    def test_lost_late_and_doubled_reports(self) -> None:
        """Only the newest report of a node counts."""
        pool = evidence.Pool()
        seen = self._seen(2, 0)
        early = seen.scores[0]
        seen.new_outcome('r', True, 0.0)
        late = seen.scores[0]
        for score in (late, early, late, early, late):
            pool.add('n', 1, score)
        self.assertIn('3 errors', pool.doubt.cause)

    def test_restarted_node_counts_from_zero(self) -> None:
        pool = evidence.Pool()
        for incarnation in (1, 2):
            for score in self._seen(2, 0).scores:
                pool.add('n', incarnation, score)
        self.assertIn('4 errors', pool.doubt.cause)

    def test_good_outcomes_lift_a_doubt(self) -> None:
        pool = evidence.Pool()
        pool.add('n', 1, self._seen(4, 0).scores[0])
        self.assertIsNotNone(pool.doubt)
        pool.add('m', 1, self._seen(0, 30).scores[0])
        self.assertIsNone(pool.doubt)
