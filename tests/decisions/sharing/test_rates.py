"""Tests of the distributed rate limits of workspaces.

Load pattern: one workspace sends many times its usual traffic to several
nodes.
"""

from __future__ import annotations

import dataclasses
import random

import testtools

from teaselbridge.decisions.sharing import rates
from teaselbridge.peers import messages
from teaselbridge.tables import model
from tests.decisions import samples

SPAN_MS = 8_000
RATE = model.Rate(per_s=50_000, burst=50_000, in_tokens=True)
LIMIT = 9 * 50_000
TOLERANCE = rates.Tolerance(span_ms=SPAN_MS, excess=0.1, slack=190_000)
MAX_TOLERATED = LIMIT * 1.1 + 190_000
REPORT_INTERVAL_MS = 250
MAX_REQUEST_TOKENS = 40_000


def make_report(
    node: int, limiter: rates.RateLimiter, incarnation: int = 1
) -> messages.Loads:
    """Return the report of a node to the others."""
    return messages.Loads(
        node=f'n{node}',
        incarnation=incarnation,
        wall=0,
        servers=(),
        demand=limiter.get_demand(samples.instant(0)),
    )


class TestRates(testtools.TestCase):
    """The sum over all nodes stays within the limit and makes use of it."""

    def _simulate(
        self,
        nodes: list[rates.RateLimiter],
        seconds: int,
        *,
        cut: int = 0,
        times: float = 8.0,
        rate: model.Rate = RATE,
        largest: int = MAX_REQUEST_TOKENS,
    ) -> list[tuple[int, int]]:
        """Send requests to random nodes, starting after three seconds.

        :param seconds: how long requests are sent.
        :param cut: number of nodes that are partitioned from then on: they
            neither send nor receive reports.
        :param times: offered load, as a multiple of the rate.
        :param rate: rate limit of the workspace.
        :param largest: maximum number of tokens of a request.
        :return: time and cost of each admitted request.
        """
        size_random = random.Random(1)
        node_random = random.Random(2)
        admitted = []
        asked: list[int] = []
        interval_ms = (500 + largest) / 2 / (rate.per_s * times / 1_000)
        due = 3_000.0
        for now in range(0, 3_000 + seconds * 1_000, 10):
            while due <= now:
                due += interval_ms
                number = len(asked)
                asked.append(number)
                call = samples.relayed(
                    number, tokens_in=size_random.randint(500, largest)
                )
                limiter = node_random.choice(nodes)
                if not limiter.admit(call, rate, samples.instant(now)):
                    admitted.append((now, call.tokens_in))
            if now % REPORT_INTERVAL_MS == 0:
                first = cut if now >= 3_000 else 0
                for number, sender in enumerate(nodes[first:]):
                    for receiver in nodes[first:]:
                        if receiver is not sender:
                            message = make_report(first + number, sender)
                            receiver.merge_report(
                                message, samples.instant(now)
                            )
        return admitted

    def _max_in_window(self, admitted: list[tuple[int, int]]) -> int:
        return max(
            sum(cost for at, cost in admitted if start <= at < start + SPAN_MS)
            for start, _ in admitted
        )

    def _make_nodes(
        self, *, first_start: bool = True, count: int = 6
    ) -> list[rates.RateLimiter]:
        return [
            rates.RateLimiter(first_start=first_start, tolerance=TOLERANCE)
            for _ in range(count)
        ]

    def test_sum_stays_within_the_limit_and_uses_it(self) -> None:
        max_spent = self._max_in_window(self._simulate(self._make_nodes(), 24))
        self.assertTrue(LIMIT < max_spent < MAX_TOLERATED, max_spent)

    # Guards against a burst that each node grants in turn, as its bucket is
    # refilled for the quiet time behind what the others granted.
    def test_burst_after_a_quiet_time(self) -> None:
        for visited_count in (0, 1, 6):
            nodes = self._make_nodes()
            admitted: list[tuple[int, int]] = []
            # Each node gets requests of its own for a second.
            turns = {
                at: (at - 34_000) // 1_000 for at in range(34_000, 40_000, 10)
            }
            for now in range(0, 40_000, 10):
                visited = []
                if now == 3_000:
                    visited = nodes[:visited_count]
                elif now in turns:
                    visited = [nodes[turns[now]]]
                for limiter in visited:
                    call = samples.relayed(now, tokens_in=5_000)
                    if not limiter.admit(call, RATE, samples.instant(now)):
                        admitted.append((now, 5_000))
                if now % REPORT_INTERVAL_MS == 0:
                    self._exchange(nodes, now)
            spent = self._max_in_window(admitted)
            self.assertTrue(LIMIT / 2 < spent < MAX_TOLERATED, spent)

    def _exchange(self, nodes: list[rates.RateLimiter], now: int) -> None:
        """Let all nodes report to each other."""
        for number, sender in enumerate(nodes):
            message = make_report(number, sender)
            for receiver in nodes:
                if receiver is not sender:
                    receiver.merge_report(
                        message, samples.instant(now), lambda _: RATE
                    )

    def test_low_rate_with_much_higher_load_on_nine_nodes(self) -> None:
        for per_s in (5_000, 20_000):
            rate = model.Rate(per_s=per_s, burst=per_s, in_tokens=True)
            admitted = self._simulate(
                self._make_nodes(count=9),
                24,
                times=16.0,
                rate=rate,
                largest=60_000,
            )
            max_spent = self._max_in_window(admitted)
            self.assertLess(max_spent, 9 * per_s * 1.1 + 190_000)

    def test_restarted_node_refills_from_its_start(self) -> None:
        (limiter,) = self._make_nodes(first_start=False, count=1)
        limiter.record_start(samples.instant(0), 0)
        call = samples.relayed(tokens_in=RATE.per_s)
        self.assertEqual(0, limiter.admit(call, RATE, samples.instant(1_000)))
        self.assertGreater(
            limiter.admit(call, RATE, samples.instant(1_000)), 0
        )

    def test_nodes_that_start_together_share_the_rate(self) -> None:
        nodes = self._make_nodes(first_start=False, count=9)
        for limiter in nodes:
            limiter.record_start(samples.instant(0), 8)
        spent = 0
        for number in range(2_000):
            call = samples.relayed(number, tokens_in=5_000)
            limiter = nodes[number % 9]
            at = samples.instant(number // 2)
            if not limiter.admit(call, RATE, at):
                spent += call.tokens_in
        # One second of the rate with its share of the slack, and one request
        # per node.
        self.assertLess(spent, 1.25 * RATE.per_s + 9 * 5_000)

    def test_first_report_counts_only_from_a_young_node(self) -> None:
        for age, refused in ((900, True), (60_000, False)):
            peer = rates.RateLimiter(first_start=True)
            peer.admit(
                samples.relayed(tokens_in=45_000), RATE, samples.instant(0)
            )
            limiter = rates.RateLimiter()
            limiter.record_start(samples.instant(0), 1)
            message = dataclasses.replace(
                make_report(1, peer), wall=100_000, incarnation=100_000 - age
            )
            limiter.merge_report(message, samples.instant(600))
            call = samples.relayed(tokens_in=20_000)
            wait = limiter.admit(call, RATE, samples.instant(1_000))
            self.assertEqual(refused, wait > 0)

    def test_rate_is_available_in_every_second(self) -> None:
        admitted = self._simulate(self._make_nodes(), 24)
        # A request of the largest size may lie just outside either edge of
        # the window.
        for start in range(5_000, 22_000, 1_000):
            spent = sum(
                cost for at, cost in admitted if start <= at < start + 4_000
            )
            self.assertGreater(spent, 4 * RATE.per_s - 2 * MAX_REQUEST_TOKENS)

    def test_nodes_admit_as_much_as_one_bucket(self) -> None:
        for times in (0.55, 1.0, 4.0):
            one = self._simulate(self._make_nodes()[:1], 24, times=times)
            all_six = self._simulate(self._make_nodes(), 24, times=times)
            ideal = sum(cost for _, cost in one)
            spent = sum(cost for _, cost in all_six)
            self.assertTrue(0.95 < spent / ideal < 1.15, (times, spent, ideal))

    def test_large_requests_are_not_starved(self) -> None:
        nodes = [rates.RateLimiter(first_start=True) for _ in range(6)]
        admitted = self._simulate(nodes, 24, times=8.0)
        large = sum(cost > MAX_REQUEST_TOKENS / 2 for _, cost in admitted)
        self.assertGreater(large, 0.4 * len(admitted))

    def test_partitioned_nodes_keep_to_their_share(self) -> None:
        max_spent = self._max_in_window(
            self._simulate(self._make_nodes(), 8, cut=2)
        )
        self.assertLess(max_spent, MAX_TOLERATED)

    def test_restart_of_all_nodes_stays_within_the_limit(self) -> None:
        before = self._simulate(self._make_nodes(), 8)
        after = self._simulate(self._make_nodes(first_start=False), 8)
        joined = before + [(8_000 + at, cost) for at, cost in after]
        self.assertLess(self._max_in_window(joined), MAX_TOLERATED)

    def test_restarted_peer_counts_from_zero(self) -> None:
        rate = model.Rate(per_s=0.001, burst=50_000, in_tokens=True)
        limiter = rates.RateLimiter(first_start=True)
        peer = rates.RateLimiter(first_start=True)
        now = samples.instant(0)
        call = samples.relayed(tokens_in=10_000)
        peer.admit(call, rate, now)
        limiter.admit(call, rate, now)
        limiter.merge_report(make_report(1, peer), now)
        spent = 0
        for number in range(1, 10):
            now = samples.instant(3_000 * number)
            limiter.merge_report(make_report(1, peer, 2), now)
            spent += not limiter.admit(call, rate, now)
        # 50,000 minus one request of its own and one that the peer admitted
        # in its second incarnation.
        self.assertEqual(3, spent)

    def test_reports_before_the_first_request_count(self) -> None:
        limiter = rates.RateLimiter(first_start=True)
        peer = rates.RateLimiter(first_start=True)
        now = samples.instant(0)
        limiter.merge_report(make_report(1, peer), now)
        peer.admit(samples.relayed(tokens_in=45_000), RATE, now)
        limiter.merge_report(make_report(1, peer), now)
        call = samples.relayed(tokens_in=20_000)
        self.assertNotEqual(0, limiter.admit(call, RATE, now))

    def test_single_node_uses_the_whole_burst(self) -> None:
        rate = model.Rate(per_s=0.001, burst=10)
        for run in range(50):
            limiter = rates.RateLimiter(first_start=True)
            admitted = sum(
                not limiter.admit(
                    samples.relayed(100 * run + number),
                    rate,
                    samples.instant(0),
                )
                for number in range(14)
            )
            self.assertEqual(10, admitted)

    # Guards against delays that the caller does not honour.
    def test_retry_delay_is_at_most_a_third_of_the_time_left(self) -> None:
        limiter = rates.RateLimiter(first_start=True)
        call = samples.relayed(tokens_in=10 * LIMIT, deadline=6_100)
        self.assertEqual(0, limiter.admit(call, RATE, samples.instant(0)))
        wait = limiter.admit(call, RATE, samples.instant(100))
        self.assertEqual(2_000, wait)


class TestRemovedNodes(testtools.TestCase):
    """A node that is removed counts once, whatever it still reports.

    Load pattern: nodes that are stopped one after the other report until
    they have ended, after the others have removed them.
    """

    def setUp(self) -> None:
        super().setUp()
        self.limiter = rates.RateLimiter(first_start=True)
        self.limiter.record_start(samples.instant(0), 1)
        self._admit(1, 0)

    def _admit(self, handle: int, at: int, tokens: int = 1_000) -> int:
        call = samples.relayed(handle, tokens_in=tokens)
        return self.limiter.admit(call, RATE, samples.instant(at))

    def _report(self, spent: int, at: int, incarnation: int = 1) -> None:
        demand = messages.Demand(workspace='w', spent=spent, asked=(0,))
        report = messages.Loads(
            node='other',
            incarnation=incarnation,
            wall=0,
            servers=(),
            demand=(demand,),
        )
        self.limiter.merge_report(report, samples.instant(at))

    def _remove_node(self, spent: int) -> None:
        """Let the other node report once, and remove it when all is full."""
        self._report(spent, 3_000)
        self.limiter.forget_peers(['other'])
        self._admit(2, 19_999)

    # Guards against a bucket that is overdrawn by all that a stopping node
    # ever spent, so that its workspace is refused for seconds.
    def test_late_report_is_not_counted_again(self) -> None:
        self._remove_node(200_000)
        self._report(201_000, 20_000)
        self.assertEqual(0, self._admit(3, 20_001))

    def test_late_report_counts_what_is_new(self) -> None:
        self._remove_node(10_000)
        self._report(210_000, 20_000)
        self.assertGreater(self._admit(3, 20_001), 0)

    # Guards against a restarted node that may spend without being counted.
    def test_restarted_node_counts_from_its_start(self) -> None:
        self._remove_node(10_000)
        self._report(200_000, 20_000, incarnation=2)
        self.assertGreater(self._admit(3, 20_001), 0)
