"""Request bodies that crash the backend servers that run them.

A server that dies takes every request in it along, so one death says little
about one of them. A request that saw a death is retried only beside
requests that did not, which leaves one suspect at the second death.
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

CRASHES_MOST = 2
KEEP_MS = 600_000
WAVE_MS = 2_000
WAVE_HOSTS = 3
# A crashed server's entry lapses after three heartbeats of its silence.
CONFIRM_MS = 6_000


class Poison:
    """Deaths of servers by the request bodies that they were running."""

    def __init__(self) -> None:
        self._crashes: dict[str, messages.Crashes] = {}
        self._deaths: collections.deque[_Death] = collections.deque()
        self._broken: collections.deque[_Broken] = collections.deque()

    @property
    def crashes(self) -> tuple[messages.Crashes, ...]:
        """All that is known."""
        return tuple(self._crashes.values())

    def get(self, fingerprint: str) -> messages.Crashes:
        """Give what is known of a body that was seen to crash a server."""
        return self._crashes[fingerprint]

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a server died running this body."""
        return fingerprint in self._crashes

    def is_refused(self, fingerprint: str, wall: int) -> bool:
        """Tell whether this body must not be run.

        :param wall: wall milliseconds.
        """
        known = self._crashes.get(fingerprint)
        if known is None or known.until < wall:
            return False
        return len(known.hosts) >= CRASHES_MOST

    def merge(self, crashes: messages.Crashes) -> bool:
        """Take in what another node, or this one, has seen.

        :return: whether that is news.
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

    def note_broken(self, host: str, call: calls.Call, mono: int) -> None:
        """Note that a server broke off a request: it may have crashed."""
        self._broken.append(_Broken(host, mono, call))

    def take_broken(self, host: str, mono: int) -> list[calls.Call]:
        """Give the requests that a server broke off not long ago."""
        while self._broken and mono - self._broken[0].mono > CONFIRM_MS:
            self._broken.popleft()
        return [item.call for item in self._broken if item.host == host]

    def expire(self, wall: int) -> None:
        """Forget what is old.

        :param wall: wall milliseconds.
        """
        for fingerprint, crashes in list(self._crashes.items()):
            if crashes.until < wall:
                del self._crashes[fingerprint]

    def is_wave(self, host: str, zone: str, mono: int) -> bool:
        """Count a death, and tell whether many hosts of a zone die at once.

        :param mono: monotonic milliseconds.
        """
        while self._deaths and mono - self._deaths[0].mono > WAVE_MS:
            self._deaths.popleft()
        self._deaths.append(_Death(host, zone, mono))
        hosts = {death.host for death in self._deaths if death.zone == zone}
        return len(hosts) >= WAVE_HOSTS


class _Death(typing.NamedTuple):
    host: str
    zone: str
    mono: int


class _Broken(typing.NamedTuple):
    host: str
    mono: int
    call: calls.Call


def suspect(
    state: states.State,
    call: calls.Call,
    server: servers.Server,
    now: clock.Instant,
) -> None:
    """A server broke a relayed request off, which has many causes.

    It counts as a crash only if the server is found to be gone.
    """
    if call.fingerprint and not server.leaving:
        state.poison.note_broken(server.host, call, now.mono)


def confirm(
    state: states.State, server: servers.Server, now: clock.Instant
) -> list[effects.Effect]:
    """A server is gone: what it broke off just before may be the cause."""
    out: list[effects.Effect] = []
    for call in state.poison.take_broken(server.host, now.mono):
        out += crash(state, call, server, now)
    return out


def crash(
    state: states.State,
    call: calls.Call,
    server: servers.Server,
    now: clock.Instant,
) -> list[effects.Effect]:
    """A server broke off while it ran a request.

    A server that was about to be taken back, or that died together with its
    availability zone, did not die of the request.
    """
    wave = state.poison.is_wave(server.host, server.row.zone, now.mono)
    if server.leaving or wave or not call.fingerprint:
        return []
    seen = messages.Crashes(
        fingerprint=call.fingerprint,
        hosts=(server.host,),
        until=now.wall + KEEP_MS,
    )
    if not state.poison.merge(seen):
        return []
    state.membership.news.add_crashes(call.fingerprint)
    known = state.poison.get(call.fingerprint)
    news = messages.Gossip(crashes=(known,), generation=state.index.generation)
    out = gossip.tell_all(state, news)
    if not state.poison.is_refused(call.fingerprint, now.wall):
        return out
    return [
        *out,
        effects.Record(
            mark=effects.Mark.POISON,
            request=call.key.id,
            route=call.route.name,
            host=server.host,
            detail=f'body {call.fingerprint} is refused from now on',
        ),
    ]
