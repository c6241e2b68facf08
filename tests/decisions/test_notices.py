"""Tests of the notices that backend servers put in their answers."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import notices
from teaselbridge.decisions import reducer
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import requests
from tests.decisions import samples


class TestLeaving(testtools.TestCase):
    """A server that says that it is leaving gets no further requests."""

    def setUp(self) -> None:
        super().setUp()
        self.state = samples.state()
        self.now = samples.instant(0)
        self.server = self.state.servers.add(
            samples.row('i@1'), samples.VERSION, self.now
        )

    def _notice(self, host: str) -> list[effects.Effect]:
        event = events.ServerNoticed(host=host, leaving=True)
        return reducer.reduce(self.state, event, self.now)

    def test_server_is_not_usable(self) -> None:
        self._notice('i@1')
        self.assertEqual([], self.state.servers.usable('p', self.now))

    def test_other_nodes_are_told(self) -> None:
        self._notice('i@1')
        self.assertTrue(self.state.membership.updates.has_new)

    def test_late_answer_of_an_earlier_lifetime_has_no_effect(self) -> None:
        self.state.servers.remove('i@1')
        self.state.servers.add(samples.row('i@2'), samples.VERSION, self.now)
        self._notice('i@1')
        (usable,) = self.state.servers.usable('p', self.now)
        self.assertEqual('i@2', usable.host)


class TestBackoff(testtools.TestCase):
    """A server that asks for no requests gets none for that time."""

    def setUp(self) -> None:
        super().setUp()
        self.state = samples.state()
        now = samples.instant(0)
        for host in ('a', 'b'):
            self.state.servers.add(samples.row(host), samples.VERSION, now)

    def _back_off(
        self, host: str, backoff_ms: int, at: int = 0, detail: str = ''
    ) -> list[effects.Effect]:
        event = events.ServerNoticed(
            host=host, backoff_ms=backoff_ms, detail=detail
        )
        return reducer.reduce(self.state, event, samples.instant(at))

    def _list_usable(self, at: int) -> list[str]:
        usable = self.state.servers.usable('p', samples.instant(at))
        return [server.host for server in usable]

    def _check_waiting(self, at: int, **route: object) -> calls.Refusal | None:
        call = samples.relayed(1, **route)
        request = requests.Request(call=call, now=samples.instant(0))
        return relay_checks.check_waiting_request(
            self.state, request, samples.instant(at)
        )

    def test_only_that_server_is_spared(self) -> None:
        self._back_off('a', 1_500)
        self.assertEqual(['b'], self._list_usable(1_499))
        self.assertEqual(['a', 'b'], self._list_usable(1_500))

    def test_shorter_time_does_not_end_a_longer_one(self) -> None:
        self._back_off('a', 1_500)
        self._back_off('a', 200, at=100)
        self.assertEqual(['b'], self._list_usable(1_000))

    def test_huge_time_is_bounded_and_recorded(self) -> None:
        (record,) = self._back_off('a', 10**12)
        assert isinstance(record, effects.RecordEntry)
        self.assertIn('asked for', record.detail)
        after = notices.MAX_BACKOFF_MS
        self.assertEqual(['a', 'b'], self._list_usable(after))

    def test_invalid_time_is_recorded_only(self) -> None:
        (record,) = self._back_off('a', 0, detail="invalid: ['soon']")
        assert isinstance(record, effects.RecordEntry)
        self.assertIn('soon', record.detail)
        self.assertEqual(['a', 'b'], self._list_usable(0))

    def test_one_free_server_is_enough(self) -> None:
        self._back_off('a', 5_000)
        self.assertIsNone(self._check_waiting(0))

    def test_whole_pool_is_refused_until_its_first_server_is_back(
        self,
    ) -> None:
        self._back_off('a', 5_000)
        self._back_off('b', 3_000)
        refusal = self._check_waiting(1_000)
        assert refusal is not None
        self.assertIs(calls.RunStatus.NOT_RUN, refusal.ran)
        self.assertGreaterEqual(refusal.retry_after_ms, 2_000)
        self.assertLess(refusal.retry_after_ms, 2_500)

    def test_short_wait_is_not_refused(self) -> None:
        for host in ('a', 'b'):
            self._back_off(host, 40)
        self.assertIsNone(self._check_waiting(0, goal_ms=400))

    def test_leaving_servers_do_not_count(self) -> None:
        self.state.servers.mark('a', samples.instant(0))
        self._back_off('b', 3_000)
        self.assertIsNotNone(self._check_waiting(0))
