"""Freshness of workspace keys: the age of their last confirmation.

A key may have been revoked since the store was last queried. Keys are
therefore valid only for a limited time after an answer of the store, or of a
peer that queried it, confirmed the configuration. The time starts before the
query was sent and is measured on a clock that includes the time for which
the host was suspended.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.peers import messages

# Allows for the time that a request takes to reach a backend server, and for
# a tick that runs late.
REVOKE_MARGIN_MS = 900


@dataclasses.dataclass(slots=True)
class Freshness:
    """When the configuration was last confirmed to be current.

    :param confirmed_at: monotonic milliseconds before the query was sent whose
        answer confirmed it, none for never.
    :param confirmed_from: monotonic milliseconds; queries that were sent
        before confirm nothing.
    :param changes_known_at: monotonic milliseconds before the query was sent
        whose answer told all changes of the store, 0 for never.
    :param next_store_query: monotonic milliseconds from which the store may be
        queried again.
    :param next_peer_query: monotonic milliseconds from which a peer may be
        queried again.
    """

    confirmed_at: int | None = None
    confirmed_from: int = 0
    changes_known_at: int = 0
    next_store_query: int = 0
    next_peer_query: int = 0


def is_fresh(state: states.State, now: clock.Instant) -> bool:
    """Return whether workspace keys are valid now."""
    bounds = state.options.bounds
    if bounds is None or not bounds.revoke_ms:
        return True
    confirmed = state.freshness.confirmed_at
    if confirmed is None:
        return False
    return now.mono - confirmed <= bounds.revoke_ms - REVOKE_MARGIN_MS


def is_ready(state: states.State, now: clock.Instant) -> bool:
    """Return whether callers should send new requests to this node."""
    if state.drain is not None or state.membership.withdrawn:
        return False
    return state.configured and is_fresh(state, now)


def confirmed_ms(state: states.State, now: clock.Instant) -> int:
    """Return the age of the last confirmation, -1 for never."""
    confirmed = state.freshness.confirmed_at
    return -1 if confirmed is None else now.mono - confirmed


def record_confirmation(state: states.State, sent: int) -> None:
    """Record that the configuration was current at a moment.

    :param sent: monotonic milliseconds.
    """
    known = state.freshness
    if sent < known.confirmed_from:
        return
    if known.confirmed_at is None or sent > known.confirmed_at:
        known.confirmed_at = sent


def suspend_confirmations(
    state: states.State, span_ms: int, now: clock.Instant
) -> None:
    """Ignore confirmations of the time in which the store may be outdated.

    Earlier ones remain valid.
    """
    state.freshness.confirmed_from = now.mono + span_ms


def record_peer_confirmation(
    state: states.State, ack: messages.Ack, sent: int
) -> None:
    """Record a peer's confirmation of the same configuration.

    The peer answered after the query was sent, so its confirmation is no
    older than the moment of the query less the age that the peer reports.

    :param sent: monotonic milliseconds at which the peer was queried.
    """
    if ack.confirmed_ms < 0 or not state.configured:
        return
    if ack.gossip.generation == state.index.generation:
        record_confirmation(state, sent - ack.confirmed_ms)
