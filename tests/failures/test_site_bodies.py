"""Failure tests: more bytes of bodies than a small host can hold."""

from __future__ import annotations

import asyncio

from teaselbridge.gateway import bodies
from tests.failures import base
from tests.failures import site

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
                # All room is free again.
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
