"""Benchmark of the canary test: false alarms and detection of bad versions.

``python -m bench.verdicts`` prints, for good and bad versions, the share of
seeded runs in which the test found a fault, and how many requests on the
new version that took: with one node that handles all requests, and with six
nodes that handle a part each and report their counts. Times per token are
log-normal, since load makes them vary.
"""

from __future__ import annotations

import dataclasses
import json
import random

from teaselbridge.decisions import evidence
from teaselbridge.workload import results

RUN_COUNT = 200  # runs for each pair of versions
MAX_NEW_REQUESTS = 2_000  # end of a run in which no fault is found
OLD_PER_NEW = 4  # requests on the old version for each on the new one
NEW_INTERVAL_MS = 50  # time between two requests on the new version
NODES = 6
REPORT_INTERVAL_REQUESTS = (
    12  # requests on the new version between two reports
)
MEDIAN_TOKEN_MS = 10.0  # median time of a token
LOG_STANDARD_DEVIATION = (
    0.15  # standard deviation of the logarithm of the times
)
ROUTES = ('review', 'rewrite', 'caption', 'assistant')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionPair:
    """Behavior of an old version and the new version of a rollout.

    :param usual_errors: fraction of requests that fail on both versions.
    :param more_errors: additional fraction that fails on the new version.
    :param slow: factor on the times of the new version.
    """

    name: str
    usual_errors: float = 0.01
    more_errors: float = 0.0
    slow: float = 1.0


VERSIONS = (
    VersionPair(name='good'),
    VersionPair(name='good, 5% errors of both', usual_errors=0.05),
    VersionPair(name='good, 20% errors of both', usual_errors=0.2),
    VersionPair(name='good, 20% slower', slow=1.2),
    VersionPair(name='10% more errors', more_errors=0.1),
    VersionPair(name='30% more errors', more_errors=0.3),
    VersionPair(name='all fail', more_errors=1.0),
    VersionPair(name='1.5 times slower', slow=1.5),
    VersionPair(name='2 times slower', slow=2.0),
    VersionPair(name='4 times slower', slow=4.0),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DetectionResult:
    """Results of many runs.

    :param verdicts: fraction of the runs in which a fault was found.
    :param nodes: number of nodes that handled the requests.
    :param requests: requests on the new version until the fault was found.
    """

    version: str
    nodes: int
    verdicts: float
    requests: results.Percentiles


def measure_detection(
    version: VersionPair, runs: int = RUN_COUNT, nodes: int = 1
) -> DetectionResult:
    """Run the canary test repeatedly on one pair of versions.

    :param version: behavior of the versions.
    :param runs: number of runs, each with its own seed.
    :param nodes: nodes that the requests are distributed over.
    """
    counts = [
        _count_requests_to_fault(version, random.Random(seed), nodes)
        for seed in range(runs)
    ]
    times = results.LatencyHistogram()
    for count in counts:
        if count is not None:
            times.record(count)
    faulty_runs = sum(count is not None for count in counts)
    return DetectionResult(
        version=version.name,
        verdicts=faulty_runs / runs,
        nodes=nodes,
        requests=times.get_percentiles(),
    )


def _count_requests_to_fault(
    version: VersionPair, generator: random.Random, nodes: int
) -> int | None:
    node_evidence = [evidence.Evidence() for _ in range(nodes)]
    pool = evidence.PoolEvidence()
    for number in range(1, MAX_NEW_REQUESTS + 1):
        mono = number * NEW_INTERVAL_MS
        for _ in range(OLD_PER_NEW):
            route = generator.choice(ROUTES)
            failed = generator.random() < version.usual_errors
            node = generator.choice(node_evidence)
            span = _draw_time(generator, 1.0)
            node.add_old_outcome(route, failed, span, mono)
        route = generator.choice(ROUTES)
        errors = version.usual_errors + version.more_errors
        failed = generator.random() < errors
        span = _draw_time(generator, version.slow)
        node = generator.choice(node_evidence)
        if node.add_new_outcome(route, failed, span, mono) is not None:
            return number
        if number % REPORT_INTERVAL_REQUESTS == 0 and _has_fault(
            node_evidence, pool
        ):
            return number
    return None


def _has_fault(
    node_evidence: list[evidence.Evidence], pool: evidence.PoolEvidence
) -> bool:
    """Report the counts of all nodes and return whether a fault is found."""
    faults = [
        pool.add(f'n{number}', 1, score)
        for number, node in enumerate(node_evidence)
        for score in node.scores
    ]
    return any(fault is not None for fault in faults)


def _draw_time(generator: random.Random, factor: float) -> float:
    return (
        MEDIAN_TOKEN_MS
        * factor
        * generator.lognormvariate(0.0, LOG_STANDARD_DEVIATION)
    )


def main() -> None:
    """Measure each pair of versions and print one JSON line for each."""
    for version in VERSIONS:
        for nodes in (1, NODES):
            result = measure_detection(version, nodes=nodes)
            print(json.dumps(dataclasses.asdict(result)), flush=True)


if __name__ == '__main__':
    main()
