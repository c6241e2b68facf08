"""Backend servers on hosts that leave get no new requests.

The servers still accept requests, so nodes must stop sending them.
"""

from __future__ import annotations

import asyncio

from teaselbridge.standins import engine
from tests.failures import base

NOTICE_PERIOD_MS = 20_000
PROPAGATION_S = 5.0
REQUEST_COUNT = 30


class TestLeaving(base.TestCase):
    """Tests of a host that the cloud takes back.

    A few seconds after the announcement no node sends it new requests.
    """

    def _count_requests(self, trial: base.Trial, host: str) -> int:
        """Return how many requests the engine on a host has received."""
        server = trial.fleet.backends[host].server
        assert isinstance(server, engine.Engine)
        return server.figures.requests

    async def _send_all(self, trial: base.Trial) -> None:
        """Send different prompts through both nodes, to use all engines."""
        callers = [trial.create_caller(number) for number in (0, 1)]
        answers = await asyncio.gather(
            *(
                callers[number % 2].complete(
                    base.build_chat_request(f'x {number}', 3)
                )
                for number in range(REQUEST_COUNT)
            )
        )
        self.assertEqual({3}, {len(answer.tokens) for answer in answers})

    def test_no_new_requests_after_notice(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                await self._send_all(trial)
                host = max(
                    (
                        host
                        for host, backend in trial.fleet.backends.items()
                        if backend.row.pool == 'engines'
                    ),
                    key=lambda host: self._count_requests(trial, host),
                )
                self.assertGreater(self._count_requests(trial, host), 0)
                now = trial.nodes[0].loop.now().wall
                trial.fleet.region.announce_reclaim(
                    host, now + NOTICE_PERIOD_MS
                )
                await asyncio.sleep(PROPAGATION_S)
                before = self._count_requests(trial, host)
                await self._send_all(trial)
                self.assertEqual(before, self._count_requests(trial, host))

        self.run_coroutine(run())

    def test_no_new_requests_if_notices_are_lost(self) -> None:
        """Check that the state in the host list is sufficient.

        The host list shows a leaving host later than the notice does.
        """

        async def run() -> None:
            async with base.running() as trial:
                await self._send_all(trial)
                host = 'engines-1'
                trial.fleet.region.mark_leaving(host)
                await asyncio.sleep(PROPAGATION_S)
                before = self._count_requests(trial, host)
                await self._send_all(trial)
                self.assertEqual(before, self._count_requests(trial, host))

        self.run_coroutine(run())
