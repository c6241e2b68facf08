"""Servers whose bytes are no answer, and answers without a stated end."""

from __future__ import annotations

import asyncio
import tracemalloc

import httpx

from teaselbridge.standins import runner as runners
from tests.failures import base
from tests.failures import site
from tests.failures import test_site_requests

MAX_MEMORY_BYTES = 24 << 20
MAX_ANSWER_S = 4.0
# By then the longest lag of a server is forgotten, so that it is used again.
MAX_UNUSED_S = 30.0
# A second answer after a complete one is for nobody, and the first stands.
COMPLETE_FAULTS = (runners.Fault.ENDLESS_SURPLUS,)


class TestEndlessBytes(base.TestCase):
    """Bytes without end, until this node closes the connection."""

    async def check(self, path: str, fault: runners.Fault) -> None:
        """Check that a request is served by the other server, soon."""
        async with site.run_deployment() as trial:
            pool = 'engines' if path.startswith('/stream') else 'shop'
            servers = trial.list_servers(pool)
            for server in servers:
                await trial.call(path)
            tracemalloc.start()
            try:
                servers[0].faults.append(fault)
                async with asyncio.timeout(MAX_UNUSED_S):
                    while servers[0].faults:
                        async with asyncio.timeout(MAX_ANSWER_S):
                            response = await trial.call(path)
                        self.assertEqual(200, response.status_code, fault)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            self.assertLess(peak, MAX_MEMORY_BYTES)
            await site.until(lambda: servers[0].cancelled_count)
            if fault in COMPLETE_FAULTS:
                return
            (known,) = [
                server
                for server in trial.nodes[0].loop.state.servers.all
                if server.row.address == servers[0].address
            ]
            self.assertGreater(known.failure_ratio, 0.0)

    # Guards against bytes without end that fill the memory or hold the
    # request.
    def test_plain_answers(self) -> None:
        async def run() -> None:
            for fault in runners.ENDLESS_BYTES:
                await self.check('/stock/1', fault)

        self.run_coroutine(run())

    def test_streams(self) -> None:
        async def run() -> None:
            for fault in runners.ENDLESS_BYTES:
                await self.check('/stream/1', fault)

        self.run_coroutine(run())


class TestUnframedStreams(base.TestCase):
    """Streams that end with their connection."""

    def test_stream_without_a_length_is_whole(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                for server in trial.list_servers('engines'):
                    server.faults.append(runners.Fault.UNFRAMED)
                for _ in range(4):
                    response = await trial.call('/stream/1')
                    self.assertEqual(200, response.status_code)
                    self.assertEqual(
                        test_site_requests.ALL_EVENTS, response.content
                    )

        self.run_coroutine(run())

    # Guards against a broken-off stream that looks complete.
    def test_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                engines = trial.list_servers('engines')
                engines[0].faults.append(runners.Fault.UNFRAMED_CUT)
                while engines[0].faults:
                    response = await trial.call('/stream/1')
                    self.assertEqual(
                        test_site_requests.ALL_EVENTS, response.content
                    )

        self.run_coroutine(run())

    def test_stream_that_is_not_resumable_is_broken_off(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                for server in trial.list_servers('engines'):
                    server.faults.append(runners.Fault.UNFRAMED_CUT)
                with self.assertRaises(httpx.RemoteProtocolError):
                    await trial.call('/stream/once/1')

        self.run_coroutine(run())
