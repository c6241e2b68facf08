"""Executes the effects that call the cloud API and control servers."""

from __future__ import annotations

import typing

import httpx

from teaselbridge.backends import control
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.protocols import cloud as clouds

if typing.TYPE_CHECKING:
    from teaselbridge import clock as clocks
    from teaselbridge.runtime import attempts as attempts_module
    from teaselbridge.runtime import loop as loops


class OrderExecutor:
    """Orders to the cloud and to backend servers.

    Failed orders are not retried here: the reducer observes the result in
    the host list and in the reported versions, and orders again.

    :param cloud: client of the cloud API.
    :param clients: HTTP clients of the backend servers.
    :param clock: clocks of the process.
    :param loop: loop that the events are posted to.
    :param tasks: background tasks that the orders are added to.
    """

    def __init__(
        self,
        *,
        cloud: clouds.CloudClient,
        clients: attempts_module.Clients,
        clock: clocks.Clock,
        loop: loops.Loop,
        tasks: loops.Tasks,
    ) -> None:
        self._cloud = cloud
        self._clients = clients
        self._clock = clock
        self._loop = loop
        self._tasks = tasks
        loop.handle(effects.StartHost, self._submit_host_start)
        loop.handle(effects.StopHost, self._submit_host_stop)
        loop.handle(effects.OrderServer, self._submit_server_order)
        loop.handle(effects.ReadPrices, self._submit_price_query)

    def _submit_host_start(self, effect: effects.StartHost) -> None:
        self._tasks.start(self._start_host(effect))

    def _submit_host_stop(self, effect: effects.StopHost) -> None:
        self._tasks.start(self._stop_host(effect))

    def _submit_server_order(self, effect: effects.OrderServer) -> None:
        self._tasks.start(self._order_server(effect))

    def _submit_price_query(self, _: effects.ReadPrices) -> None:
        self._tasks.start(self._fetch_prices())

    async def _start_host(self, effect: effects.StartHost) -> None:
        order = clouds.HostOrder(
            token=effect.token,
            pool=effect.pool,
            version=effect.version,
            zone=effect.zone,
            host_class=effect.host_class,
            reclaimable=effect.reclaimable,
        )
        if self._clock.now().mono >= effect.until:
            return
        try:
            host = await self._cloud.order_host(order)
        except clouds.PlatformError:
            return
        self._loop.post(events.HostStarted(effect.token, host))

    async def _stop_host(self, effect: effects.StopHost) -> None:
        if self._clock.now().mono >= effect.until:
            return
        try:
            await self._cloud.release_host(effect.host)
        except clouds.PlatformError:
            return

    async def _order_server(self, effect: effects.OrderServer) -> None:
        client = self._clients.get(effect.address)
        try:
            await control.send_order(client, effect, self._clock)
        except (httpx.HTTPError, control.TooLateError):
            return
        self._loop.record(
            effects.RecordEntry(
                mark=effects.Mark.VERSION_ORDERED,
                host=effect.host,
                detail=f'{effect.version}, fencing token {effect.fence}',
            )
        )

    async def _fetch_prices(self) -> None:
        try:
            prices = await self._cloud.prices()
        except clouds.PlatformError:
            return
        self._loop.post(events.PricesRead(prices))
