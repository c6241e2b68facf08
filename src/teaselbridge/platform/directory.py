"""ASGI application for node addresses, readiness and metrics.

Callers ask it for the addresses of nodes and the deployment platform for the
readiness of this node. It uses no web framework, because importing one would
take a third of the time in which a node is back after a power failure.
"""

from __future__ import annotations

import typing
import urllib.parse

import msgspec

from teaselbridge import clock
from teaselbridge.decisions import freshness
from teaselbridge.gateway import addresses
from teaselbridge.gateway import asgi

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.runtime import loop as loops
    from teaselbridge.telemetry import metrics

JSON = (b'content-type', b'application/json')
TEXT = (b'content-type', b'text/plain')
ADDRESSES_MOST = 64


class Directory:
    """ASGI application that serves readiness, node addresses and metrics.

    :param loop: loop that runs the reducer and holds its state.
    :param meter: metrics of the process.
    """

    def __init__(self, *, loop: loops.Loop, meter: metrics.Meter) -> None:
        self._loop = loop
        self._meter = meter
        self._handlers: dict[
            str,
            collections.abc.Callable[
                [asgi.Send, bytes], collections.abc.Awaitable[None]
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
        answer = self._handlers.get(scope['path'])
        if answer is None or scope['method'] != 'GET':
            await asgi.respond(send, 404, [], b'')
            return
        await answer(send, scope['query_string'])

    async def _respond_ready(self, send: asgi.Send, query: bytes) -> None:
        ready = freshness.is_ready(self._loop.state, self._loop.now())
        await asgi.respond(send, 200 if ready else 503, [], b'')

    async def _respond_metrics(self, send: asgi.Send, query: bytes) -> None:
        await asgi.respond(send, 200, [TEXT], self._meter.export())

    async def _respond_addresses(self, send: asgi.Send, query: bytes) -> None:
        parameters = urllib.parse.parse_qs(query.decode('latin-1'))
        (zone,) = parameters.get('zone', [''])[:1]
        state = self._loop.state
        selection = addresses.choose(state, zone)
        usable = [
            item.address
            for item in selection.addresses
            if item.node != state.options.me.name
            or freshness.is_ready(state, self._loop.now())
        ]
        if not usable:
            await asgi.respond(send, 503, [], b'')
            return
        body = msgspec.json.encode(
            {
                'addresses': usable[:ADDRESSES_MOST],
                'ttl-s': selection.ttl_ms / clock.SECOND,
            }
        )
        await asgi.respond(send, 200, [JSON], body)
