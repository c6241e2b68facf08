"""Moves of a pool from one version to another.

An operator names the wanted version and the time by which all traffic must
have gone over. The holder of the pool's lease writes each step into the
key-value service first and tells it by gossip after. Any node that finds
the new version bad stops using it at once and tells all others; the verdict
is final for the move and needs no key-value service.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from teaselbridge import clock as clocks
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import evidence
from teaselbridge.decisions import tickets
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

SHARES = (0.01, 0.05, 0.2, 0.5, 1.0)
STEP_LEAST_MS = 2_000
STEP_MOST_MS = 600_000
DEADLINE_MARGIN_MS = 2_000
READ_EVERY_MS = 2_000
DEFAULT_SPAN_MS = 15 * clocks.MINUTE

Stage = messages.Stage


class Moves:
    """What is known of the moves of all pools."""

    def __init__(self) -> None:
        self._by_pool: dict[str, messages.Move] = {}
        self._verdicts: dict[tuple[str, int], messages.Verdict] = {}
        self._evidence: dict[tuple[str, int], evidence.Evidence] = {}
        self._writing: dict[str, messages.Move] = {}
        self._revisions: dict[str, int] = {}
        self._read_due: dict[str, int] = {}
        self._history: list[messages.Move] = []

    @property
    def all(self) -> tuple[messages.Move, ...]:
        """The newest move of each pool."""
        return tuple(self._by_pool.values())

    @property
    def verdicts(self) -> tuple[messages.Verdict, ...]:
        """All verdicts."""
        return tuple(self._verdicts.values())

    def get(self, pool: str) -> messages.Move | None:
        """Give the newest move of a pool."""
        return self._by_pool.get(pool)

    def verdict(self, move: messages.Move) -> messages.Verdict | None:
        """Give the verdict on a move, if there is one."""
        return self._verdicts.get((move.pool, move.number))

    def share(self, move: messages.Move) -> float:
        """Give the share of traffic for the new version, here and now."""
        if move.stage is Stage.DONE:
            return 1.0
        if move.stage is not Stage.RUNNING or self.verdict(move) is not None:
            return 0.0
        return move.share

    def merge(self, move: messages.Move) -> bool:
        """Take in a move, if it is newer.

        :return: whether that is news.
        """
        known = self._by_pool.get(move.pool)
        if known is not None and known.order >= move.order:
            return False
        self._by_pool[move.pool] = move
        return True

    def add_verdict(self, verdict: messages.Verdict) -> bool:
        """Take in a verdict.

        :return: whether that is news.
        """
        key = (verdict.pool, verdict.number)
        if key in self._verdicts:
            return False
        self._verdicts[key] = verdict
        return True

    def evidence(self, move: messages.Move) -> evidence.Evidence:
        """Give what was seen of a move."""
        key = (move.pool, move.number)
        for old in [one for one in self._evidence if one[0] == move.pool]:
            if old != key:
                del self._evidence[old]
        return self._evidence.setdefault(key, evidence.Evidence())


def outcome(
    state: states.State,
    server: servers.Server,
    route: str,
    *,
    failed: bool,
    span: float,
) -> list[effects.Effect]:
    """Take in how an attempt ended, as evidence for or against a version.

    :param span: milliseconds a token or answer took, 0 for unknown.
    """
    move = state.moves.get(server.row.pool)
    if move is None or move.stage is not Stage.RUNNING:
        return []
    seen = state.moves.evidence(move)
    if server.version == move.old:
        seen.old_outcome(route, failed, span)
        return []
    if server.version != move.new or state.moves.verdict(move) is not None:
        return []
    fault = seen.new_outcome(route, failed, span)
    if fault is None:
        return []
    verdict = messages.Verdict(
        pool=move.pool,
        number=move.number,
        node=state.options.me.name,
        route=fault.route,
        cause=fault.cause,
    )
    return hear_verdict(state, verdict)


def hear_verdict(
    state: states.State, verdict: messages.Verdict
) -> list[effects.Effect]:
    """Take in a verdict, of this node or another."""
    if not state.moves.add_verdict(verdict):
        return []
    state.membership.news.add_verdict(verdict.pool, verdict.number)
    return [
        effects.Record(
            mark=effects.Mark.MOVE_VERDICT,
            pool=verdict.pool,
            route=verdict.route,
            host=verdict.node,
            detail=f'move {verdict.number}: {verdict.cause}',
        )
    ]


def hear(state: states.State, move: messages.Move) -> list[effects.Effect]:
    """Take in a step of a move that another node took."""
    before = state.moves.get(move.pool)
    if not state.moves.merge(move):
        return []
    state.membership.news.add_move(move.pool)
    if before is not None and _same_step(before, move):
        return []
    return [_record(move)]


def tick(state: states.State, now: clocks.Instant) -> list[effects.Effect]:
    """Take the next steps of the pools that this node controls."""
    out: list[effects.Effect] = []
    for pool in state.index.pools:
        out += _read_unknown(state, pool, now)
        if state.leases.held(pool.name, now) is not None:
            out += _control(state, pool, now)
    return out


def read(
    state: states.State, event: events.KeyRead, now: clocks.Instant
) -> list[effects.Effect]:
    """The record of a move was read."""
    ticket = event.ticket
    if not isinstance(ticket, tickets.MoveTicket):
        return []
    state.moves._revisions[ticket.pool] = event.revision
    if event.value is None:
        return []
    move = msgspec.json.decode(event.value, type=messages.Move)
    return hear(state, move)


def swapped(
    state: states.State, event: events.KeySwapped, now: clocks.Instant
) -> list[effects.Effect]:
    """A step was written, or another node wrote one before."""
    ticket = event.ticket
    if not isinstance(ticket, tickets.MoveTicket):
        return []
    move = state.moves._writing.pop(ticket.pool, None)
    if move is None:
        return []
    if not event.swapped:
        state.moves._revisions.pop(ticket.pool, None)
        return _read(ticket.pool)
    state.moves._revisions[ticket.pool] = event.revision
    return hear(state, move)


def failed(
    state: states.State, event: events.KeyFailed, now: clocks.Instant
) -> list[effects.Effect]:
    """A call got no answer: read what stands before the next step."""
    ticket = event.ticket
    if isinstance(ticket, tickets.MoveTicket):
        state.moves._writing.pop(ticket.pool, None)
        state.moves._revisions.pop(ticket.pool, None)
    return []


def key_of(pool: str) -> str:
    """Name the key of a pool's move."""
    return f'/teaselbridge/move/{pool}'


def target(pool: model.Pool) -> str | None:
    """Give the version that a row asks for.

    :return: none where traffic is split between several for good.
    """
    wanted = [item.name for item in pool.versions if item.weight]
    return wanted[0] if len(wanted) == 1 else None


def _control(
    state: states.State, pool: model.Pool, now: clocks.Instant
) -> list[effects.Effect]:
    """Take the next step of one pool, once what stands was read."""
    if pool.name in state.moves._writing:
        return []
    if pool.name not in state.moves._revisions:
        return []
    move = _next(state, pool, now)
    return [] if move is None else _write(state, move)


def _next(
    state: states.State, pool: model.Pool, now: clocks.Instant
) -> messages.Move | None:
    wanted = target(pool)
    known = state.moves.get(pool.name)
    if wanted is None:
        return None
    if known is None:
        return _settled(pool, wanted, now)
    if (wanted, pool.move_by_ms) != (known.new, known.wished_by):
        return _begin(known, pool, wanted, now)
    if known.stage in messages.ENDED:
        return None
    return _advance(state, known, now)


def _settled(
    pool: model.Pool, wanted: str, now: clocks.Instant
) -> messages.Move:
    """Record the version that a pool starts its life with."""
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


def _begin(
    known: messages.Move,
    pool: model.Pool,
    wanted: str,
    now: clocks.Instant,
) -> messages.Move:
    """Begin a move; one that is under way is taken back by it."""
    old = known.new if known.stage is Stage.DONE else known.old
    deadline = pool.move_by_ms or now.wall + DEFAULT_SPAN_MS
    stage = Stage.DONE if wanted == old else Stage.PREPARING
    reason = 'asked by an operator'
    if known.stage not in messages.ENDED:
        reason = f'takes the place of move {known.number}'
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


def _advance(
    state: states.State, move: messages.Move, now: clocks.Instant
) -> messages.Move | None:
    verdict = state.moves.verdict(move)
    if verdict is not None:
        reason = f'bad on route {verdict.route}: {verdict.cause}'
        return _end(move, Stage.UNDONE, reason, now)
    left = _left(move, now)
    if left < _least_left(move):
        reason = f'the deadline cannot be met, {left} ms are left'
        return _end(move, Stage.UNDONE, reason, now)
    if move.stage is Stage.PREPARING:
        return _try_step(state, move, 0, now)
    index = SHARES.index(move.share)
    if now.wall - move.stepped < step_span(move, now):
        return None
    if index + 1 == len(SHARES):
        return _end(move, Stage.DONE, 'all traffic has gone over', now)
    return _try_step(state, move, index + 1, now)


def step_span(move: messages.Move, now: clocks.Instant) -> int:
    """Plan how long a step lasts, so that all steps fit before the end.

    :return: milliseconds.
    """
    steps = len(SHARES) - (
        0 if move.stage is Stage.PREPARING else SHARES.index(move.share)
    )
    left = move.deadline - DEADLINE_MARGIN_MS - move.stepped
    return max(STEP_LEAST_MS, min(STEP_MOST_MS, left // (steps + 1)))


def _left(move: messages.Move, now: clocks.Instant) -> int:
    return move.deadline - now.wall


def _least_left(move: messages.Move) -> int:
    """Give the least time that the steps to come need, in milliseconds."""
    steps = len(SHARES)
    if move.stage is Stage.RUNNING:
        steps -= SHARES.index(move.share) + 1
    return steps * STEP_LEAST_MS


def _try_step(
    state: states.State,
    move: messages.Move,
    index: int,
    now: clocks.Instant,
) -> messages.Move | None:
    """Give the new version its next share, once its servers can take it."""
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
    busy = sum(server.inflight + server.others for server in usable)
    return sum(server.slots for server in new) >= share * busy


def _end(
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


def _write(state: states.State, move: messages.Move) -> list[effects.Effect]:
    state.moves._writing[move.pool] = move
    return [
        effects.SwapKey(
            ticket=tickets.MoveTicket(move.pool),
            key=key_of(move.pool),
            value=msgspec.json.encode(move),
            revision=state.moves._revisions[move.pool],
        )
    ]


def _read_unknown(
    state: states.State, pool: model.Pool, now: clocks.Instant
) -> list[effects.Effect]:
    """Read the record of a pool that nobody told of yet."""
    holds = state.leases.held(pool.name, now) is not None
    known = state.moves.get(pool.name) is not None
    read_before = pool.name in state.moves._revisions
    if read_before or (known and not holds):
        return []
    if state.moves._read_due.get(pool.name, 0) > now.mono:
        return []
    state.moves._read_due[pool.name] = now.mono + READ_EVERY_MS
    return _read(pool.name)


def _read(pool: str) -> list[effects.Effect]:
    return [effects.ReadKey(tickets.MoveTicket(pool), key_of(pool))]


def _same_step(before: messages.Move, move: messages.Move) -> bool:
    return (before.number, before.stage, before.share) == (
        move.number,
        move.stage,
        move.share,
    )


_MARKS = {
    Stage.PREPARING: effects.Mark.MOVE_BEGAN,
    Stage.RUNNING: effects.Mark.MOVE_STEP,
    Stage.DONE: effects.Mark.MOVE_DONE,
    Stage.UNDONE: effects.Mark.MOVE_UNDONE,
}


def _record(move: messages.Move) -> effects.Record:
    detail = (
        f'move {move.number} from {move.old} to {move.new}, '
        f'share {move.share:.0%}: {move.reason}'
    )
    return effects.Record(
        mark=_MARKS[move.stage], pool=move.pool, detail=detail
    )
