"""Client of backend servers that forwards requests unchanged."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import math
import re
import typing

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.decisions.limits import terms
from teaselbridge.platform import connections
from teaselbridge.platform import names

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import effects

EVENT_STREAM_TYPE = 'text/event-stream'
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Bounds what a server can add to a log line.
MAX_DETAIL_CHARS = 200
# A larger figure is no time in percent of the usual one.
MAX_TIME_PERCENT = 10_000
# Larger numbers of requests or slots, and larger rates, are not usable.
MAX_FIGURE = 1_000_000
# A server that asks for a longer pause is asked again after this one.
MAX_RETRY_AFTER_MS = 600_000
# Plain answers are held in memory as a whole.
MAX_ANSWER_BYTES = 8 << 20
# Events are small, so that a stream with a larger one is malformed.
MAX_EVENT_BYTES = 1 << 20

# Whole lines of events that state an id.
_EVENT_ID = re.compile(rb'^id:[ \t]*([0-9]{1,18})[ \t]*$', re.MULTILINE)
# Two ends of lines, each of which is LF, CR LF or CR in event streams.
_EVENT_END = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
MAX_EVENT_END_BYTES = 4

Post: typing.TypeAlias = 'collections.abc.Callable[[events.Event], None]'


_CLOCK = clock.Clock()


class InvalidAnswerError(Exception):
    """Malformed response, or one that belongs to another request."""


class _Use(enum.Enum):
    """What becomes of the body of an answer."""

    ANSWER = 'answer'
    STREAM = 'stream'
    IGNORED = 'ignored'


class Attempt:
    """An attempt at a backend server, which posts its events.

    :param effect: request to forward.
    :param post: function that passes an event to the reducer.
    :param on_end: function that is called with the attempt before its last
        event.
    """

    def __init__(
        self,
        effect: effects.RelayAttempt,
        post: Post,
        on_end: collections.abc.Callable[[Attempt], None],
    ) -> None:
        self._effect = effect
        self._post = post
        self._on_end = on_end
        self._asked_at = _CLOCK.now().mono
        self._exchange: connections.Exchange | None = None
        self._head: connections.Head | None = None
        self._use = _Use.ANSWER
        # The start of an event, or an answer as far as it was received.
        self._buffer = bytearray()
        self._first_byte_at: int | None = None

    @property
    def handle(self) -> int:
        """Number of the request within this process."""
        return self._effect.call.handle

    def start(self, pool: connections.Pool) -> None:
        """Send the request.

        :param pool: connections to the backend servers.
        """
        effect = self._effect
        try:
            request = _encode_request(effect)
        except (connections.InvalidRequestError, UnicodeError) as error:
            self.handle_error(error)
            return
        self._exchange = pool.send(
            effect.address,
            request,
            self,
            is_head=effect.call.method == 'HEAD',
            new_connection=effect.new_connection,
            on_sent=self._post_sent if effect.reports_sending else None,
        )

    def cancel(self) -> None:
        """End the attempt without a further event."""
        if self._exchange is not None:
            self._exchange.cancel()

    def handle_head(self, head: connections.Head) -> None:
        """Decide by the head of an answer what becomes of its body."""
        self._head = head
        effect = self._effect
        call = effect.call
        answered_id = names.first(head.headers, names.ATTEMPT_ID)
        # A refusal may come without the id. A success always has it: without,
        # it is a late second answer to an earlier request on this connection.
        must_match = bool(answered_id) or (head.is_success and call.key.id)
        if must_match and answered_id != call.key.id:
            self._reject(f'answer of another request, {answered_id}')
            return
        if not answered_id and self._exchange is not None:
            # Should it come a second time, it could not be told from the
            # answer to the next request.
            self._exchange.end_connection()
        if not effect.origin:
            _post_statements(head, effect, self._asked_at, self._post)
        if (
            names.first(head.headers, names.NOT_RUN)
            or head.status == MISDIRECTED_STATUS
        ):
            self._use = _Use.IGNORED
        elif (
            call.stream
            and call.method != 'HEAD'
            and head.is_success
            and head.has_body
            and _may_hold_events(head)
        ):
            self._use = _Use.STREAM

    def handle_data(self, data: bytes) -> None:
        """Post the whole events of a stream, collect any other answer."""
        if self._use is _Use.STREAM:
            self._handle_stream_data(data)
            return
        self._buffer += data
        if len(self._buffer) > MAX_ANSWER_BYTES:
            self._reject(f'more than {MAX_ANSWER_BYTES} bytes')

    def handle_end(self) -> None:
        """Post the end of the attempt."""
        call = self._effect.call
        head = self._head
        assert head is not None
        match self._use:
            case _Use.STREAM:
                self._handle_stream_end(head)
                return
            case _Use.IGNORED:
                self._finish(_build_refusal(head))
                return
        answer = calls.Answer(
            head.status,
            _select_forwarded_headers(head.headers),
            bytes(self._buffer),
        )
        self._on_end(self)
        self._post(
            events.AnswerReceived(call.handle, self._effect.attempt, answer)
        )

    def handle_error(self, error: Exception) -> None:
        """Post how the attempt failed."""
        fault = dataclasses.replace(
            _build_fault(error), answered_ms=self._get_answered_ms()
        )
        self._finish(fault)

    def _post_sent(self) -> None:
        effect = self._effect
        self._post(events.AttemptSent(effect.call.handle, effect.attempt))

    def _finish(self, fault: calls.Fault) -> None:
        effect = self._effect
        self._on_end(self)
        self._post(
            events.AttemptFailed(effect.call.handle, effect.attempt, fault)
        )

    def _reject(self, detail: str) -> None:
        """End the attempt by an answer that cannot be used."""
        self.cancel()
        self.handle_error(InvalidAnswerError(detail))

    def _get_answered_ms(self) -> int | None:
        """Return the time since the answer began, none where it did not.

        A head without a byte of the stream counts as just begun, as it may
        have come long before.
        """
        if self._first_byte_at is not None:
            return _CLOCK.now().mono - self._first_byte_at
        return None if self._head is None else 0

    def _post_stream_head(self) -> None:
        effect = self._effect
        assert self._head is not None
        head = calls.Head(
            self._head.status, _select_forwarded_headers(self._head.headers)
        )
        self._post(
            events.HeadReceived(effect.call.handle, effect.attempt, head)
        )

    def _handle_stream_data(self, data: bytes) -> None:
        """Post events, each only once it is complete.

        The backend server may break off in the middle of an event.
        """
        if self._first_byte_at is None:
            self._first_byte_at = _CLOCK.now().mono
            self._post_stream_head()
        buffer = self._buffer
        # The end of an event may have begun in the bytes received before.
        start = max(0, len(buffer) - MAX_EVENT_END_BYTES + 1)
        buffer += data
        end = find_last_event_end(buffer, start)
        if not end:
            if len(buffer) > MAX_EVENT_BYTES:
                self._reject('an event without an end')
            return
        whole = bytes(buffer[:end])
        del buffer[:end]
        self._post_events(whole)

    def _post_events(self, whole: bytes) -> None:
        """Post whole events."""
        for event in split_events(whole):
            self._post(
                events.StreamEventsReceived(
                    handle=self._effect.call.handle,
                    attempt=self._effect.attempt,
                    data=event.data,
                    first=event.first,
                    last=event.last,
                    count=event.count,
                )
            )

    def _handle_stream_end(self, head: connections.Head) -> None:
        if self._buffer:
            whole = bytes(self._buffer)
            if not is_whole(whole, is_framed=head.is_framed):
                self._reject('broken off in the middle of an event')
                return
            # Only now it is clear that no LF follows its last CR.
            self._buffer.clear()
            self._post_events(whole)
        if self._first_byte_at is None:
            self._post_stream_head()
        effect = self._effect
        self._on_end(self)
        self._post(
            events.RelayEnded(
                effect.call.handle, effect.attempt, head.is_framed
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EventRun:
    """Consecutive events of a stream.

    :param first: number of the first one that has a number, none for none.
    :param last: number of the last one that has a number.
    :param count: number of events.
    """

    data: bytes
    first: int | None
    last: int | None
    count: int


def find_last_event_end(buffer: bytearray, start: int) -> int:
    """Return where the last whole event ends, 0 where none does.

    A CR at the end of the buffer ends no line yet, as an LF may follow it.

    :param start: position from which an end is looked for.
    """
    by_lf = buffer.rfind(b'\n\n', start)
    by_cr_lf = buffer.rfind(b'\n\r\n', start)
    if by_lf >= 0 or by_cr_lf >= 0:
        return max(by_lf + 2, by_cr_lf + 3)
    if buffer.find(b'\r', start) < 0:
        return 0
    found = 0
    for match in _EVENT_END.finditer(buffer, start):
        if match.end() < len(buffer) or buffer[-1:] != b'\r':
            found = match.end()
    return found


def is_whole(data: bytes, *, is_framed: bool) -> bool:
    """Return whether the last event in some bytes has its end.

    :param is_framed: whether the server stated that no byte follows;
        otherwise it may have stopped between the CR and the LF of a line.
    """
    if not is_framed and data.endswith(b'\r') and b'\n' in data:
        return False
    *_, last = (0, *(match.end() for match in _EVENT_END.finditer(data)))
    return last == len(data)


def split_events(data: bytes) -> list[EventRun]:
    """Return the events in some bytes as one run, if their numbers ascend.

    Otherwise each event is a run of its own, so that those before the
    misplaced one are passed on.

    :param data: whole events.
    """
    text = _use_line_feeds(data)
    count = text.count(b'\n\n')
    ids = [int(item) for item in _EVENT_ID.findall(text)]
    if not ids:
        return [EventRun(data, None, None, count)]
    if len(ids) <= count and all(
        earlier < later for earlier, later in itertools.pairwise(ids)
    ):
        return [EventRun(data, ids[0], ids[-1], count)]
    runs = []
    ends = [match.end() for match in _EVENT_END.finditer(data)]
    for begin, end in itertools.pairwise((0, *ends)):
        event = data[begin:end]
        number = _parse_event_id(event)
        runs.append(EventRun(event, number, number, 1))
    return runs


def _use_line_feeds(data: bytes) -> bytes:
    """Return events with LF as the end of each line."""
    if b'\r' not in data:
        return data
    return data.replace(b'\r\n', b'\n').replace(b'\r', b'\n')


def _may_hold_events(head: connections.Head) -> bool:
    """Return whether the body is a stream of events, by its stated type."""
    kind = names.first(head.headers, names.CONTENT_TYPE).partition(';')[0]
    return kind.strip().lower() in ('', EVENT_STREAM_TYPE)


def _build_refusal(head: connections.Head) -> calls.Fault:
    """Return the fault of an answer that says that nothing was run."""
    kind = calls.FaultKind.BUSY
    if head.status == MISDIRECTED_STATUS:
        kind = calls.FaultKind.MISDIRECTED
    detail = f'status {head.status}, not run'
    return calls.Fault(kind, calls.RunStatus.NOT_RUN, detail)


def _encode_request(effect: effects.RelayAttempt) -> bytes:
    call = effect.call
    headers = [
        (header.name.encode('latin-1'), header.value.encode('latin-1'))
        for header in call.headers
    ]
    if not any(name.lower() == b'host' for name, _ in headers):
        headers.insert(0, (b'Host', effect.address.encode('latin-1')))
    # Names of operators may have any characters; what callers sent was decoded
    # from Latin-1.
    added_headers = {
        names.DEADLINE_MS: str(effect.remaining_ms).encode(),
        names.LAST_EVENT_ID: effect.last_event.encode('latin-1'),
    }
    if effect.origin:
        added_headers |= {
            names.FORWARDED_BY: effect.origin.encode(),
            names.CREDENTIAL: call.credential.encode('latin-1'),
            names.IS_COUNTED: b'1' if effect.is_counted else b'',
        }
    else:
        added_headers |= {
            names.EXPECT_INSTANCE: effect.instance.encode(),
            names.WORKSPACE: call.key.workspace.encode(),
            names.CACHE_SOURCE: effect.source.encode(),
        }
    if effect.urgency is not None:
        added_headers[names.URGENCY] = str(effect.urgency).encode()
    headers += [
        (name, value) for name, value in added_headers.items() if value
    ]
    if call.body or call.method not in ('GET', 'HEAD', 'DELETE'):
        headers.append((b'content-length', str(len(call.body)).encode()))
    # The target is sent byte for byte as it was received.
    return connections.encode_request(
        call.method, call.path.encode('latin-1'), headers, call.body
    )


def _parse_event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, none where it has none."""
    found = _EVENT_ID.search(_use_line_feeds(event))
    return None if found is None else int(found[1])


def _select_forwarded_headers(
    headers: names.Headers,
) -> tuple[calls.Header, ...]:
    return tuple(
        calls.Header(name.decode('latin-1'), value.decode('latin-1'))
        for name, value in names.remove_hop_by_hop(headers)
    )


def _post_statements(
    head: connections.Head,
    effect: effects.RelayAttempt,
    asked_at: int,
    post: Post,
) -> None:
    """Post what a server says about itself in the head of its answer."""
    headers = head.headers
    load = names.first(headers, names.LOAD)
    if load:
        _post_load(load, effect.host, post)
    _post_notice(head, effect.host, post)
    if head.status != MISDIRECTED_STATUS:
        _post_terms(headers, effect.host, asked_at, post)


def _post_load(load: str, host: str, post: Post) -> None:
    """Post the load that a server states: three figures, or four with a pace.

    Further figures are ignored. Where only the pace is invalid, the load
    counts nevertheless.

    :param host: host of the lifetime that the request was sent to.
    """
    figures = load.split(',')[:4]
    detail = f'invalid load: {load!r}'[:MAX_DETAIL_CHARS]
    try:
        running, waiting, slots = (_parse_figure(item) for item in figures[:3])
    except ValueError:
        post(events.AnswerLoadInvalid(host=host, detail=detail))
        return
    pace = 0
    try:
        pace = _parse_pace(figures[3]) if figures[3:] else 0
    except ValueError:
        post(events.AnswerLoadInvalid(host=host, detail=detail))
    post(events.AnswerLoadReceived(host, running, waiting, slots, pace))


def _parse_figure(figure: str) -> int:
    """Return a figure of a server's load.

    :raises ValueError: it is no whole number of a usable size.
    """
    number = int(figure)
    if not 0 <= number <= MAX_FIGURE:
        raise ValueError(f'no figure: {number}')
    return number


def _parse_pace(figure: str) -> int:
    """Return the pace of a server's machine in percent of the usual one.

    The figure says how long work takes, in percent of the usual time.

    :raises ValueError: the figure is no such time.
    """
    taken = float(figure)
    if not 0 < taken <= MAX_TIME_PERCENT:
        raise ValueError(f'no time: {taken}')
    return max(1, round(100 * 100 / taken))


def _post_notice(head: connections.Head, host: str, post: Post) -> None:
    """Post what a server says about itself in its answer, if anything.

    :param host: host of the lifetime that the request was sent to.
    """
    headers = head.headers
    leaving = '1' in names.list_values(headers, names.SERVER_LEAVING)
    backoff_ms, detail = 0, ''
    if head.status == UNAVAILABLE_STATUS:
        values = names.list_values(headers, names.RETRY_AFTER)
        backoff_ms, detail = _parse_retry_after(values)
    if leaving or backoff_ms or detail:
        post(
            events.ServerNoticed(
                host=host,
                leaving=leaving,
                backoff_ms=backoff_ms,
                detail=detail,
            )
        )


def _post_terms(
    headers: names.Headers, host: str, asked_at: int, post: Post
) -> None:
    """Post the terms that a server states in an answer.

    An answer whose values cannot be used states nothing.

    :param host: host of the lifetime that the request was sent to.
    :param asked_at: monotonic milliseconds at which the request was sent.
    """
    limits = names.list_values(headers, names.SERVER_LIMIT)
    refusals = names.list_values(headers, names.SERVER_BRITTLE)
    try:
        stated = terms.Terms(
            rate=_parse_least(limits), refusals=_parse_least(refusals)
        )
    except ValueError:
        detail = f'invalid terms: {limits}, {refusals}'[:MAX_DETAIL_CHARS]
        post(events.TermsInvalid(host=host, detail=detail))
        return
    post(events.TermsStated(host=host, terms=stated, asked_at=asked_at))


def _parse_least(values: list[str]) -> float | None:
    """Return the least of some decimal numbers, none where there are none.

    :raises ValueError: one of them is no number of a usable size.
    """
    numbers = [float(value) for value in values]
    if not all(0 <= item <= MAX_FIGURE for item in numbers):
        raise ValueError(f'no limit: {values}')
    return min(numbers, default=None)


def _parse_retry_after(values: list[str]) -> tuple[int, str]:
    """Return the longest valid time in milliseconds, and the invalid values.

    :param values: values of the header in seconds, which may be fractions.
    """
    longest_ms = 0
    invalid = []
    for value in values:
        try:
            milliseconds = math.ceil(clock.SECOND_MS * float(value))
        except (ValueError, OverflowError):
            invalid.append(value)
            continue
        if milliseconds < 0:
            invalid.append(value)
        longest_ms = max(longest_ms, min(MAX_RETRY_AFTER_MS, milliseconds))
    detail = f'invalid Retry-After: {invalid}'[:MAX_DETAIL_CHARS]
    return longest_ms, detail if invalid else ''


def _build_fault(error: Exception) -> calls.Fault:
    """Return how an attempt failed and whether the request may have run."""
    detail = f'{type(error).__name__}: {error}'
    match error:
        case connections.ConnectError():
            return calls.Fault(
                calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, detail
            )
        case connections.InvalidRequestError() | UnicodeError():
            return calls.Fault(
                calls.FaultKind.INVALID, calls.RunStatus.NOT_RUN, detail
            )
        case InvalidAnswerError():
            kind = calls.FaultKind.INVALID
        case connections.CutError():
            kind = calls.FaultKind.CUT
        case _:
            kind = calls.FaultKind.RESET
    return calls.Fault(kind, calls.RunStatus.UNKNOWN, detail)
