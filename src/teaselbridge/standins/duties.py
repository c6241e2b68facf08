"""Simulated duty API of the deployment platform.

It receives usage reports and scaling orders.
"""

from __future__ import annotations

import dataclasses
import typing

import litestar
import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """One received call.

    :param path: path of the request.
    :param holder: node that claims to hold the duty, from the header.
    :param fence: fencing token of the holder, from the header.
    :param body: decoded JSON body.
    """

    path: str
    holder: str
    fence: int
    body: dict[str, typing.Any]


class DutyService:
    """Receiver that records all calls.

    While ``has_no_spot_hosts`` is set, scaling orders for spot hosts are
    refused with 409.
    """

    def __init__(self) -> None:
        self.calls: list[ReceivedCall] = []
        self.has_no_spot_hosts = False

    def build(self) -> litestar.Litestar:
        """Build the web application."""

        @litestar.post('/usage', status_code=200)
        async def usage(
            request: litestar.Request[typing.Any, typing.Any, typing.Any],
        ) -> litestar.Response[bytes]:
            await self._record_call(request)
            return litestar.Response(b'', status_code=200)

        @litestar.post('/scale', status_code=200)
        async def scale(
            request: litestar.Request[typing.Any, typing.Any, typing.Any],
        ) -> litestar.Response[bytes]:
            call = await self._record_call(request)
            refused = self.has_no_spot_hosts and call.body.get('spot', False)
            return litestar.Response(b'', status_code=409 if refused else 200)

        return litestar.Litestar(
            route_handlers=[usage, scale],
            openapi_config=None,
            logging_config=None,
        )

    def usage(self) -> dict[int, dict[str, int]]:
        """Return the latest reported counts of each window."""
        return {
            call.body['window-id']: call.body['counts']
            for call in self.calls
            if call.path == '/usage'
        }

    async def _record_call(
        self, request: litestar.Request[typing.Any, typing.Any, typing.Any]
    ) -> ReceivedCall:
        call = ReceivedCall(
            path=request.url.path,
            holder=request.headers.get('teaselbridge-duty-holder', ''),
            fence=int(request.headers.get('teaselbridge-fence-token', '0')),
            body=msgspec.json.decode(await request.body()),
        )
        self.calls.append(call)
        return call
