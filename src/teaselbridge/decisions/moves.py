"""Moves of a pool from one version to another.

An operator names the wanted version and the time by which all traffic must
have gone over. The holder of the pool's lease takes the steps (`steps`).
Any node that finds the new version bad stops using it at once and tells all
others; the verdict is final for the move and needs no key-value service.
A version is watched for a while after all traffic has gone over to it.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge import clock as clocks
from teaselbridge.decisions import effects
from teaselbridge.decisions import evidence
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import requests
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

SHARES = (0.01, 0.05, 0.2, 0.5, 1.0)
WATCH_MS = clocks.MINUTE

Stage = messages.Stage


@dataclasses.dataclass(slots=True)
class Control:
    """Where a node stands with the steps of one pool's moves.

    :param writing: step that is being written.
    :param revision: revision of the record, none while it is not known.
    :param read_due: monotonic milliseconds of the next reading.
    :param since: monotonic milliseconds since when this node takes the
        steps, none while it doesn't.
    """

    writing: messages.Move | None = None
    revision: int | None = None
    read_due: int = 0
    since: int | None = None


@dataclasses.dataclass(slots=True)
class Seen:
    """What is known of how the new version of one move does.

    :param number: number of the move.
    :param own: what this node saw.
    :param pool: what all nodes told.
    :param reported: monotonic milliseconds of the last report to others.
    :param urgent: whether a report should not wait for that.
    """

    number: int
    own: evidence.Evidence = dataclasses.field(
        default_factory=evidence.Evidence
    )
    pool: evidence.Pool = dataclasses.field(default_factory=evidence.Pool)
    reported: int = 0
    urgent: bool = False


class Moves:
    """What is known of the moves of all pools."""

    def __init__(self) -> None:
        self._by_pool: dict[str, messages.Move] = {}
        self._verdicts: dict[tuple[str, int], messages.Verdict] = {}
        self._seen: dict[str, Seen] = {}
        self._controls: dict[str, Control] = {}

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

    def control(self, pool: str) -> Control:
        """Give where this node stands with the steps of a pool."""
        return self._controls.setdefault(pool, Control())

    def share(self, move: messages.Move) -> float:
        """Give the share of traffic for the new version, here and now."""
        if move.old != move.new and self.verdict(move) is not None:
            return 0.0
        if move.stage is Stage.DONE:
            return 1.0
        return move.share if move.stage is Stage.RUNNING else 0.0

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

    def seen(self, pool: str, number: int) -> Seen:
        """Give what was seen of a move; older ones are forgotten."""
        seen = self._seen.get(pool)
        if seen is None or seen.number < number:
            seen = self._seen[pool] = Seen(number)
        return seen


def is_tested(move: messages.Move, now: clocks.Instant) -> bool:
    """Tell whether the new version of a move is compared with the old."""
    if move.old == move.new:
        return False
    if move.stage is Stage.DONE:
        return now.wall - move.stepped < WATCH_MS
    return move.stage is Stage.RUNNING


def judge(
    state: states.State,
    request: requests.Request,
    now: clocks.Instant,
    *,
    failed: bool,
    span: float,
) -> list[effects.Effect]:
    """Count an outcome for or against the version of a request's server.

    :param span: milliseconds that it took, 0 for unknown.
    """
    server = state.servers.get(request.host)
    if server is None:
        return []
    route = request.call.route.name
    return outcome(state, server, route, now, failed=failed, span=span)


def outcome(
    state: states.State,
    server: servers.Server,
    route: str,
    now: clocks.Instant,
    *,
    failed: bool,
    span: float,
) -> list[effects.Effect]:
    """Take in how an attempt ended, as evidence for or against a version.

    :param span: milliseconds a token or answer took, 0 for unknown.
    """
    move = state.moves.get(server.row.pool)
    if move is None or not is_tested(move, now):
        return []
    seen = state.moves.seen(move.pool, move.number)
    if server.version == move.old:
        seen.own.old_outcome(route, failed, span)
        return []
    if server.version != move.new:
        return []
    fault = seen.own.new_outcome(route, failed, span)
    seen.urgent = seen.urgent or failed
    return [] if fault is None else find(state, move, fault)


def find(
    state: states.State, move: messages.Move, fault: evidence.Fault
) -> list[effects.Effect]:
    """Find the new version of a move bad."""
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


def target(pool: model.Pool) -> str | None:
    """Give the version that a row asks for.

    :return: none where traffic is split between several for good.
    """
    wanted = [item.name for item in pool.versions if item.weight]
    return wanted[0] if len(wanted) == 1 else None


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
