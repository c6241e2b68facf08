"""Tests of the choice of a model engine by its time to first token.

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
    """Return a request whose prompt has a shared head."""
    parts = (calls.PromptPart(head, 13_000), calls.PromptPart(own, 3_000))
    return samples.relayed(parts=parts, tokens_in=16_000)


def engines(count: int = 6) -> list[servers.Server]:
    """Return idle engines."""
    return [
        servers.Server(row=samples.row(f'h{number}'), version='v', slots=64)
        for number in range(count)
    ]


def count_unread(
    state: states.State, server: servers.Server, call: calls.Call
) -> int:
    """Return the prompt tokens that a server would have to read."""
    return (
        prefill.PrefillPlan(state, call, NOW).get_work(server).uncached_tokens
    )


class TestChoice(testtools.TestCase):
    """Choice of the engine for a prompt."""

    def test_nodes_agree_on_where_a_cold_head_goes(self) -> None:
        chosen = {
            prefill.choose_engine(
                samples.state(), engines(), prompt('x'), NOW
            ).host
            for _ in range(5)
        }
        self.assertEqual(1, len(chosen))

    def test_cold_heads_are_spread(self) -> None:
        state = samples.state()
        candidates = engines()
        count: collections.Counter[str] = collections.Counter()
        for number in range(60):
            call = prompt(f'head-{number}', f'own-{number}')
            server = prefill.choose_engine(state, candidates, call, NOW)
            server.prefill += count_unread(state, server, call)
            count[server.host] += 1
        self.assertEqual(6, len(count))
        self.assertLess(max(count.values()), 14)

    def test_cached_head_attracts_its_requests(self) -> None:
        state = samples.state()
        candidates = engines()
        holder = candidates[3]
        state.loads.record_part(holder.host, 'x', NOW)
        holder.inflight = 10
        chosen = prefill.choose_engine(state, candidates, prompt('x'), NOW)
        self.assertIs(holder, chosen)
        self.assertEqual(3_000, count_unread(state, holder, prompt('x')))

    def test_backlog_moves_a_hot_head_to_another_engine(self) -> None:
        state = samples.state()
        candidates = engines()
        holder = candidates[3]
        state.loads.record_part(holder.host, 'x', NOW)
        holder.other_prefill_tokens = 60_000
        chosen = prefill.choose_engine(state, candidates, prompt('x'), NOW)
        self.assertIsNot(holder, chosen)

    def test_expired_cache_entry_is_ignored(self) -> None:
        state = samples.state()
        (server,) = engines(1)
        state.loads.record_part(server.host, 'x', NOW)
        later = samples.instant(200_000)
        plan = prefill.PrefillPlan(state, prompt('x'), later)
        self.assertEqual(16_000, plan.get_work(server).uncached_tokens)

    def test_failing_server_is_avoided(self) -> None:
        state = samples.state()
        candidates = engines(2)
        first = prefill.choose_engine(state, candidates, prompt('x'), NOW)
        first.failure_ratio = 0.5
        self.assertIsNot(
            first, prefill.choose_engine(state, candidates, prompt('x'), NOW)
        )

    def test_slow_server_is_avoided_for_a_while(self) -> None:
        state = samples.state()
        candidates = engines(2)
        first = prefill.choose_engine(state, candidates, prompt('x'), NOW)
        for _ in range(4):
            prefill.record_lag(first, 900.0, NOW)
        second = prefill.choose_engine(state, candidates, prompt('x'), NOW)
        self.assertIsNot(first, second)
        later = samples.instant(40_000)
        again = prefill.choose_engine(state, candidates, prompt('x'), later)
        self.assertIs(first, again)

    def test_speed_follows_observed_answers(self) -> None:
        speed = prefill.PrefillSpeeds()
        for _ in range(200):
            speed.record_sample('p', 20_000, 200 + prefill.FIRST_STEP_MS)
        self.assertTrue(95 < speed.get_tokens_per_ms('p') <= 100)
        speed.record_sample('p', 10, 1)
        self.assertTrue(95 < speed.get_tokens_per_ms('p') <= 100)


class TestCopies(testtools.TestCase):
    """A second engine copies the cache of the one that read the head."""

    POOL = model.Pool(
        name='p',
        kind=model.Kind.RELAYED,
        versions=(),
        zones=('z',),
        engine=model.Engine(copied_per_ms=1_000.0),
    )

    def _make_state(
        self, versions: tuple[str, str], pool: model.Pool = POOL
    ) -> tuple[states.State, servers.Server, servers.Server]:
        """Return a state and two servers, the first with a cached head."""
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
        holder, other = state.servers.in_pool('p')
        state.loads.record_part(holder.host, 'x', NOW)
        return state, holder, other

    def test_cold_server_copies_a_head(self) -> None:
        state, holder, other = self._make_state(('1', '1'))
        reading = prefill.PrefillPlan(state, prompt('x'), NOW).get_work(other)
        self.assertEqual(3_000, reading.uncached_tokens)
        self.assertEqual(13_000, reading.copied_tokens)
        self.assertIs(holder, reading.source)

    def test_holder_reads_only_the_rest(self) -> None:
        state, holder, _ = self._make_state(('1', '1'))
        reading = prefill.PrefillPlan(state, prompt('x'), NOW).get_work(holder)
        self.assertEqual(prefill.PrefillWork(uncached_tokens=3_000), reading)

    def test_leaving_server_is_still_a_copy_source(self) -> None:
        state, holder, other = self._make_state(('1', '1'))
        holder.leaving = True
        reading = prefill.PrefillPlan(state, prompt('x'), NOW).get_work(other)
        self.assertIs(holder, reading.source)

    def test_caches_of_another_version_are_not_copied(self) -> None:
        state, holder, other = self._make_state(('1', '2'))
        reading = prefill.PrefillPlan(state, prompt('x'), NOW).get_work(other)
        self.assertEqual(prefill.PrefillWork(uncached_tokens=16_000), reading)

    def test_engines_without_copies_read_the_whole_prompt(self) -> None:
        plain = dataclasses.replace(self.POOL, engine=model.Engine())
        state, _, other = self._make_state(('1', '1'), plain)
        reading = prefill.PrefillPlan(state, prompt('x'), NOW).get_work(other)
        self.assertEqual(prefill.PrefillWork(uncached_tokens=16_000), reading)

    def test_hot_head_moves_sooner_if_engines_copy(self) -> None:
        chosen = {}
        for name, pool in (
            ('copies', self.POOL),
            ('reads', dataclasses.replace(self.POOL, engine=model.Engine())),
        ):
            state, holder, _ = self._make_state(('1', '1'), pool)
            holder.other_prefill_tokens = 11_000
            candidates = state.servers.in_pool('p')
            chosen[name] = prefill.choose_engine(
                state, candidates, prompt('x'), NOW
            ).host
        self.assertEqual({'copies': 'h1', 'reads': 'h0'}, chosen)


class TestPlainServices(testtools.TestCase):
    """Choice of the server for requests without a prompt."""

    def test_least_loaded(self) -> None:
        candidates = engines(3)
        for server in candidates:
            server.slots = 6
        candidates[0].inflight = 2
        candidates[1].other_requests = 3
        chosen = prefill.choose_least_loaded(samples.state(), candidates, NOW)
        self.assertIs(candidates[2], chosen)
