"""Failure tests: backend servers that name a limit, over sockets."""

from __future__ import annotations

import asyncio
import time

from tests.failures import base
from tests.failures import site

CONTACT_S = 3.0
SPAN_S = 4.0
SEND_INTERVAL_S = 0.02


async def send_until(trial: site.Trial, until: float) -> list[int]:
    """Send requests to all nodes in turn.

    :param until: time of the monotonic clock.
    :return: statuses of the answers.
    """
    sent: list[asyncio.Task[int]] = []

    async def send(node: int) -> int:
        response = await trial.call('/stock/x', node=node)
        return response.status_code

    while time.monotonic() < until:
        task = asyncio.ensure_future(send(len(sent) % len(trial.nodes)))
        sent.append(task)
        await asyncio.sleep(SEND_INTERVAL_S)
    return await asyncio.gather(*sent)


class TestLimits(base.TestCase):
    """All nodes together keep to the limit that a server names."""

    # Guards against a server getting more requests than the limit that it
    # named to both nodes.
    def test_named_limit_is_kept(self) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=2) as trial:
                limited, other = trial.list_servers('shop')
                limited.limit = '1'
                began = time.monotonic()
                statuses = await send_until(trial, began + CONTACT_S + SPAN_S)
                self.assertEqual({200}, set(statuses))
                late = [
                    at for at in limited.arrivals if at >= began + CONTACT_S
                ]
                self.assertLessEqual(len(late), 1.5 * SPAN_S + 5)
                self.assertGreater(len(late), 0)
                self.assertGreater(len(other.arrivals), len(statuses) / 2)

        self.run_coroutine(run())
