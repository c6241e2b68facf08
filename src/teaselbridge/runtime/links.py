"""Sends and receives messages between nodes."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events

if typing.TYPE_CHECKING:
    from teaselbridge.peers import transport as transports
    from teaselbridge.runtime import loop as loops


async def receive_messages(
    transport: transports.Transport, loop: loops.Loop
) -> None:
    """Post each message that another node sends as an event.

    The hybrid clock is advanced to the stamp of the message first.
    """
    async for received in transport.receive():
        loop.merge_stamp(received.stamp)
        loop.post(
            events.PeerMessageReceived(received.sender, received.message)
        )


def connect(transport: transports.Transport, loop: loops.Loop) -> None:
    """Register the transport as the handler of outgoing messages."""

    def send(effect: effects.SendPeer) -> None:
        transport.send(effect.address, effect.message, loop.stamp())

    loop.handle(effects.SendPeer, send)
