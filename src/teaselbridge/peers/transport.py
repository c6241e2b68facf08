"""Messages between nodes over zmq.

Each node binds one ROUTER socket and opens a DEALER socket to each peer
that it talks to. A send never blocks: what cannot be queued is dropped, as
all protocols on top allow for loss.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

import msgspec
import zmq
import zmq.asyncio

from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.settings import model
    from teaselbridge.telemetry import metrics

HEARTBEAT_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
QUEUE_MESSAGES = 1_000
MESSAGE_BYTES = 16 * 1_048_576
SOCKETS_MOST = 64

KINDS: dict[str, type[messages.Message]] = {
    kind.__name__: kind for kind in typing.get_args(messages.Message)
}


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message with what every message carries.

    :param sender: name of the sending node.
    :param stamp: its hybrid logical time.
    :param kind: name of the message's class.
    :param body: the encoded message.
    """

    sender: str
    stamp: int
    kind: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message as it came in.

    :param sender: name of the sending node.
    :param stamp: its hybrid logical time.
    """

    sender: str
    stamp: int
    message: messages.Message


class Transport:
    """Sockets of one node.

    :param name: name of the node.
    :param address: ``ip:port`` to bind.
    :param meter: counts bytes.
    :param keys: key pair that all nodes share, none for plain messages.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        meter: metrics.Meter,
        keys: model.PeerKeys | None = None,
    ) -> None:
        self._keys = keys
        self._name = name
        self._address = address
        self._meter = meter
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._dealers: collections.OrderedDict[str, zmq.Socket[bytes]] = (
            collections.OrderedDict()
        )
        self._plain: zmq.Context[zmq.Socket[bytes]] = zmq.Context(
            self._context
        )

    def bind(self) -> None:
        """Listen for other nodes."""
        router = self._context.socket(zmq.ROUTER)
        self._prepare(router)
        router.setsockopt(zmq.MAXMSGSIZE, MESSAGE_BYTES)
        if self._keys is not None:
            router.setsockopt(zmq.CURVE_SERVER, 1)
        router.bind(f'tcp://{self._address}')
        self._router = router

    def send(
        self, address: str, message: messages.Message, stamp: int
    ) -> None:
        """Send a message, or drop it where the peer does not take it.

        :param address: ``ip:port`` of the peer's zmq socket.
        """
        kind = type(message).__name__
        envelope = Envelope(
            self._name, stamp, kind, msgspec.msgpack.encode(message)
        )
        data = msgspec.msgpack.encode(envelope)
        self._meter.count_bytes('sent', kind, len(data))
        try:
            self._dealer(address).send(data, zmq.DONTWAIT)
        except zmq.Again:
            self._drop(address)

    async def receive(self) -> collections.abc.AsyncIterator[Received]:
        """Give the messages of other nodes as they come."""
        assert self._router is not None
        while True:
            frames = await self._router.recv_multipart()
            received = self._decode(frames[-1])
            if received is not None:
                yield received

    async def close(self) -> None:
        """Close all sockets, after what was sent had a moment to leave."""
        await asyncio.sleep(0.05)
        for address in list(self._dealers):
            self._drop(address)
        if self._router is not None:
            self._router.close(0)
        self._context.destroy(0)

    def _decode(self, data: bytes) -> Received | None:
        try:
            envelope = msgspec.msgpack.decode(data, type=Envelope)
            kind = KINDS[envelope.kind]
            message = msgspec.msgpack.decode(envelope.body, type=kind)
        except (msgspec.DecodeError, KeyError):
            self._meter.count_bytes('received', 'malformed', len(data))
            return None
        self._meter.count_bytes('received', envelope.kind, len(data))
        return Received(envelope.sender, envelope.stamp, message)

    def _dealer(self, address: str) -> zmq.Socket[bytes]:
        dealer = self._dealers.get(address)
        if dealer is not None:
            self._dealers.move_to_end(address)
            return dealer
        if len(self._dealers) >= SOCKETS_MOST:
            self._drop(next(iter(self._dealers)))
        dealer = self._plain.socket(zmq.DEALER)
        self._prepare(dealer)
        dealer.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        if self._keys is not None:
            server = self._keys.public.encode()
            dealer.setsockopt(zmq.CURVE_SERVERKEY, server)
        dealer.connect(f'tcp://{address}')
        self._dealers[address] = dealer
        return dealer

    def _prepare(self, socket: zmq.Socket[bytes] | zmq.asyncio.Socket) -> None:
        """Set what both ends of a link need."""
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        if self._keys is None:
            return
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self._keys.public.encode())
        socket.setsockopt(zmq.CURVE_SECRETKEY, self._keys.secret.encode())

    def _drop(self, address: str) -> None:
        self._dealers.pop(address).close(0)
