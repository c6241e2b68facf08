"""Hosting of simulated services, with killed and silenced connections."""

from __future__ import annotations

import asyncio
import typing

from teaselbridge.runtime import web
from teaselbridge.standins import ports

if typing.TYPE_CHECKING:
    import collections.abc

    Scope = collections.abc.MutableMapping[str, typing.Any]
    Message = collections.abc.MutableMapping[str, typing.Any]
    Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
    Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]


class SilenceableApp:
    """ASGI wrapper that can silence an application's connections.

    :param app: wrapped application.
    """

    def __init__(self, *, app: typing.Any) -> None:
        self._app = app
        self._request_counts: dict[object, int] = {}
        self._silenced: set[object] = set()

    def silence(self) -> int:
        """Silence all connections with a running request, permanently.

        They stay open but transfer nothing more. New connections work.

        :return: number of connections.
        """
        self._silenced.update(self._request_counts)
        return len(self._request_counts)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Forward a request unless its connection is silenced."""
        client = tuple(scope.get('client') or ())
        self._request_counts[client] = self._request_counts.get(client, 0) + 1

        async def send_unless_silenced(message: Message) -> None:
            await self._block_if_silenced(client)
            await send(message)

        try:
            await self._block_if_silenced(client)
            await self._app(scope, receive, send_unless_silenced)
        finally:
            self._request_counts[client] -= 1
            if not self._request_counts[client]:
                del self._request_counts[client]

    async def _block_if_silenced(self, client: object) -> None:
        if client in self._silenced:
            await asyncio.Event().wait()


class HostedApp:
    """One simulated service on its own port.

    :param app: application to serve.
    :param address: ``ip:port``; port 0 is replaced by a free port.
    """

    def __init__(self, *, app: typing.Any, address: str) -> None:
        self._gate = SilenceableApp(app=app)
        self._address = _resolve_address(address)
        self._web = web.HttpListener(app=self._gate, address=self._address)

    @property
    def address(self) -> str:
        """Listening address, as ``ip:port``."""
        return self._address

    @property
    def base(self) -> str:
        """Base URL, as ``http://ip:port``."""
        return f'http://{self._address}'

    async def start(self) -> None:
        """Start to listen and serve."""
        await self._web.start()

    async def kill(self) -> None:
        """Stop listening and reset all connections, like a dead host."""
        await self._web.abort()

    def silence(self) -> int:
        """Silence all connections with a running request.

        New connections work.

        :return: number of connections.
        """
        return self._gate.silence()


def _resolve_address(address: str) -> str:
    host, _, port = address.rpartition(':')
    if port != '0':
        return address
    return f'{host}:{ports.find_free_port()}'
