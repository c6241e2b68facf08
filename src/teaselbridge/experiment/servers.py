"""Model of backend servers in virtual time."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.standins import behaviour
from teaselbridge.standins import cache

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import effects
    from teaselbridge.experiment import schedule

TOKEN_MS = 8.0
BATCH_FACTOR = 0.5
PREFILL_MS = 0.2
TOKEN_CHARACTERS = 4
WORK_MS = 20.0
NETWORK_MS = 1.0
RESET_MS = 2.0
ERROR_MS = 5.0
MOVE_MS = 4.0
MOVE_TOKEN_MS = 0.05

Post: typing.TypeAlias = 'collections.abc.Callable[[events.Event], None]'


@dataclasses.dataclass(slots=True)
class Figures:
    """What all engines have done."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    moved_tokens: int = 0
    attempts_by_version: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """One attempt at a server."""

    effect: effects.StartAttempt
    post: Post
    text: str
    over: bool = False
    begun: bool = False
    progressed: float = 0.0
    sent: int = 0


class Server:
    """One backend server.

    :param row: its row in the host list.
    :param version: version that it runs, empty for none yet.
    :param slots: requests that it runs at a time.
    :param time: virtual time.
    :param figures: shared by all engines.
    :param seen: prompt blocks that any engine has computed.
    :param bad_versions: faults by version.
    :param cache_blocks: blocks of the prefix cache, 0 for a plain service.
    :param seed: seed of its chance.
    """

    def __init__(
        self,
        *,
        row: events.HostRow,
        version: str,
        slots: int,
        time: schedule.Schedule,
        figures: Figures,
        seen: set[str],
        bad_versions: dict[str, behaviour.Behaviour],
        cache_blocks: int,
        seed: int,
    ) -> None:
        self.row = row
        self.version = version
        self.alive = True
        self.leaving = False
        self.started = time.now
        self._slots = slots
        self._time = time
        self._figures = figures
        self._seen = seen
        self._bad = bad_versions
        self._is_engine = cache_blocks > 0
        self._cache = cache.PrefixCache(blocks=max(1, cache_blocks))
        self._random = random.Random(seed)
        self._running: list[Running] = []
        self._waiting: list[tuple[int, int, Running]] = []
        self._numbers = itertools.count()

    @property
    def busy(self) -> int:
        """Requests that it runs."""
        return len(self._running)

    def report(self) -> events.LoadReported:
        """Report the load."""
        return events.LoadReported(
            host=self.row.host,
            version=self.version,
            slots=self._slots,
            running=len(self._running),
            waiting=len(self._waiting),
            leaving=self.leaving,
        )

    def start(
        self, effect: effects.StartAttempt, post: Post, wait: float = 0.0
    ) -> Running:
        """Take an attempt.

        :param wait: milliseconds until its KV cache is there.
        """
        text = effect.call.body.decode()
        running = Running(effect, post, text, progressed=self._time.now)
        refusal = self._refusal()
        if refusal is not None:
            self._fail(running, refusal, NETWORK_MS)
            return running
        self._watch(running, effect.first_ms + wait)
        self._time.later(wait, lambda: self._queue(running))
        return running

    def _queue(self, running: Running) -> None:
        if running.over:
            return
        if not self.alive:
            gone = calls.Fault(calls.FaultKind.CONNECT, calls.Ran.NO, 'gone')
            self._fail(running, gone, NETWORK_MS)
            return
        number = next(self._numbers)
        priority = running.effect.call.route.priority
        heapq.heappush(self._waiting, (priority, number, running))
        self._fill()

    def take(self, text: str, source: Server) -> float:
        """Take a prompt's KV cache from another server.

        :return: milliseconds that this takes.
        """
        if not source.alive:
            return MOVE_MS
        before = self._cache.match(text)
        self._cache.take(source.give(text))
        tokens = (self._cache.match(text) - before) // TOKEN_CHARACTERS
        self._figures.moved_tokens += tokens
        return MOVE_MS + tokens * MOVE_TOKEN_MS

    def give(self, text: str) -> list[str]:
        """List the blocks of a prompt that are kept."""
        return self._cache.give(text)

    def cancel(self, running: Running) -> None:
        """Give an attempt up."""
        running.over = True
        if running in self._running:
            self._running.remove(running)
            self._fill()

    def kill(self) -> None:
        """Die with all connections."""
        self.alive = False
        for running in [*self._running, *(one[2] for one in self._waiting)]:
            if not running.over:
                unknown = calls.Ran.UNKNOWN
                fault = calls.Fault(calls.FaultKind.RESET, unknown, 'died')
                self._fail(running, fault, RESET_MS)
        self._running.clear()
        self._waiting.clear()

    def silence(self) -> None:
        """Let all connections go silent; new ones work."""
        for running in self._running:
            running.over = True
        self._running.clear()
        self._fill()

    def _refusal(self) -> calls.Fault | None:
        no = calls.Ran.NO
        if not self.alive:
            return calls.Fault(calls.FaultKind.CONNECT, no, 'gone')
        if self.leaving or not self.version:
            return calls.Fault(calls.FaultKind.BUSY, no, 'not ready')
        return None

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            running = heapq.heappop(self._waiting)[2]
            if not running.over:
                self._running.append(running)
                self._begin(running)

    def _begin(self, running: Running) -> None:
        counts = self._figures.attempts_by_version
        counts[self.version] = counts.get(self.version, 0) + 1
        verdict = self._judge(running)
        if verdict.fails:
            unknown = calls.Ran.UNKNOWN
            fault = calls.Fault(calls.FaultKind.ERROR, unknown, 'bad')
            self._running.remove(running)
            self._fail(running, fault, ERROR_MS)
            self._time.later(0, self._fill)
            return
        if not self._is_engine:
            work = WORK_MS * verdict.slow
            self._time.later(work, lambda: self._answer(running))
            return
        prefill = self._prefill(running) * verdict.slow
        self._time.later(
            prefill + self._token_ms(verdict),
            lambda: self._token(running, verdict),
        )

    def _judge(self, running: Running) -> behaviour.Verdict:
        return behaviour.judge(
            self._bad.get(self.version, behaviour.Behaviour()),
            age_ms=round(self._time.now - self.started),
            load=len(self._running) / self._slots,
            model=running.effect.call.route.match.model,
            generator=self._random,
        )

    def _prefill(self, running: Running) -> float:
        """Compute what is not cached, and give the time it takes."""
        text = running.text + ''.join(running.effect.sent)
        cached = self._cache.match(text) // TOKEN_CHARACTERS
        total = -(-len(text) // TOKEN_CHARACTERS)
        again = self._cache.again(text, self._seen)
        self._figures.prompt_tokens += total
        self._figures.cached_tokens += cached
        self._figures.recomputed_tokens += again // TOKEN_CHARACTERS
        self._cache.add(text)
        return (total - cached) * PREFILL_MS

    def _token_ms(self, verdict: behaviour.Verdict) -> float:
        share = len(self._running) / self._slots
        return TOKEN_MS * (1 + BATCH_FACTOR * share) * verdict.slow

    def _token(self, running: Running, verdict: behaviour.Verdict) -> None:
        if running.over or not self.alive:
            return
        call = running.effect.call
        index = len(running.effect.sent) + running.sent
        running.sent += 1
        running.progressed = self._time.now
        self._post(
            running,
            events.TokenCame(
                call.handle, running.effect.attempt, f' w{index}'
            ),
        )
        if index + 1 >= call.max_tokens:
            self._end(running)
            self._post(
                running,
                events.StreamEnded(
                    call.handle, running.effect.attempt, 'length', 0, 0
                ),
            )
            return
        self._time.later(
            self._token_ms(verdict), lambda: self._token(running, verdict)
        )

    def _answer(self, running: Running) -> None:
        if running.over or not self.alive:
            return
        self._end(running)
        call = running.effect.call
        answer = calls.Answer(200, (), call.key.id.encode())
        self._post(
            running,
            events.AnswerCame(call.handle, running.effect.attempt, answer),
        )

    def _end(self, running: Running) -> None:
        running.over = True
        self._running.remove(running)
        self._fill()

    def _watch(self, running: Running, limit: float) -> None:
        """Find out that an attempt makes no progress, as the client does."""

        def check() -> None:
            silent = self._time.now - running.progressed
            if running.over and running.sent == 0 and silent < limit:
                return
            if silent >= limit and not self._is_done(running):
                running.over = True
                unknown = calls.Ran.UNKNOWN
                fault = calls.Fault(calls.FaultKind.SILENT, unknown, '')
                self._fail(running, fault, 0)
                if running in self._running:
                    self._running.remove(running)
                    self._fill()
            elif not self._is_done(running):
                between = running.effect.between_ms
                span = between if running.sent else limit
                self._watch(running, span)

        self._time.later(max(1.0, limit), check)

    def _is_done(self, running: Running) -> bool:
        done = len(running.effect.sent) + running.sent
        most = running.effect.call.max_tokens
        return not self._is_engine or done >= most

    def _fail(
        self, running: Running, fault: calls.Fault, delay: float
    ) -> None:
        running.over = True
        call = running.effect.call
        event = events.AttemptFailed(
            call.handle, running.effect.attempt, fault
        )
        self._time.later(delay, lambda: running.post(event))

    def _post(self, running: Running, event: events.Event) -> None:
        self._time.later(NETWORK_MS, lambda: running.post(event))
