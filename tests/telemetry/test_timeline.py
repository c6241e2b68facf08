"""Tests of the timeline and its hybrid logical clock."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import effects
from teaselbridge.telemetry import timeline


class TestHybridClock(testtools.TestCase):
    """Stamps order causes before effects."""

    def test_never_backwards(self) -> None:
        clock = timeline.HybridClock()
        first = clock.stamp(1_000)
        self.assertGreater(clock.stamp(900), first)

    def test_above_a_received_stamp(self) -> None:
        ahead, behind = timeline.HybridClock(), timeline.HybridClock()
        received = ahead.stamp(9_000)
        behind.merge_stamp(received, 1_000)
        self.assertGreater(behind.stamp(1_000), received)


class TestTimeline(testtools.TestCase):
    """The timeline is bounded, filtered and merged in order."""

    def _build_timeline(
        self, node: str, *marks: effects.Mark
    ) -> timeline.Timeline:
        events = timeline.Timeline(node=node, most=3)
        for number, mark in enumerate(marks):
            events.add(effects.RecordEntry(mark=mark, pool='lm'), number)
        return events

    def test_bounded(self) -> None:
        events = self._build_timeline('n', *[effects.Mark.ARRIVED] * 9)
        self.assertEqual(3, len(events.select(timeline.Filter())))

    def test_filter_by_prefix_of_kind(self) -> None:
        events = self._build_timeline(
            'n', effects.Mark.MOVE_DONE, effects.Mark.ARRIVED
        )
        (found,) = events.select(timeline.Filter(mark='move-', pool='lm'))
        self.assertEqual('move-done', found.mark)

    def test_merge_in_order(self) -> None:
        left = self._build_timeline(
            'a', effects.Mark.ARRIVED, effects.Mark.ATTEMPT
        )
        right = self._build_timeline('b', effects.Mark.ARRIVED)
        no_criteria = timeline.Filter()
        merged = timeline.merge_entries(
            [left.select(no_criteria), right.select(no_criteria)]
        )
        self.assertEqual(['a', 'b', 'a'], [entry.node for entry in merged])
