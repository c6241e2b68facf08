"""Tests of the choice of a model engine by its first token.

Load pattern: long prompts with shared heads, most of them cold at first.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

import msgspec
import testtools

from teaselbridge.decisions import calls
from teaselbridge.decisions import prefill
from teaselbridge.decisions import servers
from teaselbridge.tables import join
from teaselbridge.tables import model
from tests.decisions import samples

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states

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


def unread(
    state: states.State, server: servers.Server, call: calls.Call
) -> int:
    """Count the tokens that a server would have to read."""
    return prefill.Plan(state, call, NOW).of(server).unread


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
            server.prefill += unread(state, server, call)
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
        self.assertEqual(3_000, unread(state, home, prompt('x')))

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
        plan = prefill.Plan(state, prompt('x'), later)
        self.assertEqual(16_000, plan.of(server).unread)

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
            speed.learn('p', 20_000, 200 + prefill.FIRST_STEP_MS)
        self.assertTrue(95 < speed.of('p') <= 100)
        speed.learn('p', 10, 1)
        self.assertTrue(95 < speed.of('p') <= 100)


class TestCopies(testtools.TestCase):
    """A second home copies what the first has cached."""

    POOL = model.Pool(
        name='p',
        kind=model.Kind.RELAYED,
        versions=(),
        zones=('z',),
        engine=model.Engine(copied_per_ms=1_000.0),
    )

    def make(
        self, versions: tuple[str, str], pool: model.Pool = POOL
    ) -> tuple[states.State, servers.Server, servers.Server]:
        """Make a node that knows two servers; the first has read a head."""
        state = samples.state()
        tables = model.Tables(pools=(pool,))
        state.index = join.Index(
            configuration=model.Configuration(tables=tables)
        )
        for number, version in enumerate(versions):
            row = msgspec.structs.replace(
                samples.row(f'h{number}'), version=version
            )
            state.servers.add(row, version, NOW)
        home, other = state.servers.in_pool('p')
        state.loads.give(home.host, 'x', NOW)
        return state, home, other

    def test_cold_server_copies_a_head(self) -> None:
        state, home, other = self.make(('1', '1'))
        reading = prefill.Plan(state, prompt('x'), NOW).of(other)
        self.assertEqual(3_000, reading.unread)
        self.assertEqual(13_000, reading.copied)
        self.assertIs(home, reading.source)

    def test_home_reads_on(self) -> None:
        state, home, _ = self.make(('1', '1'))
        reading = prefill.Plan(state, prompt('x'), NOW).of(home)
        self.assertEqual(prefill.Reading(unread=3_000), reading)

    def test_leaving_server_still_gives(self) -> None:
        state, home, other = self.make(('1', '1'))
        home.leaving = True
        reading = prefill.Plan(state, prompt('x'), NOW).of(other)
        self.assertIs(home, reading.source)

    def test_caches_of_another_version_are_of_no_use(self) -> None:
        state, home, other = self.make(('1', '2'))
        reading = prefill.Plan(state, prompt('x'), NOW).of(other)
        self.assertEqual(prefill.Reading(unread=16_000), reading)

    def test_engines_that_cannot_copy(self) -> None:
        plain = dataclasses.replace(self.POOL, engine=model.Engine())
        state, _, other = self.make(('1', '1'), plain)
        reading = prefill.Plan(state, prompt('x'), NOW).of(other)
        self.assertEqual(prefill.Reading(unread=16_000), reading)

    def test_hot_head_gets_a_second_home_sooner(self) -> None:
        chosen = {}
        for name, pool in (
            ('copies', self.POOL),
            ('reads', dataclasses.replace(self.POOL, engine=model.Engine())),
        ):
            state, home, _ = self.make(('1', '1'), pool)
            home.others_prefill = 11_000
            found = state.servers.in_pool('p')
            chosen[name] = prefill.choose(state, found, prompt('x'), NOW).host
        self.assertEqual({'copies': 'h1', 'reads': 'h0'}, chosen)


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
