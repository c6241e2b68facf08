"""What came of a trace: counts, percentiles, a report."""

from __future__ import annotations

import dataclasses

import hdrh.histogram

PERCENTILES = (50.0, 95.0, 99.0)
LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of one kind of work."""

    sent: int = 0
    whole: int = 0
    late: int = 0
    refused: int = 0
    wrong: int = 0
    unknown: int = 0
    resumed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Percentiles in milliseconds.

    :param count: number of values.
    """

    count: int
    p50: float
    p95: float
    p99: float


class Times:
    """Times in a high dynamic range histogram."""

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, DIGITS
        )

    def add(self, span_ms: float) -> None:
        """Add a time in milliseconds."""
        value = max(LOWEST_US, min(HIGHEST_US, round(span_ms * 1_000)))
        self._histogram.record_value(value)

    def spread(self) -> Spread:
        """Give the percentiles."""
        values = [
            self._histogram.get_value_at_percentile(level) / 1_000
            for level in PERCENTILES
        ]
        return Spread(self._histogram.get_total_count(), *values)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What came of a trace.

    :param seconds: length of the trace.
    :param kinds: counts by kind of work.
    :param total: counts of all.
    :param first: times to the first token.
    :param between: times between two tokens.
    :param answer: times of plain services' answers.
    :param doubled: orders that ran more than once.
    :param unrun: orders that were answered but never ran.
    :param prompt_tokens: prompt tokens that engines took in.
    :param cached_tokens: of these, found in a prefix cache.
    :param recomputed_tokens: of these, computed before by some engine.
    :param cost: price of all hosts over the run.
    :param reasons: refusals by reason.
    :param timeline: counts in each second, for the plot.
    """

    seed: int
    rate: float
    seconds: float
    kinds: dict[str, Tally]
    total: Tally
    first: Spread
    between: Spread
    answer: Spread
    doubled: int
    unrun: int
    prompt_tokens: int
    cached_tokens: int
    recomputed_tokens: int
    cost: float
    reasons: dict[str, int]
    timeline: tuple[Second, ...]


@dataclasses.dataclass(slots=True)
class Second:
    """Counts of the requests that were sent in one second."""

    whole: int = 0
    late: int = 0
    refused: int = 0


def add(left: Tally, right: Tally) -> Tally:
    """Add two tallies."""
    return Tally(
        **{
            field.name: getattr(left, field.name) + getattr(right, field.name)
            for field in dataclasses.fields(Tally)
        }
    )
