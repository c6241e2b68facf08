"""Runs scenarios and reports what came of them."""

from __future__ import annotations

import dataclasses
import time

from teaselbridge.decisions import effects
from teaselbridge.experiment import scenario as scenarios
from teaselbridge.experiment import world as worlds
from teaselbridge.workload import results

NEW_VERSION = 'v2'
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
    """What came of a version move.

    :param end: ``move-done``, ``move-undone`` or empty.
    :param end_s: seconds from its beginning to its end.
    :param verdict_s: seconds from its beginning to the verdict, 0 for none.
    :param tries: attempts on the new version until then.
    :param share: these as a share of all attempts on engines.
    """

    end: str
    end_s: float
    verdict_s: float
    tries: int
    share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What came of a scenario.

    :param goodput: whole answers in time that came during the trace, a
        second.
    :param claims: claims of orders that were written.
    :param bucket_writes: writes of the ledger that carried claims and
        outcomes.
    :param caches_moved: KV caches that were moved between engines.
    :param moved_tokens: prompt tokens that this spared.
    :param resumed: attempts that went on where another had stopped.
    :param cost: price of the engines' hosts over the trace.
    :param cost_per_1000: price of a thousand whole answers.
    :param wall_s: seconds that the run took here.
    """

    scenario: str
    policy: str
    planner: str
    seed: int
    total: results.Tally
    kinds: dict[str, results.Tally]
    goodput: float
    first: results.Spread
    between: results.Spread
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
    timeline: tuple[results.Second, ...]
    wall_s: float


def run(scenario: scenarios.Scenario) -> Outcome:
    """Run a scenario; the same one gives the same decisions."""
    began = time.monotonic()
    world = worlds.World(scenario=scenario)
    world.run()
    total = results.Tally()
    for tally in world.callers.tallies.values():
        total = results.add(total, tally)
    figures = world.figures
    return Outcome(
        scenario=scenario.name,
        policy=scenario.policy,
        planner=scenario.planner,
        seed=scenario.seed,
        total=total,
        kinds=world.callers.tallies,
        goodput=world.whole_in_window / scenario.seconds,
        first=world.callers.first.spread(),
        between=world.callers.between.spread(),
        prompt_tokens=figures.prompt_tokens,
        cached_tokens=figures.cached_tokens,
        recomputed_tokens=figures.recomputed_tokens,
        caches_moved=world.counts[effects.Counter.CACHES_MOVED],
        moved_tokens=figures.moved_tokens,
        doubled=sum(count > 1 for count in world.runs.values()),
        claims=world.counts[effects.Counter.CLAIMS],
        bucket_writes=world.counts[effects.Counter.BUCKET_WRITES],
        resumed=world.counts[effects.Counter.RESUMED],
        cost=world.cost,
        cost_per_1000=1_000 * world.cost / max(1, total.whole),
        move=_move(world),
        keyvalue_writes=world.keyvalue.writes,
        reasons=dict(world.callers.reasons),
        timeline=tuple(world.callers.seconds),
        wall_s=time.monotonic() - began,
    )


def _move(world: worlds.World) -> MoveOutcome | None:
    times: dict[effects.Mark, float] = {}
    for record, at in zip(world.records, world.record_times, strict=True):
        if record.mark in MOVE_MARKS and record.pool == 'engines':
            if record.mark is not effects.Mark.MOVE_DONE or times:
                times.setdefault(record.mark, at)
    began = times.get(effects.Mark.MOVE_BEGAN)
    if began is None:
        return None
    end = ''
    for mark in (effects.Mark.MOVE_DONE, effects.Mark.MOVE_UNDONE):
        if mark in times and times[mark] >= began:
            end = mark.value
    tries = world.figures.attempts_by_version.get(NEW_VERSION, 0)
    every = sum(
        count
        for version, count in world.figures.attempts_by_version.items()
        if version.startswith('v')
    )
    last = max(times.values())
    verdict = times.get(effects.Mark.MOVE_VERDICT)
    return MoveOutcome(
        end=end,
        end_s=(last - began) / 1_000,
        verdict_s=0.0 if verdict is None else (verdict - began) / 1_000,
        tries=tries,
        share=tries / max(1, every),
    )
