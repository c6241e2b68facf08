"""Simulated backend servers: model engines and plain services."""

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

# Time per generated token of an engine with no other requests.
TOKEN_MS = 8.0
# Relative increase of the time per token when all slots are in use.
BATCH_FACTOR = 0.5
# Prefill time per prompt token that is not cached.
PREFILL_MS = 0.2
TOKEN_CHARACTERS = 4
# Time of a plain service's answer.
WORK_MS = 20.0
# One-way network latency between a backend server and a node.
NETWORK_MS = 1.0
# Delay until a node notices a reset connection.
RESET_MS = 2.0
# Delay until a faulty version answers with an error.
ERROR_MS = 5.0
# Fixed and per-token time of a copy of a KV cache.
MOVE_MS = 4.0
MOVE_TOKEN_MS = 0.05

Post: typing.TypeAlias = 'collections.abc.Callable[[events.Event], None]'


@dataclasses.dataclass(slots=True)
class Figures:
    """Totals over all backend servers.

    :param recomputed_tokens: prompt tokens that some engine had computed
        before but that were not cached where they were needed.
    :param moved_tokens: prompt tokens whose KV cache was copied.
    :param attempts_by_version: attempts that were started, by version of the
        server.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    moved_tokens: int = 0
    attempts_by_version: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """State of one attempt at a backend server.

    :param post: passes events to the node that started the attempt.
    :param over: whether the attempt has ended.
    :param progressed: virtual milliseconds of the latest progress.
    :param sent: number of tokens sent.
    """

    effect: effects.StartAttempt
    post: Post
    text: str
    over: bool = False
    begun: bool = False
    progressed: float = 0.0
    sent: int = 0


class Server:
    """A simulated backend server.

    :param row: its entry in the host list.
    :param version: version that it runs, empty before one is loaded.
    :param slots: maximum number of requests that run at a time.
    :param time: event queue in virtual time.
    :param figures: totals, shared by all servers.
    :param seen: prompt blocks that any engine has computed, shared by all
        servers.
    :param bad_versions: behaviour of faulty versions, by version.
    :param cache_blocks: capacity of the prefix cache in blocks, 0 for a
        plain service.
    :param seed: seed of its random generator.
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
        self._computed_blocks = seen
        self._bad_versions = bad_versions
        self._is_engine = cache_blocks > 0
        self._cache = cache.PrefixCache(blocks=max(1, cache_blocks))
        self._random = random.Random(seed)
        self._running: list[Running] = []
        self._waiting: list[tuple[int, int, Running]] = []
        self._sequence = itertools.count()

    @property
    def busy(self) -> int:
        """Number of running requests."""
        return len(self._running)

    def report(self) -> events.LoadReported:
        """Return a load report."""
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
        """Accept an attempt, or fail it if the server is not ready.

        :param post: receives the events of the attempt.
        :param wait: milliseconds until a copied KV cache has arrived.
        """
        text = effect.call.body.decode()
        running = Running(effect, post, text, progressed=self._time.now)
        refusal = self._find_start_fault()
        if refusal is not None:
            self._fail_attempt(running, refusal, NETWORK_MS)
            return running
        self._schedule_progress_check(running, effect.first_ms + wait)
        self._time.later(wait, lambda: self._enqueue(running))
        return running

    def _enqueue(self, running: Running) -> None:
        if running.over:
            return
        if not self.alive:
            connect_fault = calls.Fault(
                calls.FaultKind.CONNECT, calls.Ran.NO, 'gone'
            )
            self._fail_attempt(running, connect_fault, NETWORK_MS)
            return
        number = next(self._sequence)
        priority = running.effect.call.route.priority
        heapq.heappush(self._waiting, (priority, number, running))
        self._start_waiting()

    def take(self, text: str, source: Server) -> float:
        """Copy a prompt's KV cache from another server.

        :return: duration of the copy in milliseconds.
        """
        if not source.alive:
            return MOVE_MS
        cached_before = self._cache.match(text)
        self._cache.take(source.give(text))
        tokens = (self._cache.match(text) - cached_before) // TOKEN_CHARACTERS
        self._figures.moved_tokens += tokens
        return MOVE_MS + tokens * MOVE_TOKEN_MS

    def give(self, text: str) -> list[str]:
        """Return the cached blocks of a prompt."""
        return self._cache.give(text)

    def cancel(self, running: Running) -> None:
        """Cancel an attempt."""
        running.over = True
        if running in self._running:
            self._running.remove(running)
            self._start_waiting()

    def kill(self) -> None:
        """Stop the server and reset all its connections."""
        self.alive = False
        for running in [*self._running, *(one[2] for one in self._waiting)]:
            if not running.over:
                unknown = calls.Ran.UNKNOWN
                fault = calls.Fault(calls.FaultKind.RESET, unknown, 'died')
                self._fail_attempt(running, fault, RESET_MS)
        self._running.clear()
        self._waiting.clear()

    def silence(self) -> None:
        """Stop sending data on all open connections.

        New connections are not affected.
        """
        for running in self._running:
            running.over = True
        self._running.clear()
        self._start_waiting()

    def _find_start_fault(self) -> calls.Fault | None:
        """Return why the server accepts no attempt, if so."""
        no = calls.Ran.NO
        if not self.alive:
            return calls.Fault(calls.FaultKind.CONNECT, no, 'gone')
        if self.leaving or not self.version:
            return calls.Fault(calls.FaultKind.BUSY, no, 'not ready')
        return None

    def _start_waiting(self) -> None:
        """Start queued attempts while slots are free."""
        while self._waiting and len(self._running) < self._slots:
            running = heapq.heappop(self._waiting)[2]
            if not running.over:
                self._running.append(running)
                self._execute(running)

    def _execute(self, running: Running) -> None:
        counts = self._figures.attempts_by_version
        counts[self.version] = counts.get(self.version, 0) + 1
        verdict = self._evaluate_behaviour(running)
        if verdict.fails:
            unknown = calls.Ran.UNKNOWN
            fault = calls.Fault(calls.FaultKind.ERROR, unknown, 'bad')
            self._running.remove(running)
            self._fail_attempt(running, fault, ERROR_MS)
            self._time.later(0, self._start_waiting)
            return
        if not self._is_engine:
            work = WORK_MS * verdict.slow
            self._time.later(work, lambda: self._send_answer(running))
            return
        prefill = self._run_prefill(running) * verdict.slow
        self._time.later(
            prefill + self._get_token_ms(verdict),
            lambda: self._send_token(running, verdict),
        )

    def _evaluate_behaviour(self, running: Running) -> behaviour.Verdict:
        return behaviour.judge(
            self._bad_versions.get(self.version, behaviour.Behaviour()),
            age_ms=round(self._time.now - self.started),
            load=len(self._running) / self._slots,
            model=running.effect.call.route.match.model,
            generator=self._random,
        )

    def _run_prefill(self, running: Running) -> float:
        """Add a prompt to the prefix cache and return the prefill time."""
        text = running.text + ''.join(running.effect.sent)
        cached = self._cache.match(text) // TOKEN_CHARACTERS
        total = -(-len(text) // TOKEN_CHARACTERS)
        recomputed = self._cache.again(text, self._computed_blocks)
        self._figures.prompt_tokens += total
        self._figures.cached_tokens += cached
        self._figures.recomputed_tokens += recomputed // TOKEN_CHARACTERS
        self._cache.add(text)
        return (total - cached) * PREFILL_MS

    def _get_token_ms(self, verdict: behaviour.Verdict) -> float:
        share = len(self._running) / self._slots
        return TOKEN_MS * (1 + BATCH_FACTOR * share) * verdict.slow

    def _send_token(
        self, running: Running, verdict: behaviour.Verdict
    ) -> None:
        if running.over or not self.alive:
            return
        call = running.effect.call
        index = len(running.effect.sent) + running.sent
        running.sent += 1
        running.progressed = self._time.now
        self._post_event(
            running,
            events.TokenCame(
                call.handle, running.effect.attempt, f' w{index}'
            ),
        )
        if index + 1 >= call.max_tokens:
            self._finish(running)
            self._post_event(
                running,
                events.StreamEnded(
                    call.handle, running.effect.attempt, 'length', 0, 0
                ),
            )
            return
        self._time.later(
            self._get_token_ms(verdict),
            lambda: self._send_token(running, verdict),
        )

    def _send_answer(self, running: Running) -> None:
        if running.over or not self.alive:
            return
        self._finish(running)
        call = running.effect.call
        answer = calls.Answer(200, (), call.key.id.encode())
        self._post_event(
            running,
            events.AnswerCame(call.handle, running.effect.attempt, answer),
        )

    def _finish(self, running: Running) -> None:
        running.over = True
        self._running.remove(running)
        self._start_waiting()

    def _schedule_progress_check(self, running: Running, limit: float) -> None:
        """Schedule a check that fails an attempt without progress.

        It corresponds to the timeouts of the client of backend servers.

        :param limit: milliseconds without progress.
        """

        def check() -> None:
            silent = self._time.now - running.progressed
            if running.over and running.sent == 0 and silent < limit:
                return
            if silent >= limit and not self._is_done(running):
                running.over = True
                unknown = calls.Ran.UNKNOWN
                fault = calls.Fault(calls.FaultKind.SILENT, unknown, '')
                self._fail_attempt(running, fault, 0)
                if running in self._running:
                    self._running.remove(running)
                    self._start_waiting()
            elif not self._is_done(running):
                between = running.effect.between_ms
                span = between if running.sent else limit
                self._schedule_progress_check(running, span)

        self._time.later(max(1.0, limit), check)

    def _is_done(self, running: Running) -> bool:
        """Return whether all tokens are sent; always for plain services."""
        done = len(running.effect.sent) + running.sent
        most = running.effect.call.max_tokens
        return not self._is_engine or done >= most

    def _fail_attempt(
        self, running: Running, fault: calls.Fault, delay: float
    ) -> None:
        running.over = True
        call = running.effect.call
        event = events.AttemptFailed(
            call.handle, running.effect.attempt, fault
        )
        self._time.later(delay, lambda: running.post(event))

    def _post_event(self, running: Running, event: events.Event) -> None:
        self._time.later(NETWORK_MS, lambda: running.post(event))
