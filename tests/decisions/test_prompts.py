"""Tests of where a prompt's KV cache is taken from."""

from __future__ import annotations

import testtools

from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import placement
from teaselbridge.decisions import prompts
from teaselbridge.decisions import requests
from teaselbridge.decisions import servers
from tests.decisions import samples

PREFIX = 11
NOW = clock.Instant(100_000, 100_000)


class TestSource(testtools.TestCase):
    """Caches come from the prompt's home, where that is another server."""

    def setUp(self) -> None:
        super().setUp()
        self._state = samples.state()
        added = [self._add(f'h{number}') for number in range(3)]
        self._home, self._next, self._last = placement.order(added, PREFIX)

    def _add(self, host: str, since: int = 0) -> servers.Server:
        row = samples.row(host)
        then = clock.Instant(since, since)
        return self._state.servers.add(row, samples.VERSION, then)

    def _source(
        self, server: servers.Server, size: int = 5_000
    ) -> effects.Target | None:
        call = samples.call(PREFIX, size)
        request = requests.Request(call=call, now=NOW)
        return prompts.source(self._state, request, server, NOW)

    def test_home_needs_none(self) -> None:
        self.assertIsNone(self._source(self._home))

    def test_elsewhere_takes_it_from_home_once(self) -> None:
        found = self._source(self._next)
        self.assertEqual(self._home.host, found.host)
        self.assertIsNone(self._source(self._next))

    def test_short_prompts_are_computed(self) -> None:
        self.assertIsNone(self._source(self._next, size=100))

    def test_leaving_home_gives_until_it_goes(self) -> None:
        self._home.leaving = True
        self._home.gone_at = NOW.mono + 2_000
        self.assertEqual(self._home.host, self._source(self._next).host)
        self._home.gone_at = NOW.mono + 100
        self.assertEqual(self._next.host, self._source(self._last).host)

    def test_other_version_gives_nothing(self) -> None:
        self._home.version = 'old'
        self.assertIsNone(self._source(self._next))

    def test_new_server_takes_over_from_the_home_before(self) -> None:
        names = (f'new{number}' for number in range(100))
        new = next(
            server
            for server in (self._add(name, NOW.mono - 10) for name in names)
            if placement.order([server, self._home], PREFIX)[0] is server
        )
        self.assertEqual(self._home.host, self._source(new).host)
