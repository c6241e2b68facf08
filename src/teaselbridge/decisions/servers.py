"""Backend servers: which exist, which leave, which fail, their load."""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

EJECT_FAULTS = 3
EJECT_MS = 2_000
EJECT_MOST_MS = 30_000
REPORT_EVERY_MS = 1_000
REPORT_IDLE_MS = 4_000
REPORTS_AT_ONCE = 2
ASK_EVERY_MS = 100
IDLE_TURN = 4
REPORT_STALE_MS = 12_000
DEFAULT_SLOTS = 8
FORGET_MS = 600_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Server:
    """One backend server, as this node knows it.

    :param row: its row in the host list.
    :param version: version that it runs, empty while that is not known or
        it still loads one.
    :param slots: requests that it runs at a time.
    :param others: requests of other nodes in it, by the last report.
    :param since: monotonic milliseconds at which it was seen first.
    :param reported: monotonic milliseconds of the last report, 0 for none.
    :param report_due: monotonic milliseconds of the next question for its
        load.
    :param inflight: requests of this node in it.
    :param suspects: requests in flight that a server has died of before.
    :param faults: faults in a row.
    :param ejections: ejections in a row.
    :param ejected_until: monotonic milliseconds.
    :param leaving: whether it takes no new work.
    :param gone_at: monotonic milliseconds at which it is taken back, 0 for
        unknown.
    :param prefill: prompt tokens of this node's requests that it has not
        read yet.
    :param others_prefill: the same of the other nodes.
    :param failing: smoothed share of attempts at it that failed.
    :param full_until: monotonic milliseconds; it said that it was full.
    :param heard: monotonic milliseconds of its last sign of life.
    :param lag_ms: how much later than predicted its first bytes came.
    :param lag_at: monotonic milliseconds at which that was seen.
    """

    row: events.HostRow
    version: str
    slots: int = DEFAULT_SLOTS
    others: int = 0
    since: int = 0
    reported: int = 0
    report_due: int = 0
    inflight: int = 0
    suspects: int = 0
    faults: int = 0
    ejections: int = 0
    ejected_until: int = 0
    leaving: bool = False
    gone_at: int = 0
    prefill: int = 0
    others_prefill: int = 0
    failing: float = 0.0
    full_until: int = 0
    heard: int = 0
    lag_ms: float = 0.0
    lag_at: int = 0

    @property
    def host(self) -> str:
        """Name of the host."""
        return self.row.host

    @property
    def load(self) -> float:
        """Requests in it as a share of its slots."""
        return (self.inflight + self.others) / max(1, self.slots)

    def has_room(self, nodes: int) -> bool:
        """Tell whether this node may send it one more request.

        Reports lag, so each node always has its equal part of the slots.

        :param nodes: live nodes, each with an equal claim to the slots.
        :return: whether there is room.
        """
        if self.inflight + self.others < self.slots:
            return True
        return self.inflight < max(1, self.slots // max(1, nodes))


class Servers:
    """All backend servers that this node knows."""

    def __init__(self) -> None:
        self._by_host: dict[str, Server] = {}
        self._by_pool: dict[str, list[Server]] = {}
        self._leaving: dict[str, int] = {}
        self.entries: tuple[events.HostRow, ...] = ()
        self.ask_due = 0
        self.asked = 0

    @property
    def all(self) -> list[Server]:
        """Every server in the host list."""
        return list(self._by_host.values())

    @property
    def leaving(self) -> frozenset[str]:
        """Hosts that are known to leave, listed or not."""
        return frozenset(self._leaving)

    def get(self, host: str) -> Server | None:
        """Find a server by the name of its host."""
        return self._by_host.get(host)

    def in_pool(self, pool: str) -> list[Server]:
        """List the servers of a pool."""
        return self._by_pool.get(pool, [])

    def usable(self, pool: str, now: clock.Instant) -> list[Server]:
        """List the servers of a pool that may get new work."""
        return [
            server
            for server in self.in_pool(pool)
            if not server.leaving
            and server.version
            and server.ejected_until <= now.mono
            and server.full_until <= now.mono
        ]

    def at(self, address: str) -> Server | None:
        """Find the server at an address."""
        for server in self._by_host.values():
            if server.row.address == address:
                return server
        return None

    def add(
        self, row: events.HostRow, version: str, now: clock.Instant
    ) -> Server:
        """Add a server that appeared in the host list.

        :param version: version that it surely runs, empty for unknown.
        """
        server = Server(row=row, version=version, since=now.mono)
        server.slots = row.slots or DEFAULT_SLOTS
        server.leaving = row.host in self._leaving
        self._by_host[row.host] = server
        self._by_pool.setdefault(row.pool, []).append(server)
        return server

    def remove(self, host: str) -> None:
        """Forget a server that left the host list."""
        server = self._by_host.pop(host)
        self._by_pool[server.row.pool].remove(server)

    def mark(self, host: str, now: clock.Instant) -> bool:
        """Mark a host as leaving.

        :return: whether that is news.
        """
        if host in self._leaving:
            return False
        self._leaving[host] = now.mono
        server = self._by_host.get(host)
        if server is not None:
            server.leaving = True
        return True

    def left_at(self, host: str) -> int | None:
        """Tell when a host was marked as leaving, monotonic milliseconds."""
        return self._leaving.get(host)

    def forget_old(self, now: clock.Instant) -> None:
        """Forget marks of hosts that left the list long ago."""
        for host, marked in list(self._leaving.items()):
            if host in self._by_host or now.mono - marked < FORGET_MS:
                continue
            del self._leaving[host]


def read_hosts(
    state: states.State, event: events.HostsRead, now: clock.Instant
) -> list[effects.Effect]:
    """Compare the host list with what is known.

    The list lags: it adds and removes, but never takes a leaving mark back.
    """
    out: list[effects.Effect] = []
    listed = {
        row.host: row
        for row in event.hosts
        if row.role is events.HostRole.BACKEND
    }
    state.servers.entries = tuple(
        row for row in event.hosts if row.role is events.HostRole.ENTRY
    )
    for server in state.servers.all:
        if server.host not in listed:
            state.servers.remove(server.host)
            out.append(_record(effects.Mark.SERVER_GONE, server, ''))
    for row in listed.values():
        if state.servers.get(row.host) is None:
            known = _known_version(state, row)
            server = state.servers.add(row, known, now)
            out.append(_record(effects.Mark.SERVER_SEEN, server, row.version))
        if row.state is events.HostState.LEAVING:
            out += leave(state, row.host, 'host list', now)
            left = state.servers.get(row.host)
            if row.left_ms and left is not None and not left.gone_at:
                left.gone_at = now.mono + row.left_ms
    state.servers.forget_old(now)
    return out


def _known_version(state: states.State, row: events.HostRow) -> str:
    """Say what a new server runs.

    On the users' platform each server's entry tells. Else a service starts
    with its version, and an engine may still have to load it, so that only
    its first report tells.
    """
    if state.options.bounds is not None:
        return row.version
    pool = state.index.pool(row.pool)
    if pool is not None and pool.kind is model.Kind.SERVICE:
        return row.version
    return ''


def leave(
    state: states.State, host: str, cause: str, now: clock.Instant
) -> list[effects.Effect]:
    """Stop placing work on a backend server, for good.

    :param cause: who said so, for the time line.
    :return: effects; none where it was known.
    """
    if not state.servers.mark(host, now):
        return []
    state.membership.news.add_leaving(host)
    server = state.servers.get(host)
    if server is None:
        return []
    return [_record(effects.Mark.SERVER_LEAVING, server, cause)]


def reclaim(
    state: states.State, event: events.ReclaimNoticed, now: clock.Instant
) -> list[effects.Effect]:
    """The cloud takes hosts back after a while."""
    out: list[effects.Effect] = []
    for host in event.hosts:
        out += leave(state, host, f'notice, {event.left_ms} ms left', now)
        server = state.servers.get(host)
        if server is not None and not server.gone_at:
            server.gone_at = now.mono + event.left_ms
    return out


def report(
    state: states.State, event: events.LoadReported, now: clock.Instant
) -> list[effects.Effect]:
    """Take in a load report, which lags behind the server."""
    server = state.servers.get(event.host)
    if server is None:
        return []
    server.slots = max(1, event.slots)
    server.others = max(0, event.running + event.waiting - server.inflight)
    server.reported = now.mono
    server.version = event.version
    if event.leaving:
        return leave(state, event.host, 'load report', now)
    return []


def miss(
    state: states.State, event: events.LoadMissing, now: clock.Instant
) -> list[effects.Effect]:
    """A load report did not come: the server may be gone or cut off."""
    server = state.servers.get(event.host)
    if server is None:
        return []
    return fail(server, 'no load report', now)


def succeed(server: Server) -> list[effects.Effect]:
    """An attempt at a server ended well."""
    server.faults = 0
    if not server.ejections:
        return []
    server.ejections = 0
    return [_record(effects.Mark.SERVER_RESTORED, server, '')]


def fail(
    server: Server, cause: str, now: clock.Instant
) -> list[effects.Effect]:
    """Count a fault of a server; several in a row eject it for a while."""
    server.faults += 1
    if server.faults < EJECT_FAULTS or server.ejected_until > now.mono:
        return []
    span = min(EJECT_MOST_MS, EJECT_MS << min(server.ejections, 8))
    server.ejections += 1
    server.ejected_until = now.mono + span
    detail = f'{cause}, for {span} ms'
    return [_record(effects.Mark.SERVER_EJECTED, server, detail)]


def ask_loads(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Ask servers for their load, a few at a time.

    Those whose version is not known are asked first, as they get no work
    before. The others share a fixed number of questions a second, however
    many there are; every few turns is for those that are not in use.
    """
    due = [
        server for server in state.servers.all if server.report_due <= now.mono
    ]
    due.sort(key=lambda server: server.report_due)
    chosen = [server for server in due if not server.version]
    chosen = chosen[:REPORTS_AT_ONCE]
    if not chosen:
        chosen = _ask_known(state, due, now)
    for server in chosen:
        in_use = server.inflight or not server.version
        span = REPORT_EVERY_MS if in_use else REPORT_IDLE_MS
        server.report_due = now.mono + span
        if now.mono - server.reported > REPORT_STALE_MS:
            server.others = 0
    targets = tuple(
        effects.Target(server.host, server.row.address) for server in chosen
    )
    return [effects.ReportLoad(targets)] if targets else []


def _ask_known(
    state: states.State, due: list[Server], now: clock.Instant
) -> list[Server]:
    """Choose the next server to ask, if it is time for one."""
    if not due or now.mono < state.servers.ask_due:
        return []
    state.servers.ask_due = now.mono + ASK_EVERY_MS
    state.servers.asked += 1
    idle_turn = state.servers.asked % IDLE_TURN == 0
    fitting = [server for server in due if bool(server.inflight) != idle_turn]
    return (fitting or due)[:1]


def _record(mark: effects.Mark, server: Server, detail: str) -> effects.Record:
    return effects.Record(
        mark=mark, pool=server.row.pool, host=server.host, detail=detail
    )
