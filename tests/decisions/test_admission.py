"""Tests of the request queue, the retry budgets and the backoff."""

from __future__ import annotations

import random

import testtools

from teaselbridge.decisions import admission
from teaselbridge.decisions import attempts
from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.decisions import requests
from teaselbridge.decisions import retry
from teaselbridge.tables import model
from tests.decisions import samples


def call(
    handle: int, workspace: str = 'a', priority: int = 5, deadline: int = 1_000
) -> calls.Call:
    """Build a request to an engine."""
    return calls.Call(
        handle=handle,
        key=calls.RequestKey(workspace, str(handle)),
        route=model.Route(
            name=f'r{priority}',
            match=model.Match(model='m'),
            pool='p',
            priority=priority,
        ),
        kind=model.Kind.ENGINE,
        deadline=deadline,
        path='/',
        max_tokens=10,
    )


class TestQueue(testtools.TestCase):
    """Order by priority, fair share and deadline."""

    def _serve_all(self, *waiting: calls.Call, weight: int = 1) -> list[int]:
        queue = admission.RequestQueue()
        for request in waiting:
            queue.push(request)
        served = []
        while (next_call := queue.peek('p')) is not None:
            queue.charge(next_call, weight)
            queue.remove(next_call.handle)
            served.append(next_call.handle)
        return served

    def test_priority_goes_first(self) -> None:
        self.assertEqual(
            [2, 1], self._serve_all(call(1, priority=5), call(2, priority=1))
        )

    def test_earliest_deadline_within_a_workspace(self) -> None:
        served = self._serve_all(
            call(1, deadline=300), call(2, deadline=100), call(3, deadline=200)
        )
        self.assertEqual([2, 3, 1], served)

    def test_large_workspace_does_not_starve_a_small_one(self) -> None:
        large = [call(number, 'large', deadline=1) for number in range(20)]
        small = [call(100, 'small', deadline=999)]
        served = self._serve_all(*large, *small)
        self.assertLessEqual(served.index(100), 1)

    def test_idle_time_is_not_saved_up(self) -> None:
        queue = admission.RequestQueue()
        for number in range(10):
            queue.push(call(number, 'a'))
            queue.charge(queue.peek('p'), 1)
            queue.remove(number)
        queue.push(call(50, 'a'))
        queue.push(call(51, 'a'))
        for number in range(60, 70):
            queue.push(call(number, 'b'))
        served = []
        for _ in range(4):
            next_call = queue.peek('p')
            queue.charge(next_call, 1)
            queue.remove(next_call.handle)
            served.append(next_call.key.workspace)
        self.assertIn('a', served)

    def test_last_priority_is_shed_first(self) -> None:
        queue = admission.RequestQueue()
        queue.push(call(1, priority=1))
        queue.push(call(2, priority=9))
        self.assertEqual(2, queue.find_shed_candidate().handle)


class TestBudgets(testtools.TestCase):
    """Limits on the number of retries and on their backoff."""

    def test_retries_stay_within_the_share(self) -> None:
        budgets = retry.RetryBudgets()
        route = call(1).route
        for _ in range(1_000):
            budgets.add_attempt(route)
            while budgets.try_spend(route):
                pass
        budgets = retry.RetryBudgets()
        retries = 0
        for _ in range(1_000):
            budgets.add_attempt(route)
            while budgets.try_spend(route):
                retries += 1
        most = route.retry_share * 1_000 + retry.INITIAL_BUDGET
        self.assertLessEqual(retries, most)

    def test_backoff_is_bounded(self) -> None:
        generator = random.Random(1)
        spans = [retry.backoff(20, generator) for _ in range(200)]
        self.assertLessEqual(max(spans), retry.MAX_BACKOFF_MS)


class TestServiceTime(testtools.TestCase):
    """Predictions by which new requests are refused."""

    STALL_MS = 16_000
    STREAMS = 3

    def setUp(self) -> None:
        super().setUp()
        self.state = samples.state()
        self.now = 0
        for handle in range(1, self.STREAMS + 1):
            self._start(handle)
        self._receive_tokens()
        self.now += self.STALL_MS
        self._receive_tokens()

    def _start(self, handle: int) -> None:
        started = requests.Request(
            call=call(handle), now=samples.instant(self.now)
        )
        started.phase = requests.Phase.RUNNING
        started.attempt = 1
        self.state.requests[handle] = started

    def _receive_tokens(self) -> None:
        for handle in list(self.state.requests):
            received = events.TokenReceived(handle, 1, 'x')
            attempts.token(self.state, received, samples.instant(self.now))

    def _is_refused(self, left_ms: int) -> bool:
        """Return whether a new request is refused for its deadline."""
        new = call(99, deadline=self.now + left_ms)
        now = samples.instant(self.now)
        return requests.check(self.state, new, now) is not None

    # Guards against a node that refuses all requests for ever, because a
    # stall made its times too long and no answer renews them.
    def test_outdated_times_refuse_nothing(self) -> None:
        self.state.requests.clear()
        self.assertTrue(self._is_refused(self.STALL_MS))
        self.now += admission.MAX_AGE_MS + 1
        self.assertFalse(self._is_refused(self.STALL_MS))

    def test_times_count_while_a_request_may_renew_them(self) -> None:
        self.now += admission.MAX_AGE_MS + 1
        self.assertTrue(self._is_refused(self.STALL_MS))

    def test_first_times_of_a_node_count(self) -> None:
        self.state = samples.state()
        self.assertTrue(self._is_refused(1))
