"""Connections between nodes that go silent are replaced."""

from __future__ import annotations

import asyncio
import contextlib

from teaselbridge.peers import messages
from teaselbridge.peers import transport
from teaselbridge.standins import hosting
from teaselbridge.telemetry import metrics
from tests.failures import base

WAIT_S = 30.0
EVERY_S = 0.1


class Relay:
    """Passes bytes on; connections that it is told to forget go silent.

    :param target: port of 127.0.0.1 to pass bytes on to.
    """

    def __init__(self, *, target: int) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._heard: list[asyncio.Event] = []
        self.port = hosting.free_port()
        self.connections = 0

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    def forget(self) -> None:
        """Let what is open now go silent, without closing it."""
        for silent in self._heard:
            silent.set()

    async def stop(self) -> None:
        """Accept no more."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        silent = asyncio.Event()
        self._heard.append(silent)
        there = await asyncio.open_connection('127.0.0.1', self._target)
        await asyncio.gather(
            self._pass(reader, there[1], silent),
            self._pass(there[0], writer, silent),
        )

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silent: asyncio.Event,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(4_096):
                if not silent.is_set():
                    writer.write(data)
            writer.close()


class TestLinks(base.TestCase):
    """Messages get through again once a silent connection is found."""

    def _transport(self, name: str, port: int) -> transport.Transport:
        found = transport.Transport(
            name=name, address=f'127.0.0.1:{port}', meter=metrics.Meter()
        )
        found.bind()
        return found

    def test_silent_connection_is_replaced(self) -> None:
        async def run() -> None:
            port = hosting.free_port()
            relay = Relay(target=port)
            await relay.start()
            left = self._transport('left', hosting.free_port())
            right = self._transport('right', port)
            heard: list[int] = []

            async def listen() -> None:
                async for received in right.receive():
                    heard.append(received.message.sequence)

            async def send_until(number: int) -> None:
                """Send until a message gets through."""
                while number not in heard:
                    ping = messages.Ping(
                        sequence=number,
                        reply_to='',
                        gossip=messages.Gossip(),
                    )
                    left.send(f'127.0.0.1:{relay.port}', ping, 0)
                    await asyncio.sleep(EVERY_S)

            listener = asyncio.create_task(listen())
            async with asyncio.timeout(WAIT_S):
                await send_until(1)
                relay.forget()
                await send_until(2)
            self.assertEqual(2, relay.connections)
            listener.cancel()
            await left.close()
            await right.close()
            await relay.stop()

        self.go(run())
