"""Tests of the output to callers."""

from __future__ import annotations

import testtools

from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.runtime import loop as loops
from teaselbridge.runtime import outlets
from teaselbridge.telemetry import metrics
from teaselbridge.telemetry import timeline
from tests.decisions import samples


class TestWrites(testtools.TestCase):
    """Stream events pass the queue only where nothing is left in it."""

    def setUp(self) -> None:
        super().setUp()
        self.loop = loops.Loop(
            state=samples.state(),
            clock=clock.Clock(),
            meter=metrics.Meter(),
            timeline=timeline.Timeline(node='n', most=100),
        )
        queues = outlets.OutputQueues(loop=self.loop)
        self.queue = queues.submit_event(7, events.CallerDisconnected(7))
        self.written: list[bytes] = []
        self.accepts = True

    def _write(self, data: bytes) -> bool:
        if self.accepts:
            self.written.append(data)
        return self.accepts

    def _send(self, data: bytes) -> None:
        self.loop.execute(effects.SendEvents(7, data))

    def test_reader_that_does_not_wait(self) -> None:
        self._send(b'a')
        self.assertEqual(1, self.queue.qsize())

    def test_reader_that_waits(self) -> None:
        self.queue.write = self._write
        self._send(b'a')
        self.assertEqual([b'a'], self.written)
        self.assertTrue(self.queue.empty())

    # Guards against events that overtake earlier ones.
    def test_something_is_left(self) -> None:
        self.queue.write = self._write
        self.accepts = False
        self._send(b'a')
        self.accepts = True
        self._send(b'b')
        self.assertEqual([], self.written)
        self.assertEqual(2, self.queue.qsize())

    def test_other_output_is_queued(self) -> None:
        self.queue.write = self._write
        self.loop.execute(effects.SendFinish(7, True))
        self.assertEqual([], self.written)
        self.assertEqual(1, self.queue.qsize())


class TestBacklog(testtools.TestCase):
    """A caller is given up once too much waits for it."""

    def test_abort(self) -> None:
        aborted: list[bool] = []
        queue = outlets.OutputQueue()
        queue.abort = lambda: aborted.append(True)
        half = effects.SendEvents(7, b'x' * (outlets.MAX_BACKLOG_BYTES // 2))
        for _ in range(3):
            queue.put_nowait(half)
            queue.put_nowait(half)
            queue.get_nowait()
            queue.get_nowait()
        self.assertEqual([], aborted)
        for _ in range(3):
            queue.put_nowait(half)
        self.assertEqual([True], aborted)
