"""Client of backend servers that forwards requests unchanged."""

from __future__ import annotations

import dataclasses
import math
import typing

import httpx

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.decisions.limits import terms
from teaselbridge.platform import names

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import effects

EVENT_SEPARATOR = b'\n\n'
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Bounds what a server can add to a log line.
MAX_DETAIL_CHARS = 200
# A larger figure is no pace in percent.
MAX_PACE = 10_000
# Plain answers are held in memory as a whole.
MAX_ANSWER_BYTES = 8 << 20
# Events are small, so that a stream with a larger one is malformed.
MAX_EVENT_BYTES = 1 << 20

Post: typing.TypeAlias = 'collections.abc.Callable[[events.Event], None]'


_CLOCK = clock.Clock()


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of an answer.

    :param asked_at: monotonic milliseconds at which the request was sent.
    :param has_head: whether its head has come.
    :param first_byte_at: monotonic milliseconds of the first byte of a
        stream, none before it.
    """

    asked_at: int
    has_head: bool = False
    first_byte_at: int | None = None

    @property
    def answered_ms(self) -> int | None:
        """Time since the answer began, none where it did not.

        A head without a byte of the stream counts as just begun, as it may
        have come long before.
        """
        if self.first_byte_at is not None:
            return _CLOCK.now().mono - self.first_byte_at
        return 0 if self.has_head else None


class InvalidAnswerError(Exception):
    """Malformed response, or one that belongs to another request."""


async def run(
    client: httpx.AsyncClient, effect: effects.RelayAttempt, post: Post
) -> None:
    """Run an attempt and post its events.

    :param client: client with the connections to the backend server.
    :param effect: request to forward.
    :param post: function that passes an event to the reducer.
    """
    handle = effect.call.handle
    progress = _Progress(asked_at=_CLOCK.now().mono)
    try:
        response = await client.send(_build_request(effect), stream=True)
        progress.has_head = True
        try:
            await _process_response(response, effect, progress, post)
        finally:
            await response.aclose()
    except (httpx.HTTPError, InvalidAnswerError) as error:
        fault = dataclasses.replace(
            _build_fault(error), answered_ms=progress.answered_ms
        )
        post(events.AttemptFailed(handle, effect.attempt, fault))


def _build_request(effect: effects.RelayAttempt) -> httpx.Request:
    call = effect.call
    headers = [
        (header.name.encode('latin-1'), header.value.encode('latin-1'))
        for header in call.headers
    ]
    added_headers = {
        names.DEADLINE_MS: str(effect.remaining_ms),
        names.LAST_EVENT_ID: effect.last_event,
    }
    if effect.origin:
        added_headers |= {
            names.FORWARDED_BY: effect.origin,
            names.CREDENTIAL: call.credential,
            names.IS_COUNTED: '1' if effect.is_counted else '',
        }
    else:
        added_headers |= {
            names.EXPECT_INSTANCE: effect.instance,
            names.WORKSPACE: call.key.workspace,
            names.CACHE_SOURCE: effect.source,
        }
    if effect.urgency is not None:
        added_headers[names.URGENCY] = str(effect.urgency)
    headers += [
        (name, value.encode('latin-1'))
        for name, value in added_headers.items()
        if value
    ]
    if call.body or call.method not in ('GET', 'HEAD', 'DELETE'):
        headers.append((b'content-length', str(len(call.body)).encode()))
    return httpx.Request(
        call.method,
        f'http://{effect.address}/',
        headers=headers,
        content=call.body or None,
        # The target keeps the path from being normalized: it is sent byte
        # for byte as it was received.
        extensions={'target': call.path.encode('latin-1')},
    )


async def _process_response(
    response: httpx.Response,
    effect: effects.RelayAttempt,
    progress: _Progress,
    post: Post,
) -> None:
    call = effect.call
    headers = response.headers.raw
    answered_id = names.first(headers, names.ATTEMPT_ID)
    # A refusal may come without the id. A success always has it: without, it
    # is a late second answer to an earlier request on this connection.
    must_match = bool(answered_id) or response.is_success
    if call.key.id and must_match and answered_id != call.key.id:
        raise InvalidAnswerError(f'answer of another request, {answered_id}')
    if not effect.origin:
        _post_statements(response, effect, progress.asked_at, post)
    not_run = names.first(headers, names.NOT_RUN)
    if not_run or response.status_code == MISDIRECTED_STATUS:
        await _read_body(response)
        kind = calls.FaultKind.BUSY
        if response.status_code == MISDIRECTED_STATUS:
            kind = calls.FaultKind.MISDIRECTED
        detail = f'status {response.status_code}, not run'
        fault = calls.Fault(kind, calls.RunStatus.NOT_RUN, detail)
        post(events.AttemptFailed(call.handle, effect.attempt, fault))
        return
    if call.stream and response.is_success:
        await _relay_stream(response, effect, progress, post)
        return
    body = await _read_body(response)
    answer = calls.Answer(
        response.status_code, _select_forwarded_headers(headers), body
    )
    post(events.AnswerReceived(call.handle, effect.attempt, answer))


async def _read_body(response: httpx.Response) -> bytes:
    """Read a whole body.

    :raises InvalidAnswerError: it has more than `MAX_ANSWER_BYTES`.
    """
    chunks = []
    size = 0
    async for chunk in response.aiter_raw():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise InvalidAnswerError(f'more than {MAX_ANSWER_BYTES} bytes')
        chunks.append(chunk)
    return b''.join(chunks)


async def _relay_stream(
    response: httpx.Response,
    effect: effects.RelayAttempt,
    progress: _Progress,
    post: Post,
) -> None:
    """Post the events of a stream, each only once it is complete.

    The backend server may break off in the middle of an event.
    """
    handle = effect.call.handle
    head = calls.Head(
        response.status_code, _select_forwarded_headers(response.headers.raw)
    )
    began = False
    buffer = b''
    async for chunk in response.aiter_raw():
        if not began:
            began = True
            progress.first_byte_at = _CLOCK.now().mono
            post(events.HeadReceived(handle, effect.attempt, head))
        buffer += chunk
        end = buffer.rfind(EVENT_SEPARATOR)
        if end < 0:
            if len(buffer) > MAX_EVENT_BYTES:
                raise InvalidAnswerError('an event without an end')
            continue
        whole, buffer = buffer[: end + 2], buffer[end + 2 :]
        for event in whole.split(EVENT_SEPARATOR)[:-1]:
            data = event + EVENT_SEPARATOR
            number = _parse_event_id(event)
            post(
                events.StreamEventsReceived(
                    handle, effect.attempt, data, number
                )
            )
    if buffer:
        raise InvalidAnswerError('broken off in the middle of an event')
    if not began:
        post(events.HeadReceived(handle, effect.attempt, head))
    is_framed = (
        'content-length' in response.headers
        or 'transfer-encoding' in response.headers
    )
    post(events.RelayEnded(handle, effect.attempt, is_framed))


def _parse_event_id(event: bytes) -> int | None:
    """Return the numeric id of an event, none where it has none."""
    for line in event.split(b'\n'):
        name, _, value = line.partition(b':')
        if name == b'id' and value.strip().isdigit():
            return int(value)
    return None


def _select_forwarded_headers(
    headers: names.Headers,
) -> tuple[calls.Header, ...]:
    return tuple(
        calls.Header(name.decode('latin-1'), value.decode('latin-1'))
        for name, value in names.remove_hop_by_hop(headers)
    )


def _post_statements(
    response: httpx.Response,
    effect: effects.RelayAttempt,
    asked_at: int,
    post: Post,
) -> None:
    """Post what a server says about itself in the head of its answer."""
    headers = response.headers.raw
    load = names.first(headers, names.LOAD)
    if load:
        _post_load(load, effect.host, post)
    _post_notice(response, effect.host, post)
    if response.status_code != MISDIRECTED_STATUS:
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
        running, waiting, slots = (int(item) for item in figures[:3])
        if min(running, waiting, slots) < 0:
            raise ValueError(detail)
    except ValueError:
        post(events.AnswerLoadInvalid(host=host, detail=detail))
        return
    pace = 0
    try:
        pace = _parse_pace(figures[3]) if figures[3:] else 0
    except ValueError:
        post(events.AnswerLoadInvalid(host=host, detail=detail))
    post(events.AnswerLoadReceived(host, running, waiting, slots, pace))


def _parse_pace(figure: str) -> int:
    """Return a pace in percent.

    :raises ValueError: the figure is no pace.
    """
    pace = float(figure)
    if not 0 < pace <= MAX_PACE:
        raise ValueError(f'no pace: {pace}')
    return max(1, round(pace))


def _post_notice(response: httpx.Response, host: str, post: Post) -> None:
    """Post what a server says about itself in its answer, if anything.

    :param host: host of the lifetime that the request was sent to.
    """
    headers = response.headers.raw
    leaving = '1' in names.list_values(headers, names.SERVER_LEAVING)
    backoff_ms, detail = 0, ''
    if response.status_code == UNAVAILABLE_STATUS:
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

    :raises ValueError: one of them is no finite number from 0 on.
    """
    numbers = [float(value) for value in values]
    if not all(math.isfinite(item) and item >= 0 for item in numbers):
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
        longest_ms = max(longest_ms, milliseconds)
    detail = f'invalid Retry-After: {invalid}'[:MAX_DETAIL_CHARS]
    return longest_ms, detail if invalid else ''


def _build_fault(error: Exception) -> calls.Fault:
    """Return how an attempt failed and whether the request may have run."""
    detail = f'{type(error).__name__}: {error}'
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            return calls.Fault(
                calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, detail
            )
        case httpx.PoolTimeout():
            return calls.Fault(
                calls.FaultKind.BUSY, calls.RunStatus.NOT_RUN, detail
            )
        case InvalidAnswerError():
            kind = calls.FaultKind.INVALID
        case httpx.RemoteProtocolError():
            kind = calls.FaultKind.CUT
        case _:
            kind = calls.FaultKind.RESET
    return calls.Fault(kind, calls.RunStatus.UNKNOWN, detail)
