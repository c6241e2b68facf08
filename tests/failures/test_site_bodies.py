"""Failure tests: more bytes of bodies than a small host can hold."""

from __future__ import annotations

import asyncio
import socket

from teaselbridge.decisions import effects
from teaselbridge.gateway import bodies
from teaselbridge.telemetry import timeline
from tests.failures import base
from tests.failures import site
from tests.failures import test_site_broken_streams as raw

BODY = b'x' * (4 << 20)
CALLERS = 16


class TestLargeBodies(base.TestCase):
    """Large requests beyond the memory for them are refused unrun."""

    # Guards against a process that is killed with all that it holds, as it
    # exceeds the memory of its host.
    def test_many_large_bodies_at_once(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                for server in trial.list_servers('shop'):
                    server.work_ms = 3_000.0
                (node,) = trial.nodes
                large = [
                    asyncio.ensure_future(trial.call('/stock/x', body=BODY))
                    for _ in range(CALLERS)
                ]
                most = 0
                while not all(item.done() for item in large):
                    held = [
                        len(item.call.body)
                        for item in node.loop.state.requests.values()
                    ]
                    most = max(most, sum(held))
                    await asyncio.sleep(0.02)
                slack = CALLERS * bodies.FREE_BYTES
                self.assertLessEqual(most, bodies.MAX_LARGE_BYTES + slack)
                responses = [item.result() for item in large]
                statuses = {item.status_code for item in responses}
                self.assertEqual({200, 503}, statuses)
                for response in responses:
                    runs = trial.count_runs(site.get_attempt_id(response))
                    self.assertEqual(response.status_code == 200, runs > 0)
                # All memory is free again.
                response = await trial.call('/stock/x', body=BODY)
                self.assertEqual(200, response.status_code)

        self.run_coroutine(run())

    def test_small_bodies_are_served_beside_them(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                (node,) = trial.nodes
                for server in trial.list_servers('shop'):
                    server.work_ms = 2_000.0
                large = [
                    asyncio.ensure_future(trial.call('/orders/x', body=BODY))
                    for _ in range(CALLERS)
                ]
                await site.until(lambda: len(node.loop.state.requests) > 4)
                response = await trial.call('/stream/x', body=b'x' * 60_000)
                self.assertEqual(200, response.status_code)
                await asyncio.gather(*large)

        self.run_coroutine(run())


class TestSlowCallers(base.TestCase):
    """A caller that does not read its stream is given up."""

    # Guards against a process that is killed with all that it holds, as what
    # waits for a caller exceeds the memory of its host.
    def test_stream_of_a_caller_that_does_not_read(self) -> None:
        events = 60
        event = raw.chunk(b'data: %s\n\n' % (b'x' * 500_000))
        stream = raw.head(200, raw.STREAM_TYPE, 'Transfer-Encoding: chunked')
        engine = raw.RawEngine(stream + events * event + raw.END_CHUNK, b'')

        async def run() -> None:
            async with (
                site.run_deployment() as trial,
                raw.run_engines(trial, engine),
            ):
                (node,) = trial.nodes
                host, _, port = site.callers(node).rpartition(':')
                headers = site.build_request_headers(site.WORKSPACE_KEY)
                lines = ['POST /stream/once/x HTTP/1.1', 'Content-Length: 0']
                lines += [f'{key}: {headers[key]}' for key in headers]
                loop = asyncio.get_running_loop()
                with socket.socket() as caller:
                    caller.setsockopt(
                        socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096
                    )
                    caller.setblocking(False)
                    await loop.sock_connect(caller, (host, int(port)))
                    await loop.sock_sendall(
                        caller, '\r\n'.join([*lines, '', '']).encode()
                    )
                    await site.until(lambda: node.loop.state.requests)
                    await site.until(lambda: not node.loop.state.requests)
                wanted = timeline.Filter(mark=effects.Mark.ENDED.value)
                (entry,) = node.loop.timeline.select(wanted)
                self.assertIn('ended by caller, part sent', entry.detail)

        self.run_coroutine(run())
