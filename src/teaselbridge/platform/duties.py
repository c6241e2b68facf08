"""Client of the deployment platform's API for duties.

A duty is a task that only one node of the cluster may perform at a time, such
as reporting usage. Each call carries the node's name and its fencing token.
"""

from __future__ import annotations

import typing

import msgspec

from teaselbridge.decisions import scaling
from teaselbridge.decisions import usage
from teaselbridge.platform import names
from teaselbridge.platform import services

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import effects

# The margin before the end of a lease covers a call of this duration.
TIMEOUT_MS = 900
CONNECT_TIMEOUT_MS = 400
OK_STATUS = 200
NONE_AVAILABLE_STATUS = 409

# Names of the duties: those on the wire, with those in the program.
DUTY_BY_WIRE_NAME = {'metering': usage.DUTY, 'autoscale': scaling.DUTY}


def known(duties: tuple[str, ...]) -> tuple[str, ...]:
    """Convert names of duties on the wire into those of the program.

    Unknown names are left out.
    """
    return tuple(
        DUTY_BY_WIRE_NAME[name] for name in duties if name in DUTY_BY_WIRE_NAME
    )


class DutyClient:
    """HTTP client for calls that only the holder of a duty may make.

    :param address: ``ip:port`` of the API.
    :param node: name of this node.
    """

    def __init__(self, *, address: str, node: str) -> None:
        self._node = node
        self._client = services.Client(
            address=address, connect_timeout_ms=CONNECT_TIMEOUT_MS
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def report_usage(self, effect: effects.ReportUsage) -> bool:
        """Report the usage of the workspaces in a window of time.

        :return: whether the report was accepted.
        """
        body = {
            'window-id': effect.window,
            'counts': {item.workspace: item.count for item in effect.counts},
        }
        return await self._post('/usage', body, effect.fence) == OK_STATUS

    async def order_servers(self, effect: effects.OrderServers) -> bool | None:
        """Order a number of backend servers.

        :return: whether the order was accepted, false where no server is
            available, none where the outcome is unknown.
        """
        body: dict[str, object] = {
            'service': effect.pool,
            'zone': effect.zone,
            'desired': effect.count,
        }
        if effect.reclaimable:
            body['spot'] = True
        status = await self._post('/scale', body, effect.fence)
        if status in (OK_STATUS, NONE_AVAILABLE_STATUS):
            return status == OK_STATUS
        return None

    async def _post(self, path: str, body: object, fence: int) -> int:
        """Send a POST request with a fencing token.

        :return: the status code, 0 where there was no response.
        """
        try:
            response = await self._client.call(
                'POST',
                path,
                timeout_ms=TIMEOUT_MS,
                headers=[
                    (names.DUTY_HOLDER.encode(), self._node.encode()),
                    (names.FENCING_TOKEN.encode(), str(fence).encode()),
                ],
                body=msgspec.json.encode(body),
            )
        except services.ERRORS:
            return 0
        return response.status
