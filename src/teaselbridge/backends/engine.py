"""Client of model engines with an OpenAI-compatible streaming API."""

from __future__ import annotations

import dataclasses
import typing

import httpx
import httpx_sse
import msgspec

from teaselbridge.backends import faults
from teaselbridge.backends import progress
from teaselbridge.decisions import events
from teaselbridge import documents
from teaselbridge import errors

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import effects

CHAT_PATH = '/v1/chat/completions'
STREAM_END = '[DONE]'


@dataclasses.dataclass(frozen=True, slots=True)
class _Details:
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Usage:
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details = _Details()


@dataclasses.dataclass(frozen=True, slots=True)
class _Delta:
    content: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    text: str = ''
    delta: _Delta = _Delta()
    finish_reason: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Chunk:
    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None


async def run(
    client: httpx.AsyncClient,
    effect: effects.StartAttempt,
    post: collections.abc.Callable[[events.Event], None],
) -> None:
    """Run an attempt and post its tokens, and its end or its fault.

    :param client: client with pooled connections to the engines.
    :param effect: attempt to run.
    :param post: callback that receives the events.
    """
    try:
        async with progress.run_timer(effect.first_ms) as timer:
            await _stream(client, effect, post, timer)
    except (httpx.HTTPError, TimeoutError, faults.BackendError) as error:
        fault = await faults.classify_error(error, effect.address)
        post(events.AttemptFailed(effect.call.handle, effect.attempt, fault))


def build_body(
    body: bytes, path: str, sent: collections.abc.Sequence[str]
) -> bytes:
    """Build the body of an attempt that continues a completion.

    The tokens sent so far are appended to the prompt, and ``max_tokens`` is
    reduced by their number.

    :param body: request body of the caller.
    :param path: path of the request, for a chat or a plain completion.
    :param sent: tokens that the caller has already received.
    :return: body that requests the remaining tokens as a stream.
    """
    document = msgspec.json.decode(body)
    document['stream'] = True
    document['stream_options'] = {'include_usage': True}
    document.pop('resume_tokens', None)
    if not sent:
        return msgspec.json.encode(document)
    text = ''.join(sent)
    if 'max_tokens' in document:
        document['max_tokens'] = max(1, document['max_tokens'] - len(sent))
    if path.startswith(CHAT_PATH):
        part = {'role': 'assistant', 'content': text}
        document['messages'] = [*document['messages'], part]
        document['continue_final_message'] = True
        document['add_generation_prompt'] = False
    else:
        document['prompt'] = document['prompt'] + text
    return msgspec.json.encode(document)


async def _stream(
    client: httpx.AsyncClient,
    effect: effects.StartAttempt,
    post: collections.abc.Callable[[events.Event], None],
    timer: progress.ProgressTimer,
) -> None:
    call = effect.call
    url = f'http://{effect.address}{call.path}'
    headers = {
        'content-type': 'application/json',
        'x-request-id': call.key.id,
        'x-priority': str(call.route.priority),
    }
    content = build_body(call.body, call.path, effect.sent)
    finish = ''
    usage = _Usage()
    async with client.stream(
        'POST', url, content=content, headers=headers
    ) as response:
        await faults.check_status(response)
        source = httpx_sse.EventSource(response)
        async for item in source.aiter_sse():
            if not item.data:
                # A comment after an event with an id.
                continue
            if item.data == STREAM_END:
                break
            chunk = _decode(item.data)
            usage = chunk.usage or usage
            for choice in chunk.choices:
                timer.restart(effect.token_timeout_ms)
                finish = choice.finish_reason or finish
                text = choice.text or choice.delta.content
                if text:
                    post(
                        events.TokenReceived(call.handle, effect.attempt, text)
                    )
        else:
            raise faults.StreamCutError()
    post(
        events.StreamEnded(
            call.handle,
            effect.attempt,
            finish or 'stop',
            usage.prompt_tokens_details.cached_tokens,
            usage.prompt_tokens,
        )
    )


def _decode(data: str) -> _Chunk:
    try:
        return documents.decode(data, _Chunk, 'event')
    except errors.DocumentError as error:
        raise faults.MalformedError(str(error)) from error
