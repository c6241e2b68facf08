"""Version moves that the operators order on the users' platform.

The new version's servers run beside the old ones, and the old ones stop at
once when the move is told to be done. So a small share tries the new
version for the first half of the time; then traffic moves over, what still
runs on the old version ends, and only then the move is told to be done.

Each node takes the steps by its own clock, and a verdict of any node stops
the new version at all of them, so that none of this needs the store. Only
telling the operators is the duty of one node.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import leases
from teaselbridge.decisions import moves
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Below the share of all requests that a bad version may get.
TRIAL_SHARE = 0.08
# Parts of the time: trial until the first, half of the traffic until the
# second, all of it from then on, told as done at the third.
HALF_AT = 0.5
ALL_AT = 0.6
DONE_AT = 0.85
RETRY_MS = 500


@dataclasses.dataclass(slots=True)
class _Rollout:
    """A move by order of the operators; times are monotonic milliseconds.

    :param number: number of the move.
    :param began: when this node heard of it.
    :param duration_ms: time that it may take.
    :param told: what the operators were told last.
    :param telling: what they are being told.
    :param due: when to try again to tell them.
    """

    number: int
    began: int
    duration_ms: int
    told: effects.MoveState | None = None
    telling: effects.MoveState | None = None
    due: int = 0


class Rollouts:
    """Moves of all pools that were ordered."""

    def __init__(self) -> None:
        self.by_pool: dict[str, _Rollout] = {}


def see(
    state: states.State, event: events.RolloutSeen, now: clock.Instant
) -> list[effects.Effect]:
    """Begin a move that the operators order."""
    known = state.rollouts.by_pool.get(event.pool)
    if known is not None and known.number >= event.number:
        return []
    state.rollouts.by_pool[event.pool] = _Rollout(
        event.number, now.mono, event.duration_ms
    )
    move = messages.Move(
        pool=event.pool,
        number=event.number,
        sequence=1,
        old=_old_version(state, event),
        new=event.version,
        wished_by=event.number,
        deadline=now.wall + event.duration_ms,
        began=now.wall,
        stepped=now.wall,
        stage=messages.Stage.RUNNING,
        share=TRIAL_SHARE,
        reason='ordered by the operators',
        node=state.options.me.name,
    )
    return moves.hear(state, move)


def ended(
    state: states.State, event: events.RolloutEnded, now: clock.Instant
) -> list[effects.Effect]:
    """A move has ended before this node knew of it."""
    rollout = state.rollouts.by_pool.get(event.pool)
    move = state.moves.get(event.pool)
    if rollout is None or move is None or move.new != event.version:
        return []
    rollout.told = effects.MoveState.UNDONE
    stage = messages.Stage.UNDONE
    if event.done:
        rollout.told = effects.MoveState.DONE
        stage = messages.Stage.DONE
    return _step(state, move, stage, float(event.done), 'was told', now)


def told(
    state: states.State, event: events.MoveTold, now: clock.Instant
) -> list[effects.Effect]:
    """The operators were told, or could not be."""
    rollout = state.rollouts.by_pool.get(event.pool)
    if rollout is None or rollout.number != event.number:
        return []
    if event.written:
        rollout.told = rollout.telling
    else:
        rollout.due = now.mono + RETRY_MS
    rollout.telling = None
    return []


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Take the steps that are due, and tell the operators."""
    out: list[effects.Effect] = []
    for pool, rollout in state.rollouts.by_pool.items():
        move = state.moves.get(pool)
        if move is None or move.number != rollout.number:
            continue
        out += _advance(state, move, rollout, now)
        move = state.moves.get(pool)
        assert move is not None
        out += _tell(state, move, rollout, now)
    return out


def _advance(
    state: states.State,
    move: messages.Move,
    rollout: _Rollout,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Let the share grow with time, unless the new version is in doubt."""
    if move.stage is not messages.Stage.RUNNING:
        return []
    if state.moves.verdict(move) is not None:
        stage = messages.Stage.UNDONE
        return _step(state, move, stage, 0.0, 'found bad', now)
    part = (now.mono - rollout.began) / max(1, rollout.duration_ms)
    if part >= 1:
        stage = messages.Stage.UNDONE
        return _step(state, move, stage, 0.0, 'its time is over', now)
    if state.moves.seen(move.pool, move.number).pool.doubt is not None:
        return []
    if not _serves(state, move):
        return []
    if part >= ALL_AT and move.share < 1:
        return _step(state, move, move.stage, 1.0, 'moves over', now)
    if part >= HALF_AT and move.share < ALL_AT:
        return _step(state, move, move.stage, HALF_AT, 'moves over', now)
    if part >= DONE_AT and move.share >= 1:
        stage = messages.Stage.DONE
        return _step(state, move, stage, 1.0, 'in time', now)
    return []


def _tell(
    state: states.State,
    move: messages.Move,
    rollout: _Rollout,
    now: clock.Instant,
) -> list[effects.Effect]:
    lease = leases.held(state, leases.DUTIES, now)
    if lease is None or rollout.telling is not None or rollout.due > now.mono:
        return []
    wanted = {
        messages.Stage.DONE: effects.MoveState.DONE,
        messages.Stage.UNDONE: effects.MoveState.UNDONE,
    }.get(move.stage, effects.MoveState.RUNNING)
    if rollout.told is wanted:
        return []
    rollout.telling = wanted
    return [
        effects.TellMove(
            pool=move.pool,
            number=move.number,
            version=move.new,
            state=wanted,
        )
    ]


def _step(
    state: states.State,
    move: messages.Move,
    stage: messages.Stage,
    share: float,
    reason: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    return moves.hear(
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


def _old_version(state: states.State, event: events.RolloutSeen) -> str:
    """Find the version that most servers run besides the wanted one."""
    running = collections.Counter(
        server.version
        for server in state.servers.in_pool(event.pool)
        if server.version != event.version
    )
    common = running.most_common(1)
    return common[0][0] if common else ''


def _serves(state: states.State, move: messages.Move) -> bool:
    """Tell whether servers of the new version could take all traffic."""
    counts = collections.Counter(
        server.version
        for server in state.servers.in_pool(move.pool)
        if not server.leaving
    )
    return counts[move.new] > 0 and 2 * counts[move.new] >= counts[move.old]
