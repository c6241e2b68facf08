"""Requests that a node still holds when it must stop."""

from __future__ import annotations

import asyncio

import httpx
import msgspec
import uuid_utils

from teaselbridge.client import outcomes
from teaselbridge.standins import keyvalue
from teaselbridge.standins import service
from tests.failures import base

DRAIN_MS = 2_500
WORK_MS = 30_000
MAX_SPAN_S = 30.0


class TestLastAnswers(base.TestCase):
    """Each of them gets a refusal that tells whether it may have run."""

    async def _send(
        self, trial: base.Trial, method: str, path: str
    ) -> outcomes.Problem:
        headers = {
            'authorization': f'Bearer {base.WORKSPACE_KEY}',
            'idempotency-key': f'"{uuid_utils.uuid7()}"',
        }
        async with httpx.AsyncClient(
            trust_env=False, timeout=MAX_SPAN_S
        ) as client:
            response = await client.request(
                method, trial.base() + path, headers=headers, json={}
            )
        self.assertEqual(503, response.status_code, response.text)
        return msgspec.json.decode(response.content, type=outcomes.Problem)

    async def _stop(
        self, trial: base.Trial, *calls: tuple[str, str]
    ) -> list[tuple[str, str]]:
        """Stop a node that holds some requests.

        :return: reason of each refusal, and whether the request has run.
        """
        node = trial.nodes[0]
        answers = [
            asyncio.ensure_future(self._send(trial, *call)) for call in calls
        ]
        await trial.until(lambda: len(node.loop.state.requests) == len(calls))
        await trial.drain()
        return [
            (problem.reason, problem.ran)
            for problem in await asyncio.gather(*answers)
        ]

    # Guards against "Internal Server Error" as the answer to requests that
    # outlast their node.
    def test_servers_are_at_work(self) -> None:
        async def run() -> None:
            async with base.running(drain_ms=DRAIN_MS) as trial:
                for backend in trial.fleet.backends.values():
                    if isinstance(backend.server, service.Service):
                        backend.server.set_work_ms(WORK_MS)
                self.assertEqual(
                    [('node-stopping', 'unknown')] * 2,
                    await self._stop(
                        trial, ('POST', '/orders'), ('GET', '/catalogue/x')
                    ),
                )

        self.run_coroutine(run())

    def test_claim_is_not_written(self) -> None:
        async def run() -> None:
            async with base.running(drain_ms=DRAIN_MS) as trial:
                trial.fleet.store.faults = keyvalue.Faults(down=True)
                self.assertEqual(
                    [('node-stopping', 'unknown')],
                    await self._stop(trial, ('POST', '/orders')),
                )

        self.run_coroutine(run())
