"""Distribution of the configuration; its generation only increases.

Two nodes of each availability zone, chosen by rendezvous hashing, watch the
key-value service. All others learn of a new generation by gossip and fetch
the rows that changed from the peer that announced it, or the whole
configuration where the delta does not apply.
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

CONFIGURATION_KEY = '/teaselbridge/configuration'
WATCHERS_PER_ZONE = 2
# Earlier configurations that are kept to make deltas for peers.
MAX_PREVIOUS_CONFIGURATIONS = 4


def decode(value: bytes | None) -> model.Configuration:
    """Decode the stored configuration.

    :param value: encoded configuration, none where nothing is stored.
    :return: the configuration, generation 0 where nothing is stored.
    """
    if value is None:
        return model.Configuration()
    return msgspec.json.decode(value, type=model.Configuration)


def adopt(
    state: states.State,
    candidate: model.Configuration,
    cause: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Put a configuration in force if it is newer.

    :param cause: where it came from, for the timeline.
    """
    state.configured = True
    if candidate.generation <= state.index.generation:
        return []
    state.previous_configurations = (
        state.index.configuration,
        *state.previous_configurations,
    )[:MAX_PREVIOUS_CONFIGURATIONS]
    state.index = join.Index(configuration=candidate)
    state.membership.updates.add_generation(candidate.generation)
    detail = f'generation {candidate.generation} from {cause}'
    return [
        effects.ActivateConfiguration(candidate),
        effects.RecordEntry(mark=effects.Mark.CONFIGURATION, detail=detail),
    ]


def handle_key_read(
    state: states.State, event: events.KeyRead, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the result of reading the stored configuration."""
    stored = decode(event.value)
    return adopt(state, stored, 'key-value service', now)


def request_newer(
    state: states.State, generation: int, reply_to: str
) -> list[effects.Effect]:
    """Request the configuration from a peer if it has a newer generation.

    :param generation: generation that the peer has announced.
    :param reply_to: ``ip:port`` of the peer's zmq socket.
    """
    if generation <= state.index.generation or not reply_to:
        return []
    message = messages.ConfigurationAsked(
        have=state.index.generation, reply_to=state.options.me.peers
    )
    return [effects.SendPeer(reply_to, message)]


def handle_configuration_asked(
    state: states.State, message: messages.ConfigurationAsked
) -> list[effects.Effect]:
    """Handle a peer's request for the configuration."""
    if state.index.generation < message.have or not state.configured:
        return []
    changes = None if message.whole else _make_delta(state, message.have)
    answer: messages.Message = messages.ConfigurationSent(
        configuration=state.index.configuration
    )
    if changes is not None:
        answer = messages.ConfigurationChanged(
            change=changes, reply_to=state.options.me.peers
        )
    return [effects.SendPeer(message.reply_to, answer)]


def change(
    state: states.State,
    message: messages.ConfigurationChanged,
    sender: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Apply a delta, or request the whole configuration.

    The whole is requested where the delta does not apply to this node's
    configuration.

    :param sender: name of the peer that sent it.
    """
    if message.change.generation <= state.index.generation:
        return []
    updated = delta.apply(state.index.configuration, message.change)
    if updated is not None:
        return adopt(state, updated, sender, now)
    request = messages.ConfigurationAsked(
        have=state.index.generation,
        reply_to=state.options.me.peers,
        whole=True,
    )
    return [effects.SendPeer(message.reply_to, request)]


def _make_delta(state: states.State, have: int) -> delta.Delta | None:
    """Return the delta from a peer's configuration to this node's.

    :param have: generation that the peer has.
    :return: none where this node no longer keeps that generation.
    """
    for old in state.previous_configurations:
        if old.generation == have:
            return delta.compute_delta(old, state.index.configuration)
    return None


def is_watcher(state: states.State) -> bool:
    """Return whether this node watches the key-value service."""
    me = state.options.me
    zone = [
        member.name
        for member in state.membership.alive
        if member.zone == me.zone
    ]
    zone.append(me.name)
    watchers = placement.first(zone, WATCHERS_PER_ZONE, 'watcher')
    return me.name in watchers
