"""Backend servers that leave get no new work, though they would take it."""

from __future__ import annotations

import asyncio

from teaselbridge.standins import engine
from tests.failures import base

NOTICE_MS = 20_000
LEAVING_S = 5.0
REQUESTS = 30


class TestLeaving(base.TestCase):
    """A few seconds after the notice no node sends it anything."""

    def _requests(self, trial: base.Trial, host: str) -> int:
        server = trial.fleet.backends[host].server
        assert isinstance(server, engine.Engine)
        return server.figures.requests

    async def _send_all(self, trial: base.Trial) -> None:
        """Send different prompts through both nodes, so that all serve."""
        callers = [trial.caller(number) for number in (0, 1)]
        found = await asyncio.gather(
            *(
                callers[number % 2].complete(base.chat(f'x {number}', 3))
                for number in range(REQUESTS)
            )
        )
        self.assertEqual({3}, {len(answer.tokens) for answer in found})

    def test_no_new_work_after_the_notice(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                await self._send_all(trial)
                host = max(
                    (
                        host
                        for host, backend in trial.fleet.backends.items()
                        if backend.row.pool == 'engines'
                    ),
                    key=lambda host: self._requests(trial, host),
                )
                self.assertGreater(self._requests(trial, host), 0)
                now = trial.nodes[0].loop.now().wall
                trial.fleet.region.notice(host, now + NOTICE_MS)
                await asyncio.sleep(LEAVING_S)
                before = self._requests(trial, host)
                await self._send_all(trial)
                self.assertEqual(before, self._requests(trial, host))

        self.go(run())

    def test_no_new_work_with_the_notices_lost(self) -> None:
        """The host list, late as it is, tells of it as well."""

        async def run() -> None:
            async with base.running() as trial:
                await self._send_all(trial)
                host = 'engines-1'
                trial.fleet.region.mark_leaving(host)
                await asyncio.sleep(LEAVING_S)
                before = self._requests(trial, host)
                await self._send_all(trial)
                self.assertEqual(before, self._requests(trial, host))

        self.go(run())
