"""Tests of the restart of tasks that must never end."""

from __future__ import annotations

import asyncio
import typing

import testtools

from teaselbridge import clock
from teaselbridge.runtime import loop as loops
from teaselbridge.runtime import supervision
from teaselbridge.telemetry import metrics
from teaselbridge.telemetry import timeline
from tests.decisions import samples

if typing.TYPE_CHECKING:
    import collections.abc


class TestRunForever(testtools.TestCase):
    """A task that ends by an unexpected error is started again.

    Without that, a node goes on without following the store or its peers.
    """

    def setUp(self) -> None:
        super().setUp()
        self.patch(supervision, 'MIN_RESTART_DELAY_MS', 1)
        self.meter = metrics.Meter()
        self.timeline = timeline.Timeline(node='n', most=100)
        self.loop = loops.Loop(
            state=samples.state(),
            clock=clock.Clock(),
            meter=self.meter,
            timeline=self.timeline,
        )
        self.run_count = 0

    async def _fail_three_times(self) -> None:
        self.run_count += 1
        if self.run_count <= 3:
            raise RecursionError('too deep')

    def _run(
        self,
        work: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        async def run() -> None:
            async with asyncio.timeout(10):
                await supervision.run_forever(self.loop, 'follow', work)

        asyncio.run(run())

    def test_restarted_after_each_error(self) -> None:
        self._run(self._fail_three_times)
        self.assertEqual(4, self.run_count)
        self.assertEqual(3, self.meter.value('errors', 'follow'))

    def test_error_is_logged_with_its_place(self) -> None:
        self._run(self._fail_three_times)
        entry, *_ = [
            entry
            for entry in self.timeline.select(timeline.Filter())
            if entry.mark == 'internal-error'
        ]
        self.assertIn("follow: RecursionError('too deep')", entry.detail)
        self.assertIn('test_supervision.py:', entry.detail)

    def test_cancelled_task_is_not_restarted(self) -> None:
        async def wait() -> None:
            self.run_count += 1
            await asyncio.sleep(60)

        async def run() -> None:
            task = asyncio.ensure_future(
                supervision.run_forever(self.loop, 'follow', wait)
            )
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self.assertTrue(task.cancelled())

        asyncio.run(run())
        self.assertEqual(1, self.run_count)
