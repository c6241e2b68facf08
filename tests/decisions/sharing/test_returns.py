"""Tests of the time after which a refused caller should return."""

from __future__ import annotations

import testtools

from teaselbridge.decisions.sharing import returns


class TestReturns(testtools.TestCase):
    """Callers return when the refill covers their requests."""

    def test_lone_request_returns_when_its_tokens_are_there(self) -> None:
        for draw in (0.0, 1.0):
            found = returns.compute_return_ms(10_000, 50_000, 0, draw)
            self.assertEqual(200, found)

    # Guards against callers that were refused together and return together.
    def test_waiting_requests_are_spread_over_the_refill(self) -> None:
        found = [
            returns.compute_return_ms(10_000, 50_000, 100_000, draw / 4)
            for draw in range(5)
        ]
        self.assertEqual([200, 700, 1_200, 1_700, 2_200], found)

    # Guards against a delay of 0, which means that a request is admitted.
    def test_delay_is_positive_and_bounded(self) -> None:
        self.assertEqual(1, returns.compute_return_ms(-5, 50_000, -5, 1.0))
        for refill_per_s in (0.0, 1e-9):
            found = returns.compute_return_ms(10, refill_per_s, 0, 0.5)
            self.assertEqual(returns.MAX_RETURN_MS, found)

    # Guards against delays that the caller does not honour.
    def test_delay_is_at_most_a_third_of_the_time_left(self) -> None:
        self.assertEqual(500, returns.cap_return_ms(500, 6_000))
        self.assertEqual(2_000, returns.cap_return_ms(5_000, 6_000))
        self.assertEqual(1, returns.cap_return_ms(5_000, 0))


class TestGoals(testtools.TestCase):
    """Callers return while they can still be served in time."""

    REFILL_PER_S = 40_000.0

    def _compute(self, needed: float, goal_ms: int, draw: float) -> int:
        waiting = returns.limit_waiting(
            400_000.0, needed, self.REFILL_PER_S, goal_ms
        )
        return returns.compute_return_ms(
            needed, self.REFILL_PER_S, waiting, draw
        )

    # Guards against callers of a workspace with several times its rate that
    # are told to return when their answer is late in any case.
    def test_return_is_within_half_of_the_goal(self) -> None:
        times = [self._compute(10_000, 1_000, draw / 10) for draw in range(11)]
        self.assertEqual((250, 500), (times[0], times[-1]))
        self.assertEqual(sorted(set(times)), times)

    # Guards against a return before the tokens of the request are there.
    def test_request_whose_tokens_come_later(self) -> None:
        self.assertEqual(750, self._compute(30_000, 1_000, 0.0))
        self.assertEqual(10_750, self._compute(30_000, 1_000, 1.0))

    def test_route_without_a_goal(self) -> None:
        self.assertEqual(10_250, self._compute(10_000, 0, 1.0))
