"""Statistical test of a new version against the old one, by route.

For each route and version a cumulative sum (CUSUM) of log likelihood ratios
increases with each bad outcome and decreases with each good one, but never
below zero (Page's test). The expected rate is that of the old version in the
same period, so that a common cause, such as a lost zone or a host that slows
down, is not attributed to the new version. Because the sum restarts from
zero, the test also detects faults that appear late.

Each node tests the outcomes that it observed itself. It also reports them
as scores, which add up to one test over all nodes.
"""

from __future__ import annotations

import dataclasses
import math

# A version is faulty from this log likelihood ratio and this number of bad
# outcomes.
FAULT_THRESHOLD = math.log(10_000)
MIN_FAULT_OUTCOMES = 3
# Bounds of the expected error rate, and the increase that is tested for.
MIN_ERROR_RATE = 0.02
MAX_EXPECTED_RATE = 0.9
ERROR_RATE_INCREASE = 0.18
# An outcome is slow beyond this multiple of the old version's time.
SLOW_FACTOR = 1.6
# The same, while the old version has no recent outcomes to compare with:
# whatever slowed the hosts since then also counts against the new version.
UNPAIRED_SLOW_FACTOR = 3.0
RECENT_MS = 3_000
# Outcomes that end within this time after a slow one are not compared: a
# stall of the host slows all that it has in flight.
STALL_MS = 100
# Smoothing factor of the old version's recent time, over about five outcomes.
RECENT_SMOOTHING_FACTOR = 0.2
MIN_SLOW_RATE = 0.08
SLOW_RATE_INCREASE = 0.4
# Smoothing factor of the moving averages.
SMOOTHING_FACTOR = 0.005
# Standard errors that are added to the old version's rate.
STANDARD_ERRORS = 2.0
# With fewer outcomes of the old version, their rate is expected after adding
# PRIOR_COUNT outcomes at `DEFAULT_RATE`, but no less than `DEFAULT_RATE`.
MIN_BASELINE_COUNT = 20
DEFAULT_RATE = 0.1
PRIOR_COUNT = 2
# With fewer timed outcomes of the old version, times are not compared.
MIN_TIMED_COUNT = 8
ALL_ROUTES = '*'
# From these values a version is in doubt and gets no more traffic.
DOUBT_THRESHOLD = math.log(20)
MIN_DOUBT_OUTCOMES = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tally:
    """Outcome counts of one version on one route at one node.

    The counts only increase.

    :param count: all outcomes.
    :param failed: errors among them.
    :param timed: outcomes whose time was compared with the usual time.
    :param slowed: slow ones among those.
    """

    count: int = 0
    failed: int = 0
    timed: int = 0
    slowed: int = 0

    def subtract(self, before: Tally) -> Tally:
        """Return the counts that were added since an earlier tally."""
        return Tally(
            count=self.count - before.count,
            failed=self.failed - before.failed,
            timed=self.timed - before.timed,
            slowed=self.slowed - before.slowed,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Score:
    """Outcomes of both versions on one route since a node's start."""

    route: str
    old: Tally = Tally()
    new: Tally = Tally()


@dataclasses.dataclass(slots=True)
class MovingRate:
    """Moving average of the old version's share of bad outcomes."""

    value: float = 0.0
    count: int = 0

    def add(self, bad: bool) -> None:
        """Record one outcome."""
        self.merge(int(bad), 1)

    def merge(self, bad: int, count: int) -> None:
        """Record several outcomes.

        :param bad: number of bad outcomes.
        :param count: number of all outcomes.
        """
        if not count:
            return
        self.count += count
        min_weight = 1 - (1 - SMOOTHING_FACTOR) ** count
        weight = max(min_weight, count / self.count)
        self.value += weight * (bad / count - self.value)

    def most(self, floor: float) -> float:
        """Return the upper confidence bound of the share.

        :param floor: smallest bound to return.
        """
        if self.count < MIN_BASELINE_COUNT:
            bad = self.value * self.count + DEFAULT_RATE * PRIOR_COUNT
            share = bad / (self.count + PRIOR_COUNT)
            return min(MAX_EXPECTED_RATE, max(DEFAULT_RATE, share))
        known = min(float(self.count), 1 / SMOOTHING_FACTOR)
        share = max(self.value, 1 / known)
        margin = STANDARD_ERRORS * math.sqrt(share * (1 - share) / known)
        return min(MAX_EXPECTED_RATE, max(floor, self.value + margin))


@dataclasses.dataclass(slots=True)
class Cusum:
    """Cumulative sum (CUSUM) of one test.

    :param value: log likelihood ratio, never below zero.
    :param bad: bad outcomes since the value was zero.
    """

    value: float = 0.0
    bad: int = 0

    @property
    def is_conclusive(self) -> bool:
        """Whether the evidence suffices to call the version faulty."""
        return self.value >= FAULT_THRESHOLD and self.bad >= MIN_FAULT_OUTCOMES

    @property
    def is_doubtful(self) -> bool:
        """Whether the version must not get more traffic for now."""
        return self.value >= DOUBT_THRESHOLD and self.bad >= MIN_DOUBT_OUTCOMES

    def add(
        self, bad: int, count: int, expected: float, worse_by: float
    ) -> bool:
        """Add outcomes of the new version.

        :param bad: number of bad outcomes.
        :param count: number of all outcomes.
        :param expected: expected share of bad outcomes.
        :param worse_by: smallest increase of that share that makes a
            version faulty.
        :return: whether the evidence suffices.
        """
        bad_share = min(0.95, expected + worse_by)
        self.bad += bad
        self.value += bad * math.log(bad_share / expected)
        self.value += (count - bad) * math.log(
            (1 - bad_share) / (1 - expected)
        )
        if self.value <= 0:
            self.value = 0.0
            self.bad = 0
        return self.is_conclusive


@dataclasses.dataclass(slots=True)
class _MutableTally:
    """Mutable counts from which a tally is taken."""

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
class _VersionTallies:
    """Outcome counts of both versions on one route."""

    old: _MutableTally = dataclasses.field(default_factory=_MutableTally)
    new: _MutableTally = dataclasses.field(default_factory=_MutableTally)


@dataclasses.dataclass(slots=True)
class _Baseline:
    """Performance of the old version on one route.

    :param span: mean milliseconds of a token or answer.
    :param timed: number of outcomes in that mean.
    :param recent_span: the same mean over the last few outcomes.
    :param timed_at: monotonic milliseconds of the last of them.
    :param untold_at: the same of the new version's last outcome of which it
        could not be told whether it is slow.
    """

    errors: MovingRate = dataclasses.field(default_factory=MovingRate)
    slow: MovingRate = dataclasses.field(default_factory=MovingRate)
    span: float = 0.0
    timed: int = 0
    recent_span: float = 0.0
    timed_at: int = 0
    untold_at: int = -1

    def add_span(self, span: float, mono: int) -> None:
        """Record the time of an outcome."""
        self.timed += 1
        weight = max(SMOOTHING_FACTOR, 1 / self.timed)
        self.span += weight * (span - self.span)
        weight = max(RECENT_SMOOTHING_FACTOR, 1 / self.timed)
        self.recent_span += weight * (span - self.recent_span)
        self.timed_at = mono

    def judge_span(
        self, span: float, mono: int, slowed_at: int
    ) -> bool | None:
        """Judge whether an outcome of the new version is slow.

        :param slowed_at: monotonic milliseconds of the new version's last
            slow outcome.
        :return: none where that cannot be told: what slowed the new version's
            outcomes may have begun after the old version's last one. Until
            the old version's next one, outcomes that are not slow do not
            count either, or they would outweigh those that are.
        """
        if mono - self.timed_at > RECENT_MS:
            return span > UNPAIRED_SLOW_FACTOR * self.span
        if span <= SLOW_FACTOR * max(self.span, self.recent_span):
            return None if self.untold_at > self.timed_at else False
        if self.timed_at >= slowed_at:
            return True
        if span > UNPAIRED_SLOW_FACTOR * self.span:
            return True
        self.untold_at = mono
        return None


@dataclasses.dataclass(slots=True)
class _Stalls:
    """Slow outcomes of one version at this node, over all routes.

    :param slowed_at: monotonic milliseconds of the last one that counted.
    """

    slowed_at: int = -STALL_MS

    def may_cover(self, mono: int) -> bool:
        """Return whether the last slow outcome's cause may last until now."""
        return mono - self.slowed_at < STALL_MS

    def record(self, slow: bool, mono: int) -> None:
        """Record an outcome that was compared."""
        if slow:
            self.slowed_at = mono


class UsualTimes:
    """Times of a pool's answers by route, whether or not a move is tested.

    A node that has few requests on a route could not time the new version
    otherwise until the move is half over.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, _Baseline] = {}

    def add(self, route: str, span: float, mono: int) -> None:
        """Record the time of a successful answer.

        :param span: milliseconds a token or answer took.
        :param mono: monotonic milliseconds.
        """
        self._by_route.setdefault(route, _Baseline()).add_span(span, mono)

    def copy_to(self, route: str, baseline: _Baseline) -> None:
        """Copy the times of a route."""
        usual = self._by_route.get(route)
        if usual is None:
            return
        baseline.span = usual.span
        baseline.timed = usual.timed
        baseline.recent_span = usual.recent_span
        baseline.timed_at = usual.timed_at


@dataclasses.dataclass(slots=True)
class _VersionTests:
    """Tests of the new version on one route or on all routes."""

    errors: Cusum = dataclasses.field(default_factory=Cusum)
    slow: Cusum = dataclasses.field(default_factory=Cusum)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Reason why a version is faulty or in doubt.

    :param route: affected route, or `ALL_ROUTES`.
    :param cause: description with figures.
    """

    route: str
    cause: str


class Evidence:
    """Outcomes of one move at this node, by route.

    Each route is tested on its own, to detect faults of a single route. All
    routes are also tested together, which detects a common fault sooner.

    :param usual: times before the move, none where they are unknown.
    """

    def __init__(self, usual: UsualTimes | None = None) -> None:
        self._usual = usual
        self._baselines: dict[str, _Baseline] = {}
        self._tests: dict[str, _VersionTests] = {}
        self._tallies: dict[str, _VersionTallies] = {}
        self._old_stalls = _Stalls()
        self._new_stalls = _Stalls()

    @property
    def scores(self) -> tuple[Score, ...]:
        """Outcome counts by route."""
        return tuple(
            Score(route=route, old=counts.old.tally, new=counts.new.tally)
            for route, counts in self._tallies.items()
        )

    def add_old_outcome(
        self, route: str, failed: bool, span: float, mono: int
    ) -> None:
        """Record an outcome of the old version.

        :param span: milliseconds a token or answer took, 0 for unknown.
        :param mono: monotonic milliseconds.
        """
        old = self._baseline_of(route)
        old.errors.add(failed)
        succeeded = bool(span) and not failed
        timed = succeeded and not self._old_stalls.may_cover(mono)
        slow = timed and bool(old.timed) and span > SLOW_FACTOR * old.span
        self._old_stalls.record(slow, mono)
        self._tallies_of(route).old.add(failed, timed, slow)
        if timed:
            old.slow.add(slow)
        if succeeded:
            old.add_span(span, mono)

    def add_new_outcome(
        self, route: str, failed: bool, span: float, mono: int
    ) -> Fault | None:
        """Record an outcome of the new version and test it.

        :param span: milliseconds a token or answer took, 0 for unknown.
        :param mono: monotonic milliseconds.
        :return: the fault, once the evidence suffices.
        """
        old = self._baseline_of(route)
        is_slow = None
        if (
            span
            and not failed
            and old.timed >= MIN_TIMED_COUNT
            and not self._new_stalls.may_cover(mono)
        ):
            is_slow = old.judge_span(span, mono, self._new_stalls.slowed_at)
        timed = is_slow is not None
        slow = bool(is_slow)
        self._new_stalls.record(slow, mono)
        self._tallies_of(route).new.add(failed, timed, slow)
        outcomes = Tally(count=1, failed=failed, timed=timed, slowed=slow)
        fault = _test_outcomes(
            self._tests, route, outcomes, old.errors, old.slow
        )
        if fault is not None and slow:
            detail = f'{span:.1f} ms where {old.span:.1f} ms are usual'
            return dataclasses.replace(fault, cause=detail)
        return fault

    def _baseline_of(self, route: str) -> _Baseline:
        """Return the baseline of a route, which begins with usual times."""
        known = self._baselines.get(route)
        if known is None:
            known = self._baselines[route] = _Baseline()
            if self._usual is not None:
                self._usual.copy_to(route, known)
        return known

    def _tallies_of(self, route: str) -> _VersionTallies:
        return self._tallies.setdefault(route, _VersionTallies())


class PoolEvidence:
    """Outcomes of a move at all nodes, by route.

    Scores are totals since a node's start, so duplicate, late and lost
    reports do not distort the sums.
    """

    def __init__(self) -> None:
        self._last_scores: dict[tuple[str, int, str], Score] = {}
        self._baselines: dict[str, _Baseline] = {}
        self._tests: dict[str, _VersionTests] = {}

    def count_outcomes(self) -> tuple[int, int]:
        """Return the numbers of outcomes of the old and the new version."""
        scores = self._last_scores.values()
        return (
            sum(score.old.count for score in scores),
            sum(score.new.count for score in scores),
        )

    def count_timed(self) -> tuple[int, int]:
        """Return the same for outcomes whose times were compared."""
        scores = self._last_scores.values()
        return (
            sum(score.old.timed for score in scores),
            sum(score.new.timed for score in scores),
        )

    @property
    def doubt(self) -> Fault | None:
        """Reason why the new version is in doubt, if it is."""
        for route, new in self._tests.items():
            if new.errors.is_doubtful:
                return Fault(route, f'{new.errors.bad} errors')
            if new.slow.is_doubtful:
                return Fault(route, f'{new.slow.bad} slow answers')
        return None

    def add(self, node: str, incarnation: int, score: Score) -> Fault | None:
        """Add a node's outcomes on a route and test them.

        :param incarnation: distinguishes restarts of the node.
        :return: the fault, once the evidence suffices.
        """
        key = (node, incarnation, score.route)
        before = self._last_scores.get(key, Score(route=score.route))
        old = score.old.subtract(before.old)
        new = score.new.subtract(before.new)
        if old.count < 0 or new.count < 0:
            return None
        self._last_scores[key] = score
        baseline = self._baselines.setdefault(score.route, _Baseline())
        baseline.errors.merge(old.failed, old.count)
        baseline.slow.merge(old.slowed, old.timed)
        if not new.count:
            return None
        return _test_outcomes(
            self._tests, score.route, new, baseline.errors, baseline.slow
        )


def _test_outcomes(
    tests: dict[str, _VersionTests],
    route: str,
    outcomes: Tally,
    errors: MovingRate,
    slow: MovingRate,
) -> Fault | None:
    """Test new outcomes of the new version on their route and on all routes.

    :param errors: error rate of the old version on that route.
    :param slow: rate of slow outcomes of the old version on that route.
    """
    expected = errors.most(MIN_ERROR_RATE)
    expected_slow = slow.most(MIN_SLOW_RATE)
    for tested in (route, ALL_ROUTES):
        test = tests.setdefault(tested, _VersionTests())
        if test.errors.add(
            outcomes.failed, outcomes.count, expected, ERROR_RATE_INCREASE
        ):
            detail = f'{test.errors.bad} errors, {expected:.0%} are usual'
            return Fault(tested, detail)
        if test.slow.add(
            outcomes.slowed, outcomes.timed, expected_slow, SLOW_RATE_INCREASE
        ):
            detail = f'{test.slow.bad} slow, {expected_slow:.0%} are usual'
            return Fault(tested, detail)
    return None
