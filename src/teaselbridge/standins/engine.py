"""Stand-in of a model engine.

The text of an answer follows from the prompt alone, so a test can tell
whether a resumed answer equals the undisturbed one.
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

TOKEN_CHARACTERS = 4
CRASH = 'crash the server'
WORDS = 997
CHAT_PATH = '/v1/chat/completions'
IMPORT_BLOCK_S = 0.0005
EVENTS_LATE = 5
EVENTS_GAP_EVERY = 10

Document: typing.TypeAlias = dict[str, typing.Any]
Body: typing.TypeAlias = litestar.params.JSONBody[Document]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Speed:
    """Speed of an engine.

    :param slots: requests that it runs at a time.
    :param token_ms: time between two tokens, alone.
    :param batch_factor: how much slower it is with all slots in use.
    :param prefill_ms: time for a prompt token that is not cached.
    :param cache_blocks: blocks of the prefix cache.
    :param report_lag_ms: age of its load report.
    """

    slots: int = 8
    token_ms: float = 4.0
    batch_factor: float = 0.5
    prefill_ms: float = 0.05
    cache_blocks: int = 4_000
    report_lag_ms: int = 300


@dataclasses.dataclass(slots=True)
class Figures:
    """What an engine has done."""

    requests: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    tokens: int = 0
    failed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    """Load at a time, in monotonic milliseconds."""

    at: int
    running: int
    waiting: int


class Slots:
    """Running requests; others wait by priority."""

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    async def take(self, priority: int) -> None:
        """Wait for a slot."""
        if self.running < self._most:
            self.running += 1
            return
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        entry = (priority, next(self._numbers), future)
        heapq.heappush(self._waiting, entry)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.give()
            elif entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def give(self) -> None:
        """Give a slot back, to the next that waits."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1


class Busy(litestar.exceptions.HTTPException):
    """A request that was refused and surely not run."""

    status_code = 503
    headers = {'x-request-ran': 'no'}


class Engine:
    """One model engine.

    :param host: name of its host.
    :param version: version that it runs.
    :param speed: how fast it is.
    :param behaviours_by_version: faults by version.
    :param clock: clocks of the process.
    :param seed: seed of its generator.
    :param die: called when a request crashes it.
    :param checks_fencing: whether it refuses old fencing numbers.
    :param load: waits until the weights of a version are loaded.
    :param seen: prompt blocks that any engine has computed.
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
        die: collections.abc.Callable[[], None],
        checks_fencing: bool = False,
        load: collections.abc.Callable[[str], collections.abc.Awaitable[None]]
        | None = None,
        seen: set[str] | None = None,
    ) -> None:
        self._host = host
        self._speed = speed
        self._behaviours = behaviours_by_version
        self._clock = clock
        self._random = random.Random(seed)
        self._die = die
        self._checks_fencing = checks_fencing
        self._load = load
        self._seen = set() if seen is None else seen
        self._born = clock.now().mono
        self._loads = collections.deque([_Load(0, 0, 0)])
        self._fence = 0
        self._order: asyncio.Task[None] | None = None
        self.version = version
        self.wanted = version
        self.leaving = False
        self.slots = Slots(most=speed.slots)
        self.cache = caches.PrefixCache(blocks=speed.cache_blocks)
        self.figures = Figures()
        self.orders: list[Document] = []

    @property
    def running(self) -> int:
        """Requests that it runs now."""
        return self.slots.running

    def report(self) -> Document:
        """Give the load as it was a while ago."""
        seen = self._clock.now().mono - self._speed.report_lag_ms
        while len(self._loads) > 1 and self._loads[1].at <= seen:
            self._loads.popleft()
        load = self._loads[0]
        return {
            'version': self.version,
            'slots': self._speed.slots,
            'running': load.running,
            'waiting': load.waiting,
            'leaving': self.leaving,
        }

    def order(self, data: Document) -> Document | None:
        """Take an order to load a version.

        :return: none where its fencing number is old.
        """
        fence = int(data['fence'])
        if self._checks_fencing and fence < self._fence:
            return None
        self._fence = max(self._fence, fence)
        self.orders.append(data)
        wanted = str(data['version'])
        if wanted != self.wanted:
            self.wanted = wanted
            if self._order is not None:
                self._order.cancel()
            self._order = asyncio.ensure_future(self._change(wanted))
        return {'version': self.version, 'wanted': self.wanted}

    async def complete(
        self, data: Document, priority: int, *, chat: bool
    ) -> collections.abc.AsyncIterator[str]:
        """Produce an answer, as server-sent events.

        :raises litestar.exceptions.HTTPException: the version is bad.
        """
        prompt, partial = _split(data, chat=chat)
        if CRASH in prompt:
            self._die()
            await asyncio.Event().wait()
        if not self.version or self.leaving:
            raise Busy('no version is loaded, or the server leaves')
        verdict = self._judge(str(data.get('model', '')))
        self.figures.requests += 1
        if verdict.fails:
            self.figures.failed += 1
            raise litestar.exceptions.InternalServerException('bad version')
        return self._produce(data, prompt, partial, priority, verdict, chat)

    def _judge(self, model: str) -> behaviours.Verdict:
        return behaviours.judge(
            self._behaviours.get(self.version, behaviours.Behaviour()),
            age_ms=self._clock.now().mono - self._born,
            load=self.slots.running / self._speed.slots,
            model=model,
            generator=self._random,
        )

    async def _produce(
        self,
        data: Document,
        prompt: str,
        partial: str,
        priority: int,
        verdict: behaviours.Verdict,
        chat: bool,
    ) -> collections.abc.AsyncIterator[str]:
        await self.slots.take(priority)
        self._note_load()
        try:
            text = prompt + partial
            cached = self.cache.match(text) // TOKEN_CHARACTERS
            total = -(-len(text) // TOKEN_CHARACTERS)
            self.figures.prompt_tokens += total
            self.figures.cached_tokens += cached
            again = self.cache.again(text, self._seen)
            self.figures.recomputed_tokens += again // TOKEN_CHARACTERS
            work = (total - cached) * self._speed.prefill_ms * verdict.slow
            await asyncio.sleep(work / clocks.SECOND)
            self.cache.add(text)
            start = len(partial.split())
            seed = xxhash.xxh3_64_intdigest(prompt.encode())
            for index in range(start, start + int(data['max_tokens'])):
                await asyncio.sleep(self._token_s(verdict))
                self.figures.tokens += 1
                yield _event(_choice(word(seed, index), chat=chat))
            yield _event(_end(total, cached, int(data['max_tokens'])))
            yield 'data: [DONE]\n\n'
        finally:
            self.slots.give()
            self._note_load()

    def _token_s(self, verdict: behaviours.Verdict) -> float:
        share = self.slots.running / self._speed.slots
        factor = 1 + self._speed.batch_factor * share
        return self._speed.token_ms * factor * verdict.slow / clocks.SECOND

    def _note_load(self) -> None:
        now = self._clock.now().mono
        load = _Load(now, self.slots.running, self.slots.waiting)
        self._loads.append(load)

    async def _change(self, wanted: str) -> None:
        if self._load is not None:
            await self._load(wanted)
        self.version = wanted
        self._born = self._clock.now().mono


def build(engine: Engine) -> litestar.Litestar:
    """Build the web application of an engine."""

    @litestar.post(CHAT_PATH, status_code=200)
    async def chat(
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
        data: Body,
    ) -> litestar.response.Stream:
        return await _answer(engine, request, data, chat=True)

    @litestar.post('/v1/completions', status_code=200)
    async def plain(
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
        data: Body,
    ) -> litestar.response.Stream:
        return await _answer(engine, request, data, chat=False)

    @litestar.get('/load')
    async def report() -> Document:
        return engine.report()

    @litestar.post('/control', status_code=200)
    async def control(data: Body) -> Document:
        answer = engine.order(data)
        if answer is None:
            raise litestar.exceptions.ClientException(
                'the fencing number is old', status_code=409
            )
        return answer

    @litestar.get('/cache/events')
    async def cache_events(
        after: litestar.params.FromQuery[int] = 0,
    ) -> list[caches.CacheEvent]:
        """Give events late, and leave some out."""
        known = [item for item in engine.cache.events if item.number > after]
        return [
            item
            for item in known[:-EVENTS_LATE]
            if item.number % EVENTS_GAP_EVERY
        ]

    @litestar.post('/cache/export', status_code=200)
    async def cache_export(
        data: Body, path: litestar.params.FromQuery[str]
    ) -> Document:
        """Name the blocks of a completion's prompt that are kept."""
        prompt, partial = _split(data, chat=path.startswith(CHAT_PATH))
        return {'blocks': engine.cache.give(prompt + partial)}

    @litestar.post('/cache/import', status_code=200)
    async def cache_import(data: Body) -> Document:
        """Fetch blocks; the stand-in has no more to fetch than names."""
        blocks = list(data['blocks'])
        await asyncio.sleep(len(blocks) * IMPORT_BLOCK_S)
        engine.cache.take(blocks)
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


def word(seed: int, index: int) -> str:
    """Give a token of the answer to a prompt.

    :param seed: hash of the prompt.
    :param index: place of the token in the answer.
    """
    digest = xxhash.xxh3_64_intdigest(f'{seed}/{index}'.encode())
    return f' w{digest % WORDS}'


def whole(prompt: str, tokens: int) -> str:
    """Give the whole undisturbed answer to a prompt."""
    seed = xxhash.xxh3_64_intdigest(prompt.encode())
    return ''.join(word(seed, index) for index in range(tokens))


def chat_prompt(messages: list[Document]) -> str:
    """Give the prompt that stands for chat messages."""
    return '\n'.join(f'{item["role"]}: {item["content"]}' for item in messages)


async def _answer(
    engine: Engine,
    request: litestar.Request[typing.Any, typing.Any, typing.Any],
    data: Body,
    *,
    chat: bool,
) -> litestar.response.Stream:
    data.setdefault('max_tokens', 16)
    priority = int(request.headers.get('x-priority', '5'))
    parts = await engine.complete(data, priority, chat=chat)
    return litestar.response.Stream(parts, media_type='text/event-stream')


def _split(data: Document, *, chat: bool) -> tuple[str, str]:
    """Split a request into its prompt and the answer so far."""
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
    return chat_prompt(messages), partial


def _choice(text: str, *, chat: bool) -> Document:
    choice: Document = {'index': 0, 'finish_reason': None}
    if chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    return {'choices': [choice]}


def _end(total: int, cached: int, tokens: int) -> Document:
    return {
        'choices': [{'index': 0, 'finish_reason': 'length'}],
        'usage': {
            'prompt_tokens': total,
            'completion_tokens': tokens,
            'prompt_tokens_details': {'cached_tokens': cached},
        },
    }


def _event(document: Document) -> str:
    return f'data: {json.dumps(document)}\n\n'
