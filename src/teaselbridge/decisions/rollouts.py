"""Rollouts that operators order on the users' platform, with a deadline.

The new version's servers run beside the old ones, and the platform stops
the old ones as soon as the rollout is reported as done. The new version
therefore gets a small canary share for the first half of the time. Then
traffic is shifted, requests that still run on the old version finish, and
only then the rollout is reported as done.

The few nodes that the others report their outcomes to take the steps by
their own clocks, and a rollback decision of any node stops the new version
at all nodes, so that none of this needs the store. The reports to the
operators are left to the holder of the duties lease, and to the node that
found a version faulty.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import eras
from teaselbridge.decisions import events
from teaselbridge.decisions import leases
from teaselbridge.decisions import moves
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Canary share; less than the share of all requests that a faulty version may
# get.
CANARY_SHARE = 0.08
# Fractions of the rollout time: the canary share applies until the first, half
# of the traffic until the second and all of it from then on; the rollout is
# done at the third.
HALF_TRAFFIC_FRACTION = 0.5
ALL_TRAFFIC_FRACTION = 0.6
DONE_FRACTION = 0.85
RETRY_DELAY_MS = 500
# A version with fewer outcomes, beside so many of the old one, is not tried
# enough for more traffic.
MIN_NEW_OUTCOMES = 4
MIN_OLD_OUTCOMES = 20


@dataclasses.dataclass(slots=True)
class _Rollout:
    """State of an ordered rollout; times are monotonic milliseconds.

    :param number: number of the move.
    :param began: when the first node learned of it, as far as is known.
    :param duration_ms: time allowed for the rollout.
    :param reported: state that was last reported to the operators.
    :param reporting: state of the report that is in progress.
    :param due: when to retry the report.
    """

    number: int
    began: int
    duration_ms: int
    reported: effects.MoveStatus | None = None
    reporting: effects.MoveStatus | None = None
    due: int = 0


class Rollouts:
    """Ordered rollouts by pool."""

    def __init__(self) -> None:
        self.by_pool: dict[str, _Rollout] = {}


def handle_rollout_ordered(
    state: states.State, event: events.RolloutOrdered, now: clock.Instant
) -> list[effects.Effect]:
    """Handle an order of the operators by beginning its move."""
    known = state.rollouts.by_pool.get(event.pool)
    if known is not None and known.number >= event.number:
        return []
    if known is not None and _is_same_order(state, known, event):
        known.number = event.number
        return moves.renumber(state, event.pool, event.number)
    state.rollouts.by_pool[event.pool] = _Rollout(
        event.number, now.mono, event.duration_ms
    )
    move = messages.Move(
        pool=event.pool,
        number=event.number,
        sequence=1,
        old=_find_old_version(state, event),
        new=event.version,
        wished_by=event.number,
        deadline=now.wall + event.duration_ms,
        began=now.wall,
        stepped=now.wall,
        stage=messages.Stage.RUNNING,
        share=CANARY_SHARE,
        reason='ordered by the operators',
        node=state.options.me.name,
    )
    return moves.merge_move(state, move)


def handle_restore(state: states.State) -> None:
    """Handle a restore of the store: reports may be gone, so repeat them."""
    for rollout in state.rollouts.by_pool.values():
        rollout.reported = None
        rollout.reporting = None


def handle_rollout_ended(
    state: states.State, event: events.RolloutEnded, now: clock.Instant
) -> list[effects.Effect]:
    """Handle a move that ended before this node learned of it."""
    rollout = state.rollouts.by_pool.get(event.pool)
    move = state.moves.get(event.pool)
    if rollout is None or move is None or move.new != event.version:
        if not event.done:
            state.moves.reject(event.pool, event.version)
        return []
    rollout.reported = effects.MoveStatus.UNDONE
    stage = messages.Stage.UNDONE
    if event.done:
        rollout.reported = effects.MoveStatus.DONE
        stage = messages.Stage.DONE
    return _apply_step(
        state, move, stage, float(event.done), 'end was already reported', now
    )


def handle_move_status_written(
    state: states.State, event: events.MoveStatusWritten, now: clock.Instant
) -> list[effects.Effect]:
    """Handle the result of a report to the operators."""
    rollout = state.rollouts.by_pool.get(event.pool)
    if rollout is None or rollout.number != event.number:
        return []
    if event.is_written:
        rollout.reported = rollout.reporting
    else:
        rollout.due = now.mono + RETRY_DELAY_MS
    rollout.reporting = None
    return []


def get_elapsed_ms(
    state: states.State, pool: str, number: int, now: clock.Instant
) -> int:
    """Return the time since this node learned of a rollout, 0 if unknown."""
    rollout = state.rollouts.by_pool.get(pool)
    if rollout is None or rollout.number != number:
        return 0
    return now.mono - rollout.began


def adopt_elapsed(
    state: states.State,
    pool: str,
    number: int,
    elapsed_ms: int,
    now: clock.Instant,
) -> None:
    """Adopt the time that another node has known a rollout for longer."""
    rollout = state.rollouts.by_pool.get(pool)
    if rollout is not None and rollout.number == number:
        rollout.began = min(rollout.began, now.mono - elapsed_ms)


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Take the steps that are due and report them to the operators."""
    out: list[effects.Effect] = []
    for pool, rollout in state.rollouts.by_pool.items():
        move = state.moves.get(pool)
        if move is None or move.number != rollout.number:
            continue
        out += _advance_move(state, move, rollout, now)
        move = state.moves.get(pool)
        assert move is not None
        out += _report_state(state, move, rollout, now)
    return out


def _advance_move(
    state: states.State,
    move: messages.Move,
    rollout: _Rollout,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Increase the share with time, unless the new version is in doubt."""
    if move.stage is not messages.Stage.RUNNING:
        return []
    if state.moves.verdict(move) is not None:
        stage = messages.Stage.UNDONE
        return _apply_step(
            state, move, stage, 0.0, 'the new version is faulty', now
        )
    elapsed = (now.mono - rollout.began) / max(1, rollout.duration_ms)
    if elapsed >= 1:
        stage = messages.Stage.UNDONE
        return _apply_step(
            state, move, stage, 0.0, 'the deadline has passed', now
        )
    if not _is_tried(state, move):
        return []
    if not _gets_reports(state, move) or not _has_capacity(state, move):
        return []
    if elapsed >= ALL_TRAFFIC_FRACTION and move.share < 1:
        return _apply_step(
            state, move, move.stage, 1.0, 'traffic is shifted', now
        )
    if elapsed >= HALF_TRAFFIC_FRACTION and move.share < ALL_TRAFFIC_FRACTION:
        return _apply_step(
            state,
            move,
            move.stage,
            HALF_TRAFFIC_FRACTION,
            'traffic is shifted',
            now,
        )
    if elapsed >= DONE_FRACTION and move.share >= 1:
        stage = messages.Stage.DONE
        return _apply_step(state, move, stage, 1.0, 'done in time', now)
    return []


def _is_tried(state: states.State, move: messages.Move) -> bool:
    """Return whether the new version's outcomes allow the next step.

    It must not be in doubt, and must have served some requests if the old
    version has: its servers may have been down during the trial. The times of
    some must have been compared: restarted nodes know no usual times at first.
    """
    seen = state.moves.get_outcomes(move.pool, move.number).pool
    for old, new in (seen.count_outcomes(), seen.count_timed()):
        if old >= MIN_OLD_OUTCOMES and new < MIN_NEW_OUTCOMES:
            return False
    return seen.doubt is None


def _gets_reports(state: states.State, move: messages.Move) -> bool:
    """Return whether the other nodes report their outcomes to this node."""
    candidates = leases.list_candidates(state, move.pool)
    return not candidates or state.options.me.name in candidates


def _report_state(
    state: states.State,
    move: messages.Move,
    rollout: _Rollout,
    now: clock.Instant,
) -> list[effects.Effect]:
    if rollout.reporting is not None or rollout.due > now.mono:
        return []
    if not _may_report(state, move, now):
        return []
    wanted = {
        messages.Stage.DONE: effects.MoveStatus.DONE,
        messages.Stage.UNDONE: effects.MoveStatus.UNDONE,
    }.get(move.stage, effects.MoveStatus.RUNNING)
    if rollout.reported is wanted:
        return []
    rollout.reporting = wanted
    return [
        effects.ReportMove(
            pool=move.pool,
            number=move.number,
            version=move.new,
            state=wanted,
        )
    ]


def _may_report(
    state: states.State, move: messages.Move, now: clock.Instant
) -> bool:
    """Return whether this node reports a rollout to the operators.

    A node that found the version faulty does so too, since its decision is
    final and must outlast it.
    """
    if leases.held(state, leases.DUTIES_LEASE, now) is not None:
        return True
    verdict = state.moves.verdict(move)
    return (
        move.stage is messages.Stage.UNDONE
        and verdict is not None
        and verdict.node == state.options.me.name
    )


def _apply_step(
    state: states.State,
    move: messages.Move,
    stage: messages.Stage,
    share: float,
    reason: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    return moves.merge_move(
        state,
        dataclasses.replace(
            move,
            sequence=move.sequence + 1,
            stage=stage,
            share=share,
            stepped=now.wall,
            reason=reason,
            node=state.options.me.name,
        ),
    )


def _is_same_order(
    state: states.State, known: _Rollout, event: events.RolloutOrdered
) -> bool:
    """Return whether a known order was read again after a restore."""
    move = state.moves.get(event.pool)
    return (
        move is not None
        and move.new == event.version
        and known.duration_ms == event.duration_ms
        and eras.get_era(known.number) < eras.get_era(event.number)
    )


def _find_old_version(
    state: states.State, event: events.RolloutOrdered
) -> str:
    """Return the most common version besides the wanted one."""
    running = collections.Counter(
        server.version
        for server in state.servers.in_pool(event.pool)
        if server.version != event.version
    )
    common = running.most_common(1)
    return common[0][0] if common else ''


def _has_capacity(state: states.State, move: messages.Move) -> bool:
    """Return whether the new version has enough servers for all traffic.

    Half as many servers as the old version has are enough.
    """
    running = [server.version for server in state.servers.staying(move.pool)]
    new = running.count(move.new)
    old = sum(state.moves.is_old(move, version) for version in running)
    return new > 0 and 2 * new >= old
