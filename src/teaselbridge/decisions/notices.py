"""Notices of backend servers about themselves, taken from their answers.

A server that is leaving says so in all its answers, often before its entry
in the host list does. A server that turns a request away may state for how
long it wants no further requests from this node.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import servers

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

# Longest time for which a server may turn this node away; a longer one would
# keep it unused long after a wrong answer.
MAX_BACKOFF_MS = 600_000


def handle_server_noticed(
    state: states.State, event: events.ServerNoticed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a notice, which concerns one lifetime of a server only."""
    out: list[effects.Effect] = []
    if event.leaving:
        out += servers.mark_leaving(state, event.host, 'answer', now)
    server = state.servers.get(event.host)
    if server is None:
        return out
    backoff_ms = min(MAX_BACKOFF_MS, event.backoff_ms)
    starts = server.backoff_until <= now.mono
    server.backoff_until = max(server.backoff_until, now.mono + backoff_ms)
    if not event.detail and not (starts and backoff_ms):
        return out
    detail = f'no requests for {backoff_ms} ms'
    if backoff_ms < event.backoff_ms:
        detail += f', {event.backoff_ms} ms asked for'
    if event.detail:
        detail += f'; {event.detail}'
    return [
        *out,
        effects.RecordEntry(
            mark=effects.Mark.SERVER_BACKOFF,
            pool=server.row.pool,
            host=server.host,
            detail=detail,
        ),
    ]


def get_min_backoff_ms(
    staying: list[servers.Server], now: clock.Instant
) -> int:
    """Return the time until the first of some servers takes requests again.

    :return: milliseconds, 0 unless all of them have asked for no requests.
    """
    earliest = min((server.backoff_until for server in staying), default=0)
    return max(0, earliest - now.mono)
