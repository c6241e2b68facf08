"""Runs a web application on a listening socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing

import uvicorn

from teaselbridge.settings import load

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.settings import model

BACKLOG = 1_024
KEEP_ALIVE_S = 30
USER_TIMEOUT_MS = 20_000


class Server(uvicorn.Server):
    """A server that leaves signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Generator[None, None, None]:
        """Take no signals."""
        yield


class Web:
    """One listener of a node.

    :param app: the web application.
    :param address: ``ip:port`` to listen on.
    :param tls: certificate, none for plain HTTP.
    """

    def __init__(
        self, *, app: typing.Any, address: str, tls: model.Tls | None = None
    ) -> None:
        self._address = address
        self._server = Server(
            uvicorn.Config(
                app,
                log_config=None,
                access_log=False,
                lifespan='off',
                timeout_keep_alive=KEEP_ALIVE_S,
                timeout_graceful_shutdown=2,
                ssl_certfile=None if tls is None else tls.certificate,
                ssl_keyfile=None if tls is None else tls.key,
            )
        )
        self._socket: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def server(self) -> uvicorn.Server:
        """The server itself."""
        return self._server

    def bind(self) -> None:
        """Listen.

        :raises OSError: the address is not free.
        """
        host, port = load.split(self._address)
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        listener.bind((host, port))
        listener.listen(BACKLOG)
        self._socket = listener

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

    async def stop(self) -> None:
        """Stop to listen, let open responses end, and close."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
