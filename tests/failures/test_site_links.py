"""Failure tests: nodes without links to the backend servers."""

from __future__ import annotations

import asyncio
import time

from tests.failures import base
from tests.failures import links as links_module
from tests.failures import site

CONTACT_S = 3.0
SEND_INTERVAL_S = 0.05
PATHS = ('/stock/x', '/orders/x', '/stream/x', '/stream/once/x')


async def send_until(trial: site.Trial, until: float) -> list[int]:
    """Send requests of all routes to the first node.

    :param until: time of the monotonic clock.
    :return: statuses of the answers.
    """
    sent: list[asyncio.Task[int]] = []

    async def send(path: str) -> int:
        response = await trial.call(path, Teaselbridge_Deadline_Ms='2000')
        return response.status_code

    while time.monotonic() < until:
        path = PATHS[len(sent) % len(PATHS)]
        sent.append(asyncio.ensure_future(send(path)))
        await asyncio.sleep(SEND_INTERVAL_S)
    return await asyncio.gather(*sent)


class TestCutLinks(base.TestCase):
    """A node without links to the servers serves its callers all the same."""

    def _check_served(self, how: links_module.Cut) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=3) as trial:
                links = links_module.Links(trial=trial, node=0)
                for _ in range(2):
                    links.cut(how)
                    await send_until(trial, time.monotonic() + CONTACT_S)
                    statuses = await send_until(trial, time.monotonic() + 2)
                    self.assertGreater(len(statuses), 20)
                    served = statuses.count(200)
                    self.assertGreaterEqual(served, 2 / 3 * len(statuses))
                    links.heal()
                    await send_until(trial, time.monotonic() + 1)
                    statuses = await send_until(trial, time.monotonic() + 1)
                    self.assertEqual({200}, set(statuses))

        self.run_coroutine(run())

    # Guards against callers that are not served by a node from which all
    # connections to servers time out.
    def test_connections_that_time_out(self) -> None:
        self._check_served(links_module.Cut.HANG)

    # The same where all requests to servers are reset.
    def test_connections_that_are_reset(self) -> None:
        self._check_served(links_module.Cut.RESET)

    # The same where all servers refuse new connections.
    def test_connections_that_are_refused(self) -> None:
        self._check_served(links_module.Cut.REFUSE)
