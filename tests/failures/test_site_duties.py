"""Duties on the deployment platform: usage reports and server orders.

Only the node that holds the lease of the duties may send them.
"""

from __future__ import annotations

import asyncio
import collections

from teaselbridge.decisions import leases
from teaselbridge.standins import store as stores
from tests.failures import base
from tests.failures import site

SERVICES_WITH_SCALING = (
    {
        **site.SERVICES[0],
        'scaling': {
            'min-replicas': 1,
            'max-replicas': 4,
            'boot-s': 1.0,
            'spot-price': 0.15,
            'zone-prices': {'zone-a': 1.0, 'zone-b': 0.8},
        },
    },
    site.SERVICES[1],
)


class TestUsage(base.TestCase):
    """Tests of usage reports, which count requests by time window."""

    def test_counts_of_all_nodes(self) -> None:
        """Check that reports contain the requests of all nodes.

        Requests without a workspace are not reported.
        """

        async def run() -> None:
            async with site.run_deployment(2) as trial:
                for number in range(12):
                    await trial.call('/stock/1', node=number % 2)
                await trial.call('/open/1', key='')

                def total() -> int:
                    totals: collections.Counter[str] = collections.Counter()
                    for counts in trial.duties.usage().values():
                        totals.update(counts)
                    self.assertNotIn('', totals)
                    return totals['parish']

                await site.until(lambda: total() == 12)

        self.run_coroutine(run())

    def test_new_holder_resends_identical_reports(self) -> None:
        """Check that a new lease holder continues the reports.

        It may report a window again, but only with the same counts, and
        fencing tokens must never decrease.
        """

        async def run() -> None:
            async with site.run_deployment(3) as trial:
                await site.until(lambda: len(trial.duties.usage()) > 1)
                first = trial.duties.calls[-1]
                for _ in range(6):
                    await trial.call('/stock/1')
                (holder,) = [
                    node
                    for node in trial.nodes
                    if node.settings.node.name == first.holder
                ]
                trial.nodes.remove(holder)
                await holder.abort()
                await site.until(
                    lambda: trial.duties.calls[-1].holder != first.holder
                )
                await asyncio.sleep(2.0)
                fences = [call.fence for call in trial.duties.calls]
                self.assertEqual(sorted(fences), fences)
                by_window: dict[int, set[str]] = {}
                for call in trial.duties.calls:
                    if call.path == '/usage':
                        window = call.body['window-id']
                        reported_counts = repr(
                            sorted(call.body['counts'].items())
                        )
                        by_window.setdefault(window, set()).add(
                            reported_counts
                        )
                self.assertTrue(
                    all(len(reports) == 1 for reports in by_window.values())
                )

        self.run_coroutine(run())

    def test_holder_that_cannot_renew_stops(self) -> None:
        """Check that calls stop when the lease can't be renewed in time."""

        async def run() -> None:
            async with site.run_deployment() as trial:
                state = trial.nodes[0].loop.state
                await site.until(lambda: trial.duties.usage())
                trial.store.mode = stores.FaultMode.SILENT
                await asyncio.sleep(2.2)
                now = trial.nodes[0].loop.now()
                self.assertIsNone(leases.held(state, leases.DUTIES_LEASE, now))
                count = len(trial.duties.calls)
                await asyncio.sleep(1.0)
                self.assertEqual(count, len(trial.duties.calls))

        self.run_coroutine(run())


class TestScaling(base.TestCase):
    """Tests of server orders.

    Reclaimable (spot) servers are ordered first. On-demand servers make up
    for those that are not available.
    """

    def test_reclaimable_servers_are_ordered(self) -> None:
        async def run() -> None:
            document = site.encode_configuration(
                1, services=SERVICES_WITH_SCALING
            )
            async with site.run_deployment(configuration=document) as trial:
                await site.until(
                    lambda: [
                        call
                        for call in trial.duties.calls
                        if call.path == '/scale'
                    ]
                )
                call = next(
                    call
                    for call in trial.duties.calls
                    if call.path == '/scale'
                )
                self.assertTrue(call.body['spot'])
                self.assertEqual('engines', call.body['service'])

        self.run_coroutine(run())

    def test_on_demand_servers_if_no_spot_is_available(self) -> None:
        async def run() -> None:
            document = site.encode_configuration(
                1, services=SERVICES_WITH_SCALING
            )
            async with site.run_deployment(configuration=document) as trial:
                trial.duties.has_no_spot_hosts = True
                await site.until(
                    lambda: any(
                        call.path == '/scale' and not call.body.get('spot')
                        for call in trial.duties.calls
                    )
                )

        self.run_coroutine(run())
