"""Whether a new version does worse than the old one, route by route.

For each route and version a cumulative sum of log likelihood ratios grows
with each bad outcome and shrinks with each good one, never below zero
(Page's test). It compares with what the old version does in the same
period, so that a common cause, a lost zone say, does not blame the new one.
Starting from zero anew it also finds faults that show late.
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


@dataclasses.dataclass(slots=True)
class Rate:
    """Share of bad outcomes of the old version, smoothed."""

    value: float = 0.0
    count: int = 0

    def add(self, bad: bool) -> None:
        """Take in an outcome."""
        self.count += 1
        weight = max(FORGET, 1 / self.count)
        self.value += weight * (float(bad) - self.value)

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
    """Cumulative sum of one test."""

    value: float = 0.0
    bad: int = 0
    count: int = 0

    def add(self, bad: bool, usual: float, worse_by: float) -> bool:
        """Take in an outcome of the new version.

        :param usual: share of bad outcomes that is expected.
        :param worse_by: how much more a bad version has at least.
        :return: whether the evidence suffices.
        """
        self.count += 1
        worse = min(0.95, usual + worse_by)
        if bad:
            self.bad += 1
            self.value += math.log(worse / usual)
        else:
            self.value += math.log((1 - worse) / (1 - usual))
        if self.value <= 0:
            self.value = 0.0
            self.bad = 0
        return self.value >= LIMIT and self.bad >= LEAST_BAD


@dataclasses.dataclass(slots=True)
class _Old:
    errors: Rate = dataclasses.field(default_factory=Rate)
    slow: Rate = dataclasses.field(default_factory=Rate)
    span: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class _New:
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
    """Outcomes of one move, by route."""

    def __init__(self) -> None:
        self._old: dict[str, _Old] = {}
        self._new: dict[str, _New] = {}

    def old_outcome(self, route: str, failed: bool, span: float) -> None:
        """Take in an outcome of the old version.

        :param span: milliseconds a token or answer took, 0 for unknown.
        """
        old = self._old.setdefault(route, _Old())
        old.errors.add(failed)
        if failed or not span:
            return
        if not old.count:
            old.span = span
        old.slow.add(span > SLOW_FACTOR * old.span)
        old.count += 1
        weight = max(FORGET, 1 / old.count)
        old.span += weight * (span - old.span)

    def new_outcome(
        self, route: str, failed: bool, span: float
    ) -> Fault | None:
        """Take in an outcome of the new version.

        Each route is tested by itself, for faults on one route only, and
        all routes together, which finds a fault on all of them sooner.

        :param span: milliseconds a token or answer took, 0 for unknown.
        :return: the fault, once the evidence suffices.
        """
        old = self._old.setdefault(route, _Old())
        usual = old.errors.most(RATE_FLOOR)
        for place in (route, ALL_ROUTES):
            errors = self._new.setdefault(place, _New()).errors
            if errors.add(failed, usual, WORSE_BY):
                detail = f'{errors.bad} errors, {usual:.0%} are usual'
                return Fault(place, detail)
        if failed or not span or old.count < SPAN_LEAST:
            return None
        usual = old.slow.most(SLOW_FLOOR)
        slow = span > SLOW_FACTOR * old.span
        for place in (route, ALL_ROUTES):
            if self._new[place].slow.add(slow, usual, SLOW_WORSE_BY):
                detail = f'{span:.1f} ms where {old.span:.1f} ms are usual'
                return Fault(place, detail)
        return None
