"""Tests of the time line and its hybrid logical time."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import effects
from teaselbridge.telemetry import timeline


class TestHybridClock(testtools.TestCase):
    """Stamps put causes before effects."""

    def test_never_backwards(self) -> None:
        clock = timeline.HybridClock()
        first = clock.stamp(1_000)
        self.assertGreater(clock.stamp(900), first)

    def test_above_what_was_heard(self) -> None:
        ahead, behind = timeline.HybridClock(), timeline.HybridClock()
        heard = ahead.stamp(9_000)
        behind.merge(heard, 1_000)
        self.assertGreater(behind.stamp(1_000), heard)


class TestTimeline(testtools.TestCase):
    """Bounds, filters, merging."""

    def _line(self, node: str, *marks: effects.Mark) -> timeline.Timeline:
        line = timeline.Timeline(node=node, most=3)
        for number, mark in enumerate(marks):
            line.add(effects.Record(mark=mark, pool='lm'), number)
        return line

    def test_bounded(self) -> None:
        line = self._line('n', *[effects.Mark.ARRIVED] * 9)
        self.assertEqual(3, len(line.select(timeline.Filter())))

    def test_filter_by_the_beginning_of_a_kind(self) -> None:
        line = self._line('n', effects.Mark.MOVE_DONE, effects.Mark.ARRIVED)
        (found,) = line.select(timeline.Filter(mark='move-', pool='lm'))
        self.assertEqual('move-done', found.mark)

    def test_merge_in_order(self) -> None:
        left = self._line('a', effects.Mark.ARRIVED, effects.Mark.ATTEMPT)
        right = self._line('b', effects.Mark.ARRIVED)
        every = timeline.Filter()
        merged = timeline.merge([left.select(every), right.select(every)])
        self.assertEqual(['a', 'b', 'a'], [entry.node for entry in merged])
