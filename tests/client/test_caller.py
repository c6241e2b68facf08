"""Tests of the client library against a simulated node."""

from __future__ import annotations

import asyncio

import litestar
import msgspec
import testtools

from teaselbridge.client import caller as callers
from teaselbridge.client import outcomes
from teaselbridge.gateway import addresses
from teaselbridge.standins import hosting
from teaselbridge.telemetry import logs

HEARTBEAT = ': heartbeat\n\n'


def build_token(number: int, finish: str | None = None) -> str:
    """Return the event of a token, with its number as its text."""
    choice = {'delta': {'content': str(number)}, 'finish_reason': finish}
    data = msgspec.json.encode({'choices': [choice]}).decode()
    return f'id: {number}\ndata: {data}\n\n'


class TestHeartbeats(testtools.TestCase):
    """Comments in a stream are no events."""

    async def _complete(self, body: str) -> outcomes.Completion:
        """Request a completion from a node that sends a body."""

        @litestar.get('/v1/addresses', sync_to_thread=False)
        def list_addresses() -> bytes:
            entry = addresses.Address(node='n', address=node.address, zone='')
            known = addresses.Addresses(addresses=(entry,), ttl_ms=10_000)
            return msgspec.json.encode(known)

        @litestar.post(callers.CHAT_PATH, status_code=200)
        async def complete() -> litestar.Response[str]:
            return litestar.Response(body, media_type='text/event-stream')

        app = litestar.Litestar(
            [list_addresses, complete], openapi_config=None
        )
        logs.silence_web_server()
        node = hosting.HostedApp(app=app, address='127.0.0.1:0')
        await node.start()
        caller = callers.Caller(seeds=(node.address,))
        try:
            return await caller.complete({'model': 'm'}, deadline_ms=5_000)
        finally:
            await caller.close()
            await node.kill()

    # Guards against a caller that fails at the heartbeat of a stream that
    # waits for its next token, which repeats the number of the last one.
    def test_heartbeat_between_tokens(self) -> None:
        parts = (
            HEARTBEAT,
            build_token(1),
            HEARTBEAT,
            build_token(2, 'length'),
            'data: [DONE]\n\n',
        )
        completion = asyncio.run(self._complete(''.join(parts)))
        self.assertEqual(('1', '2'), completion.tokens)
        self.assertEqual('length', completion.finish)
