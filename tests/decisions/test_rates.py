"""Tests of the rates that all nodes keep together.

Load pattern: one workspace sends many times its usual at several nodes.
"""

from __future__ import annotations

import random

import testtools

from teaselbridge.decisions import rates
from teaselbridge.peers import messages
from teaselbridge.tables import model
from tests.decisions import samples

SPAN_MS = 8_000
RATE = model.Rate(per_s=50_000, burst=50_000, in_tokens=True)
LIMIT = 9 * 50_000
SLACK = 190_000
TELL_MS = 250


def make(*, first_start: bool = True) -> rates.Rates:
    """Make the rates of a node."""
    return rates.Rates(span_ms=SPAN_MS, slack=SLACK, first_start=first_start)


def told(node: int, found: rates.Rates, now: int) -> messages.Loads:
    """Make a node's message to the others."""
    return messages.Loads(
        node=f'n{node}',
        incarnation=1,
        wall=0,
        up_ms=found.up_ms(samples.instant(now)),
        servers=(),
        demand=found.tell(samples.instant(now)),
    )


class TestRates(testtools.TestCase):
    """The sum over all nodes stays in bounds, and is used up."""

    def _play(
        self, nodes: list[rates.Rates], seconds: int, *, cut: int = 0
    ) -> list[tuple[int, int]]:
        """Send much too much to all nodes.

        :param cut: so many nodes neither tell nor hear anything.
        :return: moments and costs of what was let through.
        """
        chance = random.Random(1)
        through = []
        for now in range(0, seconds * 1_000, 10):
            call = samples.relayed(tokens_in=chance.randint(500, 40_000))
            found = chance.choice(nodes)
            alive = len(nodes)
            if not found.take(call, RATE, alive, samples.instant(now)):
                through.append((now, call.tokens_in))
            if now % TELL_MS == 0:
                for number, sender in enumerate(nodes[cut:]):
                    for hearer in nodes[cut:]:
                        if hearer is not sender:
                            hearer.hear(
                                told(number, sender, now),
                                samples.instant(now),
                            )
        return through

    def _worst(self, through: list[tuple[int, int]]) -> int:
        return max(
            sum(cost for at, cost in through if start <= at < start + SPAN_MS)
            for start, _ in through
        )

    def test_sum_stays_in_bounds_and_is_used(self) -> None:
        through = self._play([make() for _ in range(6)], 24)
        worst = self._worst(through)
        self.assertTrue(LIMIT * 0.9 < worst < LIMIT * 1.1 + SLACK, worst)

    def test_cut_off_nodes_keep_to_equal_parts(self) -> None:
        through = self._play([make() for _ in range(6)], 24, cut=2)
        worst = self._worst(through)
        self.assertLess(worst, LIMIT * 1.1 + SLACK)

    def test_all_nodes_killed_at_once(self) -> None:
        before = self._play([make() for _ in range(6)], 8)
        again = [make(first_start=False) for _ in range(6)]
        after = self._play(again, 8)
        joined = before + [(8_000 + at, cost) for at, cost in after]
        self.assertLess(self._worst(joined), LIMIT * 1.1 + SLACK)

    def test_one_node_killed_costs_the_others_nothing(self) -> None:
        nodes = [make() for _ in range(6)]
        self._play(nodes, 8)
        fresh = make(first_start=False)
        now = 8_000
        for number, sender in enumerate(nodes[1:]):
            fresh.hear(told(number, sender, now), samples.instant(now))
        later = samples.instant(now + SPAN_MS // 2)
        for number, sender in enumerate(nodes[1:]):
            fresh.hear(told(number, sender, later.mono), later)
        call = samples.relayed(tokens_in=1_000)
        self.assertEqual(0, fresh.take(call, RATE, 6, later))

    def test_wait_until_there_is_room(self) -> None:
        found = make()
        call = samples.relayed(tokens_in=LIMIT)
        self.assertEqual(0, found.take(call, RATE, 1, samples.instant(0)))
        wait = found.take(call, RATE, 1, samples.instant(100))
        self.assertEqual(rates.RETRY_MOST_MS, wait)
