"""Connections that callers keep open to a node that stops."""

from __future__ import annotations

import asyncio
import typing

import httpx

from tests.failures import base

CALLER_COUNT = 8
DRAIN_MS = 4_000
MAX_SPAN_S = 30.0


class TestKeptConnections(base.TestCase):
    """Callers hear of the end of their connection in an answer."""

    async def _call_until_closed(self, trial: base.Trial) -> str:
        """Send requests until an answer ends the connection.

        :return: what happened instead, empty for nothing.
        """
        headers = {'authorization': f'Bearer {base.WORKSPACE_KEY}'}
        limits = httpx.Limits(max_connections=1)
        async with httpx.AsyncClient(
            trust_env=False, limits=limits, timeout=MAX_SPAN_S
        ) as client:
            while True:
                try:
                    response = await client.get(
                        f'{trial.base()}/catalogue/candles', headers=headers
                    )
                except httpx.HTTPError as error:
                    return repr(error)
                if response.status_code not in (200, 307):
                    return f'status {response.status_code}'
                if response.headers.get('connection') == 'close':
                    return ''

    # Guards against requests on kept connections that cross their close by a
    # stopping node.
    def test_last_answer_tells_the_end(self) -> None:
        async def run() -> list[typing.Any]:
            async with base.running(drain_ms=DRAIN_MS) as trial:
                calls = [
                    asyncio.ensure_future(self._call_until_closed(trial))
                    for _ in range(CALLER_COUNT)
                ]
                await asyncio.sleep(0.5)
                await trial.drain()
                return await asyncio.gather(*calls)

        async def check() -> None:
            self.assertEqual([''] * CALLER_COUNT, await run())

        self.run_coroutine(check())
