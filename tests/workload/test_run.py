"""Tests of the load generator."""

from __future__ import annotations

import asyncio
import json
import typing

import testtools

from teaselbridge.gateway import asgi
from teaselbridge.runtime import web
from teaselbridge.standins import ports
from teaselbridge.workload import results
from teaselbridge.workload import run
from teaselbridge.workload import trace

TIMEOUT_S = 20.0
ERROR = b'out of ink'


class FailingNode:
    """Application that lists its own address and fails all else.

    :param address: ``ip:port`` of its listener.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address

    async def __call__(
        self, scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request."""
        if scope['path'] != '/v1/addresses':
            await asgi.send_response(send, 500, [], ERROR)
            return
        item = {'node': 'n', 'address': self._address, 'zone': ''}
        document = {'addresses': [item], 'ttl_ms': 60_000}
        body = json.dumps(document).encode()
        await asgi.send_response(send, 200, [], body)


class TestWrongAnswers(testtools.TestCase):
    """A report tells what was wrong with an answer, and which one it was."""

    async def _execute(self) -> results.Report:
        address = f'127.0.0.1:{ports.find_free_port()}'
        app = FailingNode(address=address)
        server = web.HttpListener(
            app=typing.cast('typing.Any', app), address=address
        )
        await server.start()
        try:
            plan = run.Plan(seeds=(address,), rate=20.0, seconds=1.0)
            async with asyncio.timeout(TIMEOUT_S):
                return await run.LoadRun(plan=plan).execute()
        finally:
            await server.abort()

    # Guards against runs that count a wrong answer and cannot tell its cause.
    def test_errors_are_kept(self) -> None:
        report = asyncio.run(self._execute())
        plain = (trace.WorkType.ORDER.value, trace.WorkType.LOOKUP.value)
        wrong = sum(report.kinds[name].wrong for name in plain)
        self.assertGreater(wrong, 0)
        self.assertEqual(report.total.wrong, len(report.wrong))
        self.assertEqual(wrong, len({item.request for item in report.wrong}))
        for item in report.wrong:
            self.assertIn(item.work, plain)
            self.assertIn('500', item.detail)
            self.assertIn(repr(ERROR), item.detail)
            self.assertGreaterEqual(item.ended_ms, item.at_ms - 1)
