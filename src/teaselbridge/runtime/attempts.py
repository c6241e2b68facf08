"""Performs attempts at backend servers."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import httpx
import msgspec

from teaselbridge.backends import caches
from teaselbridge.backends import engine
from teaselbridge.backends import service
from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.platform import runners
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.runtime import loop as loops

CONNECT_MS = 1_000
REPORT_MS = 400
CONNECTIONS = 256
KEEP_ALIVE_MS = 20_000
CLOSE_LATER_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """A backend server's load, as it reports it."""

    version: str = ''
    slots: int = 1
    running: int = 0
    waiting: int = 0
    leaving: bool = False


class Clients:
    """Kept connections, one client for each backend server.

    :param connect_ms: longest time until a connection stands.
    :param keep_alive_ms: how long a connection is kept idle.
    """

    def __init__(
        self,
        *,
        connect_ms: int = CONNECT_MS,
        keep_alive_ms: int = KEEP_ALIVE_MS,
    ) -> None:
        self._connect_ms = connect_ms
        self._keep_alive_ms = keep_alive_ms
        self._by_address: dict[str, httpx.AsyncClient] = {}
        self._fresh = self._client(kept=0)

    @property
    def fresh(self) -> httpx.AsyncClient:
        """A client that opens a new connection for each request."""
        return self._fresh

    def get(self, address: str) -> httpx.AsyncClient:
        """Give the client of a backend server."""
        client = self._by_address.get(address)
        if client is None:
            client = self._client(kept=None)
            self._by_address[address] = client
        return client

    def pop(self, address: str) -> httpx.AsyncClient | None:
        """Take a client out, so that the next one connects anew."""
        return self._by_address.pop(address, None)

    def _client(self, *, kept: int | None) -> httpx.AsyncClient:
        """Make a client.

        :param kept: most idle connections to keep, none for no limit.
        """
        connect = clock.seconds(self._connect_ms)
        return httpx.AsyncClient(
            timeout=httpx.Timeout(None, connect=connect),
            limits=httpx.Limits(
                max_connections=CONNECTIONS,
                max_keepalive_connections=kept,
                keepalive_expiry=clock.seconds(self._keep_alive_ms),
            ),
            trust_env=False,
            verify=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        for client in self._by_address.values():
            await client.aclose()
        self._by_address.clear()
        await self._fresh.aclose()


class Attempts:
    """Attempts that are under way.

    :param loop: takes the events.
    :param tasks: keeps the tasks.
    :param connect_ms: longest time until a connection stands.
    :param keep_alive_ms: how long a connection is kept idle.
    """

    def __init__(
        self,
        *,
        loop: loops.Loop,
        tasks: loops.Tasks,
        connect_ms: int = CONNECT_MS,
        keep_alive_ms: int = KEEP_ALIVE_MS,
    ) -> None:
        self._loop = loop
        self._tasks = tasks
        self._clients = Clients(
            connect_ms=connect_ms, keep_alive_ms=keep_alive_ms
        )
        self._running: dict[int, asyncio.Task[None]] = {}
        self._asking: set[str] = set()
        loop.handle(effects.StartAttempt, self._start)
        loop.handle(effects.RelayAttempt, self._relay)
        loop.handle(effects.CancelAttempt, self._cancel)
        loop.handle(effects.DropConnections, self._drop)
        loop.handle(effects.ReportLoad, self._report)

    @property
    def clients(self) -> Clients:
        """Kept connections to backend servers."""
        return self._clients

    async def close(self) -> None:
        """Close all connections."""
        await self._clients.close()

    def _start(self, effect: effects.StartAttempt) -> None:
        run = self._run_engine
        if effect.call.kind is model.Kind.SERVICE:
            run = self._run_service
        self._run(effect.call.handle, run(effect))

    def _relay(self, effect: effects.RelayAttempt) -> None:
        client = self._clients.get(effect.address)
        if effect.fresh:
            client = self._clients.fresh
        run = runners.run(client, effect, self._loop.post)
        self._run(effect.call.handle, run)

    def _run(
        self,
        handle: int,
        work: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        task = self._tasks.start(work)
        self._running[handle] = task

        def forget(ended: asyncio.Task[None]) -> None:
            if self._running.get(handle) is ended:
                del self._running[handle]

        task.add_done_callback(forget)

    async def _run_engine(self, effect: effects.StartAttempt) -> None:
        client = self._clients.get(effect.address)
        if effect.source is not None:
            source = self._clients.get(effect.source.address)
            blocks = await caches.move(source, client, effect)
            self._loop.post(events.CacheMoved(blocks))
        await engine.run(client, effect, self._loop.post)

    async def _run_service(self, effect: effects.StartAttempt) -> None:
        client = self._clients.get(effect.address)
        if effect.fresh:
            client = self._clients.fresh
        await service.run(client, effect, self._loop.post)

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        task = self._running.pop(effect.handle, None)
        if task is not None:
            task.cancel()

    def _drop(self, effect: effects.DropConnections) -> None:
        client = self._clients.pop(effect.address)
        if client is not None:
            self._tasks.start(_close_later(client))

    def _report(self, effect: effects.ReportLoad) -> None:
        for target in effect.hosts:
            if target.host not in self._asking:
                self._asking.add(target.host)
                self._tasks.start(self._ask(target))

    async def _ask(self, target: effects.Target) -> None:
        try:
            event = await self._read_load(target)
        finally:
            self._asking.discard(target.host)
        self._loop.post(event)

    async def _read_load(
        self, target: effects.Target
    ) -> events.LoadReported | events.LoadMissing:
        client = self._clients.get(target.address)
        try:
            response = await client.get(
                f'http://{target.address}/load',
                timeout=clock.seconds(REPORT_MS),
            )
            response.raise_for_status()
            report = msgspec.json.decode(response.content, type=_Report)
        except (httpx.HTTPError, msgspec.DecodeError):
            self._drop(effects.DropConnections(target.address))
            return events.LoadMissing(target.host)
        return events.LoadReported(
            host=target.host,
            version=report.version,
            slots=report.slots,
            running=report.running,
            waiting=report.waiting,
            leaving=report.leaving,
        )


async def _close_later(client: httpx.AsyncClient) -> None:
    """Close a client once the attempts that use it have had their time."""
    await asyncio.sleep(clock.seconds(CLOSE_LATER_MS))
    await client.aclose()
