"""Forwarded requests while the nodes that help, or are helped, stop."""

from __future__ import annotations

import asyncio
import typing

from tests.failures import base
from tests.failures import links as links_module
from tests.failures import site

if typing.TYPE_CHECKING:
    import httpx

    from teaselbridge.runtime import site as sites

# Their stream outlasts the time for which callers may use an old list.
EVENTS = 80
EVENT_MS = 50.0
# Their stream outlasts the grace period.
LONG_EVENTS = 120


class TestStoppingNodes(base.TestCase):
    """A forwarded request is answered whole while nodes are stopped."""

    async def _cut(self, trial: site.Trial, node: int) -> links_module.Links:
        """Cut the links of a node, and wait until it knows."""
        links = links_module.Links(trial=trial, node=node)
        links.cut(links_module.Cut.REFUSE)
        while len(trial.nodes[node].loop.state.links.cut_pools) < 2:
            await trial.call('/stock/x', node=node)
            await trial.call('/stream/x', node=node)
        return links

    async def _start(
        self, trial: site.Trial, path: str, events: int
    ) -> tuple[
        asyncio.Task[httpx.Response], sites.SiteNode, links_module.Links
    ]:
        """Send a request to the first node.

        :return: the call, its helper and the links that are cut.
        """
        links = await self._cut(trial, 0)
        for server in trial.servers:
            server.events = events
            server.event_ms = EVENT_MS
            server.work_ms = 1_500.0
        call = asyncio.ensure_future(
            trial.call(path, Teaselbridge_Deadline_Ms='14000')
        )
        state = trial.nodes[0].loop.state
        await site.until(
            lambda: any(item.helper for item in state.requests.values())
        )
        (request,) = state.requests.values()
        (helper,) = [
            node
            for node in trial.nodes
            if node.settings.node.name == request.helper
        ]
        if path.startswith('/stream'):
            await site.until(lambda: request.last_event)
        else:
            await site.until(lambda: helper.loop.state.requests)
        return call, helper, links

    def _check_numbers(self, response: httpx.Response, events: int) -> None:
        found = [
            line
            for line in response.text.splitlines()
            if line.startswith('id:')
        ]
        wanted = [f'id: {number}' for number in range(1, events + 1)]
        self.assertEqual(wanted, found)

    def _run(
        self,
        path: str,
        events: int,
        *,
        stopped: str,
        nodes: int,
        grace_s: float = site.LONG_GRACE_S,
    ) -> None:
        async def run() -> None:
            async with site.run_deployment(
                nodes=nodes, grace_s=grace_s
            ) as trial:
                call, helper, _ = await self._start(trial, path, events)
                node = helper if stopped == 'helper' else trial.nodes[0]
                stop = asyncio.ensure_future(_stop(node))
                response = await call
                self.assertEqual(200, response.status_code)
                if path.startswith('/stream'):
                    self._check_numbers(response, events)
                await stop
                trial.nodes.remove(node)

        self.run_coroutine(run())

    # Guards against a forwarded stream that is broken off as its helper is
    # stopped, although it ends within the grace period.
    def test_helper_stops(self) -> None:
        for path in ('/stream/x', '/stream/once/x', '/orders/x', '/stock/x'):
            self._run(path, EVENTS, stopped='helper', nodes=3)

    # The same where the stream lasts longer than the helper.
    def test_helper_stops_before_the_end(self) -> None:
        self._run(
            '/stream/x',
            LONG_EVENTS,
            stopped='helper',
            nodes=3,
            grace_s=site.GRACE_S,
        )

    # The same where no other node can help.
    def test_only_helper_stops(self) -> None:
        for path in ('/stream/x', '/orders/x', '/stock/x'):
            self._run(path, EVENTS, stopped='helper', nodes=2)

    # Guards against a forwarded request that is broken off as the node of its
    # caller is stopped.
    def test_origin_stops(self) -> None:
        for path in ('/stream/x', '/stream/once/x', '/orders/x', '/stock/x'):
            self._run(path, EVENTS, stopped='origin', nodes=2)

    # Guards against a stream that is broken off as all helpers are stopped
    # at once, although its own node reaches a server before its deadline.
    def test_all_helpers_stop(self) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=3) as trial:
                call, _, links = await self._start(
                    trial, '/stream/x', LONG_EVENTS
                )
                helpers = trial.nodes[1:]
                await asyncio.gather(*[_stop(node) for node in helpers])
                del trial.nodes[1:]
                links.heal()
                response = await call
                self.assertEqual(200, response.status_code)
                self._check_numbers(response, LONG_EVENTS)

        self.run_coroutine(run())


async def _stop(node: sites.SiteNode) -> None:
    """Stop a node as SIGTERM does."""
    node.drain()
    state = node.loop.state
    await site.until(lambda: state.drain and state.drain.is_stopped)
    await node.stop()
