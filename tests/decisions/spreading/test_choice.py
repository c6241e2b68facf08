"""Tests of the choice among servers by costs that are out of date."""

from __future__ import annotations

import collections
import random

import testtools

from teaselbridge.decisions.spreading import choice

Candidate = choice.Candidate[str]


def make(
    costs: dict[str, float],
    others: dict[str, float] | None = None,
    age_ms: float = 0.0,
) -> list[Candidate]:
    """Return candidates by their costs, others' load included."""
    return [
        choice.Candidate(
            server=name,
            cost_ms=cost,
            age_ms=age_ms,
            others_ms=(others or {}).get(name, 0.0),
        )
        for name, cost in costs.items()
    ]


def count_choices(
    candidates: list[Candidate], nodes: int = 64, draws: int = 400
) -> collections.Counter[str]:
    """Return how often each server is chosen."""
    generator = random.Random(7)
    return collections.Counter(
        choice.choose(candidates, nodes, generator).server
        for _ in range(draws)
    )


class TestSameAsBefore(testtools.TestCase):
    """The least cost is chosen where nothing is out of date."""

    def _check(self, candidates: list[Candidate], nodes: int) -> None:
        generator = random.Random(7)
        before = generator.getstate()
        chosen = choice.choose(candidates, nodes, generator)
        least = min(candidates, key=lambda item: item.cost_ms)
        self.assertIs(least, chosen)
        self.assertEqual(before, generator.getstate())

    def test_one_node(self) -> None:
        """A single node must not give way to others that do not exist."""
        costs = {'a': 100.0, 'b': 99.0}
        self._check(make(costs, {'a': 100.0}, age_ms=900.0), 1)

    def test_fresh_information(self) -> None:
        """Fresh load must count in full, however many nodes take part."""
        self._check(make({'a': 100.0, 'b': 99.0}, {'a': 100.0}), 64)

    def test_first_of_equals(self) -> None:
        """The order of equal servers is left to the caller."""
        self._check(make({'b': 5.0, 'a': 5.0}), 64)

    def test_single_candidate(self) -> None:
        """No draw is spent where there is no choice."""
        self._check(make({'a': 5.0}, age_ms=900.0), 64)


class TestLevelling(testtools.TestCase):
    """Load that others reported counts less the older it is."""

    COSTS = {'busy': 300.0, 'own': 150.0}
    OTHERS = {'busy': 300.0}

    def test_recent_report_is_followed(self) -> None:
        """A queue that others reported just now must be avoided."""
        candidates = make(self.COSTS, self.OTHERS, age_ms=20.0)
        self.assertEqual({'own'}, set(count_choices(candidates)))

    def test_old_report_does_not_outweigh_own_load(self) -> None:
        """All nodes would leave a server at once long after its queue."""
        candidates = make(
            {'busy': 300.0, 'own': 200.0}, self.OTHERS, age_ms=1_400.0
        )
        self.assertEqual({'busy'}, set(count_choices(candidates)))

    def test_long_queue_is_not_levelled_away(self) -> None:
        """A server cannot have done more work than its age allows."""
        candidates = make(
            {'busy': 4_000.0, 'a': 0.0, 'b': 0.0}, {'busy': 4_000.0}, 900.0
        )
        self.assertEqual(3_100.0, choice.level_costs(candidates)[0])

    def test_total_is_kept(self) -> None:
        """Levelling must not change the mean of the predictions."""
        candidates = make(
            {'a': 80.0, 'b': 20.0, 'c': 50.0},
            {'a': 70.0, 'b': 0.0, 'c': 5.0},
            age_ms=600.0,
        )
        costs = choice.level_costs(candidates)
        self.assertAlmostEqual(150.0, sum(costs))
        self.assertLess(max(costs) - min(costs), 60.0)

    def test_cache_is_followed_at_any_age(self) -> None:
        """Spreading must not send a prompt away from its cached head."""
        candidates = make({'cached': 93.0, 'x': 425.0, 'y': 425.0}, {}, 1_500)
        self.assertEqual({'cached'}, set(count_choices(candidates)))

    def test_ages_of_each_server_count(self) -> None:
        """What is known of one server may be older than of the others."""
        old, recent = (
            choice.Candidate(
                server=name, cost_ms=300.0, age_ms=age_ms, others_ms=300.0
            )
            for name, age_ms in (('old', 1_500.0), ('recent', 10.0))
        )
        idle = choice.Candidate(server='idle', cost_ms=0.0, age_ms=10.0)
        costs = choice.level_costs([old, recent, idle])
        self.assertLess(costs[0], costs[1])


class TestDraw(testtools.TestCase):
    """Nodes that know the same do not all choose the same server."""

    def test_equal_servers_are_drawn_evenly(self) -> None:
        """All nodes would fill the first of several equal servers."""
        counts = count_choices(make(dict.fromkeys('abcd', 9.0), {}, 700))
        self.assertEqual(4, len(counts))
        self.assertLess(max(counts.values()), 130)

    def test_lower_cost_is_chosen_more_often(self) -> None:
        """The draw must not make load even by ignoring costs."""
        counts = count_choices(make({'a': 10.0, 'b': 16.0}, {}, 700))
        self.assertGreater(counts['a'], 2 * counts['b'])
        self.assertGreater(counts['b'], 0)

    def test_dear_servers_are_not_drawn(self) -> None:
        """One slow server must never get a request by bad luck."""
        counts = count_choices(make({'a': 10.0, 'b': 60.0}, {}, 1_500), 64)
        self.assertEqual({'a'}, set(counts))

    def test_same_generator_gives_the_same_choice(self) -> None:
        """A decision is repeatable from the seed of the node."""
        candidates = make(dict.fromkeys('abcd', 9.0), {}, 700)
        first, second = (count_choices(candidates) for _ in range(2))
        self.assertEqual(first, second)
