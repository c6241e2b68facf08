"""Registry of backend servers: listing, leaving, ejection and load."""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions.room import profile as profiles
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

MIN_EJECT_FAULTS = 3
MIN_EJECTION_MS = 2_000
MAX_EJECTION_MS = 30_000
# Longer than the entry of a dead server stays listed.
GONE_EJECTION_MS = 6_000
REPORT_INTERVAL_MS = 1_000
IDLE_REPORT_INTERVAL_MS = 4_000
MAX_UNKNOWN_POLLS_PER_TICK = 2
POLL_INTERVAL_MS = 100
IDLE_POLL_CYCLE = 4
REPORT_MAX_AGE_MS = 12_000
DEFAULT_SLOTS = 8
# Weight of one outcome in the moving average of a server's failure rate,
# which covers about seven outcomes.
FAILURE_SMOOTHING = 0.15
FAILURE_HALF_LIFE_MS = 5_000
LEAVING_MARK_RETENTION_MS = 600_000
# The lag of first bytes marks a server as slow, and halves in this time.
LAG_HALF_LIFE_MS = 3_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Server:
    """One backend server, as this node knows it.

    Times are monotonic milliseconds.

    :param row: its row in the host list.
    :param version: version that it runs, empty while that is unknown or
        a version is still loading.
    :param slots: number of requests that it runs concurrently.
    :param other_requests: its requests from other nodes, by the last load
        report.
    :param since: when it was first listed.
    :param reported_at: when the last load report came, 0 for none.
    :param report_due: when its load may be requested again.
    :param inflight: this node's in-flight requests to it.
    :param suspect_requests: in-flight requests whose body crashed a server
        before.
    :param faults: number of consecutive faults.
    :param consecutive_ejections: number of consecutive ejections.
    :param ejected_until: when its ejection ends.
    :param leaving: whether it takes no new work.
    :param reclaimed_at: when the cloud reclaims its host, 0 for unknown.
    :param prefill: prompt tokens of this node's requests that it has not
        processed yet.
    :param other_prefill_tokens: the same for the requests of other nodes.
    :param failure_ratio: moving average of the share of failed attempts,
        as of the last outcome.
    :param outcome_at: when the last attempt succeeded or failed.
    :param full_until: until when it gets no work after it answered that it
        is full.
    :param cold_until: until when it is slow after its start.
    :param backoff_until: until when it asked for no requests of this node.
    :param last_heard_at: when it last sent any data.
    :param lag_ms: how much later than predicted its first bytes came.
    :param lag_measured_at: when that lag was measured.
    :param profile: what is known about its pace, speed and memory.
    """

    row: events.HostRow
    version: str
    slots: int = DEFAULT_SLOTS
    other_requests: int = 0
    since: int = 0
    reported_at: int = 0
    report_due: int = 0
    inflight: int = 0
    suspect_requests: int = 0
    faults: int = 0
    consecutive_ejections: int = 0
    ejected_until: int = 0
    leaving: bool = False
    reclaimed_at: int = 0
    prefill: int = 0
    other_prefill_tokens: int = 0
    failure_ratio: float = 0.0
    outcome_at: int = 0
    full_until: int = 0
    cold_until: int = 0
    backoff_until: int = 0
    last_heard_at: int = 0
    lag_ms: float = 0.0
    lag_measured_at: int = 0
    profile: profiles.Profile = dataclasses.field(
        default_factory=profiles.Profile
    )

    @property
    def host(self) -> str:
        """Name of the host."""
        return self.row.host

    @property
    def load(self) -> float:
        """Ratio of its in-flight requests from all nodes to its slots."""
        return (self.inflight + self.other_requests) / max(1, self.slots)

    def get_failure_ratio(self, now: clock.Instant) -> float:
        """Return the failure ratio, which fades without new outcomes.

        A server that is avoided for its failures has none.
        """
        if not self.failure_ratio:
            return 0.0
        age = now.mono - self.outcome_at
        return float(self.failure_ratio * 0.5 ** (age / FAILURE_HALF_LIFE_MS))

    def get_lag_ms(self, now: clock.Instant) -> float:
        """Return the lag in milliseconds, decayed by its age."""
        if not self.lag_ms:
            return 0.0
        age = now.mono - self.lag_measured_at
        return float(self.lag_ms * 0.5 ** (age / LAG_HALF_LIFE_MS))

    def record_outcome(self, *, failed: bool, now: clock.Instant) -> None:
        """Update the failure ratio with the outcome of an attempt."""
        known = self.get_failure_ratio(now)
        self.failure_ratio = known + FAILURE_SMOOTHING * (failed - known)
        self.outcome_at = now.mono

    def has_free_slot(self, nodes: int) -> bool:
        """Return whether this node may send it one more request.

        Load reports lag, so the count of other nodes' requests may be too
        high. Each node may therefore always use an equal share of the
        slots, and at least one.

        :param nodes: number of live nodes that share the slots.
        :return: whether a slot is available.
        """
        if self.inflight + self.other_requests < self.slots:
            return True
        return self.inflight < max(1, self.slots // max(1, nodes))


class ServerRegistry:
    """All backend servers that this node knows.

    Attributes:

    * ``entries``: rows of the hosts that run nodes, from the host list.
    * ``poll_due``: monotonic milliseconds from which the next server of
      known version may be polled.
    * ``poll_count``: number of such polls so far.
    """

    def __init__(self) -> None:
        self._by_host: dict[str, Server] = {}
        self._by_pool: dict[str, list[Server]] = {}
        self._leaving_since: dict[str, int] = {}
        self._closed_zones: frozenset[str] = frozenset()
        self.entries: tuple[events.HostRow, ...] = ()
        self.poll_due = 0
        self.poll_count = 0

    @property
    def all(self) -> list[Server]:
        """All servers in the host list."""
        return list(self._by_host.values())

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the hosts that are known to be leaving, listed or not."""
        return frozenset(self._leaving_since)

    def get(self, host: str) -> Server | None:
        """Return the server on a host, or none if it is not listed."""
        return self._by_host.get(host)

    def in_pool(self, pool: str) -> list[Server]:
        """Return the servers of a pool."""
        return self._by_pool.get(pool, [])

    @property
    def closed_zones(self) -> frozenset[str]:
        """Availability zones whose servers get no new work."""
        return self._closed_zones

    def set_closed_zones(self, zones: frozenset[str]) -> None:
        """Set the availability zones whose servers get no new work."""
        self._closed_zones = zones

    def staying(self, pool: str) -> list[Server]:
        """Return the servers of a pool that remain available for new work.

        They are not leaving, and their availability zone is not closed.
        """
        return [
            server
            for server in self.in_pool(pool)
            if not server.leaving and server.row.zone not in self._closed_zones
        ]

    def usable(self, pool: str, now: clock.Instant) -> list[Server]:
        """Return the servers of a pool that may get new work."""
        return [
            server
            for server in self.staying(pool)
            if server.version
            and server.ejected_until <= now.mono
            and server.full_until <= now.mono
            and server.backoff_until <= now.mono
        ]

    def add(
        self, row: events.HostRow, version: str, now: clock.Instant
    ) -> Server:
        """Add a server that appeared in the host list.

        :param version: version that it is known to run, empty for unknown.
        """
        server = Server(row=row, version=version, since=now.mono)
        server.slots = row.slots or DEFAULT_SLOTS
        server.cold_until = now.mono + row.cold_ms
        server.leaving = row.host in self._leaving_since
        self._by_host[row.host] = server
        self._by_pool.setdefault(row.pool, []).append(server)
        return server

    def remove(self, host: str) -> None:
        """Remove a server that is no longer in the host list."""
        server = self._by_host.pop(host)
        self._by_pool[server.row.pool].remove(server)

    def mark(self, host: str, now: clock.Instant) -> bool:
        """Mark a host as leaving.

        :return: whether it was not marked before.
        """
        if host in self._leaving_since:
            return False
        self._leaving_since[host] = now.mono
        server = self._by_host.get(host)
        if server is not None:
            server.leaving = True
        return True

    def leaving_since(self, host: str) -> int | None:
        """Return the monotonic milliseconds of a host's leaving mark."""
        return self._leaving_since.get(host)

    def remove_expired_marks(self, now: clock.Instant) -> None:
        """Remove expired leaving marks of hosts that are not listed."""
        for host, marked_at in list(self._leaving_since.items()):
            if (
                host in self._by_host
                or now.mono - marked_at < LEAVING_MARK_RETENTION_MS
            ):
                continue
            del self._leaving_since[host]


def handle_hosts_read(
    state: states.State, event: events.HostsRead, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a new host list: add and remove servers.

    The list lags, so a row without the leaving state does not clear a
    leaving mark.
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
            out.append(_build_record(effects.Mark.SERVER_GONE, server, ''))
    for row in listed.values():
        if state.servers.get(row.host) is None:
            known = _initial_version(state, row)
            server = state.servers.add(row, known, now)
            out.append(
                _build_record(effects.Mark.SERVER_SEEN, server, row.version)
            )
        if row.state is events.HostState.LEAVING:
            out += mark_leaving(state, row.host, 'host list', now)
            left = state.servers.get(row.host)
            if row.left_ms and left is not None and not left.reclaimed_at:
                left.reclaimed_at = now.mono + row.left_ms
    state.servers.remove_expired_marks(now)
    return out


def _initial_version(state: states.State, row: events.HostRow) -> str:
    """Return the version that a new server runs, empty for unknown.

    On the users' platform each server's entry holds its version. Otherwise
    a service starts with the listed version, whereas an engine may still
    have to load it, so its version is known only from its first load
    report.
    """
    if state.options.bounds is not None:
        return row.version
    pool = state.index.pool(row.pool)
    if pool is not None and pool.kind is model.Kind.SERVICE:
        return row.version
    return ''


def mark_leaving(
    state: states.State, host: str, cause: str, now: clock.Instant
) -> list[effects.Effect]:
    """Mark a backend server as leaving, which is never undone.

    :param cause: source of the information, for the timeline.
    :return: effects; none if it was already marked.
    """
    if not state.servers.mark(host, now):
        return []
    state.membership.updates.add_leaving(host)
    server = state.servers.get(host)
    if server is None:
        return []
    return [_build_record(effects.Mark.SERVER_LEAVING, server, cause)]


def handle_reclaim_announced(
    state: states.State, event: events.ReclaimAnnounced, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a notice that the cloud will reclaim hosts."""
    out: list[effects.Effect] = []
    for host in event.hosts:
        out += mark_leaving(
            state, host, f'notice, {event.left_ms} ms left', now
        )
        server = state.servers.get(host)
        if server is not None and not server.reclaimed_at:
            server.reclaimed_at = now.mono + event.left_ms
    return out


def handle_load_reported(
    state: states.State, event: events.LoadReported, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a load report, which lags behind the state of the server."""
    server = state.servers.get(event.host)
    if server is None:
        return []
    server.slots = max(1, event.slots)
    server.other_requests = max(
        0, event.running + event.waiting - server.inflight
    )
    server.reported_at = now.mono
    server.version = event.version
    if event.leaving:
        return mark_leaving(state, event.host, 'load report', now)
    return []


def handle_load_missing(
    state: states.State, event: events.LoadMissing, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a load report that did not come.

    It counts as a fault, because the server may be gone or unreachable.
    """
    server = state.servers.get(event.host)
    if server is None:
        return []
    return record_failure(server, 'no load report', now)


def record_success(server: Server) -> list[effects.Effect]:
    """Record a successful attempt, which ends a series of faults."""
    server.faults = 0
    if not server.consecutive_ejections:
        return []
    server.consecutive_ejections = 0
    return [_build_record(effects.Mark.SERVER_RESTORED, server, '')]


def record_failure(
    server: Server, cause: str, now: clock.Instant
) -> list[effects.Effect]:
    """Record a fault of a server; consecutive faults eject it for a time.

    Each further ejection without a success in between lasts twice as long.
    """
    server.faults += 1
    if server.faults < MIN_EJECT_FAULTS or server.ejected_until > now.mono:
        return []
    span = min(
        MAX_EJECTION_MS,
        MIN_EJECTION_MS << min(server.consecutive_ejections, 8),
    )
    server.consecutive_ejections += 1
    server.ejected_until = now.mono + span
    detail = f'{cause}, for {span} ms'
    return [_build_record(effects.Mark.SERVER_EJECTED, server, detail)]


def clear_faults(server: Server) -> None:
    """Forget the faults of a server that had other causes."""
    server.faults = 0
    server.consecutive_ejections = 0
    server.ejected_until = 0
    server.lag_ms = 0.0
    server.failure_ratio = 0.0


def eject_gone(server: Server, now: clock.Instant) -> list[effects.Effect]:
    """Eject a server whose port refuses connections.

    Its host comes back under another name, or is ejected for some time.
    """
    server.ejected_until = max(
        server.ejected_until, now.mono + GONE_EJECTION_MS
    )
    detail = f'refuses connections, for {GONE_EJECTION_MS} ms'
    return [_build_record(effects.Mark.SERVER_EJECTED, server, detail)]


def request_load_reports(
    state: states.State, now: clock.Instant
) -> list[effects.Effect]:
    """Request load reports from servers, a few at a time.

    Servers of unknown version come first, because they get no work until
    their version is known. The others share a fixed rate of requests,
    however many servers there are, and every few requests one goes to a
    server that is not in use.
    """
    due = [
        server for server in state.servers.all if server.report_due <= now.mono
    ]
    due.sort(key=lambda server: server.report_due)
    chosen = [server for server in due if not server.version]
    chosen = chosen[:MAX_UNKNOWN_POLLS_PER_TICK]
    if not chosen:
        chosen = _choose_for_report(state, due, now)
    for server in chosen:
        in_use = server.inflight or not server.version
        span = REPORT_INTERVAL_MS if in_use else IDLE_REPORT_INTERVAL_MS
        server.report_due = now.mono + span
        if now.mono - server.reported_at > REPORT_MAX_AGE_MS:
            server.other_requests = 0
    targets = tuple(
        effects.Target(server.host, server.row.address) for server in chosen
    )
    return [effects.QueryLoad(targets)] if targets else []


def _choose_for_report(
    state: states.State, due: list[Server], now: clock.Instant
) -> list[Server]:
    """Choose the next server of known version to poll, if one is due."""
    if not due or now.mono < state.servers.poll_due:
        return []
    state.servers.poll_due = now.mono + POLL_INTERVAL_MS
    state.servers.poll_count += 1
    poll_idle = state.servers.poll_count % IDLE_POLL_CYCLE == 0
    preferred = [
        server for server in due if bool(server.inflight) != poll_idle
    ]
    return (preferred or due)[:1]


def _build_record(
    mark: effects.Mark, server: Server, detail: str
) -> effects.RecordEntry:
    return effects.RecordEntry(
        mark=mark, pool=server.row.pool, host=server.host, detail=detail
    )
