"""Results of a run: outcome counts, latency percentiles and the report."""

from __future__ import annotations

import dataclasses

import hdrh.histogram

PERCENTILES = (50.0, 95.0, 99.0)
MIN_TIME_US = 1
MAX_TIME_US = 120_000_000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(slots=True)
class Tally:
    """Outcome counts of one type of work.

    :param sent: requests sent.
    :param whole: complete and correct answers.
    :param late: requests that missed their deadline.
    :param refused: requests that were refused or reached no node.
    :param wrong: answers with an error status or unexpected content.
    :param unknown: refusals that leave open whether the request ran.
    :param resumed: resumptions of streams.
    """

    sent: int = 0
    whole: int = 0
    late: int = 0
    refused: int = 0
    wrong: int = 0
    unknown: int = 0
    resumed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of a set of times, in milliseconds.

    :param count: number of recorded times.
    """

    count: int
    p50: float
    p95: float
    p99: float


class LatencyHistogram:
    """High dynamic range histogram of times."""

    def __init__(self) -> None:
        self._histogram = hdrh.histogram.HdrHistogram(
            MIN_TIME_US, MAX_TIME_US, SIGNIFICANT_DIGITS
        )

    def record(self, span_ms: float) -> None:
        """Record a time in milliseconds.

        Times outside the range of the histogram are recorded as its bounds.
        """
        value = max(MIN_TIME_US, min(MAX_TIME_US, round(span_ms * 1_000)))
        self._histogram.record_value(value)

    def get_percentiles(self) -> Percentiles:
        """Return the number of times and their percentiles."""
        values = [
            self._histogram.get_value_at_percentile(level) / 1_000
            for level in PERCENTILES
        ]
        return Percentiles(self._histogram.get_total_count(), *values)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WrongAnswer:
    """An answer with an error status or unexpected content.

    :param request: id of the request.
    :param work: type of work.
    :param at_ms: milliseconds from the start of the trace to its sending.
    :param ended_ms: milliseconds from the start of the trace to its end.
    :param detail: what was received.
    """

    request: str
    work: str
    at_ms: int
    ended_ms: int
    detail: str

    def __str__(self) -> str:
        return (
            f'{self.work} {self.request}, {self.at_ms} to {self.ended_ms} ms:'
            f' {self.detail}'
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Results of one run of a trace.

    :param seed: seed of the trace.
    :param rate: requests per second.
    :param seconds: length of the trace.
    :param kinds: outcome counts by type of work.
    :param total: outcome counts of all types of work.
    :param first: times to the first token.
    :param between: times between two tokens.
    :param answer: response times of plain services.
    :param doubled: orders that ran more than once.
    :param unrun: orders that were answered but never ran.
    :param false_refusals: orders that ran and were refused as not run.
    :param prompt_tokens: prompt tokens that engines processed.
    :param cached_tokens: of these, prefix cache hits.
    :param recomputed_tokens: of these, computed before by any engine.
    :param cost: price of all hosts over the run.
    :param reasons: number of refusals by reason.
    :param timeline: outcome counts for each second, for the plot.
    :param wrong: the first answers that were wrong.
    """

    seed: int
    rate: float
    seconds: float
    kinds: dict[str, Tally]
    total: Tally
    first: Percentiles
    between: Percentiles
    answer: Percentiles
    doubled: int
    unrun: int
    false_refusals: int
    prompt_tokens: int
    cached_tokens: int
    recomputed_tokens: int
    cost: float
    reasons: dict[str, int]
    timeline: tuple[SecondCounts, ...]
    wrong: tuple[WrongAnswer, ...] = ()


@dataclasses.dataclass(slots=True)
class SecondCounts:
    """Outcome counts of the requests that were sent in one second."""

    whole: int = 0
    late: int = 0
    refused: int = 0


def add_tallies(left: Tally, right: Tally) -> Tally:
    """Return the sum of two tallies."""
    return Tally(
        **{
            field.name: getattr(left, field.name) + getattr(right, field.name)
            for field in dataclasses.fields(Tally)
        }
    )
