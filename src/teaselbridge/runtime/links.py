"""Performs messages to other nodes and takes in theirs."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events

if typing.TYPE_CHECKING:
    from teaselbridge.peers import transport as transports
    from teaselbridge.runtime import loop as loops


async def follow(transport: transports.Transport, loop: loops.Loop) -> None:
    """Post each message of another node."""
    async for received in transport.receive():
        loop.merge_stamp(received.stamp)
        loop.post(events.PeerSpoke(received.sender, received.message))


def connect(transport: transports.Transport, loop: loops.Loop) -> None:
    """Let the transport perform messages."""

    def send(effect: effects.SendPeer) -> None:
        transport.send(effect.address, effect.message, loop.stamp())

    loop.handle(effects.SendPeer, send)
