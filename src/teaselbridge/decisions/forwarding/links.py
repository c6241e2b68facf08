"""Whether this node reaches the backend servers of each pool.

A failed attempt alone does not tell a lost link from a failed server. After
one, the node opens connections to several servers of the pool. It takes its
links for cut if none of them accepts one, and keeps trying until one does, so
that no request of a caller has to find out.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import membership
from teaselbridge.decisions import servers

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

# Servers that are tried at once. Those without recent faults come first, so
# that a crash of many servers is not taken for a cut.
MAX_PROBED_SERVERS = 8
PROBE_INTERVAL_MS = 300
# Servers that are overloaded have many requests overdue, and connections to
# them can take slots.
REACHED_PROBE_INTERVAL_MS = 1_000
# A single server that accepts no connection has probably failed.
MIN_UNREACHABLE_SERVERS = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class PoolLinks:
    """Links to the servers of one pool.

    :param is_cut: whether no server is reached.
    :param next_probe_at: monotonic milliseconds of the next probes.
    :param pending: hosts whose probes have not ended.
    :param failed: hosts whose last probes failed.
    """

    is_cut: bool = False
    next_probe_at: int = 0
    pending: set[str] = dataclasses.field(default_factory=set)
    failed: set[str] = dataclasses.field(default_factory=set)


class Links:
    """Links to the servers of all pools."""

    def __init__(self) -> None:
        self._by_pool: dict[str, PoolLinks] = {}

    @property
    def cut_pools(self) -> list[str]:
        """Names of the pools of which no server is reached."""
        return sorted(
            pool for pool, links in self._by_pool.items() if links.is_cut
        )

    def get(self, pool: str) -> PoolLinks:
        """Return the links to a pool, created on first use."""
        return self._by_pool.setdefault(pool, PoolLinks())

    def is_cut(self, pool: str) -> bool:
        """Return whether no server of a pool is reached."""
        links = self._by_pool.get(pool)
        return links is not None and links.is_cut


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Probe the pools that are not reached."""
    out: list[effects.Effect] = []
    for pool in state.links.cut_pools:
        out += probe_pool(state, pool, now)
    return out


def probe_pool(
    state: states.State, pool: str, now: clock.Instant
) -> list[effects.Effect]:
    """Open connections to some servers of a pool, unless just done."""
    links = state.links.get(pool)
    if links.pending or now.mono < links.next_probe_at:
        return []
    staying = state.servers.staying(pool)
    state.random.shuffle(staying)
    staying.sort(key=lambda server: server.faults)
    chosen = staying[:MAX_PROBED_SERVERS]
    links.next_probe_at = now.mono + PROBE_INTERVAL_MS
    links.failed.clear()
    links.pending = {server.host for server in chosen}
    if not chosen:
        return _set_cut(state, pool, is_cut=False)
    return [
        effects.ProbeLink(server.host, server.row.pool, server.row.address)
        for server in chosen
    ]


def handle_link_probed(
    state: states.State, event: events.LinkProbed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the end of a probe; the last one of a round decides."""
    links = state.links.get(event.pool)
    if event.host not in links.pending:
        return []
    links.pending.discard(event.host)
    if event.is_connected:
        links.next_probe_at = now.mono + REACHED_PROBE_INTERVAL_MS
        return _set_cut(state, event.pool, is_cut=False)
    links.failed.add(event.host)
    if links.pending:
        return []
    staying = {server.host for server in state.servers.staying(event.pool)}
    failed = links.failed & staying
    is_only_pool = not any(
        pool != event.pool for pool in state.links.cut_pools
    )
    if not failed or (is_only_pool and len(failed) < MIN_UNREACHABLE_SERVERS):
        return []
    out = _set_cut(state, event.pool, is_cut=True)
    if out:
        for pool in state.index.pools:
            if pool.name != event.pool:
                out += probe_pool(state, pool.name, now)
    return out


def _set_cut(
    state: states.State, pool: str, *, is_cut: bool
) -> list[effects.Effect]:
    """Set whether a pool is reached, and tell the other nodes of a change."""
    links = state.links.get(pool)
    if not is_cut:
        # A reached server ends the round; the others may have failed.
        links.failed.clear()
        links.pending.clear()
    if links.is_cut is is_cut:
        return []
    links.is_cut = is_cut
    mark = effects.Mark.LINKS_LOST if is_cut else effects.Mark.LINKS_RESTORED
    detail = f'{len(links.failed)} servers accept no connection'
    out: list[effects.Effect] = []
    if not is_cut:
        detail = 'a server accepts connections'
        out += _forget_failures(state, pool)
    out.append(
        effects.RecordEntry(
            mark=mark,
            pool=pool,
            host=state.options.me.name,
            detail=detail,
        )
    )
    return out + membership.announce_unreachable(
        state, tuple(state.links.cut_pools)
    )


def _forget_failures(state: states.State, pool: str) -> list[effects.Effect]:
    """Forget the failures that the links caused, and their connections."""
    out: list[effects.Effect] = []
    for server in state.servers.in_pool(pool):
        servers.clear_faults(server)
        out.append(effects.DropConnections(server.row.address))
    return out
