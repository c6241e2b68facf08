"""Runs stand-in servers that can be killed, frozen and cut off."""

from __future__ import annotations

import asyncio
import random
import socket
import typing

from teaselbridge.runtime import web

if typing.TYPE_CHECKING:
    import collections.abc

    Scope = collections.abc.MutableMapping[str, typing.Any]
    Message = collections.abc.MutableMapping[str, typing.Any]
    Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
    Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]


FIRST_PORT = 10_000
LAST_PORT = 32_000

_PORTS = random.SystemRandom()
_GIVEN: set[int] = set()


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


def free_port() -> int:
    """Find a free loopback port.

    It lies below the range that the system gives to outgoing connections,
    so that none of them takes it before it is listened on.
    """
    while True:
        port = _PORTS.randrange(FIRST_PORT, LAST_PORT)
        if port in _GIVEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _GIVEN.add(port)
        return port


def _reserve(address: str) -> str:
    host, _, port = address.rpartition(':')
    if port != '0':
        return address
    return f'{host}:{free_port()}'
