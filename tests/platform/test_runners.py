"""Tests of what is read from the answers of backend servers."""

from __future__ import annotations

import asyncio
import collections.abc

import httpx
import testtools

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.platform import runners
from tests.decisions import samples

EFFECT = effects.RelayAttempt(
    call=samples.relayed(),
    attempt=1,
    address='127.0.0.1:1',
    host='i@1',
    instance='i',
    remaining_ms=1_000,
    last_event='',
    urgency=None,
    new_connection=False,
)


ID = ('Teaselbridge-Attempt-Id', EFFECT.call.key.id)


async def _stream_nothing() -> collections.abc.AsyncIterator[bytes]:
    yield b''


TERMS = (events.TermsStated, events.TermsInvalid)


def run_attempt(status: int, *headers: tuple[str, str]) -> list[events.Event]:
    """Return the events of an attempt, less those of the server's terms."""
    found = run_whole_attempt(status, *headers)
    return [event for event in found if not isinstance(event, TERMS)]


def run_whole_attempt(
    status: int, *headers: tuple[str, str]
) -> list[events.Event]:
    """Return the events of an attempt that is answered like this."""
    found: list[events.Event] = []

    async def run() -> None:
        def answer(_: httpx.Request) -> httpx.Response:
            return httpx.Response(
                status, headers=headers, content=_stream_nothing()
            )

        transport = httpx.MockTransport(answer)
        async with httpx.AsyncClient(transport=transport) as client:
            await runners.run(client, EFFECT, found.append)

    asyncio.run(run())
    return found


class TestIds(testtools.TestCase):
    """An answer counts only if it belongs to the request.

    A server may send a second answer late, when the connection is already in
    use for the next request.
    """

    OTHER_ID = ('Teaselbridge-Attempt-Id', 'other')

    def _get_fault(self, *found: events.Event) -> calls.FaultKind | None:
        (event,) = found
        if isinstance(event, events.AttemptFailed):
            return event.fault.kind
        assert isinstance(event, events.AnswerReceived)
        return None

    def test_own_answer(self) -> None:
        for status in (200, 404, 500):
            self.assertIsNone(self._get_fault(*run_attempt(status, ID)))

    def test_answer_of_another_request(self) -> None:
        for status in (200, 404, 500, 503):
            fault = self._get_fault(*run_attempt(status, self.OTHER_ID))
            self.assertIs(calls.FaultKind.INVALID, fault)

    def test_success_without_an_id(self) -> None:
        for status in (200, 201, 204):
            fault = self._get_fault(*run_attempt(status))
            self.assertIs(calls.FaultKind.INVALID, fault)

    def test_failure_without_an_id(self) -> None:
        for status in (404, 500, 503):
            self.assertIsNone(self._get_fault(*run_attempt(status)))


class TestNotices(testtools.TestCase):
    """Notices come before the outcome of the attempt that had them."""

    def _get_notice(
        self, status: int, *headers: tuple[str, str]
    ) -> events.ServerNoticed:
        notice, outcome = run_attempt(status, ID, *headers)
        assert isinstance(notice, events.ServerNoticed)
        self.assertNotIsInstance(outcome, events.ServerNoticed)
        return notice

    def test_leaving_in_any_answer(self) -> None:
        leaving = ('Server-Leaving', '1')
        for status in (200, 404, 421, 500, 503):
            notice = self._get_notice(status, leaving)
            self.assertEqual(('i@1', True), (notice.host, notice.leaving))

    def test_other_values_say_nothing(self) -> None:
        for value in ('0', '', 'yes'):
            self.assertEqual(
                1, len(run_attempt(200, ID, ('Server-Leaving', value)))
            )

    def test_retry_after_of_refusals_only(self) -> None:
        header = ('Retry-After', '1.25')
        refused = self._get_notice(503, header, ('Teaselbridge-Not-Run', '1'))
        self.assertEqual(1_250, refused.backoff_ms)
        self.assertEqual(1_250, self._get_notice(503, header).backoff_ms)
        self.assertEqual(1, len(run_attempt(200, ID, header)))

    def test_invalid_times_are_described(self) -> None:
        for value in ('-1', 'nan', 'inf', 'soon', ''):
            notice = self._get_notice(503, ('Retry-After', value))
            self.assertEqual(0, notice.backoff_ms)
            self.assertIn(repr(value), notice.detail)

    def test_longest_of_repeated_times_counts(self) -> None:
        notice = self._get_notice(
            503,
            ('Retry-After', '0.5'),
            ('Retry-After', '2'),
            ('Retry-After', '1'),
        )
        self.assertEqual(2_000, notice.backoff_ms)

    def test_long_invalid_value_is_cut(self) -> None:
        notice = self._get_notice(503, ('Retry-After', 'x' * 5_000))
        self.assertLessEqual(len(notice.detail), runners.MAX_DETAIL_CHARS)


class TestTerms(testtools.TestCase):
    """Each answer tells the terms on which its server takes requests."""

    def _get_terms(self, *values: str, status: int = 200) -> events.Event:
        headers = [('Server-Limit', value) for value in values]
        event, *_ = run_whole_attempt(status, ID, *headers)
        return event

    def _get_rate(self, *values: str) -> float | None:
        event = self._get_terms(*values)
        assert isinstance(event, events.TermsStated)
        self.assertEqual('i@1', event.host)
        return event.terms.rate

    def test_decimal_fractions(self) -> None:
        self.assertEqual(0.2, self._get_rate('0.2'))
        self.assertEqual(7.5, self._get_rate(' 7.50'))

    def test_none_and_the_smallest_of_several(self) -> None:
        self.assertEqual(0, self._get_rate('0'))
        self.assertEqual(2, self._get_rate('30', '2', '4'))

    def test_answer_without_any(self) -> None:
        self.assertIsNone(self._get_rate())

    def test_refusals_tell_too(self) -> None:
        event = self._get_terms('3', status=503)
        self.assertIsInstance(event, events.TermsStated)

    def test_unusable_values_are_described(self) -> None:
        for value in ('-1', 'nan', 'inf', '1,5', 'few', ''):
            event = self._get_terms('3', value)
            assert isinstance(event, events.TermsInvalid), value
            self.assertIn(repr(value), event.detail)

    def test_answer_of_another_instance_tells_nothing(self) -> None:
        (event,) = run_whole_attempt(421, ID, ('Server-Limit', '3'))
        self.assertIsInstance(event, events.AttemptFailed)


class TestLoads(testtools.TestCase):
    """Each answer tells the load of its server, some of them its pace."""

    def _get_load(self, value: str) -> list[events.Event]:
        *found, _ = run_attempt(200, ID, ('Teaselbridge-Runner-Load', value))
        return found

    def test_three_figures(self) -> None:
        (event,) = self._get_load('3, 1,16')
        expected = events.AnswerLoadReceived('i@1', 3, 1, 16, 0)
        self.assertEqual(expected, event)

    def test_pace_and_further_figures(self) -> None:
        for value, pace in (
            ('3,1,16,40', 40),
            ('3,1,16, 112.6 ', 113),
            ('3,1,16,40,7,x', 40),
        ):
            (event,) = self._get_load(value)
            expected = events.AnswerLoadReceived('i@1', 3, 1, 16, pace)
            self.assertEqual(expected, event)

    # Guards against a load that is lost without a trace.
    def test_invalid_figures(self) -> None:
        for value in ('3,1', 'x,1,16', '3,1,-16', '3,1,16.5', '9' * 5_000):
            (event,) = self._get_load(value)
            assert isinstance(event, events.AnswerLoadInvalid), value
            self.assertEqual('i@1', event.host)
            self.assertLessEqual(len(event.detail), runners.MAX_DETAIL_CHARS)

    # Guards against a wrong pace that takes the rest of the load with it.
    def test_invalid_pace(self) -> None:
        for value in ('', 'x', '0', '-40', 'nan', 'inf', '1e9'):
            invalid, event = self._get_load(f'3,1,16,{value}')
            self.assertIsInstance(invalid, events.AnswerLoadInvalid)
            expected = events.AnswerLoadReceived('i@1', 3, 1, 16, 0)
            self.assertEqual(expected, event)
