"""Executes the effects that send requests to backend servers."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import httpx

from teaselbridge.backends import caches
from teaselbridge.backends import engine
from teaselbridge.backends import service
from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.runtime import checks
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.runtime import loop as loops

CONNECT_TIMEOUT_MS = 1_000
LOAD_TIMEOUT_MS = 400
MAX_CONNECTIONS = 256
KEEP_ALIVE_TIMEOUT_MS = 20_000
CLOSE_DELAY_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadReport:
    """Load that a backend server reports.

    :param slots: requests that it can serve at once.
    :param leaving: whether it accepts no new requests.
    """

    version: str = ''
    slots: int = 1
    running: int = 0
    waiting: int = 0
    leaving: bool = False


class Clients:
    """HTTP clients with pooled connections, one per backend server.

    :param connect_timeout_ms: timeout for opening a connection.
    :param keep_alive_ms: how long an idle connection is kept.
    """

    def __init__(
        self,
        *,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        keep_alive_ms: int = KEEP_ALIVE_TIMEOUT_MS,
    ) -> None:
        self._connect_ms = connect_timeout_ms
        self._keep_alive_ms = keep_alive_ms
        self._by_address: dict[str, httpx.AsyncClient] = {}
        self._unpooled = self._create_client(max_idle=0)

    @property
    def unpooled(self) -> httpx.AsyncClient:
        """Client that opens a new connection for each request."""
        return self._unpooled

    def get(self, address: str) -> httpx.AsyncClient:
        """Return the client of a backend server, creating it if needed."""
        client = self._by_address.get(address)
        if client is None:
            client = self._create_client(max_idle=None)
            self._by_address[address] = client
        return client

    def pop(self, address: str) -> httpx.AsyncClient | None:
        """Remove and return a client; the next one opens new connections."""
        return self._by_address.pop(address, None)

    def _create_client(self, *, max_idle: int | None) -> httpx.AsyncClient:
        """Create a client.

        :param max_idle: most idle connections to keep, ``None`` for no
            limit.
        """
        connect = clock.seconds(self._connect_ms)
        return httpx.AsyncClient(
            timeout=httpx.Timeout(None, connect=connect),
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=max_idle,
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
        await self._unpooled.aclose()


class AttemptExecutor:
    """Attempts in flight and the HTTP clients that they use.

    :param loop: loop that the events are posted to.
    :param tasks: background tasks that the attempts are added to.
    :param connect_timeout_ms: timeout for opening a connection.
    :param keep_alive_ms: how long an idle connection is kept.
    """

    def __init__(
        self,
        *,
        loop: loops.Loop,
        tasks: loops.Tasks,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        keep_alive_ms: int = KEEP_ALIVE_TIMEOUT_MS,
    ) -> None:
        self._loop = loop
        self._tasks = tasks
        self._clients = Clients(
            connect_timeout_ms=connect_timeout_ms, keep_alive_ms=keep_alive_ms
        )
        self._tasks_by_handle: dict[int, asyncio.Task[None]] = {}
        self._queried_hosts: set[str] = set()
        loop.handle(effects.StartAttempt, self._start_attempt)
        loop.handle(effects.CancelAttempt, self._cancel_attempt)
        loop.handle(effects.DropConnections, self._drop_connections)
        loop.handle(effects.QueryLoad, self._query_load)
        checks.connect(loop, tasks)

    @property
    def clients(self) -> Clients:
        """HTTP clients of the backend servers."""
        return self._clients

    async def close(self) -> None:
        """Close all connections."""
        await self._clients.close()

    def _start_attempt(self, effect: effects.StartAttempt) -> None:
        run = self._run_engine
        if effect.call.kind is model.Kind.SERVICE:
            run = self._run_service
        self._start_task(effect.call.handle, run(effect))

    def _start_task(
        self,
        handle: int,
        work: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        task = self._tasks.start(work)
        self._tasks_by_handle[handle] = task

        def remove_ended(ended: asyncio.Task[None]) -> None:
            if self._tasks_by_handle.get(handle) is ended:
                del self._tasks_by_handle[handle]

        task.add_done_callback(remove_ended)

    async def _run_engine(self, effect: effects.StartAttempt) -> None:
        client = self._clients.get(effect.address)
        if effect.source is not None:
            source = self._clients.get(effect.source.address)
            blocks = await caches.move(source, client, effect)
            self._loop.post(events.CacheCopied(blocks))
        await engine.run(client, effect, self._loop.post)

    async def _run_service(self, effect: effects.StartAttempt) -> None:
        client = self._clients.get(effect.address)
        if effect.new_connection:
            client = self._clients.unpooled
        await service.run(client, effect, self._loop.post)

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        task = self._tasks_by_handle.pop(effect.handle, None)
        if task is not None:
            task.cancel()

    def _drop_connections(self, effect: effects.DropConnections) -> None:
        client = self._clients.pop(effect.address)
        if client is not None:
            self._tasks.start(_close_after_delay(client))

    def _query_load(self, effect: effects.QueryLoad) -> None:
        for target in effect.hosts:
            if target.host not in self._queried_hosts:
                self._queried_hosts.add(target.host)
                self._tasks.start(self._post_load(target))

    async def _post_load(self, target: effects.Target) -> None:
        try:
            event = await self._fetch_load(target)
        finally:
            self._queried_hosts.discard(target.host)
        self._loop.post(event)

    async def _fetch_load(
        self, target: effects.Target
    ) -> events.LoadReported | events.LoadMissing:
        client = self._clients.get(target.address)
        try:
            response = await client.get(
                f'http://{target.address}/load',
                timeout=clock.seconds(LOAD_TIMEOUT_MS),
            )
            response.raise_for_status()
            report = documents.decode(
                response.content, _LoadReport, target.address
            )
        except (httpx.HTTPError, errors.DocumentError):
            self._drop_connections(effects.DropConnections(target.address))
            return events.LoadMissing(target.host)
        return events.LoadReported(
            host=target.host,
            version=report.version,
            slots=report.slots,
            running=report.running,
            waiting=report.waiting,
            leaving=report.leaving,
        )


async def _close_after_delay(client: httpx.AsyncClient) -> None:
    """Close a client after a delay in which its attempts can end."""
    await asyncio.sleep(clock.seconds(CLOSE_DELAY_MS))
    await client.aclose()
