"""Bad input gets a typed refusal and harms nobody else."""

from __future__ import annotations

import asyncio

import httpx

from tests.failures import base

CHAT = '/v1/chat/completions'


class TestBadInput(base.TestCase):
    """Refusals at the callers' interface."""

    def test_typed_refusals(self) -> None:
        async def run() -> None:
            async with base.running(body_bytes=20_000) as trial:
                await self._refused(trial, 400, 'bad-request', b'{"model": ')
                await self._refused(trial, 400, 'bad-request', b'\xff\xfe')
                await self._refused(
                    trial, 404, 'no-route', b'{"model": "x", "prompt": "y"}'
                )
                await self._refused(
                    trial, 400, 'bad-request', b'{"model": "lm"}'
                )
                await self._refused(
                    trial, 413, 'body-too-large', b'x' * 30_000
                )
                await self._refused(
                    trial,
                    401,
                    'bad-workspace-key',
                    b'{}',
                    {'authorization': 'Bearer wrong'},
                )
                await self._refused(
                    trial,
                    400,
                    'bad-request',
                    b'{"model": "lm", "prompt": "y"}',
                    {'x-deadline-ms': 'soon'},
                )

        self.go(run())

    def test_slow_and_endless_senders(self) -> None:
        """Connections that do not finish a request are closed."""

        async def run() -> None:
            async with base.running(request_ms=500) as trial:
                address = trial.settings[0].listen.callers
                host, _, port = address.rpartition(':')
                starts = (
                    b'POST /v1/completions HTTP/1.1\r\nx: ',
                    b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
                    b'content-length: 100\r\n\r\n{',
                )
                for start in starts:
                    reader, writer = await asyncio.open_connection(
                        host, int(port)
                    )
                    writer.write(start)
                    async with asyncio.timeout(base.WAIT_S):
                        while await reader.read(1_000):
                            pass
                    writer.close()
                response = await trial.post(CHAT, json=base.chat('good', 3))
                self.assertEqual(200, response.status_code)

        self.go(run())

    def test_header_flood(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                headers = {f'x-{number}': 'y' * 900 for number in range(200)}
                try:
                    flood = await trial.post(CHAT, headers=headers, json={})
                    self.assertEqual(400, flood.status_code)
                except httpx.HTTPError:
                    pass  # the answer is lost where the rest is not read
                response = await trial.post(CHAT, json=base.chat('good', 3))
                self.assertEqual(200, response.status_code)

        self.go(run())

    async def _refused(
        self,
        trial: base.Trial,
        status: int,
        reason: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> None:
        response = await trial.post(CHAT, content=body, headers=headers or {})
        self.assertEqual(status, response.status_code, response.text)
        problem = response.json()
        self.assertEqual(f'urn:teaselbridge:problem:{reason}', problem['type'])


class TestAdmin(base.TestCase):
    """Refusals at the operators' interface."""

    def test_key_is_asked_for(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                admin = f'http://{trial.settings[0].listen.admin}'
                async with httpx.AsyncClient(trust_env=False) as client:
                    closed = await client.get(f'{admin}/v1/status')
                    opened = await client.get(f'{admin}/livez')
                self.assertEqual(401, closed.status_code)
                self.assertEqual(200, opened.status_code)

        self.go(run())

    def test_bad_tables_change_nothing(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                admin = f'http://{trial.settings[0].listen.admin}'
                before = trial.nodes[0].loop.state.index.generation
                route = {'name': 'x', 'match': {'model': 'm'}, 'pool': 'none'}
                body = {'base': before, 'tables': {'routes': [route]}}
                headers = {'authorization': f'Bearer {base.KEY}'}
                async with httpx.AsyncClient(trust_env=False) as client:
                    response = await client.post(
                        f'{admin}/v1/config', json=body, headers=headers
                    )
                self.assertEqual(400, response.status_code)
                self.assertEqual('TableError', response.json()['error'])
                self.assertIn('routes.x.pool', response.json()['detail'])
                after = trial.nodes[0].loop.state.index.generation
                self.assertEqual(before, after)

        self.go(run())
