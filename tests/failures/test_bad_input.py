"""Invalid requests get a typed error response.

They must not affect other requests.
"""

from __future__ import annotations

import asyncio

import httpx

from tests.failures import base

CHAT = '/v1/chat/completions'


class TestBadInput(base.TestCase):
    """Tests of invalid requests to the caller interface."""

    def test_typed_refusals(self) -> None:
        async def run() -> None:
            async with base.running(body_bytes=20_000) as trial:
                await self._assert_refused(
                    trial, 400, 'bad-request', b'{"model": '
                )
                await self._assert_refused(
                    trial, 400, 'bad-request', b'\xff\xfe'
                )
                await self._assert_refused(
                    trial, 404, 'no-route', b'{"model": "x", "prompt": "y"}'
                )
                await self._assert_refused(
                    trial, 400, 'bad-request', b'{"model": "lm"}'
                )
                await self._assert_refused(
                    trial, 413, 'body-too-large', b'x' * 30_000
                )
                await self._assert_refused(
                    trial,
                    401,
                    'bad-workspace-key',
                    b'{}',
                    {'authorization': 'Bearer wrong'},
                )
                await self._assert_refused(
                    trial,
                    400,
                    'bad-request',
                    b'{"model": "lm", "prompt": "y"}',
                    {'x-deadline-ms': 'soon'},
                )

        self.run_coroutine(run())

    def test_incomplete_requests_time_out(self) -> None:
        """Check that connections with an unfinished request are closed."""

        async def run() -> None:
            async with base.running(request_ms=500) as trial:
                address = trial.settings[0].listen.callers
                host, _, port = address.rpartition(':')
                incomplete_requests = (
                    b'POST /v1/completions HTTP/1.1\r\nx: ',
                    b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
                    b'content-length: 100\r\n\r\n{',
                )
                for incomplete_request in incomplete_requests:
                    reader, writer = await asyncio.open_connection(
                        host, int(port)
                    )
                    writer.write(incomplete_request)
                    async with asyncio.timeout(base.TIMEOUT_S):
                        while await reader.read(1_000):
                            pass
                    writer.close()
                response = await trial.post(
                    CHAT, json=base.build_chat_request('good', 3)
                )
                self.assertEqual(200, response.status_code)

        self.run_coroutine(run())

    def test_header_flood(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                headers = {f'x-{number}': 'y' * 900 for number in range(200)}
                try:
                    flood_response = await trial.post(
                        CHAT, headers=headers, json={}
                    )
                    self.assertEqual(400, flood_response.status_code)
                except httpx.HTTPError:
                    # If the node closes the connection before it has read
                    # all headers, the response may be lost.
                    pass
                response = await trial.post(
                    CHAT, json=base.build_chat_request('good', 3)
                )
                self.assertEqual(200, response.status_code)

        self.run_coroutine(run())

    async def _assert_refused(
        self,
        trial: base.Trial,
        status: int,
        reason: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Assert the status and problem type of the response to a body."""
        response = await trial.post(CHAT, content=body, headers=headers or {})
        self.assertEqual(status, response.status_code, response.text)
        problem = response.json()
        self.assertEqual(f'urn:teaselbridge:problem:{reason}', problem['type'])


class TestAdmin(base.TestCase):
    """Tests of invalid requests to the operator interface."""

    def test_operator_key_is_required(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                admin = f'http://{trial.settings[0].listen.admin}'
                async with httpx.AsyncClient(trust_env=False) as client:
                    status_response = await client.get(f'{admin}/v1/status')
                    livez_response = await client.get(f'{admin}/livez')
                self.assertEqual(401, status_response.status_code)
                self.assertEqual(200, livez_response.status_code)

        self.run_coroutine(run())

    def test_invalid_question_names_the_field(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                admin = f'http://{trial.settings[0].listen.admin}'
                headers = {'authorization': f'Bearer {base.OPERATOR_KEY}'}
                state = trial.nodes[0].loop.state
                route = state.index.configuration.tables.routes[0].name
                async with httpx.AsyncClient(trust_env=False) as client:

                    async def ask(question: str) -> httpx.Response:
                        return await client.get(
                            f'{admin}/v1/explain',
                            params={'request': question},
                            headers=headers,
                        )

                    bad = await ask('{"route": "r", "tokens": "x"}')
                    good = await ask(f'{{"route": "{route}"}}')
                self.assertEqual(400, bad.status_code)
                self.assertIn('$.tokens', bad.text)
                self.assertEqual(200, good.status_code, good.text)
                self.assertTrue(good.json()['admitted'], good.text)
                self.assertTrue(good.json()['chosen'], good.text)

        self.run_coroutine(run())

    def test_invalid_tables_are_not_applied(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                admin = f'http://{trial.settings[0].listen.admin}'
                before = trial.nodes[0].loop.state.index.generation
                route = {'name': 'x', 'match': {'model': 'm'}, 'pool': 'none'}
                body = {'base': before, 'tables': {'routes': [route]}}
                headers = {'authorization': f'Bearer {base.OPERATOR_KEY}'}
                async with httpx.AsyncClient(trust_env=False) as client:
                    response = await client.post(
                        f'{admin}/v1/config', json=body, headers=headers
                    )
                self.assertEqual(400, response.status_code)
                self.assertEqual('TableError', response.json()['error'])
                self.assertIn('routes.x.pool', response.json()['detail'])
                after = trial.nodes[0].loop.state.index.generation
                self.assertEqual(before, after)

        self.run_coroutine(run())
