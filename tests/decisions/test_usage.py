"""Tests of the counts of started requests and their reports."""

from __future__ import annotations

import dataclasses

import msgspec
import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import leases
from teaselbridge.decisions import tickets
from teaselbridge.decisions import usage
from teaselbridge.peers import messages
from tests.decisions import samples

BOUNDS = bounds.Bounds(usage_window_ms=5_000, duties=(usage.DUTY,))


def loads(node: str, *, wall: int, **more: object) -> messages.Loads:
    """Return another node's message."""
    return messages.Loads(
        node=node,
        incarnation=1,
        wall=wall,
        servers=(),
        **more,  # type: ignore[arg-type]
    )


class TestCounts(testtools.TestCase):
    """Counts of all nodes, and the median of their clocks."""

    def test_counts_of_a_killed_node_are_kept(self) -> None:
        found = usage.Usage()
        now = samples.instant(0)
        counts = (messages.Usage(window=3, workspace='w', count=4),)
        found.merge_counts(loads('a', wall=now.wall, usage=counts), now)
        found.count_request('me/1', 3, 'w')
        self.assertEqual({'w': 5}, found.total(3))

    def test_late_message_does_not_lower_counts(self) -> None:
        found = usage.Usage()
        now = samples.instant(0)
        for count in (4, 2):
            counts = (messages.Usage(window=3, workspace='w', count=count),)
            found.merge_counts(loads('a', wall=now.wall, usage=counts), now)
        self.assertEqual({'w': 4}, found.total(3))

    def test_own_clock_that_jumped_is_corrected(self) -> None:
        found = usage.Usage()
        now = samples.instant(0)
        for node in ('a', 'b', 'c'):
            found.merge_counts(loads(node, wall=now.wall + 2_400), now)
        self.assertEqual(now.wall + 2_400, found.wall(now))

    def test_clock_jump_of_another_node_has_no_effect(self) -> None:
        found = usage.Usage()
        now = samples.instant(0)
        found.merge_counts(loads('a', wall=now.wall - 2_400), now)
        found.merge_counts(loads('b', wall=now.wall + 3), now)
        self.assertEqual(now.wall, found.wall(now))


class TestReports(testtools.TestCase):
    """Reports of the holder of the duties lease."""

    def setUp(self) -> None:
        super().setUp()
        self._hold_lease(BOUNDS)

    def _hold_lease(self, duty_bounds: bounds.Bounds) -> None:
        self.state = samples.state(duty_bounds)
        lease = self.state.leases.get(leases.DUTIES_LEASE)
        lease.phase = leases.Phase.HELD
        lease.until = 1_000_000
        lease.fence = 7
        # The wall clock of `samples` is 1,000,000 ms ahead of the monotonic
        # one, so that window 200 begins.
        self.now = samples.instant(0)

    def _start(self, stored: bytes | None) -> None:
        (ask,) = usage.tick(self.state, self.now)
        self.assertEqual(
            effects.ReadKey(tickets.UsageTicket(), usage.REPORT_KEY), ask
        )
        event = events.KeyRead(tickets.UsageTicket(), stored, 5)
        usage.handle_key_read(self.state, event, self.now)

    def test_report_is_written_before_it_is_sent(self) -> None:
        self.state.usage.count_request('me/1', 198, 'w')
        self._start(None)
        (write,) = usage.tick(self.state, self.now)
        assert isinstance(write, effects.SwapKey)
        self.assertEqual(5, write.revision)
        decided = events.KeySwapped(tickets.UsageTicket(), True, 9)
        (report,) = usage.handle_key_swapped(self.state, decided, self.now)
        assert isinstance(report, effects.ReportUsage)
        self.assertEqual((197, 7), (report.window, report.fence))

    def test_successor_repeats_the_stored_report(self) -> None:
        self.state.usage.count_request('me/1', 198, 'w')
        self._start(b'{"window": 198, "counts": {"w": 9}}')
        (report,) = usage.tick(self.state, self.now)
        assert isinstance(report, effects.ReportUsage)
        self.assertEqual(198, report.window)
        self.assertEqual((effects.WorkspaceCount('w', 9),), report.counts)

    # Guards against windows that are never reported, as no node held the
    # lease for some seconds.
    def test_all_windows_that_are_due_are_reported(self) -> None:
        self._hold_lease(dataclasses.replace(BOUNDS, usage_window_ms=1_000))
        self._start(b'{"window": 985, "counts": {}}')
        usage.tick(self.state, self.now)
        answered = events.UsageReportAnswered(985, True)
        usage.handle_usage_report_answered(self.state, answered, self.now)
        (write,) = usage.tick(self.state, self.now)
        assert isinstance(write, effects.SwapKey)
        report = msgspec.json.decode(write.value, type=usage.Report)
        # It ended 10 s ago.
        self.assertEqual(989, report.window)

    def test_lost_race_reads_again(self) -> None:
        self._start(None)
        usage.tick(self.state, self.now)
        decided = events.KeySwapped(tickets.UsageTicket(), False, 0)
        self.assertEqual(
            [], usage.handle_key_swapped(self.state, decided, self.now)
        )
        (again,) = usage.tick(self.state, self.now)
        self.assertIsInstance(again, effects.ReadKey)

    def test_node_sends_nothing_after_its_lease_expired(self) -> None:
        self._start(None)
        self.state.leases.get(leases.DUTIES_LEASE).until = 0
        self.assertEqual([], usage.tick(self.state, self.now))
