"""Simulated plain service whose orders must run only once."""

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
class OrderRuns:
    """Number of runs of each order, over all servers of all services."""

    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Service:
    """One simulated plain service.

    :param version: version that it runs.
    :param slots: capacity in its load report; it is not enforced.
    :param work_ms: processing time of a request.
    :param book: counter of the runs of each order.
    """

    def __init__(
        self, *, version: str, slots: int, work_ms: int, book: OrderRuns
    ) -> None:
        self.version = version
        self.leaving = False
        self._slots = slots
        self._work_ms = work_ms
        self._book = book
        self._running = 0

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._running

    def set_work_ms(self, work_ms: int) -> None:
        """Set the processing time of later requests."""
        self._work_ms = work_ms

    def get_load_report(self) -> Document:
        """Return the current load report."""
        return {
            'version': self.version,
            'slots': self._slots,
            'running': self._running,
            'waiting': 0,
            'leaving': self.leaving,
        }

    async def order(self, number: str, data: Document) -> Document:
        """Run an order.

        The run is counted first, so that it counts even if the caller gets
        no response.

        :param number: idempotency key of the order.
        """
        self._book.runs[number] += 1
        run = self._book.runs[number]
        await self._process()
        return {'order': number, 'run': run, 'items': data.get('items', [])}

    async def get_item(self, item: str) -> Document:
        """Return an item of the catalogue."""
        await self._process()
        return {'item': item, 'stock': len(item)}

    async def _process(self) -> None:
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
        return await service.get_item(item)

    @litestar.get('/load')
    async def report() -> Document:
        return service.get_load_report()

    return litestar.Litestar(
        route_handlers=[order, look_up, report],
        openapi_config=None,
        logging_config=None,
    )
