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


class TestFailingRoute(testtools.TestCase):
    """A route on which most requests fail, whichever version serves them."""

    # Guards against a good version that is taken back for failures that the
    # old one had as well, on a route with few requests.
    def test_failures_of_both_versions_blame_nobody(self) -> None:
        seen = evidence.Evidence()
        for second in range(4):
            seen.add_old_outcome('r', True, 0.0, 1_000 * second)
        for second in range(4, 24):
            fault = seen.add_new_outcome('r', True, 0.0, 1_000 * second)
            self.assertIsNone(fault, second)

    def test_failures_of_the_new_version_alone_are_found(self) -> None:
        seen = evidence.Evidence()
        for second in range(4):
            seen.add_old_outcome('r', False, 0.0, 1_000 * second)
        faults = [
            seen.add_new_outcome('r', True, 0.0, 1_000 * second)
            for second in range(4, 14)
        ]
        self.assertIsNotNone(faults[-1])


class TestPool(testtools.TestCase):
    """Scores of several nodes add up, also if reports are lost or late."""

    def _make_evidence(self, failed: int, succeeded: int) -> evidence.Evidence:
        seen = evidence.Evidence()
        for number in range(failed + succeeded):
            seen.add_new_outcome('r', number < failed, 0.0, 0)
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
        seen.add_new_outcome('r', True, 0.0, 0)
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


class TimesTestCase(testtools.TestCase):
    """Timed outcomes of both versions at one node."""

    USUAL_MS = 12.0

    def setUp(self) -> None:
        super().setUp()
        self.start()

    def start(self) -> None:
        """Begin with the usual times of the old version."""
        self.seen = evidence.Evidence()
        self.mono = 0
        self.add_old(200, self.USUAL_MS)

    def add_old(self, count: int, span: float) -> None:
        """Add outcomes of the old version, ten a second."""
        for _ in range(count):
            self.mono += 100
            self.seen.add_old_outcome('r', False, span, self.mono)

    def add_new(
        self, count: int, span: float, interval_ms: int = 100
    ) -> evidence.Fault | None:
        """Add outcomes of the new version, and return the last result."""
        fault = None
        for _ in range(count):
            fault = self.seen.add_new_outcome('r', False, span, self.mono)
            self.mono += interval_ms
        return fault


class TestTimes(TimesTestCase):
    """Times are compared with the old version's at the same moments.

    A host that slows down makes both versions slower, and a usual time that
    follows slowly, or stands still because the old version gets no more
    requests, would then count against the new version.
    """

    def test_host_that_slows_down_is_no_fault(self) -> None:
        for old_per_new in (11, 1):
            for _ in range(40):
                self.add_old(old_per_new, 2.75 * self.USUAL_MS)
                self.assertIsNone(self.add_new(1, 2.75 * self.USUAL_MS))
            self.add_old(1_000, self.USUAL_MS)

    def test_slower_version_is_found(self) -> None:
        faults = []
        for _ in range(8):
            self.add_old(11, self.USUAL_MS)
            faults.append(self.add_new(1, 2 * self.USUAL_MS))
        self.assertIsNotNone(faults[-1])

    def test_host_that_slows_down_after_the_shift_is_no_fault(self) -> None:
        self.mono += evidence.RECENT_MS + 1
        self.assertIsNone(self.add_new(200, 2.75 * self.USUAL_MS))

    # Guards against a good version that is taken back because its host slows
    # down for half a second just after the old version's last request.
    def test_host_that_slows_down_just_after_the_shift(self) -> None:
        for slowed_after_ms in (0, 200, 1_000, evidence.RECENT_MS - 200):
            self.start()
            self.add_new(slowed_after_ms // 100, self.USUAL_MS)
            fault = self.add_new(30, 2.5 * self.USUAL_MS)
            self.assertIsNone(fault, slowed_after_ms)

    # Guards against a bad version that is not found, as its fast answers
    # outweigh the slow ones that cannot be told from a slow host.
    def test_version_that_is_slow_now_and_then_is_found(self) -> None:
        for _ in range(40):
            self.add_old(1, self.USUAL_MS)
            for factor in (1.0, 2.0, 1.0, 2.0, 1.0, 2.0, 1.0, 2.0, 1.0):
                if self.add_new(1, factor * self.USUAL_MS, 150) is not None:
                    return
        raise AssertionError('not found')

    def test_version_that_is_slow_from_the_shift_on_is_found(self) -> None:
        self.assertIsNotNone(self.add_new(8, 4 * self.USUAL_MS))

    def test_version_that_turns_slow_after_the_shift_is_found(self) -> None:
        self.mono += evidence.RECENT_MS + 1
        self.assertIsNotNone(self.add_new(8, 4 * self.USUAL_MS))


class TestStalls(TimesTestCase):
    """A stall of the host slows all requests that are in flight there."""

    STALLED_MS = 40.0

    # Guards against a good version that is taken back for one stall of a
    # host, which slowed several of its answers at once.
    def test_answers_that_one_stall_slowed_blame_nobody(self) -> None:
        self.assertIsNone(self.add_new(12, self.STALLED_MS, interval_ms=4))

    # Guards against a rollout that is held up until its deadline, since each
    # stall of a host counts as several slow answers at all nodes.
    def test_reported_stall_raises_no_doubt(self) -> None:
        self.add_new(12, self.STALLED_MS, interval_ms=4)
        pool = evidence.PoolEvidence()
        for score in self.seen.scores:
            self.assertIsNone(pool.add('n1', 1, score))
        self.assertIsNone(pool.doubt)

    def test_slow_version_is_found_within_a_second(self) -> None:
        for interval_ms in (1, 10, 100):
            self.start()
            count = 1_000 // interval_ms
            found = [
                self.add_new(1, self.STALLED_MS, interval_ms)
                for _ in range(count)
            ]
            self.assertIsNotNone(found[-1], interval_ms)

    # Guards against a fault of a part of the answers that is missed because
    # more good than slow ones count at many requests a second.
    def test_half_of_the_answers_slow_at_many_requests_a_second(self) -> None:
        spans = [self.STALLED_MS, self.USUAL_MS] * 500
        found = [self.add_new(1, span, interval_ms=3) for span in spans]
        self.assertTrue(any(found))
