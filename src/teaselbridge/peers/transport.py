"""Messages between nodes over zmq.

Each node binds one ROUTER socket and opens a DEALER socket to each peer
that it sends to. A send never blocks: a message that cannot be queued is
dropped, because all protocols on top tolerate message loss.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

import msgspec
import zmq

from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.settings import model
    from teaselbridge.telemetry import metrics

# A silent connection is replaced after 4 s at most. With 62 peers, heartbeats
# each second were more than the messages themselves.
HEARTBEAT_INTERVAL_MS = 2_000
HEARTBEAT_TIMEOUT_MS = 2_000
MAX_QUEUED_MESSAGES = 1_000
MAX_MESSAGE_BYTES = 16 * 1_048_576
# More than the nodes that a node exchanges its load with, so that their
# connections last.
MAX_DEALER_SOCKETS = 160

MESSAGE_TYPES: dict[str, type[messages.Message]] = {
    kind.__name__: kind for kind in typing.get_args(messages.Message)
}


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """An encoded message with the fields common to all messages.

    :param sender: name of the sending node.
    :param stamp: hybrid logical time of the sender.
    :param kind: name of the message's class.
    :param body: the encoded message.
    """

    sender: str
    stamp: int
    kind: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A decoded message of another node.

    :param sender: name of the sending node.
    :param stamp: hybrid logical time of the sender.
    :param message: the message.
    """

    sender: str
    stamp: int
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedMessage:
    """A message of another node that cannot be decoded.

    :param sender: name of the sending node, empty where it is unknown.
    :param kind: name of the message's class, empty where it is unknown.
    :param reason: what is wrong with it.
    """

    sender: str
    kind: str
    reason: str


class Transport:
    """Sockets of one node.

    :param name: name of the node.
    :param address: ``ip:port`` to bind.
    :param meter: metrics that count the bytes of messages.
    :param keys: key pair that all nodes share, none for unencrypted
        messages.
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
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._router: zmq.Socket[bytes] | None = None
        self._last_message: messages.Message | None = None
        self._last_body = b''
        self._dealers: collections.OrderedDict[str, zmq.Socket[bytes]] = (
            collections.OrderedDict()
        )

    def bind(self) -> None:
        """Bind the socket that receives the messages of other nodes."""
        router = self._context.socket(zmq.ROUTER)
        self._set_options(router)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        if self._keys is not None:
            router.setsockopt(zmq.CURVE_SERVER, 1)
        router.bind(f'tcp://{self._address}')
        self._router = router

    def send(
        self, address: str, message: messages.Message, stamp: int
    ) -> None:
        """Send a message, or drop it if the peer's queue is full.

        A full queue also closes the peer's socket; the next message opens a
        new one.

        :param address: ``ip:port`` of the peer's zmq socket.
        :param message: message to send.
        :param stamp: hybrid logical time of this node.
        """
        kind = type(message).__name__
        # The same message goes to many peers, one after the other.
        if message is not self._last_message:
            self._last_message = message
            self._last_body = msgspec.msgpack.encode(message)
        envelope = Envelope(self._name, stamp, kind, self._last_body)
        data = msgspec.msgpack.encode(envelope)
        self._meter.count_bytes('sent', kind, len(data))
        try:
            self._get_dealer(address).send(data, zmq.DONTWAIT)
        except zmq.Again:
            self._close_dealer(address)
        except zmq.ZMQError:
            # No socket is opened for an address that cannot be.
            self._meter.count_bytes('sent', 'unsendable', len(data))

    async def receive(
        self,
    ) -> collections.abc.AsyncIterator[ReceivedMessage | RefusedMessage]:
        """Yield the messages of other nodes as they arrive.

        The socket is read until it has no more, since its descriptor becomes
        readable only when the first message after that arrives. Waiting by
        zmq's own futures took half of the time of receiving a message.
        """
        assert self._router is not None
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        descriptor = int(self._router.getsockopt(zmq.FD))
        loop.add_reader(descriptor, readable.set)
        try:
            while True:
                readable.clear()
                for frames in self._read_waiting():
                    yield self._decode(frames[-1])
                await readable.wait()
        finally:
            loop.remove_reader(descriptor)

    def _read_waiting(self) -> collections.abc.Iterator[list[bytes]]:
        """Yield the frames of the messages that have arrived."""
        while self._router is not None and not self._router.closed:
            try:
                yield self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return

    async def close(self) -> None:
        """Close all sockets, after a short delay to flush sent messages."""
        await asyncio.sleep(0.05)
        for address in list(self._dealers):
            self._close_dealer(address)
        if self._router is not None:
            self._router.close(0)
        self._context.destroy(0)

    def _decode(self, data: bytes) -> ReceivedMessage | RefusedMessage:
        sender = name = ''
        try:
            envelope = documents.decode_packed(data, Envelope, 'peer')
            sender, name = envelope.sender, envelope.kind
            message = documents.decode_packed(
                envelope.body, _find_type(envelope), sender
            )
        except errors.DocumentError as error:
            self._meter.count_bytes('received', 'malformed', len(data))
            return RefusedMessage(sender, name, str(error))
        self._meter.count_bytes('received', envelope.kind, len(data))
        return ReceivedMessage(envelope.sender, envelope.stamp, message)

    def _get_dealer(self, address: str) -> zmq.Socket[bytes]:
        dealer = self._dealers.get(address)
        if dealer is not None:
            self._dealers.move_to_end(address)
            return dealer
        if len(self._dealers) >= MAX_DEALER_SOCKETS:
            self._close_dealer(next(iter(self._dealers)))
        dealer = self._context.socket(zmq.DEALER)
        self._set_options(dealer)
        dealer.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        if self._keys is not None:
            server = self._keys.public.encode()
            dealer.setsockopt(zmq.CURVE_SERVERKEY, server)
        try:
            dealer.connect(f'tcp://{address}')
        except zmq.ZMQError:
            dealer.close(0)
            raise
        self._dealers[address] = dealer
        return dealer

    def _set_options(self, socket: zmq.Socket[bytes]) -> None:
        """Set the options that both kinds of socket need."""
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        if self._keys is None:
            return
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self._keys.public.encode())
        socket.setsockopt(zmq.CURVE_SECRETKEY, self._keys.secret.encode())

    def _close_dealer(self, address: str) -> None:
        self._dealers.pop(address).close(0)


def _find_type(envelope: Envelope) -> type[messages.Message]:
    kind = MESSAGE_TYPES.get(envelope.kind)
    if kind is None:
        raise errors.DocumentError(
            envelope.sender, '$.kind', 'no such kind of message'
        )
    return kind
