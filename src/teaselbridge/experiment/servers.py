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
FULL_LOAD_SLOWDOWN = 0.5
# Prefill time per prompt token that is not cached.
PREFILL_TOKEN_MS = 0.2
CHARACTERS_PER_TOKEN = 4
# Time of a plain service's answer.
SERVICE_TIME_MS = 20.0
# One-way network latency between a backend server and a node.
NETWORK_LATENCY_MS = 1.0
# Delay until a node notices a reset connection.
RESET_DELAY_MS = 2.0
# Delay until a faulty version answers with an error.
ERROR_DELAY_MS = 5.0
# Fixed and per-token time of a copy of a KV cache.
CACHE_COPY_MS = 4.0
CACHE_COPY_TOKEN_MS = 0.05

PostEvent: typing.TypeAlias = 'collections.abc.Callable[[events.Event], None]'


@dataclasses.dataclass(slots=True)
class ServerTotals:
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
class Attempt:
    """State of one attempt at a backend server.

    :param post: passes events to the node that started the attempt.
    :param is_finished: whether the attempt has ended.
    :param last_progress_at: virtual milliseconds of the latest progress.
    :param sent: number of tokens sent.
    """

    effect: effects.StartAttempt
    post: PostEvent
    text: str
    is_finished: bool = False
    has_begun: bool = False
    last_progress_at: float = 0.0
    sent: int = 0


class SimulatedServer:
    """A simulated backend server.

    :param row: its entry in the host list.
    :param version: version that it runs, empty before one is loaded.
    :param slots: maximum number of requests that run at a time.
    :param time: event queue in virtual time.
    :param figures: totals, shared by all servers.
    :param computed_blocks: prompt blocks that any engine has computed, shared
        by all servers.
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
        time: schedule.EventQueue,
        figures: ServerTotals,
        computed_blocks: set[str],
        bad_versions: dict[str, behaviour.Behaviour],
        cache_blocks: int,
        seed: int,
    ) -> None:
        self.row = row
        self.version = version
        self.alive = True
        self.leaving = False
        self.version_started_at = time.now
        self._slots = slots
        self._time = time
        self._figures = figures
        self._computed_blocks = computed_blocks
        self._bad_versions = bad_versions
        self._is_engine = cache_blocks > 0
        self._cache = cache.PrefixCache(blocks=max(1, cache_blocks))
        self._random = random.Random(seed)
        self._running: list[Attempt] = []
        self._waiting: list[tuple[int, int, Attempt]] = []
        self._sequence = itertools.count()

    @property
    def busy(self) -> int:
        """Number of running requests."""
        return len(self._running)

    def get_load(self) -> events.LoadReported:
        """Return a load report."""
        return events.LoadReported(
            host=self.row.host,
            version=self.version,
            slots=self._slots,
            running=len(self._running),
            waiting=len(self._waiting),
            leaving=self.leaving,
        )

    def start_attempt(
        self, effect: effects.StartAttempt, post: PostEvent, wait: float = 0.0
    ) -> Attempt:
        """Accept an attempt, or fail it if the server is not ready.

        :param post: receives the events of the attempt.
        :param wait: milliseconds until a copied KV cache has arrived.
        """
        text = effect.call.body.decode()
        running = Attempt(effect, post, text, last_progress_at=self._time.now)
        refusal = self._find_start_fault()
        if refusal is not None:
            self._fail_attempt(running, refusal, NETWORK_LATENCY_MS)
            return running
        self._schedule_progress_check(running, effect.first_ms + wait)
        self._time.call_later(wait, lambda: self._enqueue(running))
        return running

    def _enqueue(self, running: Attempt) -> None:
        if running.is_finished:
            return
        if not self.alive:
            connect_fault = calls.Fault(
                calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, 'gone'
            )
            self._fail_attempt(running, connect_fault, NETWORK_LATENCY_MS)
            return
        number = next(self._sequence)
        priority = running.effect.call.route.priority
        heapq.heappush(self._waiting, (priority, number, running))
        self._start_waiting()

    def copy_cache_from(self, text: str, source: SimulatedServer) -> float:
        """Copy a prompt's KV cache from another server.

        :return: duration of the copy in milliseconds.
        """
        if not source.alive:
            return CACHE_COPY_MS
        cached_before = self._cache.match(text)
        self._cache.add_blocks(source.get_cached_blocks(text))
        tokens = (
            self._cache.match(text) - cached_before
        ) // CHARACTERS_PER_TOKEN
        self._figures.moved_tokens += tokens
        return CACHE_COPY_MS + tokens * CACHE_COPY_TOKEN_MS

    def get_cached_blocks(self, text: str) -> list[str]:
        """Return the cached blocks of a prompt."""
        return self._cache.list_cached_blocks(text)

    def cancel_attempt(self, running: Attempt) -> None:
        """Cancel an attempt."""
        running.is_finished = True
        if running in self._running:
            self._running.remove(running)
            self._start_waiting()

    def kill(self) -> None:
        """Stop the server and reset all its connections."""
        self.alive = False
        for running in [*self._running, *(one[2] for one in self._waiting)]:
            if not running.is_finished:
                unknown = calls.RunStatus.UNKNOWN
                fault = calls.Fault(calls.FaultKind.RESET, unknown, 'died')
                self._fail_attempt(running, fault, RESET_DELAY_MS)
        self._running.clear()
        self._waiting.clear()

    def stall_connections(self) -> None:
        """Stop sending data on all open connections.

        New connections are not affected.
        """
        for running in self._running:
            running.is_finished = True
        self._running.clear()
        self._start_waiting()

    def _find_start_fault(self) -> calls.Fault | None:
        """Return why the server accepts no attempt, if so."""
        no = calls.RunStatus.NOT_RUN
        if not self.alive:
            return calls.Fault(calls.FaultKind.CONNECT, no, 'gone')
        if self.leaving or not self.version:
            return calls.Fault(calls.FaultKind.BUSY, no, 'not ready')
        return None

    def _start_waiting(self) -> None:
        """Start queued attempts while slots are free."""
        while self._waiting and len(self._running) < self._slots:
            running = heapq.heappop(self._waiting)[2]
            if not running.is_finished:
                self._running.append(running)
                self._execute(running)

    def _execute(self, running: Attempt) -> None:
        counts = self._figures.attempts_by_version
        counts[self.version] = counts.get(self.version, 0) + 1
        verdict = self._evaluate_behaviour(running)
        if verdict.fails:
            unknown = calls.RunStatus.UNKNOWN
            fault = calls.Fault(calls.FaultKind.ERROR, unknown, 'bad')
            self._running.remove(running)
            self._fail_attempt(running, fault, ERROR_DELAY_MS)
            self._time.call_later(0, self._start_waiting)
            return
        if not self._is_engine:
            work = SERVICE_TIME_MS * verdict.time_factor
            self._time.call_later(work, lambda: self._send_answer(running))
            return
        prefill = self._run_prefill(running) * verdict.time_factor
        self._time.call_later(
            prefill + self._get_token_ms(verdict),
            lambda: self._send_token(running, verdict),
        )

    def _evaluate_behaviour(self, running: Attempt) -> behaviour.Treatment:
        return behaviour.choose_treatment(
            self._bad_versions.get(self.version, behaviour.Behaviour()),
            age_ms=round(self._time.now - self.version_started_at),
            load=len(self._running) / self._slots,
            model=running.effect.call.route.match.model,
            generator=self._random,
        )

    def _run_prefill(self, running: Attempt) -> float:
        """Add a prompt to the prefix cache and return the prefill time."""
        text = running.text + ''.join(running.effect.sent)
        cached = self._cache.match(text) // CHARACTERS_PER_TOKEN
        total = -(-len(text) // CHARACTERS_PER_TOKEN)
        recomputed = self._cache.count_recomputed(text, self._computed_blocks)
        self._figures.prompt_tokens += total
        self._figures.cached_tokens += cached
        self._figures.recomputed_tokens += recomputed // CHARACTERS_PER_TOKEN
        self._cache.add_prompt(text)
        return (total - cached) * PREFILL_TOKEN_MS

    def _get_token_ms(self, verdict: behaviour.Treatment) -> float:
        share = len(self._running) / self._slots
        return (
            TOKEN_MS * (1 + FULL_LOAD_SLOWDOWN * share) * verdict.time_factor
        )

    def _send_token(
        self, running: Attempt, verdict: behaviour.Treatment
    ) -> None:
        if running.is_finished or not self.alive:
            return
        call = running.effect.call
        index = len(running.effect.sent) + running.sent
        running.sent += 1
        running.last_progress_at = self._time.now
        self._post_event(
            running,
            events.TokenReceived(
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
        self._time.call_later(
            self._get_token_ms(verdict),
            lambda: self._send_token(running, verdict),
        )

    def _send_answer(self, running: Attempt) -> None:
        if running.is_finished or not self.alive:
            return
        self._finish(running)
        call = running.effect.call
        answer = calls.Answer(200, (), call.key.id.encode())
        self._post_event(
            running,
            events.AnswerReceived(call.handle, running.effect.attempt, answer),
        )

    def _finish(self, running: Attempt) -> None:
        running.is_finished = True
        self._running.remove(running)
        self._start_waiting()

    def _schedule_progress_check(self, running: Attempt, limit: float) -> None:
        """Schedule a check that fails an attempt without progress.

        It corresponds to the timeouts of the client of backend servers.

        :param limit: milliseconds without progress.
        """

        def check() -> None:
            silent = self._time.now - running.last_progress_at
            if running.is_finished and running.sent == 0 and silent < limit:
                return
            if silent >= limit and not self._is_done(running):
                running.is_finished = True
                unknown = calls.RunStatus.UNKNOWN
                fault = calls.Fault(calls.FaultKind.SILENT, unknown, '')
                self._fail_attempt(running, fault, 0)
                if running in self._running:
                    self._running.remove(running)
                    self._start_waiting()
            elif not self._is_done(running):
                between = running.effect.token_timeout_ms
                span = between if running.sent else limit
                self._schedule_progress_check(running, span)

        self._time.call_later(max(1.0, limit), check)

    def _is_done(self, running: Attempt) -> bool:
        """Return whether all tokens are sent; always for plain services."""
        done = len(running.effect.sent) + running.sent
        most = running.effect.call.max_tokens
        return not self._is_engine or done >= most

    def _fail_attempt(
        self, running: Attempt, fault: calls.Fault, delay: float
    ) -> None:
        running.is_finished = True
        call = running.effect.call
        event = events.AttemptFailed(
            call.handle, running.effect.attempt, fault
        )
        self._time.call_later(delay, lambda: running.post(event))

    def _post_event(self, running: Attempt, event: events.Event) -> None:
        self._time.call_later(NETWORK_LATENCY_MS, lambda: running.post(event))
