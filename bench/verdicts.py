"""False alarms and detection of the version test, over many seeded runs.

``python -m bench.verdicts`` prints, for good and bad versions, how many of
the runs ended with a verdict, and after how many requests on the new
version. Times per token are log-normal, as load makes them uneven.
"""

from __future__ import annotations

import dataclasses
import json
import random

from teaselbridge.decisions import evidence
from teaselbridge.workload import results

RUNS = 200
NEW_REQUESTS = 2_000
OLD_PER_NEW = 4
SPAN_MS = 10.0
SPREAD = 0.15
ROUTES = ('review', 'rewrite', 'caption', 'assistant')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """How a pair of versions behaves.

    :param usual_errors: share of errors of both.
    :param more_errors: further share of errors of the new one.
    :param slow: factor on the new one's times.
    """

    name: str
    usual_errors: float = 0.01
    more_errors: float = 0.0
    slow: float = 1.0


VERSIONS = (
    Version(name='good'),
    Version(name='good, 5% errors of both', usual_errors=0.05),
    Version(name='good, 20% errors of both', usual_errors=0.2),
    Version(name='good, 20% slower', slow=1.2),
    Version(name='10% more errors', more_errors=0.1),
    Version(name='30% more errors', more_errors=0.3),
    Version(name='all fail', more_errors=1.0),
    Version(name='1.5 times slower', slow=1.5),
    Version(name='2 times slower', slow=2.0),
    Version(name='4 times slower', slow=4.0),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Found:
    """What came of many runs.

    :param verdicts: share of the runs that ended with a verdict.
    :param requests: requests on the new version until then.
    """

    version: str
    verdicts: float
    requests: results.Spread


def measure(version: Version, runs: int = RUNS) -> Found:
    """Run the test many times on one pair of versions."""
    counts = [_run(version, random.Random(seed)) for seed in range(runs)]
    times = results.Times()
    for count in counts:
        if count is not None:
            times.add(count)
    ended = sum(count is not None for count in counts)
    return Found(
        version=version.name,
        verdicts=ended / runs,
        requests=times.spread(),
    )


def _run(version: Version, generator: random.Random) -> int | None:
    seen = evidence.Evidence()
    for number in range(1, NEW_REQUESTS + 1):
        for _ in range(OLD_PER_NEW):
            route = generator.choice(ROUTES)
            failed = generator.random() < version.usual_errors
            seen.old_outcome(route, failed, _span(generator, 1.0))
        route = generator.choice(ROUTES)
        errors = version.usual_errors + version.more_errors
        failed = generator.random() < errors
        span = _span(generator, version.slow)
        if seen.new_outcome(route, failed, span) is not None:
            return number
    return None


def _span(generator: random.Random, factor: float) -> float:
    return SPAN_MS * factor * generator.lognormvariate(0.0, SPREAD)


def main() -> None:
    """Measure and print a JSON line for each pair."""
    for version in VERSIONS:
        print(json.dumps(dataclasses.asdict(measure(version))), flush=True)


if __name__ == '__main__':
    main()
