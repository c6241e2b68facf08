"""ASGI application for node addresses, readiness, metrics, explanations.

Callers ask it for the addresses of nodes and the deployment platform for the
readiness of this node. It uses no web framework, because importing one would
take a third of the time in which a node is back after a power failure.
"""

from __future__ import annotations

import hmac
import typing
import urllib.parse

import msgspec

from teaselbridge import clock
from teaselbridge.decisions import freshness
from teaselbridge.decisions.spreading import explanation
from teaselbridge import errors
from teaselbridge.gateway import addresses
from teaselbridge.gateway import asgi
from teaselbridge.gateway import headers as header_names

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.runtime import loop as loops
    from teaselbridge.telemetry import metrics

JSON_HEADER = (b'content-type', b'application/json')
TEXT_HEADER = (b'content-type', b'text/plain')
MAX_ADDRESSES = 64


class NodeEndpoints:
    """ASGI application that serves readiness, node addresses and metrics.

    :param loop: loop that runs the reducer and holds its state.
    :param meter: metrics of the process.
    :param operator_key: key that explanations require; without one there
        are none, since callers reach the same addresses.
    """

    def __init__(
        self,
        *,
        loop: loops.Loop,
        meter: metrics.Meter,
        operator_key: str = '',
    ) -> None:
        self._loop = loop
        self._operator_key = operator_key
        self._meter = meter
        self._handlers: dict[
            str,
            collections.abc.Callable[
                [asgi.Send, asgi.Message], collections.abc.Awaitable[None]
            ],
        ] = {
            '/api/ready': self._respond_ready,
            '/api/resolve': self._respond_addresses,
            '/metrics': self._respond_metrics,
        }

    async def __call__(
        self, scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Respond to one request; respond 404 to an unknown path or method."""
        if scope['type'] != 'http':
            return
        if scope['path'] == '/v1/explain' and self._is_operator(scope):
            await self._respond_explanation(send, scope)
            return
        answer = self._handlers.get(scope['path'])
        if answer is None or scope['method'] != 'GET':
            await asgi.send_response(send, 404, [], b'')
            return
        await answer(send, scope)

    def _is_operator(self, scope: asgi.Message) -> bool:
        if not self._operator_key or scope['method'] != 'GET':
            return False
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in scope['headers']
        }
        key = header_names.parse_bearer_key(headers)
        return hmac.compare_digest(key.encode(), self._operator_key.encode())

    async def _respond_explanation(
        self, send: asgi.Send, scope: asgi.Message
    ) -> None:
        query = scope['query_string'].decode('latin-1')
        parameters = urllib.parse.parse_qs(query)
        (text,) = parameters.get('request', [''])[:1]
        try:
            explained = explanation.explain(
                self._loop.state,
                explanation.parse_question(text.encode()),
                self._loop.now(),
            )
        except errors.DocumentError as error:
            await asgi.send_response(
                send, 400, [TEXT_HEADER], str(error).encode()
            )
            return
        await asgi.send_response(
            send, 200, [JSON_HEADER], msgspec.json.encode(explained)
        )

    async def _respond_ready(
        self, send: asgi.Send, scope: asgi.Message
    ) -> None:
        ready = freshness.is_ready(self._loop.state, self._loop.now())
        await asgi.send_response(send, 200 if ready else 503, [], b'')

    async def _respond_metrics(
        self, send: asgi.Send, scope: asgi.Message
    ) -> None:
        await asgi.send_response(
            send, 200, [TEXT_HEADER], self._meter.export()
        )

    async def _respond_addresses(
        self, send: asgi.Send, scope: asgi.Message
    ) -> None:
        query = scope['query_string'].decode('latin-1')
        parameters = urllib.parse.parse_qs(query)
        (zone,) = parameters.get('zone', [''])[:1]
        state = self._loop.state
        caller, _ = scope.get('client') or ('', 0)
        selection = addresses.list_addresses(
            state, zone, self._loop.now(), caller
        )
        usable = [
            item
            for item in selection.addresses
            if item.node != state.options.me.name
            or freshness.is_ready(state, self._loop.now())
        ]
        if not usable:
            await asgi.send_response(send, 503, [], b'')
            return
        listed = usable[:MAX_ADDRESSES]
        self._meter.count_listed(item.node for item in listed)
        body = msgspec.json.encode(
            {
                'addresses': [item.address for item in listed],
                'ttl-s': selection.ttl_ms / clock.SECOND_MS,
            }
        )
        await asgi.send_response(send, 200, [JSON_HEADER], body)
