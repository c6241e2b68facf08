"""Where callers ask for addresses, and the platform for readiness.

Three small answers without a framework: to import one would take a third of
the time in which a node is back after a loss of power.
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
    """Answers questions about nodes.

    :param loop: runs the decisions.
    :param meter: figures of the process.
    """

    def __init__(self, *, loop: loops.Loop, meter: metrics.Meter) -> None:
        self._loop = loop
        self._meter = meter
        self._paths: dict[
            str,
            collections.abc.Callable[
                [asgi.Send, bytes], collections.abc.Awaitable[None]
            ],
        ] = {
            '/api/ready': self._ready,
            '/api/resolve': self._resolve,
            '/metrics': self._figures,
        }

    async def __call__(
        self, scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one question."""
        if scope['type'] != 'http':
            return
        answer = self._paths.get(scope['path'])
        if answer is None or scope['method'] != 'GET':
            await asgi.respond(send, 404, [], b'')
            return
        await answer(send, scope['query_string'])

    async def _ready(self, send: asgi.Send, query: bytes) -> None:
        ready = freshness.is_ready(self._loop.state, self._loop.now())
        await asgi.respond(send, 200 if ready else 503, [], b'')

    async def _figures(self, send: asgi.Send, query: bytes) -> None:
        await asgi.respond(send, 200, [TEXT], self._meter.export())

    async def _resolve(self, send: asgi.Send, query: bytes) -> None:
        fields = urllib.parse.parse_qs(query.decode('latin-1'))
        (zone,) = fields.get('zone', [''])[:1]
        state = self._loop.state
        found = addresses.choose(state, zone)
        usable = [
            item.address
            for item in found.addresses
            if item.node != state.options.me.name
            or freshness.is_ready(state, self._loop.now())
        ]
        if not usable:
            await asgi.respond(send, 503, [], b'')
            return
        body = msgspec.json.encode(
            {
                'addresses': usable[:ADDRESSES_MOST],
                'ttl-s': found.ttl_ms / clock.SECOND,
            }
        )
        await asgi.respond(send, 200, [JSON], body)
