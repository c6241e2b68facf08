"""Client of backend servers: passes requests on as they came."""

from __future__ import annotations

import typing

import httpx

from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.platform import names

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import effects

EVENT_END = b'\n\n'
MISDIRECTED = 421
# Events are small; a stream that never ends one is broken.
EVENT_BYTES_MOST = 1 << 20

Post: typing.TypeAlias = 'collections.abc.Callable[[events.Event], None]'


class InvalidAnswerError(Exception):
    """An answer that does not belong to the request, or is malformed."""


async def run(
    client: httpx.AsyncClient, effect: effects.RelayAttempt, post: Post
) -> None:
    """Run an attempt and post what comes of it.

    :param client: keeps connections to the server.
    :param effect: what to pass on.
    :param post: takes the events.
    """
    handle = effect.call.handle
    try:
        response = await client.send(_request(effect), stream=True)
        try:
            await _receive(response, effect, post)
        finally:
            await response.aclose()
    except (httpx.HTTPError, InvalidAnswerError) as error:
        fault = _explain(error)
        post(events.AttemptFailed(handle, effect.attempt, fault))


def _request(effect: effects.RelayAttempt) -> httpx.Request:
    call = effect.call
    headers = [
        (header.name.encode('latin-1'), header.value.encode('latin-1'))
        for header in call.headers
    ]
    added = {
        names.DEADLINE_MS: str(effect.remaining_ms),
        names.EXPECT_INSTANCE: effect.instance,
        names.WORKSPACE: call.key.workspace,
        names.LAST_EVENT_ID: effect.last_event,
        names.CACHE_SOURCE: effect.source,
    }
    if effect.urgency is not None:
        added[names.URGENCY] = str(effect.urgency)
    headers += [
        (name, value.encode('latin-1'))
        for name, value in added.items()
        if value
    ]
    if call.body or call.method not in ('GET', 'HEAD', 'DELETE'):
        headers.append((b'content-length', str(len(call.body)).encode()))
    return httpx.Request(
        call.method,
        f'http://{effect.address}/',
        headers=headers,
        content=call.body or None,
        # The path goes out byte by byte as it came in.
        extensions={'target': call.path.encode('latin-1')},
    )


async def _receive(
    response: httpx.Response, effect: effects.RelayAttempt, post: Post
) -> None:
    call = effect.call
    headers = response.headers.raw
    echoed = names.first(headers, names.ATTEMPT_ID)
    if call.key.id and echoed and echoed != call.key.id:
        raise InvalidAnswerError(f'answer of another request, {echoed}')
    load = names.first(headers, names.LOAD)
    if load:
        _tell_load(load, effect.address, post)
    not_run = names.first(headers, names.NOT_RUN)
    if not_run or response.status_code == MISDIRECTED:
        await response.aread()
        kind = calls.FaultKind.BUSY
        if response.status_code == MISDIRECTED:
            kind = calls.FaultKind.MISDIRECTED
        detail = f'status {response.status_code}, not run'
        fault = calls.Fault(kind, calls.Ran.NO, detail)
        post(events.AttemptFailed(call.handle, effect.attempt, fault))
        return
    if call.stream and response.is_success:
        await _stream(response, effect, post)
        return
    body = await _read(response)
    answer = calls.Answer(response.status_code, _passed_on(headers), body)
    post(events.AnswerCame(call.handle, effect.attempt, answer))


async def _read(response: httpx.Response) -> bytes:
    chunks = [chunk async for chunk in response.aiter_raw()]
    return b''.join(chunks)


async def _stream(
    response: httpx.Response, effect: effects.RelayAttempt, post: Post
) -> None:
    """Pass on whole events only: a server may stop in the middle of one."""
    handle = effect.call.handle
    head = calls.Head(response.status_code, _passed_on(response.headers.raw))
    began = False
    rest = b''
    async for chunk in response.aiter_raw():
        if not began:
            began = True
            post(events.HeadCame(handle, effect.attempt, head))
        rest += chunk
        end = rest.rfind(EVENT_END)
        if end < 0:
            if len(rest) > EVENT_BYTES_MOST:
                raise InvalidAnswerError('an event without an end')
            continue
        whole, rest = rest[: end + 2], rest[end + 2 :]
        for event in whole.split(EVENT_END)[:-1]:
            data = event + EVENT_END
            number = _number(event)
            post(events.EventsCame(handle, effect.attempt, data, number))
    if rest:
        raise InvalidAnswerError('broken off in the middle of an event')
    if not began:
        post(events.HeadCame(handle, effect.attempt, head))
    post(events.RelayEnded(handle, effect.attempt))


def _number(event: bytes) -> int | None:
    """Read the number of an event, none where it bears none."""
    for line in event.split(b'\n'):
        name, _, value = line.partition(b':')
        if name == b'id' and value.strip().isdigit():
            return int(value)
    return None


def _passed_on(headers: names.Headers) -> tuple[calls.Header, ...]:
    return tuple(
        calls.Header(name.decode('latin-1'), value.decode('latin-1'))
        for name, value in names.end_to_end(headers)
    )


def _tell_load(load: str, address: str, post: Post) -> None:
    try:
        running, waiting, slots = (int(item) for item in load.split(','))
    except ValueError:
        return
    post(events.LoadSeen(address, running, waiting, slots))


def _explain(error: Exception) -> calls.Fault:
    """Tell how an attempt failed, and whether it may have run."""
    detail = f'{type(error).__name__}: {error}'
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            return calls.Fault(calls.FaultKind.CONNECT, calls.Ran.NO, detail)
        case httpx.PoolTimeout():
            return calls.Fault(calls.FaultKind.BUSY, calls.Ran.NO, detail)
        case InvalidAnswerError():
            kind = calls.FaultKind.INVALID
        case httpx.RemoteProtocolError():
            kind = calls.FaultKind.CUT
        case _:
            kind = calls.FaultKind.RESET
    return calls.Fault(kind, calls.Ran.UNKNOWN, detail)
