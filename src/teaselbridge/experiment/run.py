"""Run scenarios and collect their outcomes."""

from __future__ import annotations

import dataclasses
import time

from teaselbridge.decisions import effects
from teaselbridge.experiment import scenario as scenarios
from teaselbridge.experiment import world as worlds
from teaselbridge.workload import results

# Version that the rollout scenarios move to.
ROLLOUT_VERSION = 'v2'
MOVE_MARKS = frozenset(
    {
        effects.Mark.MOVE_BEGAN,
        effects.Mark.MOVE_VERDICT,
        effects.Mark.MOVE_DONE,
        effects.Mark.MOVE_UNDONE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveOutcome:
    """Outcome of a rollout.

    :param end: ``move-done`` for a completed rollout, ``move-undone`` for a
        rollback, or empty.
    :param end_s: seconds from its start to its end.
    :param verdict_s: seconds from its start to the decision to roll back, 0
        if there was none.
    :param tries: attempts on the new version during the run.
    :param share: fraction of all attempts on engines that these are.
    """

    end: str
    end_s: float
    verdict_s: float
    tries: int
    share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of a scenario.

    :param goodput: complete answers per second that arrived within their
        deadlines during the trace.
    :param first: times to the first token.
    :param between: times between two tokens.
    :param doubled: non-idempotent requests that ran more than once.
    :param claims: claims of non-idempotent requests that were written to the
        ledger.
    :param bucket_writes: writes of the ledger that contained claims and
        outcomes.
    :param caches_moved: KV caches that were copied between engines.
    :param moved_tokens: prompt tokens that were not computed again because
        of these copies.
    :param resumed: attempts that continued the output of an earlier one.
    :param cost: price of the engines' hosts, warm-up included.
    :param cost_per_1000: cost per thousand complete answers.
    :param keyvalue_writes: calls of the key-value store other than reads.
    :param reasons: final refusals by reason.
    :param timeline: outcomes by the second in which the request was sent.
    :param wall_s: real seconds that the run took.
    """

    scenario: str
    policy: str
    planner: str
    seed: int
    total: results.Tally
    kinds: dict[str, results.Tally]
    goodput: float
    first: results.Percentiles
    between: results.Percentiles
    prompt_tokens: int
    cached_tokens: int
    recomputed_tokens: int
    caches_moved: int
    moved_tokens: int
    doubled: int
    claims: int
    bucket_writes: int
    resumed: int
    cost: float
    cost_per_1000: float
    move: MoveOutcome | None
    keyvalue_writes: int
    reasons: dict[str, int]
    timeline: tuple[results.SecondCounts, ...]
    wall_s: float


def run(scenario: scenarios.Scenario) -> Outcome:
    """Run a scenario.

    The outcome is deterministic apart from ``wall_s``.
    """
    began = time.monotonic()
    world = worlds.Simulation(scenario=scenario)
    world.run()
    total = results.Tally()
    for tally in world.callers.tallies.values():
        total = results.add_tallies(total, tally)
    figures = world.totals
    return Outcome(
        scenario=scenario.name,
        policy=scenario.policy,
        planner=scenario.planner,
        seed=scenario.seed,
        total=total,
        kinds=world.callers.tallies,
        goodput=world.complete_in_trace / scenario.seconds,
        first=world.callers.first.get_percentiles(),
        between=world.callers.between.get_percentiles(),
        prompt_tokens=figures.prompt_tokens,
        cached_tokens=figures.cached_tokens,
        recomputed_tokens=figures.recomputed_tokens,
        caches_moved=world.counts[effects.Counter.CACHES_MOVED],
        moved_tokens=figures.moved_tokens,
        doubled=sum(count > 1 for count in world.attempts_by_request.values()),
        claims=world.counts[effects.Counter.CLAIMS],
        bucket_writes=world.counts[effects.Counter.BUCKET_WRITES],
        resumed=world.counts[effects.Counter.RESUMED],
        cost=world.cost,
        cost_per_1000=1_000 * world.cost / max(1, total.whole),
        move=_summarize_move(world),
        keyvalue_writes=world.keyvalue.writes,
        reasons=dict(world.callers.reasons),
        timeline=tuple(world.callers.seconds),
        wall_s=time.monotonic() - began,
    )


def _summarize_move(world: worlds.Simulation) -> MoveOutcome | None:
    """Return the outcome of the engines' rollout, if there was one."""
    first_times: dict[effects.Mark, float] = {}
    for record, at in zip(world.records, world.record_times, strict=True):
        if record.mark in MOVE_MARKS and record.pool == 'engines':
            # Nodes also record MOVE_DONE for the version a pool starts with.
            if record.mark is not effects.Mark.MOVE_DONE or first_times:
                first_times.setdefault(record.mark, at)
    began = first_times.get(effects.Mark.MOVE_BEGAN)
    if began is None:
        return None
    end = ''
    for mark in (effects.Mark.MOVE_DONE, effects.Mark.MOVE_UNDONE):
        if mark in first_times and first_times[mark] >= began:
            end = mark.value
    tries = world.totals.attempts_by_version.get(ROLLOUT_VERSION, 0)
    all_attempts = sum(
        count
        for version, count in world.totals.attempts_by_version.items()
        if version.startswith('v')
    )
    last = max(first_times.values())
    verdict = first_times.get(effects.Mark.MOVE_VERDICT)
    return MoveOutcome(
        end=end,
        end_s=(last - began) / 1_000,
        verdict_s=0.0 if verdict is None else (verdict - began) / 1_000,
        tries=tries,
        share=tries / max(1, all_attempts),
    )
