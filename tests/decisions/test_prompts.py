"""Tests of the choice of a source for a prompt's KV cache."""

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
    """Caches come from the prompt's preferred server, if it is another."""

    def setUp(self) -> None:
        super().setUp()
        self._state = samples.state()
        added = [self._add(f'h{number}') for number in range(3)]
        self._preferred, self._second, self._third = placement.order(
            added, PREFIX
        )

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

    def test_preferred_server_needs_no_transfer(self) -> None:
        self.assertIsNone(self._source(self._preferred))

    def test_other_server_fetches_the_cache_once(self) -> None:
        found = self._source(self._second)
        self.assertEqual(self._preferred.host, found.host)
        self.assertIsNone(self._source(self._second))

    def test_short_prompts_are_computed_again(self) -> None:
        self.assertIsNone(self._source(self._second, size=100))

    def test_leaving_server_is_a_source_until_it_is_gone(self) -> None:
        self._preferred.leaving = True
        self._preferred.reclaimed_at = NOW.mono + 2_000
        self.assertEqual(self._preferred.host, self._source(self._second).host)
        self._preferred.reclaimed_at = NOW.mono + 100
        self.assertEqual(self._second.host, self._source(self._third).host)

    def test_other_version_is_no_source(self) -> None:
        self._preferred.version = 'old'
        self.assertIsNone(self._source(self._second))

    def test_new_server_fetches_from_the_previous_server(self) -> None:
        names = (f'new{number}' for number in range(100))
        new = next(
            server
            for server in (self._add(name, NOW.mono - 10) for name in names)
            if placement.order([server, self._preferred], PREFIX)[0] is server
        )
        self.assertEqual(self._preferred.host, self._source(new).host)
