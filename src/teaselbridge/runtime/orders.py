"""Performs orders to the cloud and to backend servers."""

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


class Orders:
    """Orders that are under way.

    What is not confirmed is not repeated here: the decisions see what
    became of it and order again.

    :param cloud: the cloud API.
    :param clients: kept connections to backend servers.
    :param clock: clocks of the process.
    :param loop: takes the events.
    :param tasks: keeps the tasks.
    """

    def __init__(
        self,
        *,
        cloud: clouds.Cloud,
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
        loop.handle(effects.StartHost, self._start)
        loop.handle(effects.StopHost, self._stop)
        loop.handle(effects.OrderServer, self._order)
        loop.handle(effects.ReadPrices, self._read_prices)

    def _start(self, effect: effects.StartHost) -> None:
        self._tasks.start(self._start_host(effect))

    def _stop(self, effect: effects.StopHost) -> None:
        self._tasks.start(self._stop_host(effect))

    def _order(self, effect: effects.OrderServer) -> None:
        self._tasks.start(self._order_server(effect))

    def _read_prices(self, _: effects.ReadPrices) -> None:
        self._tasks.start(self._prices())

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
            host = await self._cloud.start(order)
        except clouds.PlatformError:
            return
        self._loop.post(events.HostStarted(effect.token, host))

    async def _stop_host(self, effect: effects.StopHost) -> None:
        if self._clock.now().mono >= effect.until:
            return
        try:
            await self._cloud.stop(effect.host)
        except clouds.PlatformError:
            return

    async def _order_server(self, effect: effects.OrderServer) -> None:
        client = self._clients.get(effect.address)
        try:
            await control.send(client, effect, self._clock)
        except (httpx.HTTPError, control.TooLateError):
            return
        self._loop.record(
            effects.Record(
                mark=effects.Mark.VERSION_ORDERED,
                host=effect.host,
                detail=f'{effect.version}, fencing number {effect.fence}',
            )
        )

    async def _prices(self) -> None:
        try:
            prices = await self._cloud.prices()
        except clouds.PlatformError:
            return
        self._loop.post(events.PricesRead(prices))
