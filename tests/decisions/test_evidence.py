"""Tests of the comparison of versions, including many seeded runs."""

from __future__ import annotations

import testtools

from bench import verdicts
from teaselbridge.decisions import evidence

RUNS = 30
MAX_FALSE_ALARM_SHARE = 0.05
MAX_REQUESTS = 120


class TestEvidence(testtools.TestCase):
    """Good versions are rarely rejected, and faulty ones are found soon."""

    def _measure(self, **more: float) -> verdicts.DetectionResult:
        version = verdicts.VersionPair(name='x', **more)
        return verdicts.measure_detection(version, RUNS)

    def test_good_versions(self) -> None:
        for errors in (0.0, 0.05, 0.2):
            found = self._measure(usual_errors=errors)
            self.assertLessEqual(found.verdicts, MAX_FALSE_ALARM_SHARE, errors)

    def test_good_version_seen_at_many_nodes(self) -> None:
        version = verdicts.VersionPair(name='x', usual_errors=0.05)
        found = verdicts.measure_detection(version, RUNS, nodes=verdicts.NODES)
        self.assertLessEqual(found.verdicts, MAX_FALSE_ALARM_SHARE)

    def test_bad_versions(self) -> None:
        for bad in ({'more_errors': 0.3}, {'slow': 2.0}):
            found = self._measure(**bad)
            self.assertEqual(1.0, found.verdicts)
            self.assertLessEqual(found.requests.p95, MAX_REQUESTS)


class TestPool(testtools.TestCase):
    """Scores of several nodes add up, also if reports are lost or late."""

    def _make_evidence(self, failed: int, succeeded: int) -> evidence.Evidence:
        seen = evidence.Evidence()
        for number in range(failed + succeeded):
            seen.add_new_outcome('r', number < failed, 0.0)
        return seen

    def test_few_failures_at_many_nodes_add_up(self) -> None:
        pool = evidence.PoolEvidence()
        faults = [
            pool.add(f'n{number}', 1, score)
            for number in range(6)
            for score in self._make_evidence(2, 0).scores
        ]
        self.assertIsNone(faults[0])
        self.assertEqual('r', faults[-1].route)

    def test_lost_late_and_duplicate_reports(self) -> None:
        """Only the newest report of a node counts."""
        pool = evidence.PoolEvidence()
        seen = self._make_evidence(2, 0)
        early = seen.scores[0]
        seen.add_new_outcome('r', True, 0.0)
        late = seen.scores[0]
        for score in (late, early, late, early, late):
            pool.add('n', 1, score)
        self.assertIn('3 errors', pool.doubt.cause)

    def test_restarted_node_counts_from_zero(self) -> None:
        pool = evidence.PoolEvidence()
        for incarnation in (1, 2):
            for score in self._make_evidence(2, 0).scores:
                pool.add('n', incarnation, score)
        self.assertIn('4 errors', pool.doubt.cause)

    def test_good_outcomes_end_a_doubt(self) -> None:
        pool = evidence.PoolEvidence()
        pool.add('n', 1, self._make_evidence(4, 0).scores[0])
        self.assertIsNotNone(pool.doubt)
        pool.add('m', 1, self._make_evidence(0, 30).scores[0])
        self.assertIsNone(pool.doubt)
