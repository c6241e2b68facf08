"""Tests of the choice under the load of many nodes.

Load pattern: prompts with shared heads and small ones, at hosts that hear of
each other up to 1.5 s late, and demand that varies.
"""

from __future__ import annotations

import testtools

from teaselbridge.experiment import spreading

LARGE = spreading.Size(hosts=64, servers=45)
PLAIN = spreading.Size(hosts=64, servers=4)


class TestLoad(testtools.TestCase):
    """The choice of nodes compared with the lowest cost, on one seed."""

    def _run(
        self, size: spreading.Size, *, is_plain: bool
    ) -> tuple[spreading.Figures, spreading.Figures]:
        least, levelled = (
            spreading.run(name, size, 0.8, 3, is_plain=is_plain, span_ms=8_000)
            for name in ('least', 'levelled')
        )
        return least, levelled

    def test_engines(self) -> None:
        """Stale load must not send prompts away from cached heads."""
        least, levelled = self._run(LARGE, is_plain=False)
        self.assertLess(levelled.reread, 0.8 * least.reread)
        self.assertLess(levelled.median_ms, 0.8 * least.median_ms)
        self.assertLess(levelled.p95_ms, 0.95 * least.p95_ms)

    def test_plain_servers(self) -> None:
        """Servers must not be full in turn while others are idle."""
        least, levelled = self._run(PLAIN, is_plain=True)
        self.assertLess(levelled.wasted, 0.7 * least.wasted)
        self.assertLess(levelled.peak, 0.9 * least.peak)
        self.assertLess(levelled.p95_ms, 0.7 * least.p95_ms)

    def test_few_hosts_lose_nothing(self) -> None:
        """Six hosts hear of each other in time, and gain little."""
        runs = [self._run(spreading.Size(hosts=6, servers=4), is_plain=False)]
        for least, levelled in runs:
            self.assertLess(levelled.p95_ms, 1.15 * least.p95_ms)
