"""Test what becomes of accepted requests as the configuration changes."""

from __future__ import annotations

import asyncio
import typing

import httpx

from teaselbridge.decisions import requests
from tests.failures import base
from tests.failures import site

EVENTS = 20
EVENT_MS = 50.0
WORK_MS = 800.0
HELD = 4
OTHER_KEY = 'second-key'


def _change_routes(**fields: object) -> tuple[dict[str, typing.Any], ...]:
    return tuple({**route, **fields} for route in site.ROUTES)


# Changes of the configuration that take nothing from requests which were
# accepted before.
CHANGES: dict[str, dict[str, object]] = {
    'quota': {
        'tenants': (
            {**site.TENANTS[0], 'rate-per-s': 0.001, 'burst': 1},
            site.TENANTS[1],
        )
    },
    'timeout': {'routes': _change_routes(**{'timeout-ms': 100})},
    'attempts': {'routes': _change_routes(attempts=1)},
    'route': {'routes': (site.ROUTES[4],)},
    'pool': {
        'routes': _change_routes(service='new'),
        'services': ({'name': 'new', 'health-path': '/healthz'},),
    },
}
REVOKED = {'tenants': ({'name': 'parish', 'api-keys': [OTHER_KEY]},)}


class TestCase(base.TestCase):
    """Base of the tests: requests are held while a change comes in force."""

    async def _hold(
        self, trial: site.Trial, path: str, phase: requests.Phase, count: int
    ) -> list[asyncio.Task[httpx.Response]]:
        """Send requests until a number of them is in a phase."""
        state = trial.nodes[0].loop.state
        sent = [asyncio.ensure_future(trial.call(path)) for _ in range(HELD)]
        await site.until(
            lambda: (
                sum(
                    item.phase is phase
                    and (item.streaming or not item.call.route.streaming)
                    for item in state.requests.values()
                )
                == count
            )
        )
        return sent

    async def _change(
        self, trial: site.Trial, fields: dict[str, object]
    ) -> None:
        """Write a configuration, and wait until it is in force."""
        document = site.encode_configuration(2, **fields)
        await trial.store.put('op/config', document)
        state = trial.nodes[0].loop.state
        await site.until(lambda: state.index.generation == 2)

    async def _get_whole(
        self, sent: list[asyncio.Task[httpx.Response]], cause: str
    ) -> None:
        """Check that all requests get the whole answer of a server."""
        for call in sent:
            response = await call
            self.assertEqual(200, response.status_code, cause)
            if response.request.url.path.startswith('/stream/'):
                self.assertEqual(EVENTS, response.text.count('data:'), cause)


class TestRunningRequests(TestCase):
    """No change of the configuration ends a request that runs."""

    def _check(self, path: str) -> None:
        async def run(cause: str, fields: dict[str, object]) -> None:
            async with site.run_deployment() as trial:
                for server in trial.servers:
                    server.events = EVENTS
                    server.event_ms = EVENT_MS
                    server.work_ms = WORK_MS
                running = requests.Phase.RUNNING
                sent = await self._hold(trial, path, running, HELD)
                await self._change(trial, fields)
                await self._get_whole(sent, cause)

        for cause, fields in {**CHANGES, 'revoke': REVOKED}.items():
            self.run_coroutine(run(cause, fields))

    def test_streams(self) -> None:
        self._check('/stream/x')

    def test_streams_that_run_once(self) -> None:
        self._check('/stream/once/x')

    def test_orders(self) -> None:
        self._check('/orders/1')

    def test_stock(self) -> None:
        self._check('/stock/1')


class TestWaitingRequests(TestCase):
    """A request that waits for a slot is served, unless its key is revoked."""

    async def _wait_and_change(
        self, trial: site.Trial, path: str, fields: dict[str, object]
    ) -> list[asyncio.Task[httpx.Response]]:
        """Change the configuration while two requests run and two wait."""
        for server in trial.list_servers('shop'):
            server.work_ms = WORK_MS
        state = trial.nodes[0].loop.state
        for known in state.servers.all:
            known.slots = 1
        waiting = HELD - len(site.ZONES)
        queued = requests.Phase.QUEUED
        sent = await self._hold(trial, path, queued, waiting)
        await self._change(trial, fields)
        return sent

    def test_served(self) -> None:
        async def run(path: str, cause: str) -> None:
            async with site.run_deployment() as trial:
                sent = await self._wait_and_change(trial, path, CHANGES[cause])
                await self._get_whole(sent, cause)

        for path in ('/orders/1', '/stock/1'):
            for cause in CHANGES:
                self.run_coroutine(run(path, cause))

    def test_revoked_key(self) -> None:
        async def run(path: str) -> None:
            async with site.run_deployment() as trial:
                sent = await self._wait_and_change(trial, path, REVOKED)
                responses = [await call for call in sent]
                runs = [
                    trial.count_runs(site.get_attempt_id(response))
                    for response in responses
                ]
                found = [
                    (response.status_code, count)
                    for response, count in zip(responses, runs, strict=True)
                ]
                self.assertCountEqual([(200, 1)] * 2 + [(401, 0)] * 2, found)

        for path in ('/orders/1', '/stock/1'):
            self.run_coroutine(run(path))
