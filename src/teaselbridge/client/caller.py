"""Sends requests to the system, follows it, retries and resumes."""

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

if typing.TYPE_CHECKING:
    import collections.abc

CONNECT_MS = 1_000
SILENT_MS = 6_000
RETRY_MS = 50
RETRY_MOST_MS = 1_000
CHAT_PATH = '/v1/chat/completions'
DONE = '[DONE]'


class Caller:
    """Calls the system on behalf of one workspace.

    :param seeds: ``ip:port`` of some nodes.
    :param key: bearer key of the workspace.
    :param zone: availability zone of the caller.
    :param ca: file with the authority of the nodes' certificates, empty
        for plain HTTP.
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
                clocks.seconds(SILENT_MS), connect=clocks.seconds(CONNECT_MS)
            ),
            limits=httpx.Limits(max_connections=None),
            trust_env=False,
            verify=ca or False,
        )
        self._book = book.AddressBook(
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
        """Ask an engine, and go on at another node where one stops.

        :param document: OpenAI-shaped request.
        :param on_token: called with each token as it comes.
        :raises outcomes.RefusedError: a final refusal.
        :raises outcomes.LateError: the deadline passed.
        """
        stream = _Stream(
            document=document, path=path, on_token=on_token or _ignore
        )
        request = str(uuid_utils.uuid7())
        began = self._clock.now().mono
        try:
            async with asyncio.timeout(clocks.seconds(deadline_ms)):
                await self._follow(stream, request, began + deadline_ms)
        except TimeoutError as error:
            raise outcomes.LateError(request) from error
        return stream.completion(request, began)

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        request: str = '',
        deadline_ms: int = 10_000,
    ) -> outcomes.Reply:
        """Ask a plain service.

        The id stays the same over all tries, so an order runs once.

        :param request: id of the request, made where it is empty.
        :raises outcomes.RefusedError: a final refusal.
        :raises outcomes.LateError: the deadline passed.
        """
        request = request or str(uuid_utils.uuid7())
        began = self._clock.now().mono
        try:
            async with asyncio.timeout(clocks.seconds(deadline_ms)):
                response = await self._retry(
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

    async def _follow(
        self, stream: _Stream, request: str, deadline: int
    ) -> None:
        address = ''
        attempt = 0
        while True:
            address = address or await self._book.pick()
            try:
                address = await self._stream_once(
                    stream, request, address, deadline
                )
                if stream.finish:
                    return
            except _Cut:
                if stream.finish:
                    return
                self._book.avoid(address)
                address = ''
            except outcomes.RefusedError as error:
                await self._wait_or_raise(error, deadline)
                address = ''
            if stream.tokens:
                stream.resumed += 1
            attempt += 1
            if not address:
                await self._back_off(attempt)

    async def _stream_once(
        self, stream: _Stream, request: str, address: str, deadline: int
    ) -> str:
        """Take one connection's part of a stream.

        :return: address of the node to go on at, empty for any.
        """
        stream.sendings += 1
        headers = self._headers(request, deadline, stream.sendings)
        try:
            async with self._http.stream(
                'POST',
                f'{self._scheme}://{address}{stream.path}',
                content=stream.body(),
                headers=headers,
            ) as response:
                if response.status_code == httpx.codes.TEMPORARY_REDIRECT:
                    return _moved_to(response)
                if response.status_code != httpx.codes.OK:
                    await response.aread()
                    raise _refusal(response)
                return await stream.take(response)
        except httpx.HTTPError as error:
            raise _Cut from error

    async def _retry(
        self,
        method: str,
        path: str,
        body: bytes,
        request: str,
        deadline: int,
    ) -> httpx.Response:
        address = ''
        sending = 0
        while True:
            address = address or await self._book.pick()
            sending += 1
            try:
                response = await self._http.request(
                    method,
                    f'{self._scheme}://{address}{path}',
                    content=body,
                    headers=self._headers(request, deadline, sending),
                )
            except httpx.HTTPError:
                self._book.avoid(address)
                address = ''
                await self._back_off(sending)
                continue
            if response.status_code == httpx.codes.TEMPORARY_REDIRECT:
                address = _moved_to(response)
                continue
            if not _is_problem(response):
                return response
            await self._wait_or_raise(_refusal(response), deadline)
            address = ''

    def _headers(
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

    async def _wait_or_raise(
        self, error: outcomes.RefusedError, deadline: int
    ) -> None:
        """Come back when the system said, if there is time."""
        wait = error.retry_after_ms
        left = deadline - self._clock.now().mono
        if not wait or wait >= left:
            raise error
        await asyncio.sleep(clocks.seconds(wait))

    async def _back_off(self, attempt: int) -> None:
        most = min(RETRY_MOST_MS, RETRY_MS << min(attempt, 8))
        await asyncio.sleep(clocks.seconds(self._random.randint(0, most)))


class _Cut(Exception):
    """A connection ended before the answer did."""


class _Stream:
    """An answer that comes in parts, perhaps from several nodes."""

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
        self._times: list[int] = []
        self.path = path
        self.tokens: list[str] = []
        self.finish = ''
        self.resumed = 0
        self.sendings = 0

    def body(self) -> bytes:
        """Build the request for the rest of the answer."""
        document = {**self._document, 'stream': True}
        if self.tokens:
            document['resume_tokens'] = self.tokens
        return msgspec.json.encode(document)

    async def take(self, response: httpx.Response) -> str:
        """Take in one connection's events.

        :return: address of the node to go on at, empty for any.
        """
        async for event in httpx_sse.EventSource(response).aiter_sse():
            if event.event == 'moved':
                return str(msgspec.json.decode(event.data)['address'])
            if event.event == 'error':
                problem = msgspec.json.decode(
                    event.data, type=outcomes.Problem
                )
                raise outcomes.RefusedError(problem)
            if event.data == DONE:
                return ''
            self._add(event)
        raise _Cut

    def completion(self, request: str, began: int) -> outcomes.Completion:
        """Describe the whole answer."""
        times = self._times or [began]
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

    def _add(self, event: httpx_sse.ServerSentEvent) -> None:
        choice = msgspec.json.decode(event.data)['choices'][0]
        self.finish = choice.get('finish_reason') or self.finish
        text = choice.get('text') or choice.get('delta', {}).get('content')
        if not text or int(event.id) != len(self.tokens) + 1:
            return
        self.tokens.append(text)
        self._times.append(self._clock.now().mono)
        self._on_token(text)


def _ignore(_: str) -> None:
    """Take a token and do nothing."""


def _moved_to(response: httpx.Response) -> str:
    return httpx.URL(response.headers['location']).netloc.decode()


def _is_problem(response: httpx.Response) -> bool:
    kind: str = response.headers.get('content-type', '')
    return kind.startswith('application/problem+json')


def _refusal(response: httpx.Response) -> outcomes.RefusedError:
    try:
        problem = msgspec.json.decode(response.content, type=outcomes.Problem)
    except msgspec.DecodeError:
        problem = outcomes.Problem(status=response.status_code)
    after = float(response.headers.get('retry-after', '0'))
    return outcomes.RefusedError(problem, round(after * clocks.SECOND))
