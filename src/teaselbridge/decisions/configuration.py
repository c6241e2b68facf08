"""Which configuration is in force; its generation only goes up.

Two nodes of each availability zone, chosen by rendezvous hashing, watch the
key-value service. All others hear of a new generation by gossip and fetch
what has changed, row by row, from whom they heard it; the whole where that
does not fit.
"""

from __future__ import annotations

import typing

import msgspec

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import placement
from teaselbridge.peers import messages
from teaselbridge.tables import delta
from teaselbridge.tables import join
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

KEY = '/teaselbridge/configuration'
WATCHERS_PER_ZONE = 2
KEPT = 4


def decode(value: bytes | None) -> model.Configuration:
    """Decode the stored configuration, generation 0 where there is none."""
    if value is None:
        return model.Configuration()
    return msgspec.json.decode(value, type=model.Configuration)


def adopt(
    state: states.State,
    found: model.Configuration,
    cause: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Put a configuration in force if it is newer.

    :param cause: where it came from, for the time line.
    """
    state.configured = True
    if found.generation <= state.index.generation:
        return []
    state.before = (state.index.configuration, *state.before)[:KEPT]
    state.index = join.Index(configuration=found)
    state.membership.news.add_generation(found.generation)
    detail = f'generation {found.generation} from {cause}'
    return [
        effects.UseConfiguration(found),
        effects.Record(mark=effects.Mark.CONFIGURATION, detail=detail),
    ]


def read(
    state: states.State, event: events.KeyRead, now: clock.Instant
) -> list[effects.Effect]:
    """The key-value service told what stands."""
    found = decode(event.value)
    return adopt(state, found, 'key-value service', now)


def hear(
    state: states.State, generation: int, reply_to: str
) -> list[effects.Effect]:
    """A peer knows of a generation: fetch it if it is newer.

    :param reply_to: ``ip:port`` of the peer's zmq socket.
    """
    if generation <= state.index.generation or not reply_to:
        return []
    message = messages.ConfigurationAsked(
        have=state.index.generation, reply_to=state.options.me.peers
    )
    return [effects.SendPeer(reply_to, message)]


def tell(
    state: states.State, message: messages.ConfigurationAsked
) -> list[effects.Effect]:
    """A peer asks for the configuration."""
    if state.index.generation < message.have or not state.configured:
        return []
    found = None if message.whole else _change(state, message.have)
    answer: messages.Message = messages.ConfigurationSent(
        configuration=state.index.configuration
    )
    if found is not None:
        answer = messages.ConfigurationChanged(
            change=found, reply_to=state.options.me.peers
        )
    return [effects.SendPeer(message.reply_to, answer)]


def change(
    state: states.State,
    message: messages.ConfigurationChanged,
    sender: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Take in what has changed, or ask for the whole where it doesn't fit.

    :param sender: name of the node that told it.
    """
    if message.change.generation <= state.index.generation:
        return []
    found = delta.apply(state.index.configuration, message.change)
    if found is not None:
        return adopt(state, found, sender, now)
    ask = messages.ConfigurationAsked(
        have=state.index.generation,
        reply_to=state.options.me.peers,
        whole=True,
    )
    return [effects.SendPeer(message.reply_to, ask)]


def _change(state: states.State, have: int) -> delta.Delta | None:
    """Find what makes a peer's configuration into this node's."""
    for old in state.before:
        if old.generation == have:
            return delta.make(old, state.index.configuration)
    return None


def is_watcher(state: states.State) -> bool:
    """Tell whether this node watches the key-value service."""
    me = state.options.me
    zone = [
        member.name
        for member in state.membership.alive
        if member.zone == me.zone
    ]
    zone.append(me.name)
    chosen = placement.first(zone, WATCHERS_PER_ZONE, 'watcher')
    return me.name in chosen
