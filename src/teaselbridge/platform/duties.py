"""Client of the platform's duty API."""

from __future__ import annotations

import typing

import httpx
import msgspec

from teaselbridge import clock
from teaselbridge.decisions import scaling
from teaselbridge.decisions import usage
from teaselbridge.platform import names

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import effects

# The lease's margin covers a call that is on its way for this long.
TIMEOUT_MS = 900
CONNECT_MS = 400
OK = 200
NONE_AVAILABLE = 409

# Duties by their names on the wire, and in the program.
DUTIES = {'metering': usage.DUTY, 'autoscale': scaling.DUTY}


def known(duties: tuple[str, ...]) -> tuple[str, ...]:
    """Translate the names of duties; unknown ones are left out."""
    return tuple(DUTIES[name] for name in duties if name in DUTIES)


class Duties:
    """Calls that one node makes at a time.

    :param address: ``ip:port`` of the API.
    :param node: name of this node.
    """

    def __init__(self, *, address: str, node: str) -> None:
        self._base = f'http://{address}'
        self._node = node
        self._client = httpx.AsyncClient(
            trust_env=False,
            # Calls are plain HTTP: to load certificates takes time.
            verify=False,
            timeout=httpx.Timeout(
                clock.seconds(TIMEOUT_MS), connect=clock.seconds(CONNECT_MS)
            ),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def report_usage(self, effect: effects.ReportUsage) -> bool:
        """Report the usage of a window.

        :return: whether the report was taken.
        """
        body = {
            'window-id': effect.window,
            'counts': {item.workspace: item.count for item in effect.counts},
        }
        return await self._post('/usage', body, effect.fence) == OK

    async def order_servers(self, effect: effects.OrderServers) -> bool | None:
        """Order a number of backend servers.

        :return: whether the order was taken, none where no answer came.
        """
        body: dict[str, object] = {
            'service': effect.pool,
            'zone': effect.zone,
            'desired': effect.count,
        }
        if effect.reclaimable:
            body['spot'] = True
        status = await self._post('/scale', body, effect.fence)
        if status in (OK, NONE_AVAILABLE):
            return status == OK
        return None

    async def _post(self, path: str, body: object, fence: int) -> int:
        """Make a call.

        :return: the status, 0 where no answer came.
        """
        try:
            response = await self._client.post(
                self._base + path,
                content=msgspec.json.encode(body),
                headers={
                    'content-type': 'application/json',
                    names.DUTY_HOLDER: self._node,
                    names.FENCE: str(fence),
                },
            )
        except httpx.HTTPError:
            return 0
        return response.status_code
