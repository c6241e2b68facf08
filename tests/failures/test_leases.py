"""Orders to backend servers from a holder that was replaced."""

from __future__ import annotations

import httpx

from teaselbridge.backends import control
from teaselbridge import clock as clocks
from teaselbridge.decisions import effects
from teaselbridge.decisions import leases
from teaselbridge.runtime import node as nodes
from teaselbridge.standins import engine
from tests.failures import base

POOL = 'engines'
HOST = 'engines-1'
LATER_MS = 60_000


class TestReplacedHolder(base.TestCase):
    """What it still has in hand is not sent, or not obeyed."""

    def _held(self, node: nodes.Node) -> leases.Lease | None:
        return node.loop.state.leases.held(POOL, node.loop.now())

    def _fence(self, trial: base.Trial) -> int:
        """Give the newest fencing number that a node may order under."""
        held = [self._held(node) for node in trial.nodes]
        return max((lease.fence for lease in held if lease), default=0)

    def _order(
        self, trial: base.Trial, fence: int, until: int
    ) -> effects.OrderServer:
        backend = trial.fleet.backends[HOST]
        return effects.OrderServer(
            host=HOST,
            address=backend.row.address,
            version='v9',
            fence=fence,
            until=until,
        )

    def _orders(self, trial: base.Trial) -> int:
        server = trial.fleet.backends[HOST].server
        assert isinstance(server, engine.Engine)
        return len(server.orders)

    def test_order_in_hand_when_the_lease_is_over(self) -> None:
        """A process that was paused looks at the clock before it sends."""

        async def run() -> None:
            async with base.running() as trial:
                await trial.until(lambda: self._fence(trial))
                now = trial.nodes[0].loop.now().mono
                late = self._order(trial, self._fence(trial), now)
                async with httpx.AsyncClient(trust_env=False) as client:
                    with self.assertRaises(control.TooLateError):
                        await control.send(client, late, clocks.Clock())
                self.assertEqual(0, self._orders(trial))

        self.go(run())

    def test_server_that_checks_refuses_the_old_number(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                await trial.until(lambda: self._fence(trial))
                old = self._fence(trial)
                trial.fleet.store.lapse()
                await trial.until(lambda: self._fence(trial) > old)
                until = trial.nodes[0].loop.now().mono + LATER_MS
                new = self._order(trial, self._fence(trial), until)
                late = self._order(trial, old, until)
                async with httpx.AsyncClient(trust_env=False) as client:
                    await control.send(client, new, clocks.Clock())
                    with self.assertRaises(httpx.HTTPStatusError):
                        await control.send(client, late, clocks.Clock())
                self.assertEqual(1, self._orders(trial))

        self.go(run())

    def test_server_that_does_not_check_waits_out_the_old_holder(
        self,
    ) -> None:
        """The new holder orders nothing while the old one may still."""

        async def run() -> None:
            async with base.running() as trial:
                await trial.until(lambda: self._fence(trial))
                old = self._fence(trial)
                lapsed = trial.nodes[0].loop.now().mono
                trial.fleet.store.lapse()
                await trial.until(lambda: self._fence(trial) > old)
                holder = next(
                    lease
                    for lease in map(self._held, trial.nodes)
                    if lease is not None and lease.fence > old
                )
                last = lapsed + leases.TTL_MS - leases.MARGIN_MS
                self.assertGreaterEqual(holder.orders_from, last)

        self.go(run())
