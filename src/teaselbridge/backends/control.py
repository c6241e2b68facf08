"""Orders to backend servers, sent only while a lease stands."""

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
    """The lease that an order was made under is over.

    :param host: host that the order was for.
    """

    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The wanted end of a backend server.

    :param fence: number of the lease's holder.
    :param version: version to run.
    """

    fence: int
    version: str


async def send(
    client: httpx.AsyncClient,
    effect: effects.OrderServer,
    clock: clocks.Clock,
) -> None:
    """Send an order.

    The clock is read once more after the connection stands, right before
    the body leaves: a process that was paused until its lease was over
    must not send what it had in hand.

    :raises TooLateError: the lease is over; nothing was ordered.
    :raises httpx.HTTPError: there was no usable answer.
    """
    body = msgspec.json.encode(Order(effect.fence, effect.version))

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
        timeout=clocks.seconds(leases.ORDER_WAY_MS),
    )
    response.raise_for_status()
