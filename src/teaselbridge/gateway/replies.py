"""Build responses to callers, complete and streamed."""

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

# Interval of heartbeats on a stream that waits for output.
HEARTBEAT_INTERVAL_MS = 2_000
JSON_MEDIA_TYPE = 'application/json'


@dataclasses.dataclass(frozen=True, slots=True)
class MovedEvent:
    """Event that tells a caller where its stream continues.

    :param address: ``ip:port`` of the node that took over the request.
    """

    address: str


def answer(
    call: calls.Call, output: effects.SendAnswer
) -> litestar.Response[bytes]:
    """Build the response with the complete answer of a plain service."""
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
    call: calls.Call, output: effects.SendRedirect, scheme: str
) -> litestar.Response[bytes]:
    """Build the redirect to another node."""
    location = f'{scheme}://{output.address}{call.path}'
    headers = {'location': location, 'x-request-id': call.key.id}
    return litestar.Response(b'', status_code=307, headers=headers)


def build_completion_response(
    call: calls.Call,
    tokens: collections.abc.Sequence[str],
    end: effects.SendEnd,
) -> litestar.Response[bytes]:
    """Build the response with the complete answer of an engine."""
    text = ''.join(tokens)
    choice: dict[str, object] = {'index': 0, 'finish_reason': end.finish}
    if call.path.startswith(engine.CHAT_PATH):
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    document = _build_document(call, choice)
    document['usage'] = _count_tokens(end)
    return litestar.Response(
        msgspec.json.encode(document),
        media_type=JSON_MEDIA_TYPE,
        headers={'x-request-id': call.key.id},
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestStatus:
    """Status of an earlier request, as callers get it.

    :param id: id of the request.
    :param state: ``not-run``, ``running``, ``done`` or ``unknown``.
    :param status: HTTP status of the answer, if done.
    :param answer: body of the answer, if done; base64 in JSON.
    """

    id: str
    state: str
    status: int | None = None
    answer: bytes | None = None


def status(
    request: str, output: effects.SendStatus
) -> litestar.Response[bytes]:
    """Build the response with the status of an earlier request."""
    found = output.answer
    document = RequestStatus(
        id=request,
        state=output.status.value,
        status=None if found is None else found.status,
        answer=None if found is None else found.body,
    )
    return litestar.Response(
        msgspec.json.encode(document), media_type=JSON_MEDIA_TYPE
    )


def stream(
    call: calls.Call,
    first: outlets.Output | None,
    queue: asyncio.Queue[outlets.Output],
    close: collections.abc.Callable[[], None],
) -> litestar.response.ServerSentEvent:
    """Build the response that streams tokens as they arrive.

    :param first: output already taken from the queue, none to start with a
        heartbeat.
    :param queue: further output.
    :param close: called when the stream ends, for any reason.
    """

    async def generate() -> collections.abc.AsyncIterator[
        litestar.response.ServerSentEventMessage
    ]:
        try:
            output = first
            while True:
                if output is None:
                    yield _heartbeat()
                else:
                    for message in _build_events(call, output):
                        yield message
                    if not isinstance(output, effects.SendToken):
                        return
                output = await wait_for_output(queue)
        finally:
            close()

    return litestar.response.ServerSentEvent(
        generate(), headers={'x-request-id': call.key.id}
    )


async def wait_for_output(
    queue: asyncio.Queue[outlets.Output],
) -> outlets.Output | None:
    """Wait for the next output.

    :return: none if a heartbeat is due before any output.
    """
    try:
        async with asyncio.timeout(clock.seconds(HEARTBEAT_INTERVAL_MS)):
            return await queue.get()
    except TimeoutError:
        return None


def _build_events(
    call: calls.Call, output: outlets.Output
) -> list[litestar.response.ServerSentEventMessage]:
    """Build the server-sent events for an output."""
    match output:
        case effects.SendToken():
            return [_token_event(call, output)]
        case effects.SendEnd():
            choice: dict[str, object] = {
                'index': 0,
                'delta': {},
                'finish_reason': output.finish,
            }
            document = _build_document(call, choice)
            document['usage'] = _count_tokens(output)
            return [_json_event(document), _text_event('[DONE]')]
        case effects.SendRedirect():
            return [_json_event(MovedEvent(output.address), event='moved')]
        case effects.SendRefusal():
            problem = problems.build_problem(output.refusal, call.key.id)
            return [_json_event(problem, event='error')]
    return []


def _token_event(
    call: calls.Call, output: effects.SendToken
) -> litestar.response.ServerSentEventMessage:
    choice: dict[str, object] = {'index': 0, 'finish_reason': None}
    if call.path.startswith(engine.CHAT_PATH):
        choice['delta'] = {'content': output.text}
    else:
        choice['text'] = output.text
    document = _build_document(call, choice)
    return _json_event(document, number=str(output.index + 1))


def _build_document(
    call: calls.Call, choice: dict[str, object]
) -> dict[str, object]:
    """Build an OpenAI-compatible completion document with one choice."""
    return {
        'id': call.key.id,
        'object': 'chat.completion.chunk',
        'model': call.route.match.model,
        'choices': [choice],
    }


def _count_tokens(end: effects.SendEnd) -> dict[str, int]:
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.completion_tokens,
        'total_tokens': end.prompt_tokens + end.completion_tokens,
    }


def _json_event(
    document: object, event: str | None = None, number: str | None = None
) -> litestar.response.ServerSentEventMessage:
    return litestar.response.ServerSentEventMessage(
        data=msgspec.json.encode(document).decode(), event=event, id=number
    )


def _text_event(data: str) -> litestar.response.ServerSentEventMessage:
    return litestar.response.ServerSentEventMessage(data=data)


def _heartbeat() -> litestar.response.ServerSentEventMessage:
    return litestar.response.ServerSentEventMessage(comment='waiting')
