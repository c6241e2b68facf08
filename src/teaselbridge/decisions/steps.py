"""Steps of a move (a version rollout), taken by the pool's lease holder.

Each step is written to the key-value service before gossip spreads it. No
further step is taken while there is evidence against the new version, even
if it does not yet suffice for a rollback.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from teaselbridge import clock as clocks
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import moves
from teaselbridge.decisions import reports
from teaselbridge.decisions import tickets
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

MIN_STEP_MS = 2_000
MAX_STEP_MS = 600_000
DEADLINE_MARGIN_MS = 2_000
READ_INTERVAL_MS = 2_000
DEFAULT_ROLLOUT_MS = 15 * clocks.MINUTE_MS
SHARES = moves.TRAFFIC_SHARES

Stage = messages.Stage


def tick(state: states.State, now: clocks.Instant) -> list[effects.Effect]:
    """Take the next steps of the pools whose leases this node holds."""
    out: list[effects.Effect] = []
    for pool in state.index.pools:
        control = state.moves.control(pool.name)
        is_holder = state.leases.held(pool.name, now) is not None
        if not is_holder:
            control.since = None
        elif control.since is None:
            control.since = now.mono
        out += _read_unknown_record(state, control, pool, now)
        if is_holder:
            out += _take_step(state, control, pool, now)
    return out


def handle_key_read(
    state: states.State, event: events.KeyRead, now: clocks.Instant
) -> list[effects.Effect]:
    """Handle the stored record of a move."""
    ticket = event.ticket
    if not isinstance(ticket, tickets.MoveTicket):
        return []
    state.moves.control(ticket.pool).revision = event.revision
    if event.value is None:
        return []
    move = msgspec.json.decode(event.value, type=messages.Move)
    return moves.merge_move(state, move)


def handle_key_swapped(
    state: states.State, event: events.KeySwapped, now: clocks.Instant
) -> list[effects.Effect]:
    """Handle the result of writing a step.

    If another node wrote one first, read the record again.
    """
    ticket = event.ticket
    if not isinstance(ticket, tickets.MoveTicket):
        return []
    control = state.moves.control(ticket.pool)
    move = control.writing
    if move is None:
        return []
    control.writing = None
    if not event.swapped:
        control.revision = None
        return _read_record(ticket.pool)
    control.revision = event.revision
    return moves.merge_move(state, move)


def failed(
    state: states.State, event: events.KeyFailed, now: clocks.Instant
) -> list[effects.Effect]:
    """Handle an unanswered call.

    The record must be read again before the next step.
    """
    ticket = event.ticket
    if isinstance(ticket, tickets.MoveTicket):
        control = state.moves.control(ticket.pool)
        control.writing = None
        control.revision = None
    return []


def key_of(pool: str) -> str:
    """Return the key of a pool's move."""
    return f'/teaselbridge/move/{pool}'


def _take_step(
    state: states.State,
    control: moves.StepControl,
    pool: model.Pool,
    now: clocks.Instant,
) -> list[effects.Effect]:
    """Take the next step of one pool, once its record has been read."""
    if control.writing is not None or control.revision is None:
        return []
    move = _plan_step(state, pool, now)
    if move is None:
        return []
    move = dataclasses.replace(move, node=state.options.me.name)
    control.writing = move
    return [
        effects.SwapKey(
            ticket=tickets.MoveTicket(pool.name),
            key=key_of(pool.name),
            value=msgspec.json.encode(move),
            revision=control.revision,
        )
    ]


def _plan_step(
    state: states.State, pool: model.Pool, now: clocks.Instant
) -> messages.Move | None:
    wanted = moves.target(pool)
    known = state.moves.get(pool.name)
    if wanted is None:
        return None
    if known is None:
        return _create_initial_move(pool, wanted, now)
    is_bad = known.old != known.new and state.moves.verdict(known) is not None
    if is_bad and known.stage is not Stage.UNDONE:
        return _roll_back(state, known, now)
    if (wanted, pool.move_by_ms) != (known.new, known.wished_by):
        return _begin_move(known, pool, wanted, now)
    if known.stage in messages.ENDED_STAGES:
        return None
    return _advance_move(state, known, now)


def _create_initial_move(
    pool: model.Pool, wanted: str, now: clocks.Instant
) -> messages.Move:
    """Return the completed move that records a pool's first version."""
    return messages.Move(
        pool=pool.name,
        number=1,
        sequence=1,
        old=wanted,
        new=wanted,
        wished_by=pool.move_by_ms,
        deadline=now.wall,
        began=now.wall,
        stepped=now.wall,
        stage=Stage.DONE,
        share=1.0,
        reason='the pool is new',
    )


def _begin_move(
    known: messages.Move,
    pool: model.Pool,
    wanted: str,
    now: clocks.Instant,
) -> messages.Move:
    """Begin a move; a move in progress is rolled back by it."""
    old = known.new if known.stage is Stage.DONE else known.old
    deadline = pool.move_by_ms or now.wall + DEFAULT_ROLLOUT_MS
    stage = Stage.DONE if wanted == old else Stage.PREPARING
    reason = 'requested by an operator'
    if known.stage not in messages.ENDED_STAGES:
        reason = f'replaces move {known.number}'
    return messages.Move(
        pool=pool.name,
        number=known.number + 1,
        sequence=1,
        old=old,
        new=wanted,
        wished_by=pool.move_by_ms,
        deadline=deadline,
        began=now.wall,
        stepped=now.wall,
        stage=stage,
        share=0.0,
        reason=reason,
    )


def _roll_back(
    state: states.State, move: messages.Move, now: clocks.Instant
) -> messages.Move:
    verdict = state.moves.verdict(move)
    assert verdict is not None
    reason = f'faulty on route {verdict.route}: {verdict.cause}'
    if move.stage is Stage.DONE:
        reason = f'failed after it was done, {reason}'
    return _end_move(move, Stage.UNDONE, reason, now)


def _advance_move(
    state: states.State, move: messages.Move, now: clocks.Instant
) -> messages.Move | None:
    doubt = state.moves.get_outcomes(move.pool, move.number).pool.doubt
    left = _remaining_ms(move, now)
    least = _min_remaining_ms(move)
    if doubt is not None and left < least + DEADLINE_MARGIN_MS:
        reason = f'in doubt on route {doubt.route}: {doubt.cause}, '
        reason += f'{left} ms are left'
        return _end_move(move, Stage.UNDONE, reason, now)
    if left < least:
        reason = f'the deadline cannot be met, {left} ms are left'
        return _end_move(move, Stage.UNDONE, reason, now)
    if doubt is not None or not _has_recent_reports(state, move, now):
        return None
    if move.stage is Stage.PREPARING:
        return _try_step(state, move, 0, now)
    index = SHARES.index(move.share)
    if now.wall - move.stepped < get_step_duration(move, now):
        return None
    if index + 1 == len(SHARES):
        return _end_move(move, Stage.DONE, 'all traffic has been shifted', now)
    return _try_step(state, move, index + 1, now)


def _has_recent_reports(
    state: states.State, move: messages.Move, now: clocks.Instant
) -> bool:
    """Return whether a new holder has received the other nodes' reports.

    It waits for two report intervals after it became the holder.
    """
    since = state.moves.control(move.pool).since
    return since is not None and now.mono - since >= reports.span(state, 2)


def get_step_duration(move: messages.Move, now: clocks.Instant) -> int:
    """Return the duration of a step that lets all steps meet the deadline.

    :return: milliseconds.
    """
    steps = len(SHARES) - (
        0 if move.stage is Stage.PREPARING else SHARES.index(move.share)
    )
    left = move.deadline - DEADLINE_MARGIN_MS - move.stepped
    return max(MIN_STEP_MS, min(MAX_STEP_MS, left // (steps + 1)))


def _remaining_ms(move: messages.Move, now: clocks.Instant) -> int:
    return move.deadline - now.wall


def _min_remaining_ms(move: messages.Move) -> int:
    """Return the minimum time that the remaining steps need.

    :return: milliseconds.
    """
    steps = len(SHARES)
    if move.stage is Stage.RUNNING:
        steps -= SHARES.index(move.share) + 1
    return steps * MIN_STEP_MS


def _try_step(
    state: states.State,
    move: messages.Move,
    index: int,
    now: clocks.Instant,
) -> messages.Move | None:
    """Return the next step if the new version's servers can take its share.

    :param index: position of the share in `TRAFFIC_SHARES`.
    :return: none where capacity is missing.
    """
    share = SHARES[index]
    if not _has_capacity(state, move, share, now):
        return None
    return dataclasses.replace(
        move,
        sequence=move.sequence + 1,
        stage=Stage.RUNNING,
        share=share,
        stepped=now.wall,
    )


def _has_capacity(
    state: states.State,
    move: messages.Move,
    share: float,
    now: clocks.Instant,
) -> bool:
    usable = state.servers.usable(move.pool, now)
    new = [server for server in usable if server.version == move.new]
    if not new:
        return False
    busy = sum(server.inflight + server.other_requests for server in usable)
    return sum(server.slots for server in new) >= share * busy


def _end_move(
    move: messages.Move, stage: Stage, reason: str, now: clocks.Instant
) -> messages.Move:
    return dataclasses.replace(
        move,
        sequence=move.sequence + 1,
        stage=stage,
        share=1.0 if stage is Stage.DONE else 0.0,
        stepped=now.wall,
        reason=reason,
    )


def _read_unknown_record(
    state: states.State,
    control: moves.StepControl,
    pool: model.Pool,
    now: clocks.Instant,
) -> list[effects.Effect]:
    """Read the record of a pool for which no move is known yet."""
    is_holder = control.since is not None
    known = state.moves.get(pool.name) is not None
    if control.revision is not None or (known and not is_holder):
        return []
    if control.next_read_at > now.mono:
        return []
    control.next_read_at = now.mono + READ_INTERVAL_MS
    return _read_record(pool.name)


def _read_record(pool: str) -> list[effects.Effect]:
    return [effects.ReadKey(tickets.MoveTicket(pool), key_of(pool))]
