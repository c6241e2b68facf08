"""Stand-in of a plain service with orders that must not be repeated."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

import litestar
import litestar.params

from teaselbridge import clock as clocks

Document: typing.TypeAlias = dict[str, typing.Any]
Body: typing.TypeAlias = litestar.params.JSONBody[Document]


@dataclasses.dataclass(slots=True)
class OrderBook:
    """Orders that were run, over all servers of all services."""

    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Service:
    """One plain service.

    :param version: version that it runs.
    :param slots: requests that it runs at a time.
    :param work_ms: time that a request takes.
    :param book: counts the runs of each order.
    """

    def __init__(
        self, *, version: str, slots: int, work_ms: int, book: OrderBook
    ) -> None:
        self.version = version
        self.leaving = False
        self._slots = slots
        self._work_ms = work_ms
        self._book = book
        self._running = 0

    @property
    def running(self) -> int:
        """Requests that it runs now."""
        return self._running

    def report(self) -> Document:
        """Give the load."""
        return {
            'version': self.version,
            'slots': self._slots,
            'running': self._running,
            'waiting': 0,
            'leaving': self.leaving,
        }

    async def order(self, number: str, data: Document) -> Document:
        """Run an order; the run is counted before any answer."""
        self._book.runs[number] += 1
        run = self._book.runs[number]
        await self._work()
        return {'order': number, 'run': run, 'items': data.get('items', [])}

    async def look_up(self, item: str) -> Document:
        """Look an item up in the catalogue."""
        await self._work()
        return {'item': item, 'stock': len(item)}

    async def _work(self) -> None:
        self._running += 1
        try:
            await asyncio.sleep(clocks.seconds(self._work_ms))
        finally:
            self._running -= 1


def build(service: Service) -> litestar.Litestar:
    """Build the web application of a service."""

    @litestar.post(['/orders', '/orders/{shop:str}'], status_code=201)
    async def order(
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
        data: Body,
    ) -> Document:
        number = request.headers.get('idempotency-key', '')
        return await service.order(number, data)

    @litestar.get(['/catalogue/{item:str}', '/titles/{item:str}'])
    async def look_up(item: litestar.params.FromPath[str]) -> Document:
        return await service.look_up(item)

    @litestar.get('/load')
    async def report() -> Document:
        return service.report()

    return litestar.Litestar(
        route_handlers=[order, look_up, report],
        openapi_config=None,
        logging_config=None,
    )
