"""Control orders to backend servers, sent only under a valid lease."""

from __future__ import annotations

import dataclasses
import typing

import httpx
import msgspec

from teaselbridge import clock as clocks
from teaselbridge.decisions import leases
from teaselbridge import errors

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import effects


@dataclasses.dataclass(eq=False)
class TooLateError(errors.TeaselbridgeError):
    """The lease of an order expired before the order was sent.

    :param host: host of the backend server that the order was for.
    """

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class ControlOrder:
    """The desired state of a backend server.

    :param fence: fencing token of the lease's holder.
    :param version: version to run.
    """

    fence: int
    version: str


async def send_order(
    client: httpx.AsyncClient,
    effect: effects.OrderServer,
    clock: clocks.Clock,
) -> None:
    """Send an order to a backend server.

    The lease is checked again after the connection is established, right
    before the body is sent: a process that was paused past the end of its
    lease must not send a pending order.

    :param client: HTTP client of the backend servers.
    :param effect: order to send.
    :param clock: clock that the end of the lease is compared with.
    :raises TooLateError: the lease has expired; no order was sent.
    :raises httpx.HTTPError: the server returned no usable response.
    """
    body = msgspec.json.encode(ControlOrder(effect.fence, effect.version))

    async def content() -> collections.abc.AsyncIterator[bytes]:
        if clock.now().mono >= effect.until:
            raise TooLateError(effect.host)
        yield body

    response = await client.post(
        f'http://{effect.address}/control',
        content=content(),
        headers={
            'content-type': 'application/json',
            'content-length': str(len(body)),
        },
        timeout=clocks.seconds(leases.MAX_ORDER_DELAY_MS),
    )
    response.raise_for_status()
