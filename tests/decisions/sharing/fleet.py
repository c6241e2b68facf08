"""Model of the rate limiters of many nodes in virtual time.

Each node sends its load update to a window of the others at a time, as
`loads` does. Callers send requests of one workspace to random nodes.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from teaselbridge.decisions import loads
from teaselbridge.decisions.sharing import rates
from teaselbridge.decisions.sharing import rotation
from teaselbridge.peers import messages
from teaselbridge.tables import model
from tests.decisions import samples

SPAN_MS = 8_000
TOLERANCE = rates.Tolerance(span_ms=SPAN_MS, excess=0.1, slack=190_000)
STEP_MS = 10
LINK_MS = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class Class:
    """Requests of one rank.

    :param rank: priority of their route.
    :param tokens: cost of a request.
    :param share: part of the workspace's usual tokens.
    """

    rank: int
    tokens: int
    share: float


MIXED = (
    Class(rank=0, tokens=17_020, share=0.5),
    Class(rank=1, tokens=9_190, share=0.35),
    Class(rank=2, tokens=1_460, share=0.15),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Asked:
    """A request and what became of it.

    :param at: virtual time in milliseconds.
    :param cost: its cost in tokens.
    :param wait_ms: retry delay of its refusal, 0 where it was admitted.
    """

    at: int
    rank: int
    cost: int
    wait_ms: int

    @property
    def is_granted(self) -> bool:
        """Whether it was admitted."""
        return not self.wait_ms


class Fleet:
    """Nodes that share the rate of one workspace.

    :param nodes: number of nodes.
    :param rate: rate limit of the workspace.
    :param classes: what callers send.
    :param first_start: whether buckets start full.
    :param idle: number of further nodes that are not active: they send no
        updates, and share a reserve of the rate.

    Attributes:

    * ``now``: virtual time in milliseconds.
    * ``asked``: all requests in the order of their arrival.
    * ``cut``: nodes whose updates get lost, both ways.
    * ``lost``: nodes that no longer run.
    * ``earlier``: nodes whose reports have no demand by rank.
    """

    def __init__(
        self,
        *,
        nodes: int,
        rate: model.Rate,
        classes: tuple[Class, ...] = MIXED,
        first_start: bool = True,
        idle: int = 0,
        seed: int = 1,
    ) -> None:
        self._random = random.Random(seed)
        self._node_random = random.Random(seed)
        self._rate = rate
        self._classes = classes
        self._handles = itertools.count(1)
        self._in_flight: list[tuple[int, int, str, messages.Loads]] = []
        self._numbers = itertools.count()
        self._due: dict[Class, float] = collections.defaultdict(float)
        self.now = 0
        self.asked: list[Asked] = []
        self.cut: frozenset[str] = frozenset()
        self.lost: frozenset[str] = frozenset()
        self.earlier: frozenset[str] = frozenset()
        self.names = [f'n{number:03}' for number in range(nodes)]
        self.limiters = {
            name: rates.RateLimiter(
                first_start=first_start, tolerance=TOLERANCE
            )
            for name in self.names
        }
        self.idle = {
            f'idle{number:03}': rates.RateLimiter(tolerance=TOLERANCE)
            for number in range(idle)
        }
        for limiter in self.limiters.values():
            limiter.set_share(1 - loads.IDLE_RATE_FRACTION if idle else 1.0)
        for limiter in self.idle.values():
            limiter.set_share(loads.IDLE_RATE_FRACTION / idle)
            limiter.record_start(samples.instant(0), 0)
        self._last = {name: name for name in self.names}
        self._offsets = {
            name: self._node_random.randrange(
                0, loads.UPDATE_INTERVAL_MS, STEP_MS
            )
            for name in self.names
        }

    def run(
        self,
        until: int,
        times: float | dict[int, float],
        at_nodes: typing.Sequence[str] = (),
    ) -> None:
        """Run the model.

        :param until: virtual time in milliseconds.
        :param times: offered load as a multiple of the usual one, also by
            rank.
        :param at_nodes: nodes that callers choose from, empty for all.
        """
        while self.now < until:
            self.now += STEP_MS
            self._deliver()
            for name in self.names:
                offset = self._offsets[name]
                if (self.now - offset) % loads.UPDATE_INTERVAL_MS == 0:
                    self._send_updates(name)
            for item in self._classes:
                factor = (
                    times.get(item.rank, 0.0)
                    if isinstance(times, dict)
                    else times
                )
                per_step = item.share * self._rate.per_s * STEP_MS / 1_000
                self._due[item] += factor * per_step / item.tokens
                while self._due[item] > 0:
                    self._due[item] -= self._random.expovariate(1.0)
                    self._ask(item, at_nodes)

    def sum_granted(self, since: int = 0, rank: int | None = None) -> int:
        """Return the tokens that were granted from a time on."""
        return sum(
            item.cost
            for item in self.asked
            if item.is_granted
            and item.at >= since
            and rank in (None, item.rank)
        )

    def sum_asked(self, since: int = 0, rank: int | None = None) -> int:
        """Return the tokens that were asked for from a time on."""
        return sum(
            item.cost
            for item in self.asked
            if item.at >= since and rank in (None, item.rank)
        )

    def get_share(self, rank: int, since: int = 0) -> float:
        """Return the fraction of the tokens of a rank that was granted."""
        return self.sum_granted(since, rank) / self.sum_asked(since, rank)

    def max_in_window(self) -> int:
        """Return the most tokens that were granted in 8 s."""
        window: collections.deque[Asked] = collections.deque()
        most = total = 0
        for item in self.asked:
            if not item.is_granted:
                continue
            window.append(item)
            total += item.cost
            while window[0].at <= item.at - SPAN_MS:
                total -= window.popleft().cost
            most = max(most, total)
        return most

    @property
    def bound(self) -> float:
        """Most tokens that may be granted in 8 s."""
        rate = self._rate
        tokens = rate.per_s * SPAN_MS / 1_000 + rate.burst
        return tokens * (1 + TOLERANCE.excess) + TOLERANCE.slack

    def drop(self, names: typing.Iterable[str]) -> None:
        """Remove lost nodes as the membership does."""
        gone = list(names)
        for limiter in self.limiters.values():
            limiter.forget_peers(gone)

    def _ask(self, item: Class, at_nodes: typing.Sequence[str]) -> None:
        running = [name for name in self.names if name not in self.lost]
        name = self._node_random.choice(at_nodes or running)
        call = samples.relayed(
            next(self._handles),
            tokens_in=item.tokens,
            priority=item.rank,
            deadline=self.now + 6_000,
        )
        limiter = self.limiters.get(name) or self.idle[name]
        wait = limiter.admit(call, self._rate, samples.instant(self.now))
        self.asked.append(
            Asked(at=self.now, rank=item.rank, cost=item.tokens, wait_ms=wait)
        )

    def _send_updates(self, name: str) -> None:
        limiter = self.limiters[name]
        others = [item for item in self.names if item != name]
        limiter.record_start(
            samples.instant(self.now),
            len(others),
            rotation.get_period_ms(len(others)),
        )
        if name in self.lost:
            return
        chosen = rotation.choose_window(others, self._last[name])
        if chosen:
            self._last[name] = chosen[-1]
        demand = limiter.get_demand(samples.instant(self.now))
        if name in self.earlier:
            demand = tuple(
                dataclasses.replace(item, asked=())
                for item in demand
                if item.spent
            )
        message = messages.Loads(
            node=name,
            incarnation=1,
            wall=0,
            servers=(),
            demand=demand,
        )
        for receiver in chosen:
            if (name in self.cut) is (receiver in self.cut):
                entry = (
                    self.now + LINK_MS,
                    next(self._numbers),
                    receiver,
                    message,
                )
                heapq.heappush(self._in_flight, entry)

    def _deliver(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, receiver, message = heapq.heappop(self._in_flight)
            self.limiters[receiver].merge_report(
                message, samples.instant(self.now)
            )
