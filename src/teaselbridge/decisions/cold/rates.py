"""Rate of requests that all nodes together send to a cold server.

Load pattern: the servers of a zone come back at once, all of them cold, while
the other zones are busy. A cold server has nothing in flight, so that every
node would choose it, and it crashes well above the rate that it tolerates.

The rate is shared like one that a server names itself (see `limits.shares`):
a few senders have an equal part each.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions.limits import sending
from teaselbridge.decisions.limits import shares

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states


def handle_rows(
    state: states.State,
    rows: collections.abc.Iterable[events.HostRow | None],
    now: clock.Instant,
) -> list[effects.Effect]:
    """Apply how long servers are still cold by their entries.

    A server may turn cold again at any moment, which its entry says too.

    :param rows: entries that were just read; none for a removed one.
    """
    out: list[effects.Effect] = []
    for row in rows:
        server = None if row is None else state.servers.get(row.host)
        if row is None or server is None:
            continue
        was_cold = server.cold_until > now.mono
        server.cold_until = now.mono + row.cold_ms if row.cold_ms else 0
        if not row.cold_ms or was_cold:
            continue
        detail = f'for {row.cold_ms} ms'
        out.append(
            effects.RecordEntry(
                mark=effects.Mark.SERVER_COLD,
                pool=row.pool,
                host=row.host,
                detail=detail,
            )
        )
    refresh(state, now)
    return out


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """End the rates of servers that are no longer cold."""
    if state.limits.cold_rates:
        refresh(state, now)
    return []


def refresh(state: states.State, now: clock.Instant) -> None:
    """Update the rates of all cold servers."""
    limits = state.limits
    known = limits.cold_rates
    rates: dict[str, float] = {}
    for server in state.servers.all:
        rate = compute_rate(state, server, now)
        if rate is not None:
            rates[server.host] = rate
    if rates == known:
        return
    limits.cold_rates = rates
    if not limits.candidates.names:
        sending.follow_candidates(state, now)
    for host in known.keys() | rates.keys():
        sending.update_rate(state, host, now)


def compute_rate(
    state: states.State, server: servers.Server, now: clock.Instant
) -> float | None:
    """Return the requests a second for a cold server from all nodes.

    Each of the senders may send one request at once besides its part, so
    that a part of what is tolerated is kept for that.

    :return: none where the server is not cold, or bears any rate.
    """
    bounds = state.options.bounds
    pool = state.index.pool(server.row.pool)
    if bounds is None or pool is None or server.cold_until <= now.mono:
        return None
    if pool.cold_per_s <= 0:
        return None
    tolerated = bounds.cold_excess * pool.cold_per_s + bounds.cold_slack
    # The senders number up to `MIN_SENDERS` more than the rate; one request
    # may be late, so that it counts in the next second.
    steady = (tolerated - shares.MIN_SENDERS - 1) / 2
    return max(shares.MIN_RATE_PER_S, min(pool.cold_per_s, steady))
