"""Sends and receives messages between nodes."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.peers import transport as transports

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops

REFUSAL_LOG_INTERVAL_MS = 1_000
MAX_REASON_CHARS = 200


async def receive_messages(
    transport: transports.Transport, loop: loops.Loop
) -> None:
    """Post each message that another node sends as an event.

    The hybrid clock is advanced to the stamp of the message first. Of the
    messages that are refused, at most one in `REFUSAL_LOG_INTERVAL_MS` is
    logged.
    """
    next_log_at = 0
    async for received in transport.receive():
        if isinstance(received, transports.RefusedMessage):
            now = loop.now().mono
            if now >= next_log_at:
                next_log_at = now + REFUSAL_LOG_INTERVAL_MS
                loop.record(_build_record(received))
            continue
        loop.merge_stamp(received.stamp)
        loop.post(
            events.PeerMessageReceived(received.sender, received.message)
        )


def _build_record(refused: transports.RefusedMessage) -> effects.RecordEntry:
    reason = refused.reason[:MAX_REASON_CHARS]
    return effects.RecordEntry(
        mark=effects.Mark.MESSAGE_REFUSED,
        host=refused.sender,
        detail=f'{refused.kind or "unknown kind"}: {reason}',
    )


def connect(transport: transports.Transport, loop: loops.Loop) -> None:
    """Register the transport as the handler of outgoing messages."""

    def send(effect: effects.SendPeer) -> None:
        transport.send(effect.address, effect.message, loop.stamp())

    loop.handle(effects.SendPeer, send)
