"""Whether workspace keys count: how old the knowledge of them is.

A key may have been revoked since the store was last asked, so keys count
only for as long as an answer of the store, or of a peer that asked it,
confirms the configuration. The time counts from before the question was
sent, on a clock that counts the time that the host was suspended.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.peers import messages

# Time for a request on its way to a backend server, and for a late tick.
REVOKE_MARGIN_MS = 900


@dataclasses.dataclass(slots=True)
class Freshness:
    """When the configuration was last known to stand.

    :param confirmed: monotonic milliseconds before the question was sent
        whose answer confirmed it, none for never.
    :param read_due: monotonic milliseconds from when the store may be asked
        again.
    :param ask_due: the same for a peer.
    """

    confirmed: int | None = None
    read_due: int = 0
    ask_due: int = 0


def is_fresh(state: states.State, now: clock.Instant) -> bool:
    """Tell whether workspace keys count now."""
    bounds = state.options.bounds
    if bounds is None or not bounds.revoke_ms:
        return True
    confirmed = state.freshness.confirmed
    if confirmed is None:
        return False
    return now.mono - confirmed <= bounds.revoke_ms - REVOKE_MARGIN_MS


def is_ready(state: states.State, now: clock.Instant) -> bool:
    """Tell whether callers should send this node new work."""
    if state.drain is not None or state.membership.withdrawn:
        return False
    return state.configured and is_fresh(state, now)


def confirmed_ms(state: states.State, now: clock.Instant) -> int:
    """Tell how old the last confirmation is, -1 for never."""
    confirmed = state.freshness.confirmed
    return -1 if confirmed is None else now.mono - confirmed


def confirm(state: states.State, sent: int) -> None:
    """Take in that the configuration stood after a moment.

    :param sent: monotonic milliseconds.
    """
    known = state.freshness.confirmed
    if known is None or sent > known:
        state.freshness.confirmed = sent


def relay(state: states.State, ack: messages.Ack, sent: int) -> None:
    """Take in a peer's confirmation of the same configuration.

    The peer answered after it was asked, so that its confirmation is no
    older than its age before the question.

    :param sent: monotonic milliseconds at which the peer was asked.
    """
    if ack.confirmed_ms < 0 or not state.configured:
        return
    if ack.gossip.generation == state.index.generation:
        confirm(state, sent - ack.confirmed_ms)
