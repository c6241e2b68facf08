"""Requests whose sound servers are still at work at their deadline."""

from __future__ import annotations

import httpx
import uuid_utils

from teaselbridge.standins import service
from teaselbridge.telemetry import timeline
from tests.failures import base

WORK_MS = 1_500
DEADLINE_MS = 500
LATE = 'urn:teaselbridge:problem:deadline-passed'


class TestDeadlines(base.TestCase):
    """A deadline that passes is no failure of a server."""

    async def _send(
        self,
        trial: base.Trial,
        method: str,
        path: str,
        deadline_ms: int,
        request: str,
    ) -> httpx.Response:
        headers = {
            'authorization': f'Bearer {base.WORKSPACE_KEY}',
            'idempotency-key': f'"{request}"',
            'x-deadline-ms': str(deadline_ms),
        }
        async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
            return await client.request(
                method, trial.base() + path, headers=headers, json={}
            )

    def _slow_down(self, trial: base.Trial) -> None:
        for backend in trial.fleet.backends.values():
            if isinstance(backend.server, service.Service):
                backend.server.set_work_ms(WORK_MS)

    # Guards against a late look-up that is answered as if its server had
    # failed, and against a silent server that nobody takes note of.
    def test_lookup(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                self._slow_down(trial)
                request = str(uuid_utils.uuid7())
                response = await self._send(
                    trial, 'GET', '/catalogue/x', DEADLINE_MS, request
                )
                self.assertEqual(
                    (504, LATE),
                    (response.status_code, response.json()['type']),
                )
                faults = [
                    entry.detail
                    for node in trial.nodes
                    for entry in node.loop.timeline.select(
                        timeline.Filter(request=request, mark='request-fault')
                    )
                ]
                self.assertEqual(1, len(faults))
                self.assertIn('silent, ran unknown', faults[0])

        self.run_coroutine(run())

    # Guards against orders whose outcome is thrown away at their deadline.
    def test_order_is_stored(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                self._slow_down(trial)
                request = str(uuid_utils.uuid7())
                late = await self._send(
                    trial, 'POST', '/orders', DEADLINE_MS, request
                )
                self.assertEqual(
                    (504, LATE), (late.status_code, late.json()['type'])
                )
                again = await self._send(
                    trial, 'POST', '/orders', 4 * WORK_MS, request
                )
                self.assertEqual(
                    (201, 1), (again.status_code, again.json().get('run'))
                )

        self.run_coroutine(run())
