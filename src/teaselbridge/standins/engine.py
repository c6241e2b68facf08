"""Simulated model engine.

The text of an answer depends on the prompt alone, so that a test can compare
a resumed answer with the uninterrupted one.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import heapq
import itertools
import json
import random
import typing

import litestar
import litestar.exceptions
import litestar.params
import litestar.response
import xxhash

from teaselbridge import clock as clocks
from teaselbridge.standins import behaviour as behaviours
from teaselbridge.standins import cache as caches

if typing.TYPE_CHECKING:
    import collections.abc

CHARACTERS_PER_TOKEN = 4
CRASH_PROMPT = 'crash the server'
VOCABULARY_SIZE = 997
CHAT_PATH = '/v1/chat/completions'
BLOCK_IMPORT_S = 0.0005
WITHHELD_EVENTS = 5
DROPPED_EVENT_INTERVAL = 10

Document: typing.TypeAlias = dict[str, typing.Any]
Body: typing.TypeAlias = litestar.params.JSONBody[Document]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Speed:
    """Capacity and speed of an engine.

    :param slots: maximum number of concurrent requests.
    :param token_ms: time between two tokens when the engine is idle.
    :param batch_factor: relative slowdown with all slots in use.
    :param prefill_ms: time for a prompt token that is not cached.
    :param cache_blocks: maximum number of blocks in the prefix cache.
    :param report_lag_ms: age of the load that the engine reports.
    """

    slots: int = 8
    token_ms: float = 4.0
    batch_factor: float = 0.5
    prefill_ms: float = 0.05
    cache_blocks: int = 4_000
    report_lag_ms: int = 300


@dataclasses.dataclass(slots=True)
class Figures:
    """Counts of the work that an engine has done.

    ``recomputed_tokens`` counts prompt tokens that some engine had computed
    before.
    """

    requests: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    tokens: int = 0
    failed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadSample:
    """Load from a point in time, in monotonic milliseconds."""

    at: int
    running: int
    waiting: int


class Slots:
    """Slots for running requests, with a queue ordered by priority.

    A lower priority number is served first, equal ones in order of arrival.

    :param most: maximum number of running requests.
    """

    def __init__(self, *, most: int) -> None:
        self._max_running = most
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot and occupy it."""
        if self.running < self._max_running:
            self.running += 1
            return
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        entry = (priority, next(self._arrival_numbers), future)
        heapq.heappush(self._waiting, entry)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            elif entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def release(self) -> None:
        """Free a slot, or hand it to the first request in the queue."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1


class BusyError(litestar.exceptions.HTTPException):
    """Refusal of a request that has certainly not been run."""

    status_code = 503
    headers = {'x-request-ran': 'no'}


class Engine:
    """One simulated model engine.

    :param host: name of its host.
    :param version: version that it runs; empty if none is loaded.
    :param speed: capacity and speed.
    :param behaviours_by_version: injected faults by version.
    :param clock: clocks of the process.
    :param seed: seed of the random generator.
    :param on_crash: called when a request crashes the engine.
    :param checks_fencing: whether to refuse stale fencing tokens.
    :param load: coroutine function that loads the weights of a version.
    :param computed_blocks: hashes of prompt blocks that any engine has
        computed, shared by all engines.
    """

    def __init__(
        self,
        *,
        host: str,
        version: str,
        speed: Speed,
        behaviours_by_version: dict[str, behaviours.Behaviour],
        clock: clocks.Clock,
        seed: int,
        on_crash: collections.abc.Callable[[], None],
        checks_fencing: bool = False,
        load: collections.abc.Callable[[str], collections.abc.Awaitable[None]]
        | None = None,
        computed_blocks: set[str] | None = None,
    ) -> None:
        self._host = host
        self._speed = speed
        self._behaviours = behaviours_by_version
        self._clock = clock
        self._random = random.Random(seed)
        self._crash = on_crash
        self._checks_fencing = checks_fencing
        self._load_weights = load
        self._computed_blocks = (
            set() if computed_blocks is None else computed_blocks
        )
        self._version_since = clock.now().mono
        self._load_history = collections.deque([_LoadSample(0, 0, 0)])
        self._highest_fence = 0
        self._change_task: asyncio.Task[None] | None = None
        self.version = version
        self.wanted = version
        self.leaving = False
        self.slots = Slots(most=speed.slots)
        self.cache = caches.PrefixCache(blocks=speed.cache_blocks)
        self.figures = Figures()
        self.orders: list[Document] = []

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self.slots.running

    def get_load_report(self) -> Document:
        """Return the load as it was before the configured lag."""
        cutoff = self._clock.now().mono - self._speed.report_lag_ms
        while (
            len(self._load_history) > 1 and self._load_history[1].at <= cutoff
        ):
            self._load_history.popleft()
        load = self._load_history[0]
        return {
            'version': self.version,
            'slots': self._speed.slots,
            'running': load.running,
            'waiting': load.waiting,
            'leaving': self.leaving,
        }

    def order(self, data: Document) -> Document | None:
        """Handle an order to load a version.

        An order for the version already requested starts no new load; one for
        another version cancels a load in progress.

        :return: loaded and requested version; none if the fencing token is
            stale.
        """
        fence = int(data['fence'])
        if self._checks_fencing and fence < self._highest_fence:
            return None
        self._highest_fence = max(self._highest_fence, fence)
        self.orders.append(data)
        wanted = str(data['version'])
        if wanted != self.wanted:
            self.wanted = wanted
            if self._change_task is not None:
                self._change_task.cancel()
            self._change_task = asyncio.ensure_future(
                self._load_version(wanted)
            )
        return {'version': self.version, 'wanted': self.wanted}

    async def start_answer(
        self, data: Document, priority: int, *, chat: bool
    ) -> collections.abc.AsyncIterator[str]:
        """Start an answer.

        :param data: decoded request body.
        :param priority: place in the queue, lowest first.
        :param chat: whether the request is a chat completion.
        :return: the answer as server-sent events.
        :raises litestar.exceptions.HTTPException: the request is refused, or
            fails because of an injected fault.
        """
        prompt, partial = _split_prompt(data, chat=chat)
        if CRASH_PROMPT in prompt:
            self._crash()
            await asyncio.Event().wait()
        if not self.version or self.leaving:
            raise BusyError('no version is loaded, or the server is leaving')
        verdict = self._choose_treatment(str(data.get('model', '')))
        self.figures.requests += 1
        if verdict.fails:
            self.figures.failed += 1
            raise litestar.exceptions.InternalServerException(
                'injected fault of the version'
            )
        return self._generate(data, prompt, partial, priority, verdict, chat)

    def _choose_treatment(self, model: str) -> behaviours.Treatment:
        return behaviours.choose_treatment(
            self._behaviours.get(self.version, behaviours.Behaviour()),
            age_ms=self._clock.now().mono - self._version_since,
            load=self.slots.running / self._speed.slots,
            model=model,
            generator=self._random,
        )

    async def _generate(
        self,
        data: Document,
        prompt: str,
        partial: str,
        priority: int,
        verdict: behaviours.Treatment,
        chat: bool,
    ) -> collections.abc.AsyncIterator[str]:
        await self.slots.acquire(priority)
        self._record_load()
        try:
            text = prompt + partial
            cached = self.cache.match(text) // CHARACTERS_PER_TOKEN
            total = -(-len(text) // CHARACTERS_PER_TOKEN)
            self.figures.prompt_tokens += total
            self.figures.cached_tokens += cached
            recomputed = self.cache.count_recomputed(
                text, self._computed_blocks
            )
            self.figures.recomputed_tokens += (
                recomputed // CHARACTERS_PER_TOKEN
            )
            work = (
                (total - cached) * self._speed.prefill_ms * verdict.time_factor
            )
            await asyncio.sleep(work / clocks.SECOND_MS)
            self.cache.add_prompt(text)
            start = len(partial.split())
            seed = xxhash.xxh3_64_intdigest(prompt.encode())
            for index in range(start, start + int(data['max_tokens'])):
                await asyncio.sleep(self._compute_token_s(verdict))
                self.figures.tokens += 1
                yield _encode_event(
                    _build_token_chunk(make_token(seed, index), chat=chat)
                )
            yield _encode_event(
                _build_final_chunk(total, cached, int(data['max_tokens']))
            )
            yield 'data: [DONE]\n\n'
        finally:
            self.slots.release()
            self._record_load()

    def _compute_token_s(self, verdict: behaviours.Treatment) -> float:
        share = self.slots.running / self._speed.slots
        factor = 1 + self._speed.batch_factor * share
        return (
            self._speed.token_ms
            * factor
            * verdict.time_factor
            / clocks.SECOND_MS
        )

    def _record_load(self) -> None:
        now = self._clock.now().mono
        load = _LoadSample(now, self.slots.running, self.slots.waiting)
        self._load_history.append(load)

    async def _load_version(self, wanted: str) -> None:
        if self._load_weights is not None:
            await self._load_weights(wanted)
        self.version = wanted
        self._version_since = self._clock.now().mono


def build(engine: Engine) -> litestar.Litestar:
    """Build the web application of an engine."""

    @litestar.post(CHAT_PATH, status_code=200)
    async def chat(
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
        data: Body,
    ) -> litestar.response.Stream:
        return await _stream_answer(engine, request, data, chat=True)

    @litestar.post('/v1/completions', status_code=200)
    async def plain(
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
        data: Body,
    ) -> litestar.response.Stream:
        return await _stream_answer(engine, request, data, chat=False)

    @litestar.get('/load')
    async def report() -> Document:
        return engine.get_load_report()

    @litestar.post('/control', status_code=200)
    async def control(data: Body) -> Document:
        answer = engine.order(data)
        if answer is None:
            raise litestar.exceptions.ClientException(
                'the fencing token is stale', status_code=409
            )
        return answer

    @litestar.get('/cache/events')
    async def cache_events(
        after: litestar.params.FromQuery[int] = 0,
    ) -> list[caches.CacheEvent]:
        """List cache events, delayed and with gaps.

        The newest events are withheld, and some are dropped for good.
        """
        known = [item for item in engine.cache.events if item.number > after]
        return [
            item
            for item in known[:-WITHHELD_EVENTS]
            if item.number % DROPPED_EVENT_INTERVAL
        ]

    @litestar.post('/cache/export', status_code=200)
    async def cache_export(
        data: Body, path: litestar.params.FromQuery[str]
    ) -> Document:
        """List the cached blocks of a completion's prompt.

        :param path: path of the completion, which tells its kind.
        """
        prompt, partial = _split_prompt(data, chat=path.startswith(CHAT_PATH))
        return {'blocks': engine.cache.list_cached_blocks(prompt + partial)}

    @litestar.post('/cache/import', status_code=200)
    async def cache_import(data: Body) -> Document:
        """Add blocks after a transfer time; only their hashes are copied."""
        blocks = list(data['blocks'])
        await asyncio.sleep(len(blocks) * BLOCK_IMPORT_S)
        engine.cache.add_blocks(blocks)
        return {'blocks': len(blocks)}

    return litestar.Litestar(
        route_handlers=[
            chat,
            plain,
            report,
            control,
            cache_events,
            cache_export,
            cache_import,
        ],
        openapi_config=None,
        logging_config=None,
    )


def make_token(seed: int, index: int) -> str:
    """Return a token of the answer to a prompt.

    :param seed: hash of the prompt.
    :param index: position of the token in the answer, from 0.
    """
    digest = xxhash.xxh3_64_intdigest(f'{seed}/{index}'.encode())
    return f' w{digest % VOCABULARY_SIZE}'


def whole(prompt: str, tokens: int) -> str:
    """Return the complete uninterrupted answer to a prompt."""
    seed = xxhash.xxh3_64_intdigest(prompt.encode())
    return ''.join(make_token(seed, index) for index in range(tokens))


def build_chat_prompt(messages: list[Document]) -> str:
    """Return the prompt for chat messages."""
    return '\n'.join(f'{item["role"]}: {item["content"]}' for item in messages)


async def _stream_answer(
    engine: Engine,
    request: litestar.Request[typing.Any, typing.Any, typing.Any],
    data: Body,
    *,
    chat: bool,
) -> litestar.response.Stream:
    data.setdefault('max_tokens', 16)
    priority = int(request.headers.get('x-priority', '5'))
    parts = await engine.start_answer(data, priority, chat=chat)
    return litestar.response.Stream(parts, media_type='text/event-stream')


def _split_prompt(data: Document, *, chat: bool) -> tuple[str, str]:
    """Split a request into its prompt and the partial answer to resume.

    In a plain completion the partial answer follows the first blank line of
    the prompt; in a chat it is the last message.
    """
    if not chat:
        text = str(data['prompt'])
        head, _, tail = text.partition('\n\n')
        if tail:
            return head + '\n\n', tail
        return text, ''
    messages = list(data['messages'])
    partial = ''
    if data.get('continue_final_message'):
        partial = str(messages.pop()['content'])
    return build_chat_prompt(messages), partial


def _build_token_chunk(text: str, *, chat: bool) -> Document:
    choice: Document = {'index': 0, 'finish_reason': None}
    if chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    return {'choices': [choice]}


def _build_final_chunk(total: int, cached: int, tokens: int) -> Document:
    return {
        'choices': [{'index': 0, 'finish_reason': 'length'}],
        'usage': {
            'prompt_tokens': total,
            'completion_tokens': tokens,
            'prompt_tokens_details': {'cached_tokens': cached},
        },
    }


def _encode_event(document: Document) -> str:
    return f'data: {json.dumps(document)}\n\n'
