"""Counts of started requests by workspace and window, and their reports.

Nodes assign requests to windows by the wall clock, corrected by the median
offset of the other nodes' clocks. They send their counts to the nodes that
may hold the duties lease (see `usage_exchange`). The holder of that lease
waits until the counts of all live nodes are final, but not beyond the time at
which the report is due. It writes each report to the store before it sends
it, so that its successor repeats exactly the same report.

A restore of the store can take stored reports back, so that a successor does
not know what was sent. Windows that may have been reported by then are not
reported again, unless this node sent the last report itself.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import statistics
import typing

import msgspec

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import leases
from teaselbridge.decisions import tickets
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

REPORT_KEY = 'teaselbridge/usage'
DUTY = 'usage'
# A window is reported no sooner after its end; the other nodes' final counts
# have usually arrived by then.
SETTLE_DELAY_MS = 3_000
# A window whose counts are not final at all live nodes is reported this long
# after its end. The report is due after 10 s; this leaves 3 s for writing and
# sending it.
MAX_SETTLE_DELAY_MS = 7_000
# A new holder waits this long for answers even if a report is overdue.
ANSWER_TIMEOUT_MS = 1_000
# A report is of use until this long after the end of its window.
REPORT_DUE_MS = 10_000
# Windows whose counts are kept and gossiped.
MAX_WINDOWS = 6
# Newest windows that a new holder reports although they may be overdue.
MIN_REPORTED_WINDOWS = 2
RETRY_DELAY_MS = 500
OFFSET_TTL_MS = 10_000


class Phase(enum.Enum):
    """States of the holder's reporting."""

    IDLE = 'idle'
    READING = 'reading'
    READY = 'ready'
    WRITING = 'writing'
    SENDING = 'sending'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Last report, as written to the store, whether sent or not.

    :param window: number of the window.
    :param counts: requests by workspace.
    :param era: era of the store in which it was written.
    """

    window: int
    counts: dict[str, int]
    era: int = 0


class Usage:
    """Counts of all nodes, and the reporting state of this node."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[int, collections.Counter[str]]] = {}
        self._clock_offsets: dict[str, tuple[int, int]] = {}
        self.phase = Phase.IDLE
        self.fence = 0
        self.retry_at = 0
        self.revision = 0
        self.report: Report | None = None
        self.sent = True
        # Last report of this node's own tenure, kept over a restore.
        self.kept_report: Report | None = None
        self.first_window = 0
        # Rises with each request that this node counts.
        self.own_changes = 0
        # First window of each node whose counts may still rise.
        self.settled: dict[str, int] = {}
        # Source of the counts of the present run of each node.
        self.latest: dict[str, str] = {}
        # Nodes that a new holder has asked, and since when.
        self.awaited: set[str] = set()
        self.asked_from = 0
        # How complete the counts of the last report were.
        self.detail = ''

    def count_request(self, source: str, window: int, workspace: str) -> None:
        """Count a started request of this node.

        :param source: name and incarnation of the node.
        """
        self.own_changes += 1
        windows = self._counts.setdefault(source, {})
        windows.setdefault(window, collections.Counter())[workspace] += 1

    def merge_counts(
        self, message: messages.Loads, now: clock.Instant
    ) -> None:
        """Merge another node's clock offset and counts."""
        self.merge_clock(message.node, message.wall, now)
        source = f'{message.node}/{message.incarnation}'
        self.merge_source(source, message.usage)

    def merge_clock(self, node: str, wall: int, now: clock.Instant) -> None:
        """Record the wall clock of another node."""
        self._clock_offsets[node] = (now.mono, wall - now.wall)

    def merge_source(
        self, source: str, counts: typing.Iterable[messages.Usage]
    ) -> None:
        """Merge counts of one run of a node.

        The higher count wins, so that late messages change nothing.

        :param source: name and incarnation of the node.
        """
        for item in counts:
            windows = self._counts.setdefault(source, {})
            counter = windows.setdefault(item.window, collections.Counter())
            known = counter[item.workspace]
            counter[item.workspace] = max(known, item.count)

    def wall(self, now: clock.Instant) -> int:
        """Return wall milliseconds, corrected by the median clock offset."""
        offsets = [0]
        for node, (received, offset) in list(self._clock_offsets.items()):
            if now.mono - received > OFFSET_TTL_MS:
                del self._clock_offsets[node]
                continue
            offsets.append(offset)
        return now.wall + round(statistics.median(offsets))

    def list_counts(
        self, source: str, window: int
    ) -> tuple[messages.Usage, ...]:
        """Return a node's counts of the last windows.

        :param window: current window.
        """
        windows = self._counts.get(source, {})
        return tuple(
            messages.Usage(window=number, workspace=name, count=count)
            for number, counter in windows.items()
            if number > window - MAX_WINDOWS
            for name, count in counter.items()
        )

    @property
    def sources(self) -> list[str]:
        """Names and incarnations of the nodes whose counts are known."""
        return list(self._counts)

    def total(self, window: int) -> dict[str, int]:
        """Return the sum of all nodes' counts by workspace."""
        total: collections.Counter[str] = collections.Counter()
        for windows in self._counts.values():
            total.update(windows.get(window, {}))
        return dict(total)

    def remove_old(self, window: int) -> None:
        """Remove counts that are too old to be reported.

        :param window: current window.
        """
        for source, windows in list(self._counts.items()):
            for number in list(windows):
                if number <= window - 2 * MAX_WINDOWS:
                    del windows[number]
            if not windows:
                del self._counts[source]
        for node, settled in list(self.settled.items()):
            if settled <= window - 2 * MAX_WINDOWS:
                del self.settled[node]
                self.latest.pop(node, None)


def get_source(state: states.State) -> str:
    """Return the name of this node with its incarnation."""
    me = state.options.me
    return f'{me.name}/{me.incarnation}'


def get_window(state: states.State, now: clock.Instant) -> int:
    """Return the number of the current window since the epoch."""
    bounds = state.options.bounds
    assert bounds is not None
    return state.usage.wall(now) // bounds.usage_window_ms


def count_request(
    state: states.State, workspace: str, now: clock.Instant
) -> None:
    """Count a request that was started at a given time.

    :param now: start time, which may be slightly in the past.
    """
    if state.options.bounds is None or not workspace:
        return
    window = get_window(state, now)
    state.usage.count_request(get_source(state), window, workspace)


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Report the windows that have ended, if this node holds the lease."""
    bounds = state.options.bounds
    if bounds is None:
        return []
    usage = state.usage
    usage.remove_old(get_window(state, now))
    if DUTY not in bounds.duties:
        return []
    lease = leases.held(state, leases.DUTIES_LEASE, now)
    if lease is None or lease.orders_from > now.mono:
        usage.phase = Phase.IDLE
        return []
    if lease.fence != usage.fence:
        usage.fence = lease.fence
        usage.phase = Phase.IDLE
    if usage.retry_at > now.mono:
        return []
    if usage.phase is Phase.IDLE:
        usage.phase = Phase.READING
        return [effects.ReadKey(tickets.UsageTicket(), REPORT_KEY)]
    if usage.phase is Phase.READY:
        return _write_next_report(state, lease, now)
    return []


def _write_next_report(
    state: states.State, lease: leases.Lease, now: clock.Instant
) -> list[effects.Effect]:
    usage = state.usage
    bounds = state.options.bounds
    assert bounds is not None
    if usage.report is not None and not usage.sent:
        return _send_report(usage, usage.report, lease)
    settled = usage.wall(now) - SETTLE_DELAY_MS
    newest = settled // bounds.usage_window_ms - 1
    window = min(
        newest - MIN_REPORTED_WINDOWS + 1, _find_due_window(state, now)
    )
    window = max(window, usage.first_window)
    if usage.report is not None:
        window = max(window, usage.report.window + 1)
    if window > newest or not _is_settled(state, window, now):
        return []
    missing = list_missing(state, window)
    usage.detail = f'{len(missing)} nodes not final'
    usage.report = Report(
        window=window,
        counts=usage.total(window),
        era=state.store_view.era,
    )
    usage.sent = False
    usage.phase = Phase.WRITING
    return [
        effects.SwapKey(
            ticket=tickets.UsageTicket(),
            key=REPORT_KEY,
            value=msgspec.json.encode(usage.report),
            revision=usage.revision,
        )
    ]


def _find_due_window(state: states.State, now: clock.Instant) -> int:
    """Return the first window whose report is not overdue."""
    bounds = state.options.bounds
    assert bounds is not None
    overdue_until = state.usage.wall(now) - REPORT_DUE_MS
    return -(-overdue_until // bounds.usage_window_ms) - 1


def list_missing(state: states.State, window: int) -> list[messages.Member]:
    """List the live nodes whose counts of a window may still rise.

    Those of an older build do not tell, and are not waited for. A new holder
    also lacks the counts of lost nodes until the others have answered it.
    """
    usage = state.usage
    return [
        member
        for member in state.membership.alive
        if member.takes_usage_counts
        and (
            member.name in usage.awaited
            or usage.settled.get(member.name, 0) <= window
        )
    ]


def _is_settled(state: states.State, window: int, now: clock.Instant) -> bool:
    """Return whether a window need not wait for counts of other nodes."""
    if not list_missing(state, window):
        return True
    usage = state.usage
    if now.mono - usage.asked_from < ANSWER_TIMEOUT_MS:
        return False
    bounds = state.options.bounds
    assert bounds is not None
    end = (window + 1) * bounds.usage_window_ms
    return usage.wall(now) - end >= MAX_SETTLE_DELAY_MS


def handle_key_read(
    state: states.State, event: events.KeyRead, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the stored record of the last report."""
    usage = state.usage
    if usage.phase is not Phase.READING:
        return []
    usage.phase = Phase.READY
    usage.revision = event.revision
    stored = None
    if event.value is not None:
        stored = msgspec.json.decode(event.value, type=Report)
    usage.report = stored
    if _is_taken_back(state, stored):
        usage.report = _choose_kept_report(usage, stored)
        if usage.report is None:
            usage.first_window = _find_unreported_window(state, now)
    usage.sent = usage.report is None
    return []


def handle_restore(state: states.State, now: clock.Instant) -> None:
    """Handle a restore of the store, before the leases are void.

    The holder alone knows which report was the last one.
    """
    usage = state.usage
    lease = leases.held(state, leases.DUTIES_LEASE, now)
    is_holder = lease is not None and lease.fence == usage.fence
    knows_report = usage.phase not in (Phase.IDLE, Phase.READING)
    usage.kept_report = usage.report if is_holder and knows_report else None
    usage.phase = Phase.IDLE


def _is_taken_back(state: states.State, stored: Report | None) -> bool:
    """Return whether a restore may have taken later reports back."""
    if stored is None:
        return state.store_view.restored_at is not None
    return stored.era < state.store_view.era


def _choose_kept_report(usage: Usage, stored: Report | None) -> Report | None:
    """Return the own report if it is at least as new as the stored one."""
    kept = usage.kept_report
    if kept is None or (stored is not None and kept.window < stored.window):
        return None
    return kept


def _find_unreported_window(state: states.State, now: clock.Instant) -> int:
    """Return the first window that no earlier holder can have reported.

    An earlier holder stopped at most one TTL of its lease after this node
    saw the restore, or started after it, and reported no window sooner than
    `SETTLE_DELAY_MS` after its end.
    """
    bounds = state.options.bounds
    assert bounds is not None
    restored_at = state.store_view.restored_at
    seen = state.options.me.incarnation
    if restored_at is not None:
        seen = state.usage.wall(now) - (now.mono - restored_at)
    stopped = seen + state.options.lease.ttl_ms
    return (stopped - SETTLE_DELAY_MS) // bounds.usage_window_ms


def handle_key_swapped(
    state: states.State, event: events.KeySwapped, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the result of writing a report."""
    usage = state.usage
    if usage.phase is not Phase.WRITING:
        return []
    lease = leases.held(state, leases.DUTIES_LEASE, now)
    if not event.swapped or lease is None or usage.report is None:
        usage.phase = Phase.IDLE
        return []
    usage.revision = event.revision
    return _send_report(usage, usage.report, lease)


def failed(
    state: states.State, event: events.KeyFailed, now: clock.Instant
) -> list[effects.Effect]:
    """Handle an unanswered store call by reading the record again."""
    if state.usage.phase in (Phase.READING, Phase.WRITING):
        state.usage.phase = Phase.IDLE
        state.usage.retry_at = now.mono + RETRY_DELAY_MS
    return []


def handle_usage_report_answered(
    state: states.State, event: events.UsageReportAnswered, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the platform's answer to a report, or its absence."""
    usage = state.usage
    if usage.phase is not Phase.SENDING:
        return []
    usage.phase = Phase.READY
    mark = effects.Mark.USAGE_FAILED
    if event.accepted:
        usage.sent = True
        mark = effects.Mark.USAGE_REPORTED
    else:
        usage.retry_at = now.mono + RETRY_DELAY_MS
    total = 0 if usage.report is None else sum(usage.report.counts.values())
    detail = f'window {event.window}, {total} requests, {usage.detail}'
    return [effects.RecordEntry(mark=mark, detail=detail)]


def _send_report(
    usage: Usage, report: Report, lease: leases.Lease
) -> list[effects.Effect]:
    usage.phase = Phase.SENDING
    return [
        effects.ReportUsage(
            window=report.window,
            counts=tuple(
                effects.WorkspaceCount(name, count)
                for name, count in sorted(report.counts.items())
            ),
            fence=lease.fence,
            until=lease.until,
        )
    ]
