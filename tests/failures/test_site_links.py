"""Failure tests: nodes without links to the backend servers."""

from __future__ import annotations

import asyncio
import time

import httpx

from teaselbridge.decisions import usage
from tests.failures import base
from tests.failures import links as links_module
from tests.failures import site

CONTACT_S = 3.0
# Longest time for which a server that was silent once gets no requests.
MAX_AVOIDED_S = 30.0
SEND_INTERVAL_S = 0.05
# Requests from which the share of those that are served is taken.
MIN_COUNT = 21
# Processor time of two seconds in which they are sent and of their deadlines.
MAX_PROCESSOR_S = 4.0
PATHS = ('/stock/x', '/orders/x', '/stream/x', '/stream/once/x')


async def send_until(
    trial: site.Trial, until: float, least: int = 0
) -> list[int]:
    """Send requests of all routes to the first node.

    :param until: time of the monotonic clock.
    :param least: least number of requests; they may take longer.
    :return: statuses of the answers.
    """
    sent: list[asyncio.Task[int]] = []

    async def send(path: str) -> int:
        response = await trial.call(path, Teaselbridge_Deadline_Ms='2000')
        return response.status_code

    while time.monotonic() < until or len(sent) < least:
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
                    used_s = time.process_time()
                    statuses = await send_until(
                        trial, time.monotonic() + 2, MIN_COUNT
                    )
                    used_s = time.process_time() - used_s
                    self.assertLess(used_s, MAX_PROCESSOR_S)
                    served = statuses.count(200)
                    self.assertGreaterEqual(served, 2 / 3 * len(statuses))
                    links.heal()
                    await send_until(trial, time.monotonic() + 1)
                    statuses = await send_until(trial, time.monotonic() + 1)
                    self.assertEqual({200}, set(statuses), statuses)

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


class TestSilentServer(base.TestCase):
    """A sound server that is silent for a second is no cut."""

    # Guards against a server that is given up for good, and against links
    # that are taken for cut, because of one second without data.
    def test_server_is_used_again(self) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=2) as trial:
                silent, _ = trial.list_servers('engines')
                silent.event_ms = 1_000.0
                for response in await _ask_engines(trial, 8):
                    self.assertEqual(200, response.status_code)
                    self.assertEqual(3, response.text.count('data:'))
                for node in trial.nodes:
                    self.assertEqual([], node.loop.state.links.cut_pools)
                silent.event_ms = 5.0
                before = len(silent.runs)
                async with asyncio.timeout(MAX_AVOIDED_S):
                    while len(silent.runs) == before:
                        await _ask_engines(trial, 4)
                        await asyncio.sleep(0.1)

        self.run_coroutine(run())


async def _ask_engines(trial: site.Trial, count: int) -> list[httpx.Response]:
    """Send streams to all nodes at once and return their answers."""
    return await asyncio.gather(
        *(
            trial.call(f'/stream/{number}', node=number % len(trial.nodes))
            for number in range(count)
        )
    )


class TestForwarding(base.TestCase):
    """Forwarded requests are served as if their callers had come directly."""

    async def _cut(self, trial: site.Trial, *nodes: int) -> None:
        """Cut the links of nodes, and wait until they know."""
        for node in nodes:
            links_module.Links(trial=trial, node=node).cut(
                links_module.Cut.REFUSE
            )
            while len(trial.nodes[node].loop.state.links.cut_pools) < 2:
                await trial.call('/stock/x', node=node)
                await trial.call('/stream/x', node=node)

    def test_request_and_answer_are_unchanged(self) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=2) as trial:
                await self._cut(trial, 0)
                path = '/orders/a%2Fb/./x?q=1&q=%20two'
                response = await trial.call(
                    path, body=b'\x00raw', X_Extra='kept'
                )
                self.assertEqual(200, response.status_code)
                attempt = site.get_attempt_id(response)
                (ran,) = [
                    item
                    for server in trial.servers
                    for item in server.runs
                    if item.attempt == attempt
                ]
                self.assertEqual(('POST', path), (ran.method, ran.target))
                self.assertEqual(b'\x00raw', ran.body)
                self.assertEqual('kept', ran.headers['x-extra'])
                self.assertEqual('parish', ran.headers['teaselbridge-tenant'])
                self.assertNotIn('teaselbridge-credential', ran.headers)
                self.assertNotIn('teaselbridge-forwarded-by', ran.headers)
                left = int(ran.headers['teaselbridge-deadline-ms'])
                self.assertTrue(0 < left <= 12_000, left)
                stamp = response.headers['teaselbridge-reply-stamp']
                self.assertEqual(attempt, stamp.rpartition('.')[2])

        self.run_coroutine(run())

    # Guards against usage that both nodes count.
    def test_usage_is_counted_once(self) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=2) as trial:
                await self._cut(trial, 0)
                counted = _count_usage(trial)
                for _ in range(8):
                    response = await trial.call('/orders/x')
                    self.assertEqual(200, response.status_code)
                self.assertEqual(counted + 8, _count_usage(trial))

        self.run_coroutine(run())

    # Guards against a stream that ends with the node that passed it on.
    def test_helper_is_lost_in_the_middle_of_a_stream(self) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=3) as trial:
                await self._cut(trial, 0)
                for server in trial.list_servers('engines'):
                    server.events = 20
                    server.event_ms = 50.0
                call = asyncio.ensure_future(trial.call('/stream/x'))
                state = trial.nodes[0].loop.state
                await site.until(
                    lambda: any(
                        item.last_event for item in state.requests.values()
                    )
                )
                (request,) = state.requests.values()
                (helper,) = [
                    node
                    for node in trial.nodes
                    if node.settings.node.name == request.helper
                ]
                await helper.abort()
                response = await call
                numbers = [
                    line
                    for line in response.text.splitlines()
                    if line.startswith('id:')
                ]
                wanted = [f'id: {number}' for number in range(1, 21)]
                self.assertEqual(wanted, numbers)
                trial.nodes.remove(helper)

        self.run_coroutine(run())

    # Guards against runs that go on after their callers have left.
    def test_caller_leaves(self) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=2) as trial:
                await self._cut(trial, 0)
                engines = trial.list_servers('engines')
                for server in engines:
                    server.events = 200
                    server.event_ms = 20.0
                before = sum(server.cancelled_count for server in engines)
                call = asyncio.ensure_future(trial.call('/stream/x'))
                state = trial.nodes[1].loop.state
                await site.until(lambda: state.requests)
                call.cancel()
                await site.until(
                    lambda: (
                        sum(server.cancelled_count for server in engines)
                        > before
                    ),
                    wait_s=2,
                )

        self.run_coroutine(run())

    # Guards against requests that wait where no node can serve them.
    def test_all_nodes_are_cut(self) -> None:
        async def run() -> None:
            async with site.run_deployment(nodes=2) as trial:
                await self._cut(trial, 0, 1)
                states = [node.loop.state for node in trial.nodes]
                await site.until(
                    lambda: all(
                        member.unreachable
                        for state in states
                        for member in state.membership.alive
                    )
                )
                response = await trial.call('/stock/x')
                self.assertEqual(503, response.status_code)
                self.assertIn('retry-after', response.headers)
                self.assertTrue(await trial.ready())

        self.run_coroutine(run())


def _count_usage(trial: site.Trial) -> int:
    """Return the requests that all nodes counted for usage."""
    total = 0
    for node in trial.nodes:
        state = node.loop.state
        window = usage.get_window(state, node.loop.now())
        counts = state.usage.list_counts(usage.get_source(state), window)
        total += sum(item.count for item in counts)
    return total
