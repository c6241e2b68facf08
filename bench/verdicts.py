"""False alarms and detection of the version test, over many seeded runs.

``python -m bench.verdicts`` prints, for good and bad versions, how many of
the runs ended with a verdict, and after how many requests on the new
version, when one node sees all of them, and when each of six sees its part
and reports it. Times per token are log-normal, as load makes them uneven.
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
NODES = 6
REPORT_EVERY = 12
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
    :param nodes: nodes that the requests were spread over.
    :param requests: requests on the new version until then.
    """

    version: str
    nodes: int
    verdicts: float
    requests: results.Spread


def measure(version: Version, runs: int = RUNS, nodes: int = 1) -> Found:
    """Run the test many times on one pair of versions."""
    counts = [
        _run(version, random.Random(seed), nodes) for seed in range(runs)
    ]
    times = results.Times()
    for count in counts:
        if count is not None:
            times.add(count)
    ended = sum(count is not None for count in counts)
    return Found(
        version=version.name,
        verdicts=ended / runs,
        nodes=nodes,
        requests=times.spread(),
    )


def _run(version: Version, generator: random.Random, nodes: int) -> int | None:
    seen = [evidence.Evidence() for _ in range(nodes)]
    pool = evidence.Pool()
    for number in range(1, NEW_REQUESTS + 1):
        for _ in range(OLD_PER_NEW):
            route = generator.choice(ROUTES)
            failed = generator.random() < version.usual_errors
            node = generator.choice(seen)
            node.old_outcome(route, failed, _span(generator, 1.0))
        route = generator.choice(ROUTES)
        errors = version.usual_errors + version.more_errors
        failed = generator.random() < errors
        span = _span(generator, version.slow)
        node = generator.choice(seen)
        if node.new_outcome(route, failed, span) is not None:
            return number
        if number % REPORT_EVERY == 0 and _is_found(seen, pool):
            return number
    return None


def _is_found(seen: list[evidence.Evidence], pool: evidence.Pool) -> bool:
    """Let each node report, and tell whether that suffices."""
    faults = [
        pool.add(f'n{number}', 1, score)
        for number, node in enumerate(seen)
        for score in node.scores
    ]
    return any(fault is not None for fault in faults)


def _span(generator: random.Random, factor: float) -> float:
    return SPAN_MS * factor * generator.lognormvariate(0.0, SPREAD)


def main() -> None:
    """Measure and print a JSON line for each pair."""
    for version in VERSIONS:
        for nodes in (1, NODES):
            found = measure(version, nodes=nodes)
            print(json.dumps(dataclasses.asdict(found)), flush=True)


if __name__ == '__main__':
    main()
