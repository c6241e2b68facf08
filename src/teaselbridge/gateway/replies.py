"""Responses to callers, whole and as streams."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import litestar
import litestar.response
import msgspec

from teaselbridge.backends import engine
from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.gateway import problems

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.runtime import outlets

HEARTBEAT_MS = 2_000
JSON = 'application/json'


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """Where a stream goes on.

    :param address: ``ip:port`` of the node that holds it now.
    """

    address: str


def answer(
    call: calls.Call, output: effects.SendAnswer
) -> litestar.Response[bytes]:
    """Build the response with a plain service's whole answer."""
    found = output.answer
    headers = {header.name: header.value for header in found.headers}
    headers['x-request-id'] = call.key.id
    if output.stored:
        headers['x-stored-answer'] = 'true'
    media_type = headers.pop('content-type', 'application/octet-stream')
    return litestar.Response(
        found.body,
        status_code=found.status,
        headers=headers,
        media_type=media_type,
    )


def moved(
    call: calls.Call, output: effects.SendMoved, scheme: str
) -> litestar.Response[bytes]:
    """Build the response that leads a caller to another node."""
    location = f'{scheme}://{output.address}{call.path}'
    headers = {'location': location, 'x-request-id': call.key.id}
    return litestar.Response(b'', status_code=307, headers=headers)


def completion(
    call: calls.Call,
    tokens: collections.abc.Sequence[str],
    end: effects.SendEnd,
) -> litestar.Response[bytes]:
    """Build the response with an engine's whole answer."""
    text = ''.join(tokens)
    choice: dict[str, object] = {'index': 0, 'finish_reason': end.finish}
    if call.path.startswith(engine.CHAT_PATH):
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    document = _envelope(call, choice)
    document['usage'] = _usage(end)
    return litestar.Response(
        msgspec.json.encode(document),
        media_type=JSON,
        headers={'x-request-id': call.key.id},
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestStatus:
    """What became of a request, as callers see it.

    :param id: id of the request.
    :param state: not-run, running, done or unknown.
    :param status: HTTP status of its answer, once done.
    :param answer: body of its answer in base64, once done.
    """

    id: str
    state: str
    status: int | None = None
    answer: bytes | None = None


def status(
    request: str, output: effects.SendStatus
) -> litestar.Response[bytes]:
    """Build the response that tells what became of a request."""
    found = output.answer
    document = RequestStatus(
        id=request,
        state=output.fate.value,
        status=None if found is None else found.status,
        answer=None if found is None else found.body,
    )
    return litestar.Response(msgspec.json.encode(document), media_type=JSON)


def stream(
    call: calls.Call,
    first: outlets.Output | None,
    queue: asyncio.Queue[outlets.Output],
    close: collections.abc.Callable[[], None],
) -> litestar.response.ServerSentEvent:
    """Build the response that passes tokens on as they come.

    :param first: output that was taken from the queue already.
    :param queue: output to come.
    :param close: called when the stream ends, for any reason.
    """

    async def generate() -> collections.abc.AsyncIterator[
        litestar.response.ServerSentEventMessage
    ]:
        try:
            output = first
            while True:
                if output is None:
                    yield _comment()
                else:
                    for message in _messages(call, output):
                        yield message
                    if not isinstance(output, effects.SendToken):
                        return
                output = await next_output(queue)
        finally:
            close()

    return litestar.response.ServerSentEvent(
        generate(), headers={'x-request-id': call.key.id}
    )


async def next_output(
    queue: asyncio.Queue[outlets.Output],
) -> outlets.Output | None:
    """Wait for output.

    :return: none when a heartbeat is due.
    """
    try:
        async with asyncio.timeout(clock.seconds(HEARTBEAT_MS)):
            return await queue.get()
    except TimeoutError:
        return None


def _messages(
    call: calls.Call, output: outlets.Output
) -> list[litestar.response.ServerSentEventMessage]:
    match output:
        case effects.SendToken():
            return [_token(call, output)]
        case effects.SendEnd():
            choice: dict[str, object] = {
                'index': 0,
                'delta': {},
                'finish_reason': output.finish,
            }
            document = _envelope(call, choice)
            document['usage'] = _usage(output)
            return [_event(document), _raw('[DONE]')]
        case effects.SendMoved():
            return [_event(Moved(output.address), event='moved')]
        case effects.SendRefusal():
            problem = problems.problem_of(output.refusal, call.key.id)
            return [_event(problem, event='error')]
    return []


def _token(
    call: calls.Call, output: effects.SendToken
) -> litestar.response.ServerSentEventMessage:
    choice: dict[str, object] = {'index': 0, 'finish_reason': None}
    if call.path.startswith(engine.CHAT_PATH):
        choice['delta'] = {'content': output.text}
    else:
        choice['text'] = output.text
    document = _envelope(call, choice)
    return _event(document, number=str(output.index + 1))


def _envelope(
    call: calls.Call, choice: dict[str, object]
) -> dict[str, object]:
    return {
        'id': call.key.id,
        'object': 'chat.completion.chunk',
        'model': call.route.match.model,
        'choices': [choice],
    }


def _usage(end: effects.SendEnd) -> dict[str, int]:
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.completion_tokens,
        'total_tokens': end.prompt_tokens + end.completion_tokens,
    }


def _event(
    document: object, event: str | None = None, number: str | None = None
) -> litestar.response.ServerSentEventMessage:
    return litestar.response.ServerSentEventMessage(
        data=msgspec.json.encode(document).decode(), event=event, id=number
    )


def _raw(data: str) -> litestar.response.ServerSentEventMessage:
    return litestar.response.ServerSentEventMessage(data=data)


def _comment() -> litestar.response.ServerSentEventMessage:
    return litestar.response.ServerSentEventMessage(comment='waiting')
