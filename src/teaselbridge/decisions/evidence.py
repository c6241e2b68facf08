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
FORGET = 0.02
SPAN_LEAST = 8


@dataclasses.dataclass(slots=True)
class Rate:
    """Share of bad outcomes of the old version, smoothed."""

    value: float = 0.0

    def add(self, bad: bool) -> None:
        """Take in an outcome."""
        self.value += FORGET * (float(bad) - self.value)


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
        old.span += max(FORGET, 1 / old.count) * (span - old.span)

    def new_outcome(
        self, route: str, failed: bool, span: float
    ) -> Fault | None:
        """Take in an outcome of the new version.

        :param span: milliseconds a token or answer took, 0 for unknown.
        :return: the fault, once the evidence suffices.
        """
        old = self._old.setdefault(route, _Old())
        new = self._new.setdefault(route, _New())
        usual = min(RATE_MOST, max(RATE_FLOOR, old.errors.value))
        if new.errors.add(failed, usual, WORSE_BY):
            detail = f'{new.errors.bad} errors, {usual:.0%} are usual'
            return Fault(route, detail)
        if failed or not span or old.count < SPAN_LEAST:
            return None
        usual = min(RATE_MOST, max(SLOW_FLOOR, old.slow.value))
        slow = span > SLOW_FACTOR * old.span
        if new.slow.add(slow, usual, SLOW_WORSE_BY):
            detail = f'{span:.1f} ms where {old.span:.1f} ms are usual'
            return Fault(route, detail)
        return None
