"""Whether a new version does worse than the old one, route by route.

For each route and version a cumulative sum of log likelihood ratios grows
with each bad outcome and shrinks with each good one, never below zero
(Page's test). It compares with what the old version does in the same
period, so that a common cause, a lost zone say, does not blame the new one.
Starting from zero anew it also finds faults that show late.

Each node tests what it saw itself. What nodes saw is also scored, so that
the scores of several nodes add up to a test over all of them.
"""

from __future__ import annotations

import dataclasses
import math

LIMIT = math.log(10_000)
LEAST_BAD = 3
RATE_FLOOR = 0.02
RATE_MOST = 0.5
WORSE_BY = 0.18
SLOW_FACTOR = 1.6
SLOW_FLOOR = 0.08
SLOW_WORSE_BY = 0.4
FORGET = 0.005
MARGIN = 2.0
COUNT_LEAST = 20
RATE_UNKNOWN = 0.1
SPAN_LEAST = 8
ALL_ROUTES = '*'
DOUBT = math.log(20)
DOUBT_BAD = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tally:
    """Outcomes of one version on one route at one node; they only grow.

    :param count: all outcomes.
    :param failed: errors among them.
    :param timed: outcomes whose time was compared.
    :param slowed: slow ones among those.
    """

    count: int = 0
    failed: int = 0
    timed: int = 0
    slowed: int = 0

    def less(self, before: Tally) -> Tally:
        """Give what has come since an earlier tally."""
        return Tally(
            count=self.count - before.count,
            failed=self.failed - before.failed,
            timed=self.timed - before.timed,
            slowed=self.slowed - before.slowed,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Score:
    """What one node saw of both versions on one route, from its start."""

    route: str
    old: Tally = Tally()
    new: Tally = Tally()


@dataclasses.dataclass(slots=True)
class Rate:
    """Share of bad outcomes of the old version, smoothed."""

    value: float = 0.0
    count: int = 0

    def add(self, bad: bool) -> None:
        """Take in an outcome."""
        self.merge(int(bad), 1)

    def merge(self, bad: int, count: int) -> None:
        """Take in some outcomes.

        :param bad: bad ones among them.
        :param count: all of them.
        """
        if not count:
            return
        self.count += count
        fresh = 1 - (1 - FORGET) ** count
        weight = max(fresh, count / self.count)
        self.value += weight * (bad / count - self.value)

    def most(self, floor: float) -> float:
        """Give the share that is still usual, chance allowed for.

        :param floor: share below which nothing is unusual.
        """
        if self.count < COUNT_LEAST:
            return RATE_UNKNOWN
        known = min(float(self.count), 1 / FORGET)
        share = max(self.value, 1 / known)
        chance = MARGIN * math.sqrt(share * (1 - share) / known)
        return min(RATE_MOST, max(floor, self.value + chance))


@dataclasses.dataclass(slots=True)
class Sum:
    """Cumulative sum of one test.

    :param value: weight of the evidence, never below zero.
    :param bad: bad outcomes since the value was zero.
    """

    value: float = 0.0
    bad: int = 0

    @property
    def suffices(self) -> bool:
        """Whether the evidence suffices for a verdict."""
        return self.value >= LIMIT and self.bad >= LEAST_BAD

    @property
    def doubtful(self) -> bool:
        """Whether the evidence forbids to give the version more."""
        return self.value >= DOUBT and self.bad >= DOUBT_BAD

    def add(self, bad: int, count: int, usual: float, worse_by: float) -> bool:
        """Take in outcomes of the new version.

        :param bad: bad ones among them.
        :param count: all of them.
        :param usual: share of bad outcomes that is expected.
        :param worse_by: how much more a bad version has at least.
        :return: whether the evidence suffices.
        """
        worse = min(0.95, usual + worse_by)
        self.bad += bad
        self.value += bad * math.log(worse / usual)
        self.value += (count - bad) * math.log((1 - worse) / (1 - usual))
        if self.value <= 0:
            self.value = 0.0
            self.bad = 0
        return self.suffices


@dataclasses.dataclass(slots=True)
class _Count:
    """A tally in the making."""

    count: int = 0
    failed: int = 0
    timed: int = 0
    slowed: int = 0

    @property
    def tally(self) -> Tally:
        return Tally(
            count=self.count,
            failed=self.failed,
            timed=self.timed,
            slowed=self.slowed,
        )

    def add(self, failed: bool, timed: bool, slow: bool) -> None:
        self.count += 1
        self.failed += failed
        self.timed += timed
        self.slowed += slow


@dataclasses.dataclass(slots=True)
class _Counts:
    """Counts of both versions on one route."""

    old: _Count = dataclasses.field(default_factory=_Count)
    new: _Count = dataclasses.field(default_factory=_Count)


@dataclasses.dataclass(slots=True)
class _Old:
    """Old version on one route.

    :param span: usual milliseconds of a token or answer.
    :param timed: outcomes that this is known from.
    """

    errors: Rate = dataclasses.field(default_factory=Rate)
    slow: Rate = dataclasses.field(default_factory=Rate)
    span: float = 0.0
    timed: int = 0


@dataclasses.dataclass(slots=True)
class _New:
    """Tests of the new version in one place."""

    errors: Sum = dataclasses.field(default_factory=Sum)
    slow: Sum = dataclasses.field(default_factory=Sum)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Evidence that a version is bad.

    :param route: route on which it shows.
    :param cause: what shows, with figures.
    """

    route: str
    cause: str


class Evidence:
    """Outcomes of one move at this node, by route.

    Each route is tested by itself, for faults on one route only, and all
    routes together, which finds a fault on all of them sooner.
    """

    def __init__(self) -> None:
        self._old: dict[str, _Old] = {}
        self._new: dict[str, _New] = {}
        self._counts: dict[str, _Counts] = {}

    @property
    def scores(self) -> tuple[Score, ...]:
        """What was seen, by route."""
        return tuple(
            Score(route=route, old=counts.old.tally, new=counts.new.tally)
            for route, counts in self._counts.items()
        )

    def old_outcome(self, route: str, failed: bool, span: float) -> None:
        """Take in an outcome of the old version.

        :param span: milliseconds a token or answer took, 0 for unknown.
        """
        old = self._old.setdefault(route, _Old())
        old.errors.add(failed)
        timed = bool(span) and not failed
        slow = timed and bool(old.timed) and span > SLOW_FACTOR * old.span
        self._count(route).old.add(failed, timed, slow)
        if not timed:
            return
        old.slow.add(slow)
        old.timed += 1
        weight = max(FORGET, 1 / old.timed)
        old.span += weight * (span - old.span)

    def new_outcome(
        self, route: str, failed: bool, span: float
    ) -> Fault | None:
        """Take in an outcome of the new version.

        :param span: milliseconds a token or answer took, 0 for unknown.
        :return: the fault, once the evidence suffices.
        """
        old = self._old.setdefault(route, _Old())
        timed = bool(span) and not failed and old.timed >= SPAN_LEAST
        slow = timed and span > SLOW_FACTOR * old.span
        self._count(route).new.add(failed, timed, slow)
        fresh = Tally(count=1, failed=failed, timed=timed, slowed=slow)
        fault = _test(self._new, route, fresh, old.errors, old.slow)
        if fault is not None and slow:
            detail = f'{span:.1f} ms where {old.span:.1f} ms are usual'
            return dataclasses.replace(fault, cause=detail)
        return fault

    def _count(self, route: str) -> _Counts:
        return self._counts.setdefault(route, _Counts())


class Pool:
    """What all nodes saw of a move, by route.

    Scores are totals from a node's start, so one that comes twice, late or
    after a lost one does no harm.
    """

    def __init__(self) -> None:
        self._known: dict[tuple[str, int, str], Score] = {}
        self._old: dict[str, _Old] = {}
        self._new: dict[str, _New] = {}

    @property
    def doubt(self) -> Fault | None:
        """What makes the new version doubtful, if anything does."""
        for place, new in self._new.items():
            if new.errors.doubtful:
                return Fault(place, f'{new.errors.bad} errors')
            if new.slow.doubtful:
                return Fault(place, f'{new.slow.bad} slow answers')
        return None

    def add(self, node: str, incarnation: int, score: Score) -> Fault | None:
        """Take in what a node saw on a route.

        :param incarnation: tells restarts of the node apart.
        :return: the fault, once the evidence suffices.
        """
        key = (node, incarnation, score.route)
        before = self._known.get(key, Score(route=score.route))
        old = score.old.less(before.old)
        new = score.new.less(before.new)
        if old.count < 0 or new.count < 0:
            return None
        self._known[key] = score
        usual = self._old.setdefault(score.route, _Old())
        usual.errors.merge(old.failed, old.count)
        usual.slow.merge(old.slowed, old.timed)
        if not new.count:
            return None
        return _test(self._new, score.route, new, usual.errors, usual.slow)


def _test(
    tests: dict[str, _New], route: str, fresh: Tally, errors: Rate, slow: Rate
) -> Fault | None:
    """Test fresh outcomes of the new version, on their route and on all.

    :param errors: the old version's on that route.
    :param slow: the old version's on that route.
    """
    usual = errors.most(RATE_FLOOR)
    usual_slow = slow.most(SLOW_FLOOR)
    for place in (route, ALL_ROUTES):
        test = tests.setdefault(place, _New())
        if test.errors.add(fresh.failed, fresh.count, usual, WORSE_BY):
            detail = f'{test.errors.bad} errors, {usual:.0%} are usual'
            return Fault(place, detail)
        if test.slow.add(fresh.slowed, fresh.timed, usual_slow, SLOW_WORSE_BY):
            detail = f'{test.slow.bad} slow, {usual_slow:.0%} are usual'
            return Fault(place, detail)
    return None
