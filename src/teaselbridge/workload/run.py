"""Load generator: sends a trace to nodes and counts the outcomes."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import typing

import httpx
import msgspec
import uuid_utils

from teaselbridge.client import caller as callers
from teaselbridge.client import outcomes
from teaselbridge import clock as clocks
from teaselbridge.standins import engine
from teaselbridge.workload import results
from teaselbridge.workload import trace

LATE_REASON = 'deadline-passed'
RAN_UNKNOWN = 'unknown'
RAN_NO = 'no'
MAX_IN_FLIGHT = 2_000  # requests in flight
# Delay after the last outcome, so that attempts that outlast their callers
# are included in the figures.
SETTLE_MS = 1_000
# Wrong answers that a report holds, and characters of each.
MAX_WRONG_ANSWERS = 20
MAX_WRONG_CHARS = 600


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Parameters of a run.

    :param seeds: ``ip:port`` of the callers' interfaces of some nodes.
    :param zones: availability zones of the simulated callers.
    :param seed: seed of the trace.
    :param rate: requests per second.
    :param seconds: length of the trace.
    :param resend: fraction of orders that are sent twice concurrently.
    :param control: ``ip:port`` of the control interface of the simulated
        services, or empty. Without it the run reports no orders that ran
        twice or never, no engine tokens and no cost.
    """

    seeds: tuple[str, ...]
    zones: tuple[str, ...] = ('',)
    seed: int = 1
    rate: float = 20.0
    seconds: float = 10.0
    resend: float = 0.0
    control: str = ''


class LoadRun:
    """One run of a trace.

    :param plan: parameters of the run.
    """

    def __init__(self, *, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._callers: dict[tuple[str, str], callers.Caller] = {}
        self._tallies = {
            work.value: results.Tally() for work in trace.WorkType
        }
        self._first_token_times = results.LatencyHistogram()
        self._token_gaps = results.LatencyHistogram()
        self._answer_times = results.LatencyHistogram()
        self._reasons: collections.Counter[str] = collections.Counter()
        self._confirmed: set[str] = set()
        self._not_run: set[str] = set()
        self._clock = clocks.Clock()
        self._began = 0
        self._wrong: list[results.WrongAnswer] = []
        self._seconds = [
            results.SecondCounts() for _ in range(int(plan.seconds) + 1)
        ]

    async def execute(self) -> results.Report:
        """Send the trace, wait for all outcomes and return the report."""
        plan = self._plan
        before = await self._read_figures()
        arrivals = trace.generate_trace(
            seed=plan.seed, rate=plan.rate, seconds=plan.seconds
        )
        await self._send_all(arrivals)
        await asyncio.sleep(clocks.seconds(SETTLE_MS))
        after = await self._read_figures()
        for caller in self._callers.values():
            await caller.close()
        return self._build_report(before, after)

    async def _send_all(self, arrivals: tuple[trace.Arrival, ...]) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._began = self._clock.now().mono
        tasks: set[asyncio.Task[None]] = set()
        in_flight = asyncio.Semaphore(MAX_IN_FLIGHT)
        for arrival in arrivals:
            due = began + clocks.seconds(arrival.at_ms)
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = asyncio.create_task(self._send_arrival(arrival, in_flight))
            tasks.add(task)
        await asyncio.gather(*tasks)

    async def _send_arrival(
        self, arrival: trace.Arrival, in_flight: asyncio.Semaphore
    ) -> None:
        tally = self._tallies[arrival.kind.work.value]
        second = self._seconds[arrival.at_ms // clocks.SECOND_MS]
        tally.sent += 1
        async with in_flight:
            try:
                await self._send_request(arrival, tally)
                second.whole += 1
            except outcomes.RefusedError as error:
                self._count_refusal(error, tally, second)
            except outcomes.LateError:
                tally.late += 1
                second.late += 1
            except outcomes.UnreachableError:
                tally.refused += 1
                second.refused += 1
                self._reasons['unreachable'] += 1

    def _count_refusal(
        self,
        error: outcomes.RefusedError,
        tally: results.Tally,
        second: results.SecondCounts,
    ) -> None:
        self._reasons[error.problem.reason] += 1
        if error.problem.reason == LATE_REASON:
            tally.late += 1
            second.late += 1
            return
        tally.refused += 1
        second.refused += 1
        if error.problem.ran == RAN_UNKNOWN:
            tally.unknown += 1

    async def _send_request(
        self, arrival: trace.Arrival, tally: results.Tally
    ) -> None:
        kind = arrival.kind
        caller = self._get_caller(kind)
        match kind.work:
            case trace.WorkType.ORDER:
                await self._send_order(caller, arrival, tally)
            case trace.WorkType.LOOKUP:
                path = kind.path + arrival.text
                reply = await caller.send(
                    'GET', path, deadline_ms=kind.deadline_ms
                )
                self._check_reply(reply, arrival, tally)
            case _:
                await self._send_completion(caller, arrival, tally)

    async def _send_completion(
        self,
        caller: callers.Caller,
        arrival: trace.Arrival,
        tally: results.Tally,
    ) -> None:
        kind = arrival.kind
        messages = [{'role': 'user', 'content': arrival.text}]
        document = {
            'model': kind.model,
            'messages': messages,
            'max_tokens': kind.tokens,
        }
        completion = await caller.complete(
            document, deadline_ms=kind.deadline_ms
        )
        tally.resumed += completion.resumed
        self._first_token_times.record(completion.first_ms)
        for gap in completion.gaps_ms:
            self._token_gaps.record(gap)
        wanted = engine.whole(engine.build_chat_prompt(messages), kind.tokens)
        if completion.text != wanted:
            self._count_wrong(
                completion.request,
                arrival,
                tally,
                f'{len(completion.tokens)} tokens, {completion.finish!r},'
                f' resumed {completion.resumed} times:'
                f' {completion.text!r}, not {wanted!r}',
            )
            return
        tally.whole += 1

    async def _send_order(
        self,
        caller: callers.Caller,
        arrival: trace.Arrival,
        tally: results.Tally,
    ) -> None:
        kind = arrival.kind
        request = str(uuid_utils.uuid7())
        body = msgspec.json.encode({'items': [arrival.text]})
        copies = 1 + (self._random.random() < self._plan.resend)
        try:
            replies = await asyncio.gather(
                *(
                    caller.send(
                        'POST',
                        kind.path,
                        body,
                        request=request,
                        deadline_ms=kind.deadline_ms,
                    )
                    for _ in range(copies)
                )
            )
        except outcomes.RefusedError as error:
            # Another copy may have run.
            if copies == 1 and error.problem.ran == RAN_NO:
                self._not_run.add(request)
            raise
        self._confirmed.add(request)
        if len({reply.body for reply in replies}) > 1:
            detail = ' and '.join(map(_describe_reply, replies))
            self._count_wrong(request, arrival, tally, detail)
            return
        self._check_reply(replies[0], arrival, tally)

    def _check_reply(
        self,
        reply: outcomes.Reply,
        arrival: trace.Arrival,
        tally: results.Tally,
    ) -> None:
        self._answer_times.record(reply.total_ms)
        if reply.status >= httpx.codes.BAD_REQUEST:
            detail = _describe_reply(reply)
            self._count_wrong(reply.request, arrival, tally, detail)
            return
        tally.whole += 1

    def _count_wrong(
        self,
        request: str,
        arrival: trace.Arrival,
        tally: results.Tally,
        detail: str,
    ) -> None:
        """Count a wrong answer, and keep it if it is one of the first."""
        tally.wrong += 1
        if len(self._wrong) >= MAX_WRONG_ANSWERS:
            return
        self._wrong.append(
            results.WrongAnswer(
                request=request,
                work=arrival.kind.work.value,
                at_ms=arrival.at_ms,
                ended_ms=self._clock.now().mono - self._began,
                detail=detail[:MAX_WRONG_CHARS],
            )
        )

    def _get_caller(self, kind: trace.WorkProfile) -> callers.Caller:
        zone = self._random.choice(self._plan.zones)
        name = (kind.key, zone)
        if name not in self._callers:
            self._callers[name] = callers.Caller(
                seeds=self._plan.seeds,
                key=kind.key,
                zone=zone,
                seed=self._random.randrange(1 << 30),
            )
        return self._callers[name]

    async def _read_figures(self) -> dict[str, typing.Any]:
        if not self._plan.control:
            return {'engines': {}, 'orders': {}}
        async with httpx.AsyncClient(trust_env=False) as client:
            response = await client.get(
                f'http://{self._plan.control}/standin/figures'
            )
        document: dict[str, typing.Any] = response.json()
        return document

    def _build_report(
        self, before: dict[str, typing.Any], after: dict[str, typing.Any]
    ) -> results.Report:
        total = results.Tally()
        for tally in self._tallies.values():
            total = results.add_tallies(total, tally)
        runs: dict[str, int] = after['orders']

        def get_increase(name: str) -> int:
            old: int = before['engines'].get(name, 0)
            new: int = after['engines'].get(name, 0)
            return new - old

        unrun = [name for name in self._confirmed if runs.get(name, 0) < 1]
        return results.Report(
            seed=self._plan.seed,
            rate=self._plan.rate,
            seconds=self._plan.seconds,
            kinds=self._tallies,
            total=total,
            first=self._first_token_times.get_percentiles(),
            between=self._token_gaps.get_percentiles(),
            answer=self._answer_times.get_percentiles(),
            doubled=sum(count > 1 for count in runs.values()),
            unrun=len(unrun) if self._plan.control else 0,
            false_refusals=sum(name in runs for name in self._not_run),
            prompt_tokens=get_increase('prompt_tokens'),
            cached_tokens=get_increase('cached_tokens'),
            recomputed_tokens=get_increase('recomputed_tokens'),
            cost=after.get('cost', 0.0) - before.get('cost', 0.0),
            reasons=dict(self._reasons),
            timeline=tuple(self._seconds),
            wrong=tuple(self._wrong),
        )


def _describe_reply(reply: outcomes.Reply) -> str:
    stored = ', stored' if reply.stored else ''
    return f'{reply.status}{stored}, {reply.total_ms} ms: {reply.body!r}'
