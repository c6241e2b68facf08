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
