"""Runs stand-in servers that can be killed, frozen and cut off."""

from __future__ import annotations

import asyncio
import socket
import typing

from teaselbridge.runtime import web

if typing.TYPE_CHECKING:
    import collections.abc

    Scope = collections.abc.MutableMapping[str, typing.Any]
    Message = collections.abc.MutableMapping[str, typing.Any]
    Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
    Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]


class Gate:
    """Lets an application's open connections go silent.

    :param app: the application behind it.
    """

    def __init__(self, *, app: typing.Any) -> None:
        self._app = app
        self._open: dict[object, int] = {}
        self._silent: set[object] = set()

    def silence(self) -> int:
        """Silence all connections in use, for good; new ones work.

        :return: number of connections.
        """
        self._silent.update(self._open)
        return len(self._open)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Pass a request on, unless its connection is silent."""
        client = tuple(scope.get('client') or ())
        self._open[client] = self._open.get(client, 0) + 1

        async def guarded(message: Message) -> None:
            await self._wait(client)
            await send(message)

        try:
            await self._wait(client)
            await self._app(scope, receive, guarded)
        finally:
            self._open[client] -= 1
            if not self._open[client]:
                del self._open[client]

    async def _wait(self, client: object) -> None:
        if client in self._silent:
            await asyncio.Event().wait()


class Hosted:
    """One stand-in server on its own port.

    :param app: the application.
    :param address: ``ip:port``; port 0 is given by the system.
    """

    def __init__(self, *, app: typing.Any, address: str) -> None:
        self._gate = Gate(app=app)
        self._address = _reserve(address)
        self._web = web.Web(app=self._gate, address=self._address)

    @property
    def address(self) -> str:
        """Where it listens, as ``ip:port``."""
        return self._address

    @property
    def base(self) -> str:
        """Where it listens, as ``http://ip:port``."""
        return f'http://{self._address}'

    async def start(self) -> None:
        """Listen and serve."""
        await self._web.start()

    async def kill(self) -> None:
        """Stop to listen and reset all connections, as a dead host does."""
        await self._web.kill()

    def silence(self) -> int:
        """Silence all connections in use; new ones work."""
        return self._gate.silence()


def _reserve(address: str) -> str:
    host, _, port = address.rpartition(':')
    if port != '0':
        return address
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return f'{host}:{probe.getsockname()[1]}'
