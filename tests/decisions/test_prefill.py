"""Tests of the choice of a model engine by its first token.

Load pattern: long prompts with shared heads, most of them cold at first.
"""

from __future__ import annotations

import collections

import testtools

from teaselbridge.decisions import calls
from teaselbridge.decisions import prefill
from teaselbridge.decisions import servers
from tests.decisions import samples

NOW = samples.instant(1_000)


def prompt(head: str, own: str = 'own') -> calls.Call:
    """Make a request with a shared head."""
    parts = (calls.PromptPart(head, 13_000), calls.PromptPart(own, 3_000))
    return samples.relayed(parts=parts, tokens_in=16_000)


def engines(count: int = 6) -> list[servers.Server]:
    """Make idle engines."""
    return [
        servers.Server(row=samples.row(f'h{number}'), version='v', slots=64)
        for number in range(count)
    ]


class TestChoice(testtools.TestCase):
    """Where a prompt goes."""

    def test_nodes_agree_on_where_a_cold_head_goes(self) -> None:
        chosen = {
            prefill.choose(samples.state(), engines(), prompt('x'), NOW).host
            for _ in range(5)
        }
        self.assertEqual(1, len(chosen))

    def test_cold_heads_are_spread(self) -> None:
        state = samples.state()
        found = engines()
        count: collections.Counter[str] = collections.Counter()
        for number in range(60):
            call = prompt(f'head-{number}', f'own-{number}')
            server = prefill.choose(state, found, call, NOW)
            server.prefill += prefill.unread(state, server, call, NOW)
            count[server.host] += 1
        self.assertEqual(6, len(count))
        self.assertLess(max(count.values()), 14)

    def test_head_that_was_read_draws_its_requests(self) -> None:
        state = samples.state()
        found = engines()
        home = found[3]
        state.loads.give(home.host, 'x', NOW)
        home.inflight = 10
        chosen = prefill.choose(state, found, prompt('x'), NOW)
        self.assertIs(home, chosen)
        self.assertEqual(3_000, prefill.unread(state, home, prompt('x'), NOW))

    def test_backlog_gives_a_hot_head_a_second_home(self) -> None:
        state = samples.state()
        found = engines()
        home = found[3]
        state.loads.give(home.host, 'x', NOW)
        home.others_prefill = 60_000
        chosen = prefill.choose(state, found, prompt('x'), NOW)
        self.assertIsNot(home, chosen)

    def test_old_knowledge_does_not_count(self) -> None:
        state = samples.state()
        (server,) = engines(1)
        state.loads.give(server.host, 'x', NOW)
        later = samples.instant(200_000)
        unread = prefill.unread(state, server, prompt('x'), later)
        self.assertEqual(16_000, unread)

    def test_failing_server_is_passed_by(self) -> None:
        state = samples.state()
        found = engines(2)
        first = prefill.choose(state, found, prompt('x'), NOW)
        first.failing = 0.5
        self.assertIsNot(first, prefill.choose(state, found, prompt('x'), NOW))

    def test_slow_server_is_passed_by_for_a_while(self) -> None:
        state = samples.state()
        found = engines(2)
        first = prefill.choose(state, found, prompt('x'), NOW)
        for _ in range(4):
            prefill.see_lag(first, 900.0, NOW)
        second = prefill.choose(state, found, prompt('x'), NOW)
        self.assertIsNot(first, second)
        later = samples.instant(40_000)
        again = prefill.choose(state, found, prompt('x'), later)
        self.assertIs(first, again)

    def test_speed_follows_what_answers_show(self) -> None:
        speed = prefill.Speed()
        for _ in range(200):
            speed.learn('p', 20_000, 200)
        self.assertTrue(95 < speed.of('p') <= 100)
        speed.learn('p', 10, 1)
        self.assertTrue(95 < speed.of('p') <= 100)


class TestPlainServices(testtools.TestCase):
    """Where work without a prompt goes."""

    def test_least_loaded(self) -> None:
        found = engines(3)
        for server in found:
            server.slots = 6
        found[0].inflight = 2
        found[1].others = 3
        chosen = prefill.least_loaded(samples.state(), found, NOW)
        self.assertIs(found[2], chosen)
