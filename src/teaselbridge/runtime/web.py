"""Runs a web application on a listening socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
import typing

import uvicorn
from uvicorn.protocols.http import h11_impl

from teaselbridge import clock
from teaselbridge.runtime import listening

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.settings import model

KEEP_ALIVE_S = 30
GRACEFUL_S = 2
REQUEST_MS = 30_000


class Server(uvicorn.Server):
    """A server that leaves signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Take no signals."""
        yield


def _protocol(request_ms: int) -> type[h11_impl.H11Protocol]:
    """Build a protocol that closes connections of slow senders.

    :param request_ms: longest time that a request may take to arrive.
    """

    class Protocol(h11_impl.H11Protocol):
        """HTTP/1.1 with a limit on the time that a request arrives in."""

        _timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            """Expect a first request."""
            super().connection_made(typing.cast(asyncio.Transport, transport))
            self._expect()

        def data_received(self, data: bytes) -> None:
            """Take in a part of a request."""
            super().data_received(data)
            if self._is_whole():
                self._settle()
            elif self._timer is None:
                self._expect()

        def connection_lost(self, exc: Exception | None) -> None:
            """Expect nothing more."""
            self._settle()
            super().connection_lost(exc)

        def _is_whole(self) -> bool:
            cycle = self.cycle
            if cycle is None or cycle.response_complete:
                return False
            return not cycle.more_body

        def _expect(self) -> None:
            self._timer = self.loop.call_later(
                clock.seconds(request_ms), self.transport.abort
            )

        def _settle(self) -> None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

    return Protocol


class Web:
    """One listener of a node.

    :param app: the web application.
    :param address: ``ip:port`` to listen on.
    :param listener: socket that listens there already, none for a new one.
    :param tls: certificate, none for plain HTTP.
    :param request_ms: longest time that a request may take to arrive.
    :param keep_alive_s: how long a connection may stay idle, in seconds.
    :param graceful_s: how long open responses may go on after the stop, in
        seconds.
    """

    def __init__(
        self,
        *,
        app: typing.Any,
        address: str,
        listener: socket.socket | None = None,
        tls: model.Tls | None = None,
        request_ms: int = REQUEST_MS,
        keep_alive_s: int = KEEP_ALIVE_S,
        graceful_s: int = GRACEFUL_S,
    ) -> None:
        self._address = address
        self._tls = tls
        self._server = Server(
            uvicorn.Config(
                app,
                http=_protocol(request_ms),
                log_config=None,
                access_log=False,
                proxy_headers=False,
                server_header=False,
                date_header=False,
                lifespan='off',
                timeout_keep_alive=keep_alive_s,
                timeout_graceful_shutdown=graceful_s,
                ssl_certfile=None if tls is None else tls.certificate,
                ssl_keyfile=None if tls is None else tls.key,
            )
        )
        self._socket = listener
        self._task: asyncio.Task[None] | None = None

    def bind(self) -> None:
        """Listen, unless that was done before.

        :raises OSError: the address is not free.
        """
        if self._socket is not None:
            return
        self._socket = listening.listen(self._address)

    async def start(self) -> None:
        """Serve in the background."""
        if self._socket is None:
            self.bind()
        assert self._socket is not None
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._socket])
        )
        while not self._server.started and not self._task.done():
            await asyncio.sleep(0.001)

    def reload_tls(self) -> str:
        """Load the certificate files anew, for new connections.

        :return: what is wrong with them; the old ones stay in use then.
        """
        context = self._server.config.ssl
        if context is None or self._tls is None:
            return ''
        tls = self._tls
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            # A failed load leaves half of it in the context.
            trial.load_cert_chain(tls.certificate, tls.key)
            context.load_cert_chain(tls.certificate, tls.key)
        except (OSError, ssl.SSLError) as error:
            return repr(error)
        return ''

    async def stop(self) -> None:
        """Stop to listen, let open responses end, and close."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def kill(self) -> None:
        """Stop to listen and reset all connections."""
        for listener in getattr(self._server, 'servers', []):
            listener.close()
        for connection in list(self._server.server_state.connections):
            transport = getattr(connection, 'transport', None)
            if transport is not None:
                transport.abort()
        self._server.force_exit = True
        await self.stop()
