"""Orders to backend servers from a lease holder that was replaced.

Two nodes that send orders for one pool at the same time could undo each
other's orders. A paused process or a lease that ends early can cause this.
"""

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
ORDER_VALIDITY_MS = 60_000


class TestReplacedHolder(base.TestCase):
    """Tests of pending orders of a former lease holder.

    They are either not sent or refused by the backend server.
    """

    def _get_held_lease(self, node: nodes.Node) -> leases.Lease | None:
        """Return the lease of the pool if a node may act on it now."""
        return node.loop.state.leases.held(POOL, node.loop.now())

    def _get_newest_fence(self, trial: base.Trial) -> int:
        """Return the newest fencing token of a lease that a node holds.

        :return: the fencing token, or 0 if no node holds the lease.
        """
        held = [self._get_held_lease(node) for node in trial.nodes]
        return max((lease.fence for lease in held if lease), default=0)

    def _build_order(
        self, trial: base.Trial, fence: int, until: int
    ) -> effects.OrderServer:
        """Build an order to run another version.

        :param fence: fencing token of the order.
        :param until: monotonic milliseconds at which the lease expires.
        """
        backend = trial.fleet.backends[HOST]
        return effects.OrderServer(
            host=HOST,
            address=backend.row.address,
            version='v9',
            fence=fence,
            until=until,
        )

    def _count_orders(self, trial: base.Trial) -> int:
        """Return how many orders the backend server accepted."""
        server = trial.fleet.backends[HOST].server
        assert isinstance(server, engine.Engine)
        return len(server.orders)

    def test_order_is_not_sent_after_lease_expiry(self) -> None:
        """Check that an order is dropped if its lease has expired.

        A process that is paused between the decision and the sending of an
        order may resume after the lease has expired.
        """

        async def run() -> None:
            async with base.running() as trial:
                await trial.until(lambda: self._get_newest_fence(trial))
                now = trial.nodes[0].loop.now().mono
                late = self._build_order(
                    trial, self._get_newest_fence(trial), now
                )
                async with httpx.AsyncClient(trust_env=False) as client:
                    with self.assertRaises(control.TooLateError):
                        await control.send_order(client, late, clocks.Clock())
                self.assertEqual(0, self._count_orders(trial))

        self.run_coroutine(run())

    def test_server_refuses_old_fencing_token(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                await trial.until(lambda: self._get_newest_fence(trial))
                old = self._get_newest_fence(trial)
                trial.fleet.store.expire_leases()
                await trial.until(lambda: self._get_newest_fence(trial) > old)
                until = trial.nodes[0].loop.now().mono + ORDER_VALIDITY_MS
                new = self._build_order(
                    trial, self._get_newest_fence(trial), until
                )
                late = self._build_order(trial, old, until)
                async with httpx.AsyncClient(trust_env=False) as client:
                    await control.send_order(client, new, clocks.Clock())
                    with self.assertRaises(httpx.HTTPStatusError):
                        await control.send_order(client, late, clocks.Clock())
                self.assertEqual(1, self._count_orders(trial))

        self.run_coroutine(run())

    def test_new_holder_waits_for_expiry_of_old_lease(self) -> None:
        """Check that a new holder waits until the old lease has expired.

        Backend servers that do not check fencing tokens would still accept
        orders from the old holder until then.
        """

        async def run() -> None:
            async with base.running() as trial:
                await trial.until(lambda: self._get_newest_fence(trial))
                old = self._get_newest_fence(trial)
                lapsed_at = trial.nodes[0].loop.now().mono
                trial.fleet.store.expire_leases()
                await trial.until(lambda: self._get_newest_fence(trial) > old)
                holder = next(
                    lease
                    for lease in map(self._get_held_lease, trial.nodes)
                    if lease is not None and lease.fence > old
                )
                last = lapsed_at + leases.TTL_MS - leases.MARGIN_MS
                self.assertGreaterEqual(holder.orders_from, last)

        self.run_coroutine(run())
