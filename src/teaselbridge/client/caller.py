"""Client that sends requests to the system.

It follows redirects, retries refused and failed requests, and resumes a
broken stream at another node.
"""

from __future__ import annotations

import asyncio
import random
import typing

import httpx
import httpx_sse
import msgspec
import uuid_utils

from teaselbridge.client import book
from teaselbridge.client import outcomes
from teaselbridge import clock as clocks
from teaselbridge import documents
from teaselbridge import errors

if typing.TYPE_CHECKING:
    import collections.abc

CONNECT_TIMEOUT_MS = 1_000
# Longer than the heartbeat interval of the nodes, so that a stream that waits
# for tokens does not time out.
READ_TIMEOUT_MS = 6_000
# Exponential backoff between retries.
BASE_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
CHAT_PATH = '/v1/chat/completions'
# Last event of a stream.
STREAM_END = '[DONE]'


class Caller:
    """Client that sends the requests of one workspace.

    :param seeds: ``ip:port`` of the nodes to start from.
    :param key: bearer key of the workspace.
    :param zone: availability zone of the caller.
    :param ca: path of the CA certificate that signed the nodes'
        certificates, empty for plain HTTP.
    :param seed: seed of the random generator.
    """

    def __init__(
        self,
        *,
        seeds: tuple[str, ...],
        key: str = '',
        zone: str = '',
        ca: str = '',
        seed: int = 0,
    ) -> None:
        self._key = key
        self._scheme = 'https' if ca else 'http'
        self._clock = clocks.Clock()
        self._random = random.Random(seed)
        self._http = httpx.AsyncClient(
            timeout=httpx.Timeout(
                clocks.seconds(READ_TIMEOUT_MS),
                connect=clocks.seconds(CONNECT_TIMEOUT_MS),
            ),
            limits=httpx.Limits(max_connections=None),
            trust_env=False,
            verify=ca or False,
        )
        self._book = book.AddressCache(
            seeds=seeds,
            zone=zone,
            http=self._http,
            scheme=self._scheme,
            clock=self._clock,
            generator=self._random,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def complete(
        self,
        document: dict[str, typing.Any],
        *,
        path: str = CHAT_PATH,
        deadline_ms: int = 30_000,
        on_token: collections.abc.Callable[[str], None] | None = None,
    ) -> outcomes.Completion:
        """Request a completion from an engine and return it whole.

        A broken stream is resumed at another node.

        :param document: OpenAI-compatible request.
        :param path: path of the request.
        :param deadline_ms: time limit over all attempts.
        :param on_token: called with each token as it arrives.
        :raises outcomes.RefusedError: the refusal is final.
        :raises outcomes.LateError: the deadline passed.
        """
        stream = _Stream(
            document=document, path=path, on_token=on_token or _discard_token
        )
        request = str(uuid_utils.uuid7())
        began = self._clock.now().mono
        try:
            async with asyncio.timeout(clocks.seconds(deadline_ms)):
                await self._stream_with_retries(
                    stream, request, began + deadline_ms
                )
        except TimeoutError as error:
            raise outcomes.LateError(request) from error
        return stream.build_completion(request, began)

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        request: str = '',
        deadline_ms: int = 10_000,
    ) -> outcomes.Reply:
        """Send a request to a plain service.

        All attempts carry the same id, so that a non-idempotent request
        runs only once.

        :param request: id of the request, generated if empty.
        :param deadline_ms: time limit over all attempts.
        :raises outcomes.RefusedError: the refusal is final.
        :raises outcomes.LateError: the deadline passed.
        """
        request = request or str(uuid_utils.uuid7())
        began = self._clock.now().mono
        try:
            async with asyncio.timeout(clocks.seconds(deadline_ms)):
                response = await self._send_with_retries(
                    method, path, body, request, began + deadline_ms
                )
        except TimeoutError as error:
            raise outcomes.LateError(request) from error
        return outcomes.Reply(
            request=request,
            status=response.status_code,
            body=response.content,
            stored='x-stored-answer' in response.headers,
            total_ms=self._clock.now().mono - began,
        )

    async def _stream_with_retries(
        self, stream: _Stream, request: str, deadline: int
    ) -> None:
        """Receive a stream to its end, over as many connections as needed.

        :raises outcomes.RefusedError: the refusal is final.
        """
        address = ''
        attempt = 0
        while True:
            address = address or await self._book.choose_address()
            try:
                address = await self._stream_once(
                    stream, request, address, deadline
                )
                if stream.finish:
                    return
            except _ConnectionLostError:
                if stream.finish:
                    return
                self._book.avoid_address(address)
                address = ''
            except outcomes.RefusedError as error:
                await self._wait_for_retry(error, deadline)
                address = ''
            if stream.tokens:
                stream.resumed += 1
            attempt += 1
            if not address:
                await self._back_off(attempt)

    async def _stream_once(
        self, stream: _Stream, request: str, address: str, deadline: int
    ) -> str:
        """Receive the part of a stream that arrives over one connection.

        :return: address of the node at which the stream continues, empty
            for any.
        :raises _ConnectionLostError: the connection was lost.
        :raises outcomes.RefusedError: the node refused the request.
        """
        stream.connection_count += 1
        headers = self._build_headers(
            request, deadline, stream.connection_count
        )
        try:
            async with self._http.stream(
                'POST',
                f'{self._scheme}://{address}{stream.path}',
                content=stream.body(),
                headers=headers,
            ) as response:
                if response.status_code == httpx.codes.TEMPORARY_REDIRECT:
                    return _redirect_address(response)
                if response.status_code != httpx.codes.OK:
                    await response.aread()
                    raise _parse_refusal(response)
                return await stream.read_events(response)
        except httpx.HTTPError as error:
            raise _ConnectionLostError from error

    async def _send_with_retries(
        self,
        method: str,
        path: str,
        body: bytes,
        request: str,
        deadline: int,
    ) -> httpx.Response:
        """Send a request until a node returns a response to it.

        :raises outcomes.RefusedError: the refusal is final.
        """
        address = ''
        sending = 0
        while True:
            address = address or await self._book.choose_address()
            sending += 1
            try:
                response = await self._http.request(
                    method,
                    f'{self._scheme}://{address}{path}',
                    content=body,
                    headers=self._build_headers(request, deadline, sending),
                )
            except httpx.HTTPError:
                self._book.avoid_address(address)
                address = ''
                await self._back_off(sending)
                continue
            if response.status_code == httpx.codes.TEMPORARY_REDIRECT:
                address = _redirect_address(response)
                continue
            if not _is_problem(response):
                return response
            await self._wait_for_retry(_parse_refusal(response), deadline)
            address = ''

    def _build_headers(
        self, request: str, deadline: int, sending: int
    ) -> dict[str, str]:
        left = max(1, deadline - self._clock.now().mono)
        headers = {
            'content-type': 'application/json',
            'idempotency-key': f'"{request}"',
            'x-deadline-ms': str(left),
            'x-request-attempt': str(sending),
        }
        if self._key:
            headers['authorization'] = f'Bearer {self._key}'
        return headers

    async def _wait_for_retry(
        self, error: outcomes.RefusedError, deadline: int
    ) -> None:
        """Wait until the request may be retried.

        :raises outcomes.RefusedError: the refusal is final, or the deadline
            is before the retry.
        """
        wait = error.retry_after_ms
        left = deadline - self._clock.now().mono
        if not wait or wait >= left:
            raise error
        await asyncio.sleep(clocks.seconds(wait))

    async def _back_off(self, attempt: int) -> None:
        """Sleep for a random time up to the exponential backoff."""
        most = min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << min(attempt, 8))
        await asyncio.sleep(clocks.seconds(self._random.randint(0, most)))


class _ConnectionLostError(Exception):
    """A connection ended before the response was complete."""


class _Moved(msgspec.Struct, frozen=True):
    """Notice that a stream goes on at another node."""

    address: str


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    finish_reason: str | None = None
    text: str | None = None
    delta: _Delta = _Delta()


class _Chunk(msgspec.Struct, frozen=True):
    """Event of a streamed completion."""

    choices: tuple[_Choice, ...] = ()


class _Stream:
    """A streamed completion, possibly received from several nodes.

    :param document: OpenAI-compatible request.
    :param path: path of the request.
    :param on_token: called with each token as it arrives.
    """

    def __init__(
        self,
        *,
        document: dict[str, typing.Any],
        path: str,
        on_token: collections.abc.Callable[[str], None],
    ) -> None:
        self._document = document
        self._on_token = on_token
        self._clock = clocks.Clock()
        self._token_times: list[int] = []
        self.path = path
        self.tokens: list[str] = []
        self.finish = ''
        self.resumed = 0
        self.connection_count = 0

    def body(self) -> bytes:
        """Encode the request for the tokens not yet received."""
        document = {**self._document, 'stream': True}
        if self.tokens:
            document['resume_tokens'] = self.tokens
        return msgspec.json.encode(document)

    async def read_events(self, response: httpx.Response) -> str:
        """Read the events of one connection.

        :return: address of the node at which the stream continues, empty
            for any.
        :raises _ConnectionLostError: the connection was lost.
        :raises outcomes.RefusedError: the node ended the stream with an
            error.
        """
        async for event in httpx_sse.EventSource(response).aiter_sse():
            if not event.data:
                # A comment after an event with an id.
                continue
            if event.data == STREAM_END:
                return ''
            try:
                moved_to = self._handle_event(event)
            except errors.DocumentError as error:
                # Another connection continues after the last whole event.
                raise _ConnectionLostError from error
            if moved_to:
                return moved_to
        raise _ConnectionLostError

    def _handle_event(self, event: httpx_sse.ServerSentEvent) -> str:
        """Record the token of an event, or raise the error that it holds.

        :return: address of the node that it names to go on at, empty for
            none.
        :raises outcomes.RefusedError: the event is an error.
        :raises errors.DocumentError: its data cannot be decoded.
        """
        if event.event == 'moved':
            return documents.decode(event.data, _Moved, 'node').address
        if event.event == 'error':
            raise outcomes.RefusedError(
                documents.decode(event.data, outcomes.Problem, 'node')
            )
        self._add_token(event)
        return ''

    def build_completion(
        self, request: str, began: int
    ) -> outcomes.Completion:
        """Return the complete answer with its timings."""
        times = self._token_times or [began]
        gaps = [
            float(later - earlier)
            for earlier, later in zip(times, times[1:], strict=False)
        ]
        return outcomes.Completion(
            request=request,
            tokens=tuple(self.tokens),
            finish=self.finish,
            first_ms=times[0] - began,
            gaps_ms=tuple(gaps),
            total_ms=self._clock.now().mono - began,
            resumed=self.resumed,
        )

    def _add_token(self, event: httpx_sse.ServerSentEvent) -> None:
        """Record the token of an event, unless it is out of sequence."""
        chunk = documents.decode(event.data, _Chunk, 'node')
        if not chunk.choices:
            return
        choice = chunk.choices[0]
        self.finish = choice.finish_reason or self.finish
        text = choice.text or choice.delta.content
        if not text or event.id != str(len(self.tokens) + 1):
            return
        self.tokens.append(text)
        self._token_times.append(self._clock.now().mono)
        self._on_token(text)


def _discard_token(_: str) -> None:
    """Ignore a token."""


def _redirect_address(response: httpx.Response) -> str:
    """Return ``host:port`` of the node that a redirect names."""
    return httpx.URL(response.headers['location']).netloc.decode()


def _is_problem(response: httpx.Response) -> bool:
    """Return whether the response is a problem document (RFC 9457)."""
    kind: str = response.headers.get('content-type', '')
    return kind.startswith('application/problem+json')


def _parse_refusal(response: httpx.Response) -> outcomes.RefusedError:
    """Build the error for a refusal, even one without a valid document."""
    try:
        problem = documents.decode(response.content, outcomes.Problem, 'node')
    except errors.DocumentError:
        problem = outcomes.Problem(status=response.status_code)
    after = float(response.headers.get('retry-after', '0'))
    return outcomes.RefusedError(problem, round(after * clocks.SECOND_MS))
