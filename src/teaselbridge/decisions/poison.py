"""Detection of request bodies that crash backend servers.

A crash of a server ends every request in flight on it, so one crash does not
show which request caused it. A request that was in flight during a crash is
retried only on a server that runs no other such request. A second crash
then leaves one suspect.
"""

from __future__ import annotations

import collections
import typing

from teaselbridge.decisions import broadcasts
from teaselbridge.decisions import effects
from teaselbridge.decisions import servers
from teaselbridge.decisions import suspects
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import events
    from teaselbridge.decisions import state as states

# Number of hosts that crashed running a body before the body is refused.
MAX_CRASHES = 2
# How long a body is remembered after a crash.
CRASH_TTL_MS = 600_000
# This many hosts of one zone that fail within ZONE_FAILURE_WINDOW_MS point to
# a failure of the zone, not of a request.
ZONE_FAILURE_WINDOW_MS = 2_000
MIN_ZONE_FAILURE_HOSTS = 3
# How long an interrupted request can be attributed to a crash. It covers the
# three missed heartbeats after which the entry of a crashed server expires.
CRASH_CONFIRM_TIMEOUT_MS = 6_000
# A server that broke off a request is checked no more often than this.
CHECK_INTERVAL_MS = 100
# Hosts that are remembered as crashed.
MAX_CRASHED = 1_000


class CrashRecords:
    """Crashes of servers by the request bodies that they were running."""

    def __init__(self) -> None:
        self._crashes: dict[str, messages.Crashes] = {}
        self._recent_failures: collections.deque[_HostFailure] = (
            collections.deque()
        )
        self._interrupted: collections.deque[_InterruptedCall] = (
            collections.deque()
        )
        self._checked_at: dict[str, int] = {}
        self._crashed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def crashes(self) -> tuple[messages.Crashes, ...]:
        """All recorded crashes, one entry per request body."""
        return tuple(self._crashes.values())

    def get_crashes(self, fingerprint: str) -> messages.Crashes:
        """Return the crashes of a body; it must have been recorded."""
        return self._crashes[fingerprint]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a server crashed while it ran this body."""
        return fingerprint in self._crashes

    def is_refused(self, fingerprint: str, wall: int) -> bool:
        """Return whether this body must not be run.

        :param wall: wall-clock milliseconds.
        """
        known = self._crashes.get(fingerprint)
        if known is None or known.until < wall:
            return False
        return len(known.hosts) >= MAX_CRASHES

    def merge(self, crashes: messages.Crashes) -> bool:
        """Merge crashes that this node or another one has observed.

        :return: whether a crash was not known before.
        """
        known = self._crashes.get(crashes.fingerprint)
        if known is None:
            self._crashes[crashes.fingerprint] = crashes
            return True
        hosts = tuple(sorted(set(known.hosts) | set(crashes.hosts)))
        if hosts == known.hosts:
            return False
        self._crashes[crashes.fingerprint] = messages.Crashes(
            fingerprint=crashes.fingerprint,
            hosts=hosts,
            until=max(known.until, crashes.until),
        )
        return True

    def record_interrupted(self, interrupted: _InterruptedCall) -> None:
        """Record a request whose server may have crashed."""
        known = self._interrupted
        known.append(interrupted)
        while interrupted.mono - known[0].mono > CRASH_CONFIRM_TIMEOUT_MS:
            known.popleft()

    def take_interrupted(self, host: str, mono: int) -> list[_InterruptedCall]:
        """Return and forget the requests that a server broke off recently."""
        recent = [
            item
            for item in self._interrupted
            if mono - item.mono <= CRASH_CONFIRM_TIMEOUT_MS
        ]
        self._interrupted = collections.deque(
            item for item in recent if item.host != host
        )
        return [item for item in recent if item.host == host]

    def take_ended(self, host: str) -> list[calls.Call]:
        """Return and forget the requests that a server may have ended."""
        ended = [
            item.call
            for item in self._interrupted
            if item.host == host and item.is_ended
        ]
        self._interrupted = collections.deque(
            item
            for item in self._interrupted
            if item.host != host or not item.is_ended
        )
        return ended

    def is_check_due(self, host: str, mono: int) -> bool:
        """Return whether a server may be checked, and record that it is."""
        checked_at = self._checked_at.get(host)
        if checked_at is not None and mono - checked_at < CHECK_INTERVAL_MS:
            return False
        self._checked_at = {
            known: at
            for known, at in self._checked_at.items()
            if mono - at < CHECK_INTERVAL_MS
        }
        self._checked_at[host] = mono
        return True

    def record_crashed(self, host: str) -> None:
        """Record that a server is known to have crashed."""
        self._crashed[host] = None
        if len(self._crashed) > MAX_CRASHED:
            self._crashed.popitem(last=False)

    def has_crashed(self, host: str) -> bool:
        """Return whether a server is known to have crashed."""
        return host in self._crashed

    def expire(self, wall: int) -> None:
        """Remove expired crashes.

        :param wall: wall-clock milliseconds.
        """
        for fingerprint, crashes in list(self._crashes.items()):
            if crashes.until < wall:
                del self._crashes[fingerprint]

    def record_host_failure(self, host: str, zone: str, mono: int) -> bool:
        """Record a failed host, and return whether many fail in its zone.

        :param mono: monotonic milliseconds.
        """
        while (
            self._recent_failures
            and mono - self._recent_failures[0].mono > ZONE_FAILURE_WINDOW_MS
        ):
            self._recent_failures.popleft()
        self._recent_failures.append(_HostFailure(host, zone, mono))
        hosts = {
            failure.host
            for failure in self._recent_failures
            if failure.zone == zone
        }
        return len(hosts) >= MIN_ZONE_FAILURE_HOSTS


class _HostFailure(typing.NamedTuple):
    host: str
    zone: str
    mono: int


class _InterruptedCall(typing.NamedTuple):
    """Request whose connection its server closed.

    :param has_begun: whether its answer had just begun.
    :param is_ended: whether the answer may be complete, as it did not state
        its end.
    """

    host: str
    mono: int
    call: calls.Call
    has_begun: bool
    is_ended: bool = False


def suspect(
    state: states.State,
    call: calls.Call,
    server: servers.Server,
    fault: calls.Fault,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Record that a server broke off a relayed request.

    This has many possible causes. It counts as a crash only if the server
    turns out to be gone, which is checked at once.
    """
    if server.leaving:
        return []
    has_begun = (
        fault.answered_ms is not None
        and fault.answered_ms <= suspects.CRASH_DELAY_MS
    )
    if state.poison.has_crashed(server.host):
        if has_begun:
            return _blame(state, call, server, now)
        return []
    return _check_server(
        state,
        server,
        _InterruptedCall(server.host, now.mono, call, has_begun),
    )


def suspect_end(
    state: states.State,
    call: calls.Call,
    server: servers.Server,
    answered_ms: int,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Record an answer that ended with its connection, without stating it.

    It is sound if the server turns out to be there, and was broken off by a
    crash otherwise.

    :param answered_ms: how long ago the answer began.
    """
    has_begun = answered_ms <= suspects.CRASH_DELAY_MS
    return _check_server(
        state,
        server,
        _InterruptedCall(
            server.host, now.mono, call, has_begun, is_ended=True
        ),
    )


def _check_server(
    state: states.State, server: servers.Server, closed: _InterruptedCall
) -> list[effects.Effect]:
    state.poison.record_interrupted(closed)
    if not state.poison.is_check_due(server.host, closed.mono):
        return []
    return [effects.CheckServer(server.host, server.row.address)]


def handle_server_checked(
    state: states.State, event: events.ServerChecked, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the result of a check of a server that broke off a request."""
    server = state.servers.get(event.host)
    if server is None:
        return []
    if not event.is_gone:
        out: list[effects.Effect] = []
        for call in state.poison.take_ended(event.host):
            out += suspects.record_sound_answer(state, call, now)
        return out
    return [
        *servers.eject_gone(server, now),
        *confirm_crashes(state, server, now),
    ]


def confirm_crashes(
    state: states.State, server: servers.Server, now: clock.Instant
) -> list[effects.Effect]:
    """Blame what a gone server broke off just before for its crash.

    Of the prompts those are blamed whose answer had just begun, or all of
    them where none had.
    """
    state.poison.record_crashed(server.host)
    broken_off = state.poison.take_interrupted(server.host, now.mono)
    has_begun = any(item.has_begun for item in broken_off)
    out: list[effects.Effect] = []
    for item in broken_off:
        if item.has_begun:
            out += _blame(state, item.call, server, now)
        elif not (item.call.parts and has_begun):
            out += record_crash(state, item.call, server, now)
    return out


def _blame(
    state: states.State,
    call: calls.Call,
    server: servers.Server,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Blame a request whose answer had just begun for a crash."""
    out = record_crash(state, call, server, now)
    return out + suspects.accuse(state, call, server.host, now)


def record_crash(
    state: states.State,
    call: calls.Call,
    server: servers.Server,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Record that a server crashed while it ran a request.

    The request is not the cause if the server was about to be reclaimed, or
    if it failed together with others in its availability zone.
    """
    zone_failed = state.poison.record_host_failure(
        server.host, server.row.zone, now.mono
    )
    if server.leaving or zone_failed or not call.fingerprint:
        return []
    observed = messages.Crashes(
        fingerprint=call.fingerprint,
        hosts=(server.host,),
        until=now.wall + CRASH_TTL_MS,
    )
    if not state.poison.merge(observed):
        return []
    state.membership.updates.add_crashes(call.fingerprint)
    known = state.poison.get_crashes(call.fingerprint)
    update = messages.Gossip(
        crashes=(known,), generation=state.index.generation
    )
    out = broadcasts.broadcast(state, update)
    if not state.poison.is_refused(call.fingerprint, now.wall):
        return out
    return [
        *out,
        effects.RecordEntry(
            mark=effects.Mark.POISON,
            request=call.key.id,
            route=call.route.name,
            host=server.host,
            detail=f'body {call.fingerprint} is refused from now on',
        ),
    ]
