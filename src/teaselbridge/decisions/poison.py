"""Detection of request bodies that crash backend servers.

A crash of a server ends every request in flight on it, so one crash does not
show which request caused it. A request that was in flight during a crash is
retried only on a server that runs no other such request. A second crash
then leaves one suspect.
"""

from __future__ import annotations

import collections
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import gossip
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import servers
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

    def record_interrupted(
        self, host: str, call: calls.Call, mono: int
    ) -> None:
        """Record that a server broke off a request and may have crashed."""
        self._interrupted.append(_InterruptedCall(host, mono, call))

    def list_interrupted(self, host: str, mono: int) -> list[calls.Call]:
        """Return the requests that a server broke off recently."""
        while (
            self._interrupted
            and mono - self._interrupted[0].mono > CRASH_CONFIRM_TIMEOUT_MS
        ):
            self._interrupted.popleft()
        return [item.call for item in self._interrupted if item.host == host]

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
    host: str
    mono: int
    call: calls.Call


def suspect(
    state: states.State,
    call: calls.Call,
    server: servers.Server,
    now: clock.Instant,
) -> None:
    """Record that a server broke off a relayed request.

    This has many possible causes. It counts as a crash only if the server
    turns out to be gone.
    """
    if call.fingerprint and not server.leaving:
        state.poison.record_interrupted(server.host, call, now.mono)


def confirm_crashes(
    state: states.State, server: servers.Server, now: clock.Instant
) -> list[effects.Effect]:
    """Count what a gone server broke off just before as crashes."""
    out: list[effects.Effect] = []
    for call in state.poison.list_interrupted(server.host, now.mono):
        out += record_crash(state, call, server, now)
    return out


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
    out = gossip.broadcast(state, update)
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
