"""Nodes whose own event loop stands still for a while."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
import typing

from teaselbridge.decisions import effects
from teaselbridge.standins import runner as runners
from tests.failures import base
from tests.failures import site
from tests.failures import test_site_broken_streams as raw

if typing.TYPE_CHECKING:
    import collections.abc

EVENTS = 40
EVENT_S = 0.05
# Pieces of work that are all due while the first of them runs.
WORK_PIECES = 30
WORK_INTERVAL_S = 0.005
HEAD = raw.head(200, raw.STREAM_TYPE, 'Transfer-Encoding: chunked')


class SteadyEngine:
    """Engine in a thread of its own, which sends events at fixed times.

    :param first_s: time that it takes to begin a stream, in seconds.
    :ivar resumed_count: number of requests to continue a stream.
    """

    def __init__(self, *, first_s: float = 0.0) -> None:
        self.resumed_count = 0
        self._first_s = first_s
        self.address = ''
        self._loop = asyncio.new_event_loop()
        self._is_started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to listen."""
        self._thread.start()
        self._is_started.wait()

    def stop(self) -> None:
        """Stop the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        started = asyncio.start_server(self._handle, '127.0.0.1', 0)
        server = self._loop.run_until_complete(started)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self._is_started.set()
        self._loop.run_forever()
        server.close()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            # The node closed the connection.
            pass
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await reader.readuntil(b'\r\n\r\n')
        lines = dict(
            line.lower().split(b': ', 1)
            for line in request.split(b'\r\n')
            if b': ' in line
        )
        after = int(lines.get(b'last-event-id', 0))
        self.resumed_count += after > 0
        attempt = lines[b'teaselbridge-attempt-id']
        await asyncio.sleep(self._first_s)
        writer.write(HEAD.replace(b'%s', attempt))
        for number in range(after + 1, EVENTS + 1):
            writer.write(raw.chunk(runners.event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(raw.END_CHUNK)
        await writer.drain()


@contextlib.contextmanager
def run_steady_engines(
    count: int, *, first_s: float = 0.0
) -> collections.abc.Iterator[list[SteadyEngine]]:
    """Run engines in threads."""
    engines = [SteadyEngine(first_s=first_s) for _ in range(count)]
    for engine in engines:
        engine.start()
    try:
        yield engines
    finally:
        for engine in engines:
            engine.stop()


def stall(stall_s: float) -> None:
    """Let much work become due at once in the event loop.

    A tick becomes due in the middle of it. What servers send meanwhile waits
    in the sockets.
    """
    loop = asyncio.get_running_loop()
    for number in range(WORK_PIECES):
        loop.call_later(
            number * WORK_INTERVAL_S, time.sleep, stall_s / WORK_PIECES
        )


class TestStalls(base.TestCase):
    """A node that stood still reads what came before it judges silence."""

    # Guards against sound servers that are given up, as their events had
    # waited in the sockets of a node without processor time.
    def test_events_wait_in_the_sockets(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                with run_steady_engines(3) as engines:
                    addresses = [item.address for item in engines]
                    await raw.register_engines(trial, *addresses)
                    for stall_s in (0.8, 1.2, 1.9):
                        await self._check_stream(trial, stall_s)
                    resumed = [item.resumed_count for item in engines]
                    self.assertEqual([0, 0, 0], resumed)

        self.run_coroutine(run())

    # Guards against sound servers that are given up, as the node stood still
    # before it sent them the request.
    def test_request_waits_to_be_sent(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                with run_steady_engines(2, first_s=0.1) as engines:
                    addresses = [item.address for item in engines]
                    await raw.register_engines(trial, *addresses)
                    loop = trial.nodes[0].loop
                    relay = loop.get_handler(effects.RelayAttempt)
                    attempts: list[effects.RelayAttempt] = []

                    def relay_late(effect: effects.RelayAttempt) -> None:
                        attempts.append(effect)
                        relay(effect)
                        time.sleep(1.0)

                    loop.handle(effects.RelayAttempt, relay_late)
                    _, body = await raw.read_stream(trial, '/stream/1')
                    self.assertEqual(1, len(attempts))
                    self.assertTrue(raw.decode_chunks(body)[1])

        self.run_coroutine(run())

    async def _check_stream(self, trial: site.Trial, stall_s: float) -> None:
        cancelled: list[effects.CancelAttempt] = []
        loop = trial.nodes[0].loop
        cancel = loop.get_handler(effects.CancelAttempt)
        loop.handle(effects.CancelAttempt, cancelled.append)
        reading = asyncio.ensure_future(raw.read_stream(trial, '/stream/1'))
        state = loop.state
        await site.until(
            lambda: any(item.last_event for item in state.requests.values())
        )
        stall(stall_s)
        _, body = await reading
        loop.handle(effects.CancelAttempt, cancel)
        self.assertEqual([], cancelled)
        expected = b''.join(map(runners.event, range(1, EVENTS + 1)))
        self.assertEqual((expected, True), raw.decode_chunks(body))
