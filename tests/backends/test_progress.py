"""Tests of the timeout of attempts that make no progress."""

from __future__ import annotations

import asyncio
import socket
import time

import testtools

from teaselbridge.backends import progress

SPAN_MS = 300


class TestProgressTimer(testtools.TestCase):
    """The timer ends a block without progress, and no other one."""

    def _run(self, step_s: float, restarts: int) -> float:
        """Return after how long a block ends.

        :param step_s: for how long the loop stands still in each step.
        :param restarts: steps with progress.
        """

        async def run() -> float:
            began = time.monotonic()
            try:
                async with progress.run_timer(SPAN_MS) as timer:
                    for step in range(round(5 / step_s)):
                        time.sleep(step_s)
                        await asyncio.sleep(0)
                        if step < restarts:
                            timer.restart(SPAN_MS)
            except TimeoutError:
                return time.monotonic() - began
            raise AssertionError('the timer has not ended the block')

        return asyncio.run(run())

    def test_no_progress(self) -> None:
        self.assertLess(self._run(0.01, 0), 2)

    def test_progress(self) -> None:
        self.assertGreater(self._run(0.01, 50), 0.7)

    # Guards against attempts that a busy node never gives up.
    def test_loop_is_always_late(self) -> None:
        self.assertLess(self._run(0.2, 0), 2)

    # Guards against sound attempts that end as the loop stood still for
    # little longer than the time without progress.
    def test_data_waits_in_the_socket(self) -> None:
        async def run() -> None:
            ours, other = socket.socketpair()
            self.addCleanup(other.close)
            reader, writer = await asyncio.open_connection(sock=ours)
            received: asyncio.Queue[bytes] = asyncio.Queue()

            async def pass_on() -> None:
                while data := await reader.read(1):
                    received.put_nowait(data)

            passing_on = asyncio.ensure_future(pass_on())
            async with progress.run_timer(SPAN_MS) as timer:
                for _ in range(5):
                    other.send(b'x')
                    time.sleep(1.1 * SPAN_MS / 1_000)
                    await received.get()
                    timer.restart(SPAN_MS)
            writer.close()
            await passing_on

        asyncio.run(run())

    # Guards against sound attempts that end as their server stood still for
    # as long as this process.
    def test_server_stalls_too(self) -> None:
        async def run() -> None:
            async with progress.run_timer(SPAN_MS) as timer:
                for stall_ms in (1.1 * SPAN_MS, 2 * SPAN_MS):
                    for _ in range(2):
                        time.sleep(stall_ms / 1_000)
                        await asyncio.sleep(0.001)
                    timer.restart(SPAN_MS)

        asyncio.run(run())
