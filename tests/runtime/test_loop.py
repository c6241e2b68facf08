"""Tests of the loop that feeds events to the reducer."""

from __future__ import annotations

import testtools

from teaselbridge import clock
from teaselbridge.decisions import events
from teaselbridge.decisions import reducer
from teaselbridge.peers import messages
from teaselbridge.runtime import loop as loops
from teaselbridge.telemetry import metrics
from teaselbridge.telemetry import timeline
from tests.decisions import samples

BAD = events.PeerMessageReceived(
    'peer',
    messages.SyncSent(gossip=messages.Gossip(members=(None,))),  # type: ignore
)


class TestErrors(testtools.TestCase):
    """An unexpected error ends the work on one event only.

    Without that, one malformed message would end the task that receives all
    messages, or a failing tick all later ones.
    """

    def setUp(self) -> None:
        super().setUp()
        self.meter = metrics.Meter()
        self.timeline = timeline.Timeline(node='n', most=100)
        self.loop = loops.Loop(
            state=samples.state(),
            clock=clock.Clock(),
            meter=self.meter,
            timeline=self.timeline,
        )

    def _list_errors(self) -> list[str]:
        return [
            entry.detail
            for entry in self.timeline.select(timeline.Filter())
            if entry.mark == 'internal-error'
        ]

    def test_later_events_are_processed(self) -> None:
        self.loop.post(BAD)
        self.loop.post(events.DrainRequested(by=0))
        self.assertIsNotNone(self.loop.state.drain)

    def test_error_is_logged_with_its_place(self) -> None:
        self.loop.post(BAD)
        (detail,) = self._list_errors()
        self.assertIn('PeerMessageReceived', detail)
        self.assertIn('gossip.py:', detail)

    def test_repeated_errors_are_counted_and_logged_once(self) -> None:
        for _ in range(50):
            self.loop.post(BAD)
        self.assertEqual(1, len(self._list_errors()))
        self.assertEqual(50, self.meter.value('errors', 'PeerMessageReceived'))

    def test_failing_tick(self) -> None:
        def fail(*_: object) -> None:
            raise ValueError('tick')

        self.patch(reducer, '_tick', fail)
        for _ in range(3):
            self.loop.post(events.Ticked())
        self.assertEqual(3, self.meter.value('errors', 'Ticked'))
