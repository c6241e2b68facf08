"""Where callers ask for addresses, and the platform for readiness."""

from __future__ import annotations

import typing

import litestar
import msgspec

from teaselbridge import clock
from teaselbridge.decisions import freshness
from teaselbridge.gateway import addresses

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops
    from teaselbridge.telemetry import metrics

MEDIA_TYPE = 'application/json'
ADDRESSES_MOST = 64


class Directory:
    """Answers questions about nodes.

    :param loop: runs the decisions.
    :param meter: figures of the process.
    """

    def __init__(self, *, loop: loops.Loop, meter: metrics.Meter) -> None:
        self._loop = loop
        self._meter = meter

    def build(self) -> litestar.Litestar:
        """Build the web application."""

        @litestar.get('/api/ready')
        async def ready() -> litestar.Response[bytes]:
            now = self._loop.now()
            up = freshness.is_ready(self._loop.state, now)
            return litestar.Response(b'', status_code=200 if up else 503)

        @litestar.get('/api/resolve')
        async def resolve(
            request: litestar.Request[typing.Any, typing.Any, typing.Any],
        ) -> litestar.Response[bytes]:
            return self._resolve(request.query_params.get('zone', ''))

        @litestar.get('/metrics')
        async def figures() -> litestar.Response[bytes]:
            return litestar.Response(
                self._meter.export(), media_type='text/plain'
            )

        return litestar.Litestar(
            route_handlers=[ready, resolve, figures],
            openapi_config=None,
            logging_config=None,
        )

    def _resolve(self, zone: str) -> litestar.Response[bytes]:
        state = self._loop.state
        found = addresses.choose(state, zone)
        usable = [
            item.address
            for item in found.addresses
            if item.node != state.options.me.name
            or freshness.is_ready(state, self._loop.now())
        ]
        if not usable:
            return litestar.Response(b'', status_code=503)
        body = msgspec.json.encode(
            {
                'addresses': usable[:ADDRESSES_MOST],
                'ttl-s': found.ttl_ms / clock.SECOND,
            }
        )
        return litestar.Response(body, media_type=MEDIA_TYPE)
