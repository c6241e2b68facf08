"""Connections between nodes that carry no data any more are replaced.

A network can drop all packets of a connection without closing it, so that
the sender gets no error.
"""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
import zmq

from teaselbridge.peers import messages
from teaselbridge.peers import transport
from teaselbridge.standins import ports
from teaselbridge.telemetry import metrics
from tests.failures import base

TIMEOUT_S = 30.0
SEND_INTERVAL_S = 0.1


class Relay:
    """TCP relay that can discard the data of its open connections.

    :param target: port on 127.0.0.1 to forward data to.
    """

    def __init__(self, *, target: int) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._silent_flags: list[asyncio.Event] = []
        self.port = ports.find_free_port()
        self.connections = 0

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    def silence_connections(self) -> None:
        """Discard all further data of the connections that are open now.

        The connections stay open.
        """
        for silent in self._silent_flags:
            silent.set()

    async def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        silent = asyncio.Event()
        self._silent_flags.append(silent)
        upstream = await asyncio.open_connection('127.0.0.1', self._target)
        await asyncio.gather(
            self._forward(reader, upstream[1], silent),
            self._forward(upstream[0], writer, silent),
        )

    async def _forward(
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


class TestRefusedMessages(base.TestCase):
    """Messages that cannot be decoded are told, and the others arrive."""

    def test_sender_kind_and_reason(self) -> None:
        nested = b'\x91' * 20_000 + b'\xc0'
        packed = msgspec.msgpack.encode
        ping = messages.Ping(sequence=7, reply_to='', gossip=messages.Gossip())
        sent = (
            (b'\xc1', ('', '')),
            (nested, ('', '')),
            (
                packed(transport.Envelope('n', 1, 'Noise', b'')),
                ('n', 'Noise'),
            ),
            (
                packed(transport.Envelope('n', 1, 'Ping', packed({}))),
                ('n', 'Ping'),
            ),
            (
                packed(transport.Envelope('n', 1, 'Ping', nested)),
                ('n', 'Ping'),
            ),
        )

        async def run() -> None:
            port = ports.find_free_port()
            right = transport.Transport(
                name='right',
                address=f'127.0.0.1:{port}',
                meter=metrics.Meter(),
            )
            right.bind()
            context = zmq.Context()
            dealer = context.socket(zmq.DEALER)
            dealer.connect(f'tcp://127.0.0.1:{port}')
            for data, _ in sent:
                dealer.send(data)
            dealer.send(
                packed(transport.Envelope('n', 1, 'Ping', packed(ping)))
            )
            found = []
            async with asyncio.timeout(TIMEOUT_S):
                async for received in right.receive():
                    found.append(received)
                    if isinstance(received, transport.ReceivedMessage):
                        break
            for (_, expected), refused in zip(sent, found, strict=False):
                assert isinstance(refused, transport.RefusedMessage)
                self.assertEqual(expected, (refused.sender, refused.kind))
                self.assertNotEqual('', refused.reason)
            self.assertEqual(len(sent) + 1, len(found))
            dealer.close(0)
            context.destroy(0)
            await right.close()

        self.run_coroutine(run())


class TestLinks(base.TestCase):
    """Tests of the replacement of connections between nodes."""

    def _build_transport(self, name: str, port: int) -> transport.Transport:
        """Build a transport that listens on a port."""
        new_transport = transport.Transport(
            name=name, address=f'127.0.0.1:{port}', meter=metrics.Meter()
        )
        new_transport.bind()
        return new_transport

    def test_silent_connection_is_replaced(self) -> None:
        """Check that messages arrive again over a second connection."""

        async def run() -> None:
            port = ports.find_free_port()
            relay = Relay(target=port)
            await relay.start()
            left = self._build_transport('left', ports.find_free_port())
            right = self._build_transport('right', port)
            received_sequences: list[int] = []

            async def listen() -> None:
                async for received in right.receive():
                    assert isinstance(received, transport.ReceivedMessage)
                    received_sequences.append(received.message.sequence)

            async def send_until(number: int) -> None:
                """Send a message repeatedly until it is received."""
                while number not in received_sequences:
                    ping = messages.Ping(
                        sequence=number,
                        reply_to='',
                        gossip=messages.Gossip(),
                    )
                    left.send(f'127.0.0.1:{relay.port}', ping, 0)
                    await asyncio.sleep(SEND_INTERVAL_S)

            listener = asyncio.create_task(listen())
            async with asyncio.timeout(TIMEOUT_S):
                await send_until(1)
                relay.silence_connections()
                await send_until(2)
            self.assertEqual(2, relay.connections)
            listener.cancel()
            await left.close()
            await right.close()
            await relay.stop()

        self.run_coroutine(run())
