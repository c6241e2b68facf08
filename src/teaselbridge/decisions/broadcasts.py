"""Updates that are sent to peers at once."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states

MAX_BROADCAST_PEERS = 24


def broadcast(
    state: states.State, update: messages.Gossip
) -> list[effects.Effect]:
    """Send updates to peers at once instead of with the next probes.

    In a large cluster only some of the peers receive the message directly;
    they gossip it to the rest.
    """
    membership = state.membership
    membership.sequence += 1
    ping = messages.Ping(
        sequence=membership.sequence,
        reply_to=membership.me.peers,
        gossip=update,
    )
    alive = membership.alive
    chosen = state.random.sample(alive, min(MAX_BROADCAST_PEERS, len(alive)))
    return [effects.SendPeer(member.peers, ping) for member in chosen]
