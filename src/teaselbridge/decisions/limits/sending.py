"""Whether this node may send a request to a backend server now.

All attempts pass through `record_attempt`, whatever they are for, since a
server counts every request that reaches it.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import effects
from teaselbridge.decisions.limits import room
from teaselbridge.decisions.limits import shares

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

REFRESH_INTERVAL_MS = 200
# What servers that are gone have said is kept for their late answers.
FORGET_MS = 60_000


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Follow changes of the active nodes a few times a second."""
    limits = state.limits
    if now.mono < limits.next_refresh_at:
        return []
    limits.next_refresh_at = now.mono + REFRESH_INTERVAL_MS
    follow_candidates(state, now)
    listed = {server.host for server in state.servers.all}
    limits.terms.forget_gone(listed, FORGET_MS, now)
    limited = limits.limited_hosts
    limits.buckets.remove_others(limited)
    for host in sorted(limited):
        update_rate(state, host, now)
    room.refresh(state)
    return []


def follow_candidates(state: states.State, now: clock.Instant) -> None:
    """Update the nodes among which the senders are chosen."""
    state.limits.candidates.update(active.list_names(state), now)


def update_rate(state: states.State, host: str, now: clock.Instant) -> None:
    """Apply the rate that a server takes to this node's bucket."""
    limits = state.limits
    rate = limits.get_rate(host)
    if rate is None:
        limits.buckets.remove(host)
        return
    share = shares.compute_share(state, host, rate)
    limits.buckets.set_rate(host, share, now)


def filter_by_rate(
    state: states.State, usable: list[servers.Server], now: clock.Instant
) -> list[servers.Server]:
    """Return the servers whose rates allow a request of this node now."""
    buckets = state.limits.buckets
    return [server for server in usable if buckets.may_send(server.host, now)]


def predict_wait_ms(
    state: states.State,
    allowed: list[servers.Server],
    ahead: int,
    now: clock.Instant,
) -> float:
    """Predict when the rates of some servers allow one more request.

    :param ahead: requests that wait for the same servers before it.
    :return: milliseconds; infinite if this node may send to none of them.
    """
    if not allowed:
        return 0.0
    hosts = [server.host for server in allowed]
    return state.limits.buckets.predict_wait_ms(hosts, ahead, now)


def record_attempt(
    state: states.State, server: servers.Server
) -> list[effects.Effect]:
    """Take an attempt off this node's share of the server's rate."""
    limits = state.limits
    if limits.get_rate(server.host) is None:
        return []
    limits.buckets.spend(server.host)
    counter = effects.Counter.LIMITED_ATTEMPTS
    return [effects.Count(counter, server.row.pool)]
