"""Test restores of the deployment platform's store from an older copy."""

from __future__ import annotations

import asyncio

from tests.failures import base
from tests.failures import site

# Time in which operators and servers write their entries again.
REWRITE_S = 0.5


class TestRestores(base.TestCase):
    """What the restored store lost stays in force at the nodes."""

    def test_nodes_follow_the_restored_store(self) -> None:
        """Revisions are given out again, so that a watch would miss some."""

        async def run() -> None:
            async with site.run_deployment(2) as trial:
                copy = trial.store.copy()
                await trial.store.put(
                    'op/config', site.encode_configuration(4)
                )
                state = trial.nodes[0].loop.state
                await site.until(lambda: state.index.generation == 4)
                await trial.store.restore(copy)
                for number in range(30):
                    await trial.store.put(f'other/{number}', b'')
                await trial.store.put(
                    'op/config', site.encode_configuration(9)
                )
                for node in trial.nodes:
                    state = node.loop.state
                    await site.until(
                        lambda state=state: state.index.generation == 9
                    )
                    await site.until(
                        lambda state=state: state.store_view.era == 1, 3.0
                    )

        self.run_coroutine(run())

    def test_revoked_key_stays_revoked(self) -> None:
        async def run() -> None:
            async with site.run_deployment(2) as trial:
                copy = trial.store.copy()
                tenants = ({'name': 'parish', 'api-keys': ['second-key']},)
                document = site.encode_configuration(2, tenants=tenants)
                await trial.store.put('op/config', document)
                for node in trial.nodes:
                    state = node.loop.state
                    await site.until(
                        lambda state=state: state.index.generation == 2
                    )
                await trial.store.restore(copy)
                await site.until(
                    lambda: all(
                        node.loop.state.store_view.era for node in trial.nodes
                    )
                )
                for number in range(4):
                    refused = await trial.call('/stock/1', node=number % 2)
                    self.assertEqual(401, refused.status_code)
                await trial.store.put('op/config', document)
                served = await trial.call('/stock/1', key='second-key')
                self.assertEqual(200, served.status_code)

        self.run_coroutine(run())

    def test_requests_are_served_throughout(self) -> None:
        """Entries of servers are missing until they are written again."""

        async def run() -> None:
            async with site.run_deployment(2) as trial:
                for server in trial.servers:
                    await trial.store.remove(server.key)
                copy = trial.store.copy()
                for server in trial.servers:
                    await server.register(trial.store)
                await asyncio.sleep(REWRITE_S)
                await trial.store.restore(copy)
                rewrite = asyncio.ensure_future(_register_later(trial))
                for number in range(40):
                    response = await trial.call('/stock/1', node=number % 2)
                    self.assertEqual(200, response.status_code)
                    await asyncio.sleep(0.02)
                await rewrite

        self.run_coroutine(run())

    def test_removed_server_is_not_used_again(self) -> None:
        async def run() -> None:
            async with site.run_deployment(2) as trial:
                gone, _ = trial.list_servers('shop')
                copy = trial.store.copy()
                await trial.store.remove(gone.key)
                for node in trial.nodes:
                    state = node.loop.state
                    await site.until(
                        lambda state=state: len(state.servers.all) == 3
                    )
                await trial.store.restore(copy)
                await site.until(
                    lambda: all(
                        node.loop.state.store_view.held for node in trial.nodes
                    )
                )
                run_count = len(gone.runs)
                for number in range(10):
                    await trial.call('/stock/1', node=number % 2)
                self.assertEqual(run_count, len(gone.runs))
                await gone.register(trial.store)
                for node in trial.nodes:
                    state = node.loop.state
                    await site.until(
                        lambda state=state: len(state.servers.all) == 4
                    )

        self.run_coroutine(run())

    def test_nodes_write_their_entries_again(self) -> None:
        async def run() -> None:
            async with site.run_deployment(2) as trial:
                keys = [f'teaselbridge/nodes/front-{i}' for i in range(2)]
                copy = trial.store.copy()
                for key in keys:
                    copy.items.pop(key, None)
                await trial.store.restore(copy)
                for key in keys:
                    await site.until(
                        lambda key=key: trial.store.value(key), 5.0
                    )

        self.run_coroutine(run())


class TestDuties(base.TestCase):
    """Duties over restores: tokens grow, windows are reported once."""

    def test_reports_over_two_restores(self) -> None:
        async def run() -> None:
            async with site.run_deployment(2) as trial:
                for _ in range(2):
                    copy = trial.store.copy()
                    count = len(trial.duties.calls)
                    await site.until(
                        lambda count=count: len(trial.duties.calls) > count + 1
                    )
                    await trial.call('/stock/1')
                    await trial.store.restore(copy)
                count = len(trial.duties.calls)
                await site.until(lambda: len(trial.duties.calls) > count + 1)
                reported: dict[int, dict[str, int]] = {}
                fences = []
                for call in trial.duties.calls:
                    fences.append(call.fence)
                    if call.path != '/usage':
                        continue
                    window = call.body['window-id']
                    counts = reported.setdefault(window, call.body['counts'])
                    self.assertEqual(counts, call.body['counts'])
                self.assertEqual(sorted(fences), fences)
                self.assertEqual(3, len(set(fences)))

        self.run_coroutine(run())


async def _register_later(trial: site.Trial) -> None:
    await asyncio.sleep(REWRITE_S)
    for server in trial.servers:
        await server.register(trial.store)
