"""Tests of what is read from the answers of backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import re

import msgspec
import testtools

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.platform import connections
from teaselbridge.platform import runners
from tests.decisions import samples
from tests.platform import serving

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

TERMS = (events.TermsStated, events.TermsInvalid)


def run_attempt(status: int, *headers: tuple[str, str]) -> list[events.Event]:
    """Return the events of an attempt, less those of the server's terms."""
    found = run_whole_attempt(status, *headers)
    return [event for event in found if not isinstance(event, TERMS)]


def run_whole_attempt(
    status: int, *headers: tuple[str, str]
) -> list[events.Event]:
    """Return the events of an attempt that is answered like this."""
    lines = [f'HTTP/1.1 {status} Any']
    lines += [f'{name}: {value}' for name, value in headers]
    if status not in (204, 304):
        lines.append('Content-Length: 0')
    head = '\r\n'.join(lines).encode('latin-1')
    return relay(EFFECT, head + b'\r\n\r\n')


def relay(effect: effects.RelayAttempt, *pieces: bytes) -> list[events.Event]:
    """Return the events of an attempt that is answered by some bytes.

    :param pieces: bytes, each of which is received on its own.
    """

    async def run() -> list[events.Event]:
        async with serving.serve(*pieces) as server:
            return await run_to_end(
                msgspec.structs.replace(effect, address=server.address)
            )

    return asyncio.run(run())


async def run_to_end(effect: effects.RelayAttempt) -> list[events.Event]:
    """Return the events of an attempt."""
    found: list[events.Event] = []
    ended = asyncio.Event()
    pool = connections.Pool()
    attempt = runners.Attempt(effect, found.append, lambda _: ended.set())
    attempt.start(pool)
    async with asyncio.timeout(serving.TIMEOUT_S):
        await ended.wait()
    await pool.close()
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

    def test_request_without_an_id(self) -> None:
        call = dataclasses.replace(EFFECT.call, key=calls.RequestKey('w', ''))
        effect = msgspec.structs.replace(EFFECT, call=call)
        for header, expected in (
            ('X: y', None),
            ('Teaselbridge-Attempt-Id: other', calls.FaultKind.INVALID),
        ):
            answer = f'HTTP/1.1 400 Any\r\n{header}\r\nContent-Length: 0'
            *_, outcome = relay(effect, f'{answer}\r\n\r\n'.encode())
            self.assertIs(expected, self._get_fault(outcome))


class RepeatingServer:
    """Server that sends its last refusal once more before the next answer.

    :ivar connection_count: number of connections that were accepted.
    """

    def __init__(self, refusal: bytes) -> None:
        self._refusal = refusal
        self._must_refuse = True
        self.connection_count = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        self.connection_count += 1
        is_repeated = False
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while head := await reader.readuntil(b'\r\n\r\n'):
                if self._must_refuse:
                    self._must_refuse = False
                    is_repeated = True
                    writer.write(self._refusal)
                    continue
                if is_repeated:
                    writer.write(self._refusal)
                (attempt,) = re.findall(rb'(?i)attempt-id: (\S+)', head)
                writer.write(
                    b'HTTP/1.1 200 OK\r\nTeaselbridge-Attempt-Id: %s\r\n'
                    b'Content-Length: 2\r\n\r\nok' % attempt
                )
        writer.close()


class TestRepeatedRefusals(testtools.TestCase):
    """A refusal without an id is the last answer on its connection.

    A second copy of it would count as the answer to the next request there,
    which has run: its caller was told otherwise, or it ran twice.
    """

    def _run(self, refusal: bytes) -> tuple[list[events.Event], int]:
        """Return the events of two attempts, and the connections used."""
        found: list[events.Event] = []

        async def run() -> int:
            repeating = RepeatingServer(refusal)
            server = await asyncio.start_server(
                repeating.handle, '127.0.0.1', 0
            )
            host, port = server.sockets[0].getsockname()[:2]
            pool = connections.Pool()
            for number in (1, 2):
                ended = asyncio.Event()
                call = samples.relayed(number)
                headers = (
                    calls.Header('Teaselbridge-Attempt-Id', call.key.id),
                )
                effect = msgspec.structs.replace(
                    EFFECT,
                    call=dataclasses.replace(call, headers=headers),
                    address=f'{host}:{port}',
                )
                attempt = runners.Attempt(
                    effect, found.append, lambda _, ended=ended: ended.set()
                )
                attempt.start(pool)
                async with asyncio.timeout(serving.TIMEOUT_S):
                    await ended.wait()
                await asyncio.sleep(serving.PIECE_DELAY_S)
            await pool.close()
            server.close()
            return repeating.connection_count

        count = asyncio.run(run())
        return [item for item in found if not isinstance(item, TERMS)], count

    def test_without_an_id(self) -> None:
        for status, header in (
            (503, 'Teaselbridge-Not-Run: 1'),
            (429, 'Teaselbridge-Not-Run: 1'),
            (421, 'Teaselbridge-Runner-Id: i-2'),
            (503, 'X: y'),
            (500, 'X: y'),
        ):
            refusal = (
                f'HTTP/1.1 {status} Any\r\n{header}\r\n'
                'Content-Length: 0\r\n\r\n'
            )
            (_, answered), count = self._run(refusal.encode())
            assert isinstance(answered, events.AnswerReceived), status
            self.assertEqual(200, answered.answer.status)
            self.assertEqual(2, count)

    # Guards against a connection for each refusal of servers that identify
    # what they send.
    def test_with_an_id(self) -> None:
        refusal = (
            f'HTTP/1.1 503 Any\r\n{ID[0]}: {ID[1]}\r\n'
            'Teaselbridge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
        )
        (refused, failed), count = self._run(refusal.encode())
        assert isinstance(refused, events.AttemptFailed)
        self.assertIs(calls.RunStatus.NOT_RUN, refused.fault.ran)
        # The copy belongs to the first request, by its id.
        assert isinstance(failed, events.AttemptFailed)
        self.assertIs(calls.RunStatus.UNKNOWN, failed.fault.ran)
        self.assertEqual(1, count)


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


class TestNumbers(testtools.TestCase):
    """Numbers of servers that cannot be used, or sent to other nodes."""

    def test_load(self) -> None:
        for value in ('1' + '0' * 21, '9' * 5_000, '\xb2', '1e3', '-1'):
            for figures in (f'{value},0,8', f'0,{value},8', f'0,0,{value}'):
                found = run_attempt(
                    200, ID, ('Teaselbridge-Runner-Load', figures)
                )
                self.assertIsInstance(found[0], events.AnswerLoadInvalid)
                self.assertIsInstance(found[-1], events.AnswerReceived)

    def test_retry_after(self) -> None:
        for value in ('1e300', '9' * 300):
            found = run_attempt(503, ID, ('Retry-After', value))
            notice = found[0]
            assert isinstance(notice, events.ServerNoticed)
            self.assertLess(notice.backoff_ms, 1 << 53)

    def test_rate(self) -> None:
        found = run_whole_attempt(200, ID, ('Server-Limit', '1e300'))
        self.assertIsInstance(found[0], events.TermsInvalid)


class TestUnsendable(testtools.TestCase):
    """An attempt that cannot be sent ends, and was not run."""

    def _get_fault(self, **changes: object) -> calls.Fault:
        effect = msgspec.structs.replace(EFFECT, **changes)
        (failed,) = asyncio.run(run_to_end(effect))
        assert isinstance(failed, events.AttemptFailed)
        return failed.fault

    # Guards against a request that waits for its deadline.
    def test_port_out_of_range(self) -> None:
        for port in ('0', '99999', '9' * 5_000, '\xb2'):
            fault = self._get_fault(address=f'127.0.0.1:{port}')
            self.assertIs(calls.RunStatus.NOT_RUN, fault.ran)

    def test_line_break_in_a_header(self) -> None:
        fault = self._get_fault(instance='a\r\nb')
        self.assertIs(calls.RunStatus.NOT_RUN, fault.ran)


class TestSending(testtools.TestCase):
    """An attempt tells when its request was sent, where it has to."""

    EFFECT = msgspec.structs.replace(EFFECT, reports_sending=True)
    SENT = events.AttemptSent(EFFECT.call.handle, EFFECT.attempt)

    def test_open_connection(self) -> None:
        found = relay(self.EFFECT, b'HTTP/1.1 500 Any\r\n\r\n')
        self.assertEqual(self.SENT, found[0])
        self.assertEqual(1, found.count(self.SENT))

    def test_nobody_asked(self) -> None:
        found = relay(EFFECT, b'HTTP/1.1 500 Any\r\n\r\n')
        self.assertNotIn(self.SENT, found)

    # Guards against a server that is given up for one that cannot be reached.
    def test_no_connection(self) -> None:
        effect = msgspec.structs.replace(self.EFFECT, address='127.0.0.1:1')
        (failed,) = asyncio.run(run_to_end(effect))
        assert isinstance(failed, events.AttemptFailed)
        self.assertIs(calls.FaultKind.CONNECT, failed.fault.kind)


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


class TestStreams(testtools.TestCase):
    """Whole events are passed on as they are received."""

    EFFECT = msgspec.structs.replace(
        EFFECT, call=dataclasses.replace(EFFECT.call, stream=True)
    )
    HEAD = (
        f'HTTP/1.1 200 OK\r\n{ID[0]}: {ID[1]}\r\n'
        'Content-Type: text/event-stream\r\n'
    ).encode()
    UNFRAMED = HEAD + b'\r\n'

    def _relay(self, *pieces: bytes) -> list[events.Event]:
        found = relay(self.EFFECT, *pieces)
        return [event for event in found if not isinstance(event, TERMS)]

    def _list_runs(self, *pieces: bytes) -> list[tuple[bytes, object]]:
        return [
            (event.data, (event.first, event.last, event.count))
            for event in self._relay(self.UNFRAMED, *pieces)
            if isinstance(event, events.StreamEventsReceived)
        ]

    # Guards against streams of which no event is passed on, as their lines
    # end otherwise.
    def test_ends_of_lines(self) -> None:
        for end in (b'\r\n', b'\n', b'\r'):
            events_sent = b''.join(
                b'id: %d%bdata: a%b%b' % (number, end, end, end)
                for number in (4, 5, 6)
            )
            for size in (1, 2, 3, 7, len(events_sent)):
                pieces = [
                    events_sent[start : start + size]
                    for start in range(0, len(events_sent), size)
                ]
                found = self._feed(*pieces)
                data = b''.join(item.data for item in found)
                self.assertEqual(events_sent, data, (end, size))
                self.assertEqual(3, sum(item.count for item in found))
                self.assertEqual(
                    [4, 6], [found[0].first, found[-1].last], (end, size)
                )

    def test_cut_within_an_event(self) -> None:
        for end in (b'\r\n', b'\n', b'\r'):
            whole = b'id: 4%bdata: a%b%b' % (end, end, end)
            *_, ended = self._relay(
                self.UNFRAMED, whole + b'id: 5%bdata: b%b' % (end, end)
            )
            self.assertIsInstance(ended, events.AttemptFailed, end)
            *_, ended = self._relay(self.UNFRAMED, whole)
            self.assertIsInstance(ended, events.RelayEnded, end)

    def test_misplaced_number(self) -> None:
        for end in (b'\r\n', b'\r'):
            data = b''.join(
                b'id: %d%bdata: a%b%b' % (number, end, end, end)
                for number in (5, 4)
            )
            runs = runners.split_events(data)
            self.assertEqual([5, 4], [run.first for run in runs])
            self.assertEqual(data, b''.join(run.data for run in runs))

    def _feed(self, *pieces: bytes) -> list[events.StreamEventsReceived]:
        """Return the events of a stream that is received in pieces."""
        found: list[events.Event] = []
        attempt = runners.Attempt(self.EFFECT, found.append, lambda _: None)
        attempt.handle_head(
            connections.Head(200, [(ID[0].encode(), ID[1].encode())])
        )
        for piece in pieces:
            attempt.handle_data(piece)
        attempt.handle_end()
        self.assertIsInstance(found[-1], events.RelayEnded)
        return [
            item
            for item in found
            if isinstance(item, events.StreamEventsReceived)
        ]

    # Guards against a reducer call per event where many come at once.
    def test_events_received_at_once_are_one_run(self) -> None:
        data = b'id: 4\ndata: a\n\n: note\n\nid: 5\ndata: b\n\n'
        self.assertEqual([(data, (4, 5, 3))], self._list_runs(data))

    def test_event_in_pieces_is_passed_on_whole(self) -> None:
        runs = self._list_runs(
            b'id: 1\ndata: a\n', b'\nid: 2\nda', b'ta: b\n\n'
        )
        self.assertEqual(
            [
                (b'id: 1\ndata: a\n\n', (1, 1, 1)),
                (b'id: 2\ndata: b\n\n', (2, 2, 1)),
            ],
            runs,
        )

    # Guards against an event out of order that is hidden by a later one, and
    # against losing the good events before it.
    def test_misplaced_event_is_a_run_of_its_own(self) -> None:
        runs = self._list_runs(b'id: 2\n\nid: 3\n\nid: 3\n\nid: 4\n\n')
        self.assertEqual(
            [(2, 2, 1), (3, 3, 1), (3, 3, 1), (4, 4, 1)],
            [numbers for _, numbers in runs],
        )

    def test_first_of_several_ids_of_an_event_counts(self) -> None:
        self.assertEqual(
            [(b'id: 2\nid: 9\n\n', (2, 2, 1))],
            self._list_runs(b'id: 2\nid: 9\n\n'),
        )

    def test_ids_that_are_no_numbers(self) -> None:
        data = b'id: x\n\nid:7 \r\ndata: id: 3\n\nid: -1\n\n'
        self.assertEqual([(data, (7, 7, 3))], self._list_runs(data))

    def test_end_with_the_connection(self) -> None:
        *_, ended = self._relay(self.UNFRAMED, b'data: a\n\n')
        assert isinstance(ended, events.RelayEnded)
        self.assertFalse(ended.is_framed)

    def test_stated_end(self) -> None:
        head = self.HEAD + b'Content-Length: 9\r\n\r\n'
        begun, run, ended = self._relay(head, b'data: a\n\n')
        self.assertIsInstance(begun, events.HeadReceived)
        self.assertIsInstance(run, events.StreamEventsReceived)
        assert isinstance(ended, events.RelayEnded)
        self.assertTrue(ended.is_framed)

    # Guards against a sound answer that counts as a stream that was cut.
    def test_answers_without_a_body(self) -> None:
        head = b'HTTP/1.1 %d Any\r\nTeaselbridge-Attempt-Id: '
        head += ID[1].encode() + b'\r\n\r\n'
        for method, status in (('POST', 204), ('HEAD', 200)):
            call = dataclasses.replace(self.EFFECT.call, method=method)
            (event,) = [
                event
                for event in relay(
                    msgspec.structs.replace(self.EFFECT, call=call),
                    head % status,
                )
                if not isinstance(event, TERMS)
            ]
            assert isinstance(event, events.AnswerReceived), event
            self.assertEqual(status, event.answer.status)

    # Guards against a broken-off stream that looks complete.
    def test_end_inside_an_event(self) -> None:
        *_, failed = self._relay(self.UNFRAMED, b'data: a\n\ndata: b')
        assert isinstance(failed, events.AttemptFailed)
        self.assertIs(calls.FaultKind.INVALID, failed.fault.kind)
        self.assertIs(calls.RunStatus.UNKNOWN, failed.fault.ran)
        self.assertIsNotNone(failed.fault.answered_ms)

    # Guards against a stream that stops between the CR and the LF that end an
    # event, and looks complete.
    def test_end_inside_a_line_end(self) -> None:
        begun = b'data: a\r\n\r\n'
        *_, failed = self._relay(self.UNFRAMED, begun + b'data: b\r\n\r')
        assert isinstance(failed, events.AttemptFailed)
        self.assertIs(calls.FaultKind.INVALID, failed.fault.kind)
        *_, ended = self._relay(self.UNFRAMED, b'data: a\r\r')
        self.assertIsInstance(ended, events.RelayEnded)

    def test_end_before_the_stated_one(self) -> None:
        head = self.HEAD + b'Content-Length: 99\r\n\r\n'
        *_, failed = self._relay(head, b'data: a\n\n')
        assert isinstance(failed, events.AttemptFailed)
        self.assertIs(calls.FaultKind.CUT, failed.fault.kind)
        self.assertIs(calls.RunStatus.UNKNOWN, failed.fault.ran)


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
            ('3,1,16,250', 40),
            ('3,1,16,100', 100),
            ('3,1,16, 112.6 ', 89),
            ('3,1,16,250,7,x', 40),
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
