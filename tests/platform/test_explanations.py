"""Tests of the addresses of a node that callers and operators share."""

from __future__ import annotations

import asyncio
import types
import typing
import urllib.parse

import msgspec
import testtools

from teaselbridge.platform import directory
from tests.decisions import samples
from tests.decisions.spreading import test_explanation

KEY = 'operators'


async def ask(
    endpoints: directory.NodeEndpoints, question: str, key: str = KEY
) -> tuple[int, bytes]:
    """Ask for an explanation and return the status and the body."""
    sent: list[dict[str, typing.Any]] = []

    async def send(message: dict[str, typing.Any]) -> None:
        sent.append(message)

    async def receive() -> dict[str, typing.Any]:
        return {'type': 'http.request', 'body': b''}

    query = urllib.parse.urlencode({'request': question})
    scope = {
        'type': 'http',
        'method': 'GET',
        'path': '/v1/explain',
        'query_string': query.encode(),
        'headers': [(b'authorization', f'Bearer {key}'.encode())],
    }
    await endpoints(scope, receive, send)
    body = b''.join(item.get('body', b'') for item in sent)
    return sent[0]['status'], body


class TestExplanations(testtools.TestCase):
    """Explanations on addresses that callers reach too."""

    def _ask(
        self, question: str, key: str = KEY, operator_key: str = KEY
    ) -> tuple[int, bytes]:
        state = test_explanation.make_state()
        loop = types.SimpleNamespace(
            state=state, now=lambda: samples.instant(5_000)
        )
        endpoints = directory.NodeEndpoints(
            loop=typing.cast(typing.Any, loop),
            meter=typing.cast(typing.Any, None),
            operator_key=operator_key,
        )
        return asyncio.run(ask(endpoints, question, key))

    def test_operator_gets_an_explanation(self) -> None:
        """The node of the users' platform has no other operators' call."""
        status, body = self._ask('{"route": "r", "workspace": "w"}')
        self.assertEqual(200, status)
        answer = msgspec.json.decode(body)
        self.assertTrue(answer['admitted'])
        self.assertIn(answer['chosen'], [f'h{item}' for item in range(6)])

    def test_callers_get_none(self) -> None:
        """Servers and limits are not shown to callers."""
        question = '{"route": "r"}'
        self.assertEqual(404, self._ask(question, key='caller')[0])
        self.assertEqual(404, self._ask(question, '', '')[0])

    def test_bad_question(self) -> None:
        """The field that is wrong is named."""
        status, body = self._ask('{"route": "r", "tokens": "x"}')
        self.assertEqual(400, status)
        self.assertIn(b'$.tokens', body)
        status, body = self._ask('')
        self.assertEqual(400, status)
