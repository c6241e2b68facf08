"""Reports of nodes to each other about backend servers.

A report has the in-flight work of its sender. What the sender heard from a
server itself is added only while it is news, so that updates stay small.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions.room import speeds
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states


def build_reports(
    state: states.State, now: clock.Instant
) -> tuple[messages.ServerLoad, ...]:
    """Return the reports about servers with in-flight work or news."""
    return tuple(
        _build_report(server, now)
        for server in state.servers.all
        if server.inflight or server.profile.has_news(now)
    )


def merge_reports(
    state: states.State, message: messages.Loads, now: clock.Instant
) -> None:
    """Merge what another node heard from servers.

    Nodes of an earlier build report nothing but their in-flight work.
    """
    for item in message.servers:
        server = state.servers.get(item.host)
        if server is None:
            continue
        if item.pace:
            age_ms = max(0, item.pace_age_ms)
            server.profile.merge_pace(item.pace, now.mono - age_ms)
        if item.speed:
            speeds.merge_report(state, server, item.speed)


def _build_report(
    server: servers.Server, now: clock.Instant
) -> messages.ServerLoad:
    known = server.profile
    pace = age_ms = 0
    if known.unusual_until > now.mono:
        pace = known.heard_pace
        age_ms = now.mono - known.heard_at
    speed = 0
    if known.recent_until > now.mono:
        speed = round(1_000 * known.recent_speed)
    return messages.ServerLoad(
        host=server.host,
        running=server.inflight,
        prefill=server.prefill,
        pace=pace,
        pace_age_ms=age_ms,
        speed=speed,
        tokens=known.tokens,
    )


class PeerTotals:
    """Sums of the in-flight work that other nodes reported, by host.

    They are kept up to date with each report, as a sum over all nodes for
    each server of each update would grow with nodes x servers.
    """

    def __init__(self) -> None:
        # Requests, prompt tokens, held tokens, requests of nodes that report
        # no held tokens, and number of reports.
        self._by_host: dict[str, list[int]] = {}

    def get(self, host: str) -> tuple[messages.ServerLoad, int]:
        """Return the sum of the work of all other nodes at a server.

        :return: the sum, and how many of the requests are of nodes that do
            not report the tokens that they hold, as an earlier build.
        """
        known = self._by_host.get(host, (0, 0, 0, 0, 0))
        running, prefill, tokens, uncounted, _ = known
        load = messages.ServerLoad(
            host=host, running=running, prefill=prefill, tokens=tokens
        )
        return load, uncounted

    def add(
        self, reports: collections.abc.Iterable[messages.ServerLoad]
    ) -> None:
        """Add the reports of a node."""
        for item in reports:
            total = self._by_host.setdefault(item.host, [0] * 5)
            total[0] += item.running
            total[1] += item.prefill
            total[2] += item.tokens
            total[3] += 0 if item.tokens else item.running
            total[4] += 1

    def remove(
        self, reports: collections.abc.Iterable[messages.ServerLoad]
    ) -> None:
        """Remove reports that were added before."""
        for item in reports:
            total = self._by_host[item.host]
            total[0] -= item.running
            total[1] -= item.prefill
            total[2] -= item.tokens
            total[3] -= 0 if item.tokens else item.running
            total[4] -= 1
            if not total[4]:
                del self._by_host[item.host]
