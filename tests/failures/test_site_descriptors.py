"""Test a node whose process has no descriptors left."""

from __future__ import annotations

import asyncio
import contextlib

import httpx

from tests.failures import base
from tests.failures import processes
from tests.failures import site

CALLERS = 8
MORE_CONNECTIONS = 40
DESCRIPTORS_LEFT = 10
WORK_MS = 500.0
# Some tens a second.
MAX_ERRORS = 1_000


class TestDescriptors(base.TestCase):
    """A node without descriptors serves what it has accepted, and goes on."""

    async def _send(
        self, client: httpx.AsyncClient, node: processes.NodeProcess, path: str
    ) -> httpx.Response:
        return await client.post(
            f'http://{node.callers}{path}',
            content=b'body',
            headers=site.build_request_headers(site.WORKSPACE_KEY),
        )

    async def _use_up(
        self, node: processes.NodeProcess
    ) -> list[asyncio.StreamWriter]:
        """Open more connections than the node has descriptors for."""
        node.use_up_descriptors(DESCRIPTORS_LEFT)
        host, _, port = node.callers.rpartition(':')
        opened = [
            await asyncio.open_connection(host, int(port))
            for _ in range(MORE_CONNECTIONS)
        ]
        await asyncio.sleep(0.2)
        return [writer for _, writer in opened]

    async def _play(
        self, trial: site.Trial, node: processes.NodeProcess, path: str
    ) -> None:
        for server in trial.servers:
            server.work_ms = WORK_MS
        clients = [
            httpx.AsyncClient(trust_env=False, timeout=site.TIMEOUT_S)
            for _ in range(CALLERS)
        ]
        async with contextlib.AsyncExitStack() as stack:
            for client in clients:
                await stack.enter_async_context(client)
            accepted = [
                asyncio.ensure_future(self._send(client, node, path))
                for client in clients
            ]
            await site.until(
                lambda: (
                    sum(len(item.runs) for item in trial.servers) == CALLERS
                )
            )
            writers = await self._use_up(node)
            for call in accepted:
                self.assertEqual(200, (await call).status_code)
            # Each has a connection to the node, which may get none to a
            # server.
            for client in clients:
                response = await self._send(client, node, path)
                attempt = site.get_attempt_id(response)
                if response.status_code == 200:
                    self.assertEqual(1, trial.count_runs(attempt))
                else:
                    self.assertEqual(503, response.status_code)
                    self.assertEqual(0, trial.count_runs(attempt))
            self.assertTrue(node.is_running)
            for writer in writers:
                writer.close()
            await asyncio.sleep(1.5)
            response = await self._send(trial.client, node, path)
            self.assertEqual(200, response.status_code)

    def test_kept_connections(self) -> None:
        async def run(path: str) -> None:
            async with processes.run_processes(1) as (trial, nodes):
                (node,) = nodes
                await self._play(trial, node, path)
                node.stop()
                await node.wait()
                log = node.log.read_text()
                self.assertIn('node-stopped', log)
                self.assertNotIn('internal-error', log)
                # Guards against a loop that stands still while it logs.
                errors = log.count('out of system resource')
                self.assertGreater(errors, 0)
                self.assertLess(errors, MAX_ERRORS)

        for path in ('/orders/1', '/stock/1'):
            self.run_coroutine(run(path))
