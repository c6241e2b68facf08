"""Tests of the requests for load reports that a node sends."""

from __future__ import annotations

import collections

import testtools

from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import servers
from tests.decisions import samples

SERVERS = 300
IN_USE = 12
SPAN_MS = 30_000
TICK_MS = 50
MAX_REPORTS_PER_SECOND = 10


class TestAskLoads(testtools.TestCase):
    """The rate of load requests is bounded for any number of servers.

    Without a bound, the requests of a node grow with the number of servers.
    """

    def setUp(self) -> None:
        super().setUp()
        self._state = samples.state()
        for number in range(SERVERS):
            row = samples.row(f'h{number}')
            start = clock.Instant(0, 0)
            self._state.servers.add(row, samples.VERSION, start)

    def _count_requests(self) -> collections.Counter[str]:
        asked: collections.Counter[str] = collections.Counter()
        for now in range(0, SPAN_MS, TICK_MS):
            instant = clock.Instant(now, now)
            for effect in servers.request_load_reports(self._state, instant):
                assert isinstance(effect, effects.QueryLoad)
                asked.update(target.host for target in effect.hosts)
        return asked

    def test_bounded(self) -> None:
        most = MAX_REPORTS_PER_SECOND * SPAN_MS // clock.SECOND_MS
        self.assertLessEqual(self._count_requests().total(), most)

    def test_servers_in_use_come_first(self) -> None:
        hosts_in_use = [f'h{number}' for number in range(IN_USE)]
        for host in hosts_in_use:
            self._state.servers.get(host).inflight = 1
        asked = self._count_requests()
        self.assertGreater(min(asked[host] for host in hosts_in_use), 10)
        self.assertGreater(len(asked), IN_USE)

    def test_unknown_version_comes_first(self) -> None:
        unknown = self._state.servers.get('h7')
        unknown.version = ''
        (effect,) = servers.request_load_reports(
            self._state, clock.Instant(100, 100)
        )
        self.assertEqual('h7', effect.hosts[0].host)
