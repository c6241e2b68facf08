"""Tests of the comparison of methods to spread load."""

from __future__ import annotations

import testtools

from teaselbridge.experiment import spreading

SMALL = spreading.SIZES[0]


class TestComparison(testtools.TestCase):
    """Figures of methods on the same demand."""

    def test_same_seed_gives_the_same_figures(self) -> None:
        """Methods could not be compared if the demand differed."""
        for is_plain in (False, True):
            first, second = (
                spreading.run(
                    'levelled',
                    SMALL,
                    0.8,
                    1,
                    is_plain=is_plain,
                    span_ms=2_000,
                )
                for _ in range(2)
            )
            self.assertEqual(first, second)

    def test_all_methods_run(self) -> None:
        """A method that fails would be missing from the comparison."""
        for name in spreading.METHODS:
            figures = spreading.run(name, SMALL, 0.8, 1, span_ms=1_000)
            self.assertGreater(figures.p95_ms, 0)
            self.assertTrue(50 <= figures.age_ms <= 1_500)

    def test_table_has_a_line_for_each_method(self) -> None:
        """Seeds are averaged, methods and sizes are not."""
        figures = [
            spreading.run(name, SMALL, 0.8, seed, span_ms=2_000)
            for name in ('least', 'levelled')
            for seed in (1, 2)
        ]
        self.assertEqual(3, len(spreading.format_table(figures)))
