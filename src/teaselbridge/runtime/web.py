"""Runs a web application on a listening socket."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import select
import socket
import ssl
import typing

import uvicorn

from teaselbridge.runtime import listening
from teaselbridge.runtime import protocol

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.settings import model

KEEP_ALIVE_TIMEOUT_S = 30
GRACEFUL_TIMEOUT_S = 2
REQUEST_TIMEOUT_MS = 30_000
# Connections that are accepted in one step. Without a free descriptor the
# library tries, and logs an error, that many times.
MAX_ACCEPTED_AT_ONCE = 16
# Turns of the event loop that accept a full backlog of connections.
MAX_ACCEPT_TURNS = listening.LISTEN_BACKLOG // MAX_ACCEPTED_AT_ONCE
# Turns of the event loop after which what an accepted connection has received
# is read: its task, its registration, the poll that finds the bytes, and one
# for a request that came in several parts.
READING_TURNS = 4
# Part of the time for open responses that is spent on waiting connections.
MAX_ACCEPTING_SHARE = 0.5


class SignalFreeServer(uvicorn.Server):
    """Uvicorn server without signal handlers; the node has its own."""

    server_state: protocol.ServerState

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit = asyncio.Event()
        self.server_state = protocol.ServerState()

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Install no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Wait until the server should exit.

        The library wakes up ten times a second, for each listener, which is
        a quarter of the processor time of an idle node.
        """
        # Sets the headers of all responses; none of them changes.
        await self.on_tick(0)
        await self._exit.wait()

    def request_exit(self) -> None:
        """Let the server stop."""
        self.should_exit = True
        self._exit.set()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Close idle connections and wait until the others are closed.

        The library polls for that, which takes a fifth of a second at least.
        The kernel resets connections with unread bytes, and those that wait
        to be accepted, so that both are read before.
        """
        now = asyncio.get_running_loop().time()
        graceful_s: float = self.config.timeout_graceful_shutdown or 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(
                now + MAX_ACCEPTING_SHARE * graceful_s
            ):
                await self._accept_waiting(sockets or ())
        for server in self.servers:
            server.close()
        for listener in sockets or ():
            listener.close()
        await _run_turns(READING_TURNS)
        for connection in list(self.server_state.connections):
            connection.shutdown()
        try:
            async with asyncio.timeout_at(now + graceful_s):
                await self._wait_until_closed()
        except TimeoutError:
            for task in self.server_state.tasks:
                task.cancel()

    async def _accept_waiting(
        self, listeners: collections.abc.Sequence[socket.socket]
    ) -> None:
        """Accept the connections that wait for it."""
        for _ in range(MAX_ACCEPT_TURNS):
            if not _has_waiting(listeners):
                # A server that is closed rejects what it has accepted in the
                # same turn.
                await _run_turns(1)
                if not _has_waiting(listeners):
                    return
            await _run_turns(1)

    async def _wait_until_closed(self) -> None:
        while self.server_state.connections and not self.force_exit:
            self.server_state.lost.clear()
            await self.server_state.lost.wait()
        while self.server_state.tasks and not self.force_exit:
            await asyncio.wait(self.server_state.tasks)


def _has_waiting(listeners: collections.abc.Sequence[socket.socket]) -> bool:
    """Return whether connections wait to be accepted."""
    poll = select.poll()
    for listener in listeners:
        if listener.fileno() >= 0:
            poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))


async def _run_turns(count: int) -> None:
    """Let the event loop run some turns."""
    for _ in range(count):
        await asyncio.sleep(0)


@dataclasses.dataclass(frozen=True, slots=True)
class OpenConnections:
    """Open connections of a listener.

    :param count: number of them.
    :param unsent_bytes: bytes that wait to be sent on them.
    """

    count: int
    unsent_bytes: int


class HttpListener:
    """HTTP server of a node for one address.

    :param app: ASGI application.
    :param address: ``ip:port`` to listen on.
    :param listener: socket that is already listening there, ``None`` to
        open one.
    :param tls: certificate, ``None`` for plain HTTP.
    :param request_ms: longest time in which a request must be received.
    :param keep_alive_s: how long a connection may stay idle, in seconds.
    :param graceful_s: how long open responses may take after `stop`, in
        seconds.
    """

    def __init__(
        self,
        *,
        app: typing.Any,
        address: str,
        listener: socket.socket | None = None,
        tls: model.Tls | None = None,
        request_ms: int = REQUEST_TIMEOUT_MS,
        keep_alive_s: int = KEEP_ALIVE_TIMEOUT_S,
        graceful_s: float = GRACEFUL_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._tls = tls
        self._server = SignalFreeServer(
            uvicorn.Config(
                app,
                http=protocol.build(request_ms),
                log_config=None,
                access_log=False,
                proxy_headers=False,
                server_header=False,
                date_header=False,
                lifespan='off',
                timeout_keep_alive=keep_alive_s,
                backlog=MAX_ACCEPTED_AT_ONCE,
                ssl_certfile=None if tls is None else tls.certificate,
                ssl_keyfile=None if tls is None else tls.key,
            )
        )
        self._set_graceful_timeout(graceful_s)
        self._socket = listener
        self._task: asyncio.Task[None] | None = None

    def bind(self) -> None:
        """Open the listening socket, unless there is one.

        :raises OSError: the address is in use or not available.
        """
        if self._socket is not None:
            return
        self._socket = listening.listen(self._address)

    async def start(self) -> None:
        """Serve in a background task; return once it accepts connections."""
        if self._socket is None:
            self.bind()
        assert self._socket is not None
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._socket])
        )
        while not self._server.started and not self._task.done():
            await asyncio.sleep(0.001)
        if self._server.started:
            # The library has set it to its own.
            self._socket.listen(listening.LISTEN_BACKLOG)

    def reload_tls(self) -> str:
        """Reload the certificate files for new connections.

        :return: the error, empty if there is none; the old certificate stays
            in use after an error.
        """
        context = self._server.config.ssl
        if context is None or self._tls is None:
            return ''
        tls = self._tls
        trial_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            # A failed load leaves a context with a certificate and no matching
            # key, so the files are first loaded into another context.
            trial_context.load_cert_chain(tls.certificate, tls.key)
            context.load_cert_chain(tls.certificate, tls.key)
        except (OSError, ssl.SSLError) as error:
            return repr(error)
        return ''

    def end_connections(self) -> None:
        """Make the next answer of each connection its last one."""
        state = self._server.server_state
        state.is_ending = True
        for connection in list(state.connections):
            if isinstance(connection, protocol.Protocol):
                connection.end()

    async def stop(self, graceful_s: float | None = None) -> None:
        """Stop listening, wait for open responses, and close.

        :param graceful_s: how long they may take in seconds, none for the
            time that the listener was built with.
        """
        if graceful_s is not None:
            self._set_graceful_timeout(graceful_s)
        self._server.request_exit()
        if self._task is not None:
            await self._task

    def _set_graceful_timeout(self, span_s: float) -> None:
        # The library is typed for whole seconds, and waits for any number.
        config: typing.Any = self._server.config
        config.timeout_graceful_shutdown = span_s

    def count_open(self) -> OpenConnections:
        """Count the connections that are open."""
        count = unsent_bytes = 0
        for connection in self._server.server_state.connections:
            count += 1
            transport = getattr(connection, 'transport', None)
            if transport is not None:
                unsent_bytes += transport.get_write_buffer_size()
        return OpenConnections(count, unsent_bytes)

    async def abort(self) -> None:
        """Stop listening and abort all connections."""
        for listener in getattr(self._server, 'servers', []):
            listener.close()
        for connection in list(self._server.server_state.connections):
            transport = getattr(connection, 'transport', None)
            if transport is not None:
                transport.abort()
        self._server.force_exit = True
        await self.stop()
