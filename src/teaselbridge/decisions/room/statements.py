"""Handling of the load that backend servers state in their answers."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

# A server states its load in each answer.
INVALID_LOG_INTERVAL_MS = 1_000


def handle_answer_load_received(
    state: states.State, event: events.AnswerLoadReceived, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the load that a server stated in an answer.

    It concerns the lifetime that the request was sent to. Another one at the
    same address has a host of its own.
    """
    server = state.servers.get(event.host)
    if server is None:
        return []
    server.last_heard_at = now.mono
    server.slots = max(1, event.slots)
    if event.pace:
        server.profile.record_pace(event.pace, now)
    return []


def handle_answer_load_invalid(
    state: states.State, event: events.AnswerLoadInvalid, now: clock.Instant
) -> list[effects.Effect]:
    """Record figures that cannot be used; what is known remains."""
    server = state.servers.get(event.host)
    if server is None or now.mono < server.profile.next_invalid_at:
        return []
    server.profile.next_invalid_at = now.mono + INVALID_LOG_INTERVAL_MS
    return [
        effects.RecordEntry(
            mark=effects.Mark.SERVER_LOAD_INVALID,
            pool=server.row.pool,
            host=server.host,
            detail=event.detail,
        )
    ]
