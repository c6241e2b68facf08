"""Tests of the choice when updates of other nodes are missing or wrong."""

from __future__ import annotations

import collections
import dataclasses
import random

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import loads
from teaselbridge.decisions import members
from teaselbridge.decisions import prefill
from teaselbridge.decisions import servers
from teaselbridge.decisions import state as states
from teaselbridge.peers import messages
from tests.decisions import samples

NODES = 8
ENGINES = 6
BOUNDS = bounds.Bounds()


def make_node(name: str, zone: str = 'z') -> messages.Member:
    """Return a live node that takes callers."""
    return messages.Member(
        name=name,
        incarnation=1,
        status=messages.Status.ALIVE,
        peers=f'{name}:1',
        callers='',
        admin='',
        zone=zone,
        region='r',
    )


def make_state(nodes: int = NODES) -> states.State:
    """Return the state of one of some active nodes, with idle engines."""
    state = samples.state(BOUNDS)
    for number in range(nodes - 1):
        name = f'm{number}'
        state.membership.peers[name] = members.Peer(make_node(name), 0)
    names = {f'm{number}' for number in range(nodes - 1)} | {'n'}
    state.active = dataclasses.replace(
        state.active, names=frozenset(names), next_refresh_at=10**9
    )
    for number in range(ENGINES):
        server = state.servers.add(
            samples.row(f'h{number}'), samples.VERSION, samples.instant(0)
        )
        server.slots = 64
    return state


def hear(
    state: states.State,
    name: str,
    mono: int,
    prefill_by_host: dict[str, int] | None = None,
) -> None:
    """Pass an update of another node to the state."""
    now = samples.instant(mono)
    message = messages.Loads(
        node=name,
        incarnation=1,
        wall=now.wall,
        servers=tuple(
            messages.ServerLoad(host=host, running=1, prefill=tokens)
            for host, tokens in (prefill_by_host or {}).items()
        ),
    )
    loads.handle_loads(state, message, now)


def choose(state: states.State, mono: int, head: str = 'x') -> servers.Server:
    """Return the engine that is chosen for a prompt."""
    parts = (calls.PromptPart(head, 13_000), calls.PromptPart('own', 3_000))
    call = samples.relayed(parts=parts, tokens_in=16_000)
    candidates = state.servers.in_pool('p')
    return prefill.choose_engine(
        state, candidates, call, samples.instant(mono)
    )


class TestFailures(testtools.TestCase):
    """Updates of other nodes that are missing, old or wrong."""

    def _tick(self, state: states.State, mono: int) -> None:
        loads.tick(state, samples.instant(mono))

    def _hear_all(
        self, state: states.State, mono: int, count: int = NODES - 1
    ) -> None:
        for number in range(count):
            hear(state, f'm{number}', mono)

    def test_age_follows_the_updates(self) -> None:
        """The age would be wrong if it counted from the first update."""
        state = make_state()
        self._tick(state, 1_000)
        self._hear_all(state, 1_100)
        self._tick(state, 1_300)
        self.assertEqual(200, state.loads.age_ms)
        self._hear_all(state, 1_400)
        self._tick(state, 1_600)
        self.assertEqual(200, state.loads.age_ms)

    def test_silent_node(self) -> None:
        """A node that reports nothing for 2 s must not hold a server.

        Its old queue is dropped, and it counts as unknown from then on.
        """
        state = make_state()
        first = choose(state, 1_000)
        self._hear_all(state, 1_000)
        hear(state, 'm0', 1_000, {first.host: 200_000})
        self._tick(state, 1_000)
        self.assertIsNot(first, choose(state, 1_000))
        for mono in range(1_250, 3_001, 250):
            for number in range(1, NODES - 1):
                hear(state, f'm{number}', mono)
            self._tick(state, mono)
        self.assertEqual(0, first.other_prefill_tokens)
        expected = loads.UPDATE_STALE_TIMEOUT_MS / (NODES - 1)
        self.assertAlmostEqual(expected, state.loads.age_ms)

    def test_node_returns_with_earlier_counts(self) -> None:
        """An update that repeats old counts must replace, not add to them."""
        state = make_state()
        self._tick(state, 1_000)
        self._hear_all(state, 1_000)
        for mono in (1_100, 3_000, 3_050):
            hear(state, 'm0', mono, {'h1': 90_000})
            server = state.servers.get('h1')
            assert server is not None
            self.assertEqual(90_000, server.other_prefill_tokens)
        hear(state, 'm0', 3_300)
        self._tick(state, 3_300)
        self.assertEqual(0, server.other_prefill_tokens)

    def test_half_unheard(self) -> None:
        """Half of the load is unknown, so the known half counts for less.

        Requests still reach all engines, by the node's own load.
        """
        state = make_state(21)
        self._tick(state, 1_000)
        for mono in range(1_250, 4_001, 250):
            for number in range(10):
                hear(state, f'm{number}', mono, {'h0': 4_000})
            self._tick(state, mono)
        self.assertEqual(loads.UPDATE_STALE_TIMEOUT_MS / 2, state.loads.age_ms)
        counts: collections.Counter[str] = collections.Counter()
        for number in range(60):
            server = choose(state, 4_000, f'head-{number}')
            server.prefill += 16_000
            counts[server.host] += 1
        self.assertEqual(ENGINES, len(counts))
        self.assertLess(max(counts.values()), 14)
        self.assertGreater(counts['h0'], 4)

    def test_long_queue_is_avoided_though_most_are_unheard(self) -> None:
        """A server cannot have read in 1.5 s what takes it 5 s."""
        state = make_state()
        first = choose(state, 1_000)
        hear(state, 'm0', 1_000, {first.host: 200_000})
        self._tick(state, 1_000)
        self.assertGreater(state.loads.age_ms, 1_200)
        self.assertIsNot(first, choose(state, 1_000))

    def test_none_heard(self) -> None:
        """A node that hears nobody serves by what it knows itself."""
        state = make_state()
        self._tick(state, 1_000)
        self.assertEqual(loads.UPDATE_STALE_TIMEOUT_MS, state.loads.age_ms)
        first = choose(state, 1_000)
        first.prefill = 60_000
        self.assertIsNot(first, choose(state, 1_000))

    def test_new_server_is_not_overrun(self) -> None:
        """All nodes see a new server idle, and must not all choose it.

        It gets its share, rather than every request until the next updates.
        """
        state = make_state()
        self._tick(state, 1_000)
        busy = {f'h{number}': 12_000 for number in range(ENGINES)}
        self._hear_all(state, 1_000)
        hear(state, 'm0', 1_000, busy)
        state.servers.add(
            samples.row('new'), samples.VERSION, samples.instant(1_000)
        )
        state.loads.age_ms = 900.0
        chosen = collections.Counter(
            choose(state, 1_000, f'head-{number}').host
            for number in range(200)
        )
        self.assertGreater(chosen['new'], 10)
        self.assertLess(chosen['new'], 60)
        state.loads.age_ms = 0.0
        chosen = collections.Counter(
            choose(state, 1_000, f'head-{number}').host
            for number in range(200)
        )
        self.assertEqual(200, chosen['new'])

    def test_second_node_finds_a_shared_head(self) -> None:
        """Nodes that have not heard of each other agree on a cold head."""
        agreed = 0
        for number in range(100):
            first, second = make_state(), make_state()
            for seed, state in enumerate((first, second)):
                state.random = random.Random(1_000 * number + seed)
                self._tick(state, 1_000)
            head = f'head-{number}'
            agreed += (
                choose(first, 1_000, head).host
                == choose(second, 1_000, head).host
            )
        self.assertGreater(agreed, 70)

    def test_node_without_updates_by_design(self) -> None:
        """Without the users' platform no updates come, and none are old."""
        state = samples.state()
        loads.tick(state, samples.instant(1_000))
        self.assertEqual(0, state.loads.age_ms)
