"""Tests of the comparison of versions, over many seeded runs."""

from __future__ import annotations

import testtools

from bench import verdicts

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

    def test_bad_versions(self) -> None:
        for bad in ({'more_errors': 0.3}, {'slow': 2.0}):
            found = self._measure(**bad)
            self.assertEqual(1.0, found.verdicts)
            self.assertLessEqual(found.requests.p95, REQUESTS_MOST)
