"""Comparison of methods to spread load by information that is out of date.

A compact model with three kinds of participants. Hosts choose a server for
each prompt by a cost that is computed as in `decisions.prefill`. Servers
read prompts one after the other, and keep the shared heads of the latest
ones. Reports of what each host has sent reach the other hosts late.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import typing

from teaselbridge.decisions import loads
from teaselbridge.decisions import placement
from teaselbridge.decisions import prefill
from teaselbridge.decisions.room import predict
from teaselbridge.decisions.spreading import choice
from teaselbridge.experiment import schedule

if typing.TYPE_CHECKING:
    import collections.abc

REPORT_INTERVAL_MS = 250
# An update reaches this many hosts, so that others wait for a later one.
REPORT_RECEIVERS = 24
MAX_REPORT_INTERVALS = 6
MIN_REPORT_DELAY_MS = 50
MAX_REPORT_DELAY_MS = 100
SAMPLE_INTERVAL_MS = 20
WARM_UP_MS = 8_000
SPAN_MS = 16_000

TOKENS_PER_MS = 40.0
SPEEDS = (0.55, 0.8, 1.0, 1.2, 1.3)
# Deviation of the time of one read from that speed.
SPEED_NOISE = 0.15
# In each of these windows, some servers are slower.
SLOW_WINDOW_MS = 600
SLOW_PROBABILITY = 0.15
SLOW_FACTOR = 2.5

SHARED_TOKENS = 13_300
OWN_TOKENS = 3_720
SMALL_TOKENS = 1_460
SMALL_FRACTION = 0.6
DECODING_MS = 600
# Plain servers answer so many requests at a time.
PLAIN_SLOTS = 6
PLAIN_MS = 100
PLAIN_NOISE = 0.4
HEADS = 1_400
HEAD_SKEW = 0.5
# Shared heads that fit in the cache of a server of 444,000 tokens.
CACHED_HEADS = 30
# Demand varies between these multiples of its mean.
WAVE_MS = 4_000
WAVE_AMPLITUDE = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Option:
    """A server as a host sees it when it chooses.

    :param candidate: what the choice of a node knows of it, by its number.
    :param own_ms: the part of its cost that the host's own load causes.
    """

    candidate: choice.Candidate[int]
    own_ms: float

    @property
    def cost_ms(self) -> float:
        """Predicted milliseconds to the first event."""
        return self.candidate.cost_ms

    @property
    def number(self) -> int:
        """Number of the server."""
        return self.candidate.server


class Method(typing.Protocol):
    """A method to choose a server."""

    def __call__(
        self,
        options: list[Option],
        age_ms: float,
        nodes: int,
        generator: random.Random,
    ) -> int:
        """Return the number of the chosen server.

        :param age_ms: mean age of what is known of the other hosts.
        :param nodes: number of hosts.
        """


def choose_least(
    options: list[Option],
    age_ms: float,
    nodes: int,
    generator: random.Random,
) -> int:
    """Choose the lowest cost."""
    return min(options, key=_get_cost).number


def choose_of_two(
    options: list[Option],
    age_ms: float,
    nodes: int,
    generator: random.Random,
) -> int:
    """Choose the better of two random ones among the cheapest.

    Those that cost more by less than a quarter of the age are among them.
    """
    limit = min(map(_get_cost, options)) + age_ms / 4
    cheapest = [item for item in options if item.cost_ms <= limit]
    drawn = generator.sample(cheapest, min(2, len(cheapest)))
    return min(drawn, key=_get_cost).number


def choose_softened(
    options: list[Option],
    age_ms: float,
    nodes: int,
    generator: random.Random,
) -> int:
    """Draw with probabilities that fall with the cost, less with age.

    A tenth of the age divides the probability by e.
    """
    least = min(map(_get_cost, options))
    scale = max(1.0, age_ms / 10)
    weights = [math.exp((least - item.cost_ms) / scale) for item in options]
    return generator.choices(options, weights)[0].number


def choose_filled(
    options: list[Option],
    age_ms: float,
    nodes: int,
    generator: random.Random,
) -> int:
    """Draw by the share of each server in the free capacity.

    Other hosts send work for half of the age to each server until this host
    hears of it. That work fills the cheapest servers up to one level, and
    each is chosen in proportion to what it takes of it.
    """
    ordered = sorted(options, key=_get_cost)
    volume = age_ms / 2 * len(options) * (nodes - 1) / nodes
    total = 0.0
    level = 0.0
    for count, item in enumerate(ordered, 1):
        total += item.cost_ms
        level = (volume + total) / count
        if count == len(ordered) or level <= ordered[count].cost_ms:
            break
    weights = [max(0.0, level - item.cost_ms) for item in ordered]
    if not sum(weights):
        return ordered[0].number
    return generator.choices(ordered, weights)[0].number


def choose_by_own_share(
    options: list[Option],
    age_ms: float,
    nodes: int,
    generator: random.Random,
) -> int:
    """Choose by what the host itself uses of its share of each server.

    The older what it knows of the others, the more its own load counts in
    their place, as if they had sent in proportion.
    """
    costs = choice.level_costs([item.candidate for item in options])
    stale = 1 - math.exp(-age_ms / choice.LEVELLING_MS)
    factor = stale * math.sqrt(nodes - 1)
    scaled = [
        cost + factor * item.own_ms
        for cost, item in zip(costs, options, strict=True)
    ]
    return options[scaled.index(min(scaled))].number


def choose_predicted(
    options: list[Option],
    age_ms: float,
    nodes: int,
    generator: random.Random,
) -> int:
    """Choose the lowest cost after what the others sent meanwhile.

    They avoid servers with more load, so that it returns to the mean.
    """
    costs = choice.level_costs([item.candidate for item in options])
    return options[costs.index(min(costs))].number


def choose_levelled(
    options: list[Option],
    age_ms: float,
    nodes: int,
    generator: random.Random,
) -> int:
    """Choose as nodes do: by prediction, with a draw among equals."""
    candidates = [item.candidate for item in options]
    return choice.choose(candidates, nodes, generator).server


METHODS: dict[str, Method] = {
    'least': choose_least,
    'two': choose_of_two,
    'softened': choose_softened,
    'filled': choose_filled,
    'own-share': choose_by_own_share,
    'predicted': choose_predicted,
    'levelled': choose_levelled,
}


def _get_cost(item: Option) -> float:
    return item.cost_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Size of a simulated site."""

    hosts: int
    servers: int


SIZES = (
    Size(hosts=6, servers=4),
    Size(hosts=64, servers=45),
    Size(hosts=195, servers=78),
)
PLAIN_SIZES = tuple(dataclasses.replace(size, servers=4) for size in SIZES)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Result of one run.

    :param peak: most loaded server relative to the mean, over time.
    :param peak_load: load of that server, in milliseconds of work, or in
        requests at plain servers.
    :param idle: fraction of time in which a server was idle while another
        one had a queue.
    :param wasted: mean fraction of the servers that were idle while a
        prompt for them waited at another one.
    :param median_ms: median time to the first event.
    :param p95_ms: 95th percentile of it.
    :param p99_ms: 99th percentile of it.
    :param reread: fraction of the shared tokens that were read again.
    :param age_ms: mean age of the information at selection.
    """

    method: str
    size: Size
    load: float
    seed: int
    is_plain: bool
    peak: float
    peak_load: float
    idle: float
    wasted: float
    median_ms: float
    p95_ms: float
    p99_ms: float
    reread: float
    age_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Prompt:
    host: int
    sent_at: float
    head: int | None
    unread: int


class _Server:
    """A server that reads prompts one after the other."""

    def __init__(self, number: int, speed: float) -> None:
        self.number = number
        self.speed = speed
        self.queue: collections.deque[_Prompt] = collections.deque()
        self.busy_until = 0.0
        self.is_reading = False
        self.queued_tokens = 0
        self.heads: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def get_backlog_ms(self, now: float) -> float:
        """Return the time that the prompts sent to it still take."""
        left = max(0.0, self.busy_until - now) if self.is_reading else 0.0
        return left + self.queued_tokens / self.speed


class _Host:
    """What one host knows."""

    def __init__(self, servers: int) -> None:
        self.own_tokens = [0] * servers
        self.own_running = [0] * servers
        self.other_tokens = [0] * servers
        self.other_running = [0] * servers
        self.reports: dict[int, _Report] = {}
        self.heads: dict[int, dict[int, float]] = {}
        self.unannounced: list[tuple[int, int]] = []
        self.sum_of_times = 0.0

    def merge(self, sender: int, report: _Report) -> None:
        """Replace what is known about another host."""
        known = self.reports.get(sender)
        if known is not None:
            self._add(known, -1)
            self.sum_of_times -= known.made_at
        self.reports[sender] = report
        self.sum_of_times += report.made_at
        self._add(report, 1)
        for server, head in report.cached:
            self.heads.setdefault(head, {})[server] = report.made_at

    def get_age_ms(self, now: float) -> float:
        """Return the mean age of the reports."""
        if not self.reports:
            return 0.0
        return now - self.sum_of_times / len(self.reports)

    def _add(self, report: _Report, sign: int) -> None:
        for server, tokens, running in report.servers:
            self.other_tokens[server] += sign * tokens
            self.other_running[server] += sign * running


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    made_at: float
    servers: tuple[tuple[int, int, int], ...]
    cached: tuple[tuple[int, int], ...]


class World:
    """One run of the comparison.

    :param size: number of hosts and servers.
    :param method: how hosts choose.
    :param load: mean demand as a fraction of the servers' capacity if they
        had to read all tokens.
    :param seed: random seed; runs with the same seed have the same demand.
    """

    def __init__(
        self, *, size: Size, method: Method, load: float, seed: int
    ) -> None:
        self._size = size
        self._method = method
        self._demand = random.Random(f'demand {seed}')
        self._noise = random.Random(f'noise {seed}')
        self._choices = random.Random(f'choices {seed}')
        self._links = random.Random(f'links {seed}')
        self._seed = seed
        self._events = schedule.EventQueue()
        self._servers = [
            _Server(number, TOKENS_PER_MS * SPEEDS[number % len(SPEEDS)])
            for number in range(size.servers)
        ]
        self._hosts = [_Host(size.servers) for _ in range(size.hosts)]
        self._ranks: dict[int, list[int]] = {}
        self._weights = [(number + 1) ** -HEAD_SKEW for number in range(HEADS)]
        self._heads = range(HEADS)
        tokens = SMALL_FRACTION * SMALL_TOKENS + (1 - SMALL_FRACTION) * (
            OWN_TOKENS + SHARED_TOKENS
        )
        capacity = sum(item.speed for item in self._servers)
        capacity /= 1 + SLOW_PROBABILITY * (SLOW_FACTOR - 1)
        self._per_ms = load * capacity / tokens
        self._read_before: set[int] = set()
        self.first_ms: list[float] = []
        self.peaks: list[float] = []
        self.means: list[float] = []
        self.idle: list[float] = []
        self.ages: list[float] = []
        self.shared_tokens = 0
        self.reread_tokens = 0

    def run(self, span_ms: int) -> None:
        """Simulate the warm-up and a span."""
        intervals = math.ceil((self._size.hosts - 1) / REPORT_RECEIVERS)
        intervals = max(1, min(MAX_REPORT_INTERVALS, intervals))
        for number in range(self._size.hosts):
            first = self._links.random() * REPORT_INTERVAL_MS
            self._report_every(number, intervals, first)
        self._events.call_every(SAMPLE_INTERVAL_MS, WARM_UP_MS, self._sample)
        self._schedule_arrival()
        self._events.run_until(WARM_UP_MS + span_ms)

    def _report_every(self, number: int, intervals: int, first: float) -> None:
        turn = 0

        def report() -> None:
            nonlocal turn
            turn += 1
            self._send_report(number, intervals, turn)

        self._events.call_every(REPORT_INTERVAL_MS, first, report)

    def _send_report(self, number: int, intervals: int, turn: int) -> None:
        host = self._hosts[number]
        report = _Report(
            self._events.now,
            tuple(
                (server, host.own_tokens[server], running)
                for server, running in enumerate(host.own_running)
                if running
            ),
            tuple(host.unannounced),
        )
        host.unannounced.clear()
        for other in range(turn % intervals, self._size.hosts, intervals):
            if other == number:
                continue
            delay = self._links.uniform(
                MIN_REPORT_DELAY_MS, MAX_REPORT_DELAY_MS
            )
            self._events.call_later(
                delay, self._make_delivery(other, number, report)
            )

    def _make_delivery(
        self, receiver: int, sender: int, report: _Report
    ) -> schedule.Callback:
        def deliver() -> None:
            self._hosts[receiver].merge(sender, report)

        return deliver

    def _schedule_arrival(self) -> None:
        phase = 2 * math.pi * self._events.now / WAVE_MS
        rate = self._per_ms * (1 + WAVE_AMPLITUDE * math.sin(phase))

        def arrive() -> None:
            self._handle_arrival()
            self._schedule_arrival()

        self._events.call_later(self._demand.expovariate(rate), arrive)

    def _handle_arrival(self) -> None:
        now = self._events.now
        sender = self._demand.randrange(self._size.hosts)
        host = self._hosts[sender]
        head: int | None = None
        if self._demand.random() >= SMALL_FRACTION:
            head = self._demand.choices(self._heads, self._weights)[0]
            ranks = self._ranks.get(head)
            if ranks is None:
                ranks = self._ranks[head] = self._rank(f'{head}')
        else:
            ranks = self._rank(f'own {self._demand.random()}')
        known = {} if head is None else host.heads.get(head, {})
        number = self._choose(
            host,
            [
                self._describe(host, server, head, known, ranks)
                for server in self._servers
            ],
        )
        unread = self._count_unread(head, known, number)
        if head is not None:
            host.heads.setdefault(head, {})[number] = now
            host.unannounced.append((number, head))
        host.own_tokens[number] += unread
        host.own_running[number] += 1
        prompt = _Prompt(host=sender, sent_at=now, head=head, unread=unread)
        server = self._servers[number]
        server.queue.append(prompt)
        server.queued_tokens += unread
        self._read_next(server)

    def _rank(self, text: str) -> list[int]:
        keys = [
            placement.hash_text(text, f'h{number}')
            for number in range(self._size.servers)
        ]
        ordered = sorted(range(self._size.servers), key=keys.__getitem__)
        ranks = [0] * self._size.servers
        for rank, number in enumerate(ordered):
            ranks[number] = rank
        return ranks

    def _count_unread(
        self, head: int | None, known: dict[int, float], number: int
    ) -> int:
        if head is None:
            return SMALL_TOKENS
        sent_at = known.get(number)
        if (
            sent_at is not None
            and self._events.now - sent_at < loads.PART_TTL_MS
        ):
            return OWN_TOKENS
        return OWN_TOKENS + SHARED_TOKENS

    def _describe(
        self,
        host: _Host,
        server: _Server,
        head: int | None,
        known: dict[int, float],
        ranks: list[int],
    ) -> Option:
        number = server.number
        others_ms = (
            host.other_tokens[number] / server.speed
            + predict.RUNNING_PENALTY_MS * host.other_running[number]
        )
        own_ms = (
            host.own_tokens[number] / server.speed
            + predict.RUNNING_PENALTY_MS * host.own_running[number]
        )
        unread = self._count_unread(head, known, number)
        cost_ms = (
            own_ms
            + others_ms
            + unread / server.speed
            + prefill.RANK_PENALTY_MS * ranks[number]
        )
        return self._make_option(host, number, cost_ms, own_ms, others_ms)

    def _make_option(
        self,
        host: _Host,
        number: int,
        cost_ms: float,
        own_ms: float,
        others_ms: float,
    ) -> Option:
        candidate = choice.Candidate(
            server=number,
            cost_ms=cost_ms,
            age_ms=host.get_age_ms(self._events.now),
            others_ms=others_ms,
        )
        return Option(candidate=candidate, own_ms=own_ms)

    def _choose(self, host: _Host, options: list[Option]) -> int:
        age_ms = host.get_age_ms(self._events.now)
        self.ages.append(age_ms)
        nodes = self._size.hosts
        return self._method(options, age_ms, nodes, self._choices)

    def _read_next(self, server: _Server) -> None:
        if server.is_reading or not server.queue:
            return
        prompt = server.queue.popleft()
        server.queued_tokens -= prompt.unread
        server.is_reading = True
        span = self._get_reading_ms(server, self._read_head(server, prompt))
        server.busy_until = self._events.now + span

        def finish() -> None:
            server.is_reading = False
            self._finish(server, prompt)
            self._read_next(server)

        self._events.call_later(span, finish)

    def _read_head(self, server: _Server, prompt: _Prompt) -> int:
        """Return the tokens to read, and keep the head."""
        head = prompt.head
        if head is None:
            return SMALL_TOKENS
        is_measured = self._events.now >= WARM_UP_MS
        self.shared_tokens += SHARED_TOKENS * is_measured
        if head in server.heads:
            server.heads.move_to_end(head)
            return OWN_TOKENS
        if head in self._read_before:
            self.reread_tokens += SHARED_TOKENS * is_measured
        self._read_before.add(head)
        server.heads[head] = None
        if len(server.heads) > CACHED_HEADS:
            server.heads.popitem(last=False)
        return OWN_TOKENS + SHARED_TOKENS

    def _get_reading_ms(self, server: _Server, tokens: int) -> float:
        window = int(self._events.now // SLOW_WINDOW_MS)
        draw = placement.hash_text(
            f'{self._seed} {window}', f'{server.number}'
        )
        factor = self._noise.lognormvariate(0.0, SPEED_NOISE)
        if draw % 1_000 < 1_000 * SLOW_PROBABILITY:
            factor *= SLOW_FACTOR
        return factor * tokens / server.speed

    def _finish(self, server: _Server, prompt: _Prompt) -> None:
        host = self._hosts[prompt.host]
        host.own_tokens[server.number] -= prompt.unread
        if prompt.sent_at >= WARM_UP_MS:
            self.first_ms.append(
                self._events.now - prompt.sent_at + prefill.FIRST_STEP_MS
            )

        def end() -> None:
            host.own_running[server.number] -= 1

        self._events.call_later(DECODING_MS, end)

    def _sample(self) -> None:
        now = self._events.now
        backlogs = [item.get_backlog_ms(now) for item in self._servers]
        self.means.append(sum(backlogs) / len(backlogs))
        self.peaks.append(max(backlogs))
        self.idle.append(
            min(
                sum(not item.is_reading for item in self._servers),
                sum(len(item.queue) for item in self._servers),
            )
        )


class PlainWorld(World):
    """Servers without prompts, which answer some requests at a time."""

    def __init__(
        self, *, size: Size, method: Method, load: float, seed: int
    ) -> None:
        super().__init__(size=size, method=method, load=load, seed=seed)
        self._per_ms = load * size.servers * PLAIN_SLOTS / PLAIN_MS
        self._running = [0] * size.servers

    def _handle_arrival(self) -> None:
        sender = self._demand.randrange(self._size.hosts)
        host = self._hosts[sender]
        options = [
            self._describe_plain(host, server.number)
            for server in self._servers
        ]
        self._demand.shuffle(options)
        number = self._choose(host, options)
        host.own_running[number] += 1
        server = self._servers[number]
        server.queue.append(
            _Prompt(host=sender, sent_at=self._events.now, head=None, unread=0)
        )
        self._read_next(server)

    def _describe_plain(self, host: _Host, number: int) -> Option:
        unit_ms = prefill.FULL_LOAD_MS / PLAIN_SLOTS
        own_ms = host.own_running[number] * unit_ms
        others_ms = host.other_running[number] * unit_ms
        return self._make_option(
            host, number, own_ms + others_ms, own_ms, others_ms
        )

    def _read_next(self, server: _Server) -> None:
        number = server.number
        if self._running[number] >= PLAIN_SLOTS or not server.queue:
            return
        prompt = server.queue.popleft()
        self._running[number] += 1

        def finish() -> None:
            self._running[number] -= 1
            self._hosts[prompt.host].own_running[number] -= 1
            if prompt.sent_at >= WARM_UP_MS:
                self.first_ms.append(self._events.now - prompt.sent_at)
            self._read_next(server)

        factor = self._noise.lognormvariate(0.0, PLAIN_NOISE)
        self._events.call_later(PLAIN_MS * factor, finish)

    def _sample(self) -> None:
        loads = [
            running + len(server.queue)
            for running, server in zip(
                self._running, self._servers, strict=True
            )
        ]
        self.means.append(sum(loads) / len(loads))
        self.peaks.append(max(loads))
        free = sum(PLAIN_SLOTS - running for running in self._running)
        waiting = sum(len(server.queue) for server in self._servers)
        self.idle.append(min(free, waiting) / PLAIN_SLOTS)


def run(
    name: str,
    size: Size,
    load: float,
    seed: int,
    *,
    is_plain: bool = False,
    span_ms: int = SPAN_MS,
) -> Figures:
    """Run one method at one size and return its figures.

    :param name: name of the method.
    :param load: mean demand as a fraction of the servers' capacity.
    :param is_plain: whether to simulate plain servers, not engines.
    """
    kind = PlainWorld if is_plain else World
    world = kind(size=size, method=METHODS[name], load=load, seed=seed)
    world.run(span_ms)
    ordered = sorted(world.first_ms)
    return Figures(
        method=name,
        size=size,
        load=load,
        seed=seed,
        is_plain=is_plain,
        peak=sum(world.peaks) / max(1.0, sum(world.means)),
        peak_load=sum(world.peaks) / len(world.peaks),
        idle=sum(map(bool, world.idle)) / len(world.idle),
        wasted=sum(world.idle) / len(world.idle) / size.servers,
        median_ms=ordered[len(ordered) // 2],
        p95_ms=ordered[len(ordered) * 95 // 100],
        p99_ms=ordered[len(ordered) * 99 // 100],
        reread=world.reread_tokens / max(1, world.shared_tokens),
        age_ms=sum(world.ages) / len(world.ages),
    )


def format_table(figures: collections.abc.Sequence[Figures]) -> list[str]:
    """Format the mean figures over the seeds as the lines of a table."""
    groups: dict[tuple[typing.Any, ...], list[Figures]] = {}
    for item in figures:
        key = (item.is_plain, item.load, item.size, item.method)
        groups.setdefault(key, []).append(item)
    rows = [
        'hosts servers load method      peak  load  idle wasted   median'
        '      p95      p99 read again     age'
    ]
    for (_, load, size, method), items in groups.items():
        mean = _compute_means(items)
        rows.append(
            f'{size.hosts:>5} {size.servers:>7} {load:>4.1f} {method:<10} '
            f'{mean["peak"]:>5.2f} {mean["peak_load"]:>5.0f} '
            f'{mean["idle"]:>5.2f} '
            f'{mean["wasted"]:>6.3f} {mean["median_ms"]:>5.0f} ms '
            f'{mean["p95_ms"]:>5.0f} ms {mean["p99_ms"]:>5.0f} ms '
            f'{mean["reread"]:>10.1%} {mean["age_ms"]:>4.0f} ms'
        )
    return rows


def _compute_means(items: list[Figures]) -> dict[str, float]:
    names = (
        'peak',
        'peak_load',
        'idle',
        'wasted',
        'median_ms',
        'p95_ms',
        'p99_ms',
        'reread',
        'age_ms',
    )
    return {
        name: sum(getattr(item, name) for item in items) / len(items)
        for name in names
    }
