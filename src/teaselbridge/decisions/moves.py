"""Moves: rollouts of a pool from one version to another.

An operator sets the wanted version and the deadline by which all traffic
must use it. The holder of the pool's lease takes the steps (`steps`). Any
node that finds the new version faulty stops using it at once and tells all
other nodes. This rollback decision (`messages.Verdict`) is final for the
move and does not need the key-value service. A version is still compared
with the old one for a while after it has received all traffic.
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

TRAFFIC_SHARES = (0.01, 0.05, 0.2, 0.5, 1.0)
OBSERVATION_MS = clocks.MINUTE_MS

Stage = messages.Stage


@dataclasses.dataclass(slots=True)
class StepControl:
    """State of a node that takes the steps of one pool's moves.

    :param writing: step that is being written.
    :param revision: revision of the stored record, none while unknown.
    :param next_read_at: monotonic milliseconds of the next read.
    :param since: monotonic milliseconds since when this node holds the
        lease and takes the steps, none while it does not.
    """

    writing: messages.Move | None = None
    revision: int | None = None
    next_read_at: int = 0
    since: int | None = None


@dataclasses.dataclass(slots=True)
class MoveOutcomes:
    """Outcomes of the new version of one move.

    :param number: number of the move.
    :param own_evidence: outcomes at this node.
    :param pool: outcomes reported by all nodes.
    :param reported_at: monotonic milliseconds of the last report to others.
    :param is_urgent: whether the next report is due sooner than usual, because
        of a failure.
    """

    number: int
    own_evidence: evidence.Evidence
    pool: evidence.PoolEvidence = dataclasses.field(
        default_factory=evidence.PoolEvidence
    )
    reported_at: int = 0
    is_urgent: bool = False


class Moves:
    """Moves, rollback decisions and outcomes of all pools."""

    def __init__(self) -> None:
        self._by_pool: dict[str, messages.Move] = {}
        self._verdicts: dict[tuple[str, int], messages.Verdict] = {}
        self._outcomes: dict[str, MoveOutcomes] = {}
        self._controls: dict[str, StepControl] = {}
        self._rejected: dict[str, set[str]] = {}
        self._usual_times: dict[str, evidence.UsualTimes] = {}

    @property
    def all(self) -> tuple[messages.Move, ...]:
        """The newest move of each pool."""
        return tuple(self._by_pool.values())

    @property
    def verdicts(self) -> tuple[messages.Verdict, ...]:
        """All rollback decisions."""
        return tuple(self._verdicts.values())

    def get(self, pool: str) -> messages.Move | None:
        """Return the newest move of a pool."""
        return self._by_pool.get(pool)

    def verdict(self, move: messages.Move) -> messages.Verdict | None:
        """Return the rollback decision on a move, if there is one."""
        return self._verdicts.get((move.pool, move.number))

    def control(self, pool: str) -> StepControl:
        """Return the step-taking state of a pool, created on first use."""
        return self._controls.setdefault(pool, StepControl())

    def share(self, move: messages.Move) -> float:
        """Return the share of traffic that this node gives the new version."""
        if move.old != move.new and self.verdict(move) is not None:
            return 0.0
        if move.stage is Stage.DONE:
            return 1.0
        return move.share if move.stage is Stage.RUNNING else 0.0

    def merge(self, move: messages.Move) -> bool:
        """Store a move if it is newer than the known one.

        :return: whether it was stored.
        """
        known = self._by_pool.get(move.pool)
        if known is not None and known.order >= move.order:
            return False
        self._by_pool[move.pool] = move
        if known is not None and _replaces(move, known):
            self.reject(move.pool, known.new)
        if move.stage is Stage.UNDONE:
            self.reject(move.pool, move.new)
        else:
            self._rejected.get(move.pool, set()).discard(move.new)
        return True

    def reject(self, pool: str, version: str) -> None:
        """Record that a version was taken back and must not be used."""
        self._rejected.setdefault(pool, set()).add(version)

    def is_old(self, move: messages.Move, version: str) -> bool:
        """Return whether servers of a version serve beside a move's new one.

        The name of the old version may be unknown when an order is read, so
        every version counts but the new one and those taken back before.
        """
        return version != move.new and version not in self._rejected.get(
            move.pool, ()
        )

    def add_verdict(self, verdict: messages.Verdict) -> bool:
        """Store a rollback decision if the move has none yet.

        :return: whether it was stored.
        """
        key = (verdict.pool, verdict.number)
        if key in self._verdicts:
            return False
        self._verdicts[key] = verdict
        return True

    def renumber_outcomes(self, pool: str, number: int) -> None:
        """Keep the outcomes of a pool's move under another number."""
        seen = self._outcomes.get(pool)
        if seen is not None:
            seen.number = number

    def get_usual_times(self, pool: str) -> evidence.UsualTimes:
        """Return the times of a pool's answers, created on first use."""
        return self._usual_times.setdefault(pool, evidence.UsualTimes())

    def get_outcomes(self, pool: str, number: int) -> MoveOutcomes:
        """Return the outcomes of a move and drop those of older moves."""
        seen = self._outcomes.get(pool)
        if seen is None or seen.number < number:
            own_evidence = evidence.Evidence(self.get_usual_times(pool))
            seen = MoveOutcomes(number, own_evidence)
            self._outcomes[pool] = seen
        return seen


def is_tested(move: messages.Move, now: clocks.Instant) -> bool:
    """Return whether a move's new version is compared with the old one."""
    if move.old == move.new:
        return False
    if move.stage is Stage.DONE:
        return now.wall - move.stepped < OBSERVATION_MS
    return move.stage is Stage.RUNNING


def record_request_outcome(
    state: states.State,
    request: requests.Request,
    now: clocks.Instant,
    *,
    failed: bool,
    span: float,
) -> list[effects.Effect]:
    """Record an outcome for the version of a request's server.

    :param span: milliseconds a token or answer took, 0 for unknown.
    """
    server = state.servers.get(request.host)
    if server is None:
        return []
    route = request.call.route.name
    return record_outcome(state, server, route, now, failed=failed, span=span)


def record_outcome(
    state: states.State,
    server: servers.Server,
    route: str,
    now: clocks.Instant,
    *,
    failed: bool,
    span: float,
) -> list[effects.Effect]:
    """Record an attempt's outcome as evidence for or against a version.

    :param span: milliseconds a token or answer took, 0 for unknown.
    """
    pool = server.row.pool
    move = state.moves.get(pool)
    if move is not None and not is_tested(move, now):
        move = None
    is_new = move is not None and server.version == move.new
    if server.cold_until > now.mono:
        span = 0.0
    if span and not failed and not is_new:
        state.moves.get_usual_times(pool).add(route, span, now.mono)
    if move is None:
        return []
    seen = state.moves.get_outcomes(move.pool, move.number)
    if state.moves.is_old(move, server.version):
        seen.own_evidence.add_old_outcome(route, failed, span, now.mono)
        return []
    if not is_new:
        return []
    fault = seen.own_evidence.add_new_outcome(route, failed, span, now.mono)
    seen.is_urgent = seen.is_urgent or failed
    return [] if fault is None else add_fault(state, move, fault)


def add_fault(
    state: states.State, move: messages.Move, fault: evidence.Fault
) -> list[effects.Effect]:
    """Decide that the new version of a move is faulty."""
    verdict = messages.Verdict(
        pool=move.pool,
        number=move.number,
        node=state.options.me.name,
        route=fault.route,
        cause=fault.cause,
    )
    return merge_verdict(state, verdict)


def merge_verdict(
    state: states.State, verdict: messages.Verdict
) -> list[effects.Effect]:
    """Record and gossip a rollback decision of this node or another."""
    if not state.moves.add_verdict(verdict):
        return []
    state.membership.updates.add_verdict(verdict.pool, verdict.number)
    return [
        effects.RecordEntry(
            mark=effects.Mark.MOVE_VERDICT,
            pool=verdict.pool,
            route=verdict.route,
            host=verdict.node,
            detail=f'move {verdict.number}: {verdict.cause}',
        )
    ]


def merge_move(
    state: states.State, move: messages.Move
) -> list[effects.Effect]:
    """Merge and gossip a step of a move, taken by this node or another."""
    before = state.moves.get(move.pool)
    if not state.moves.merge(move):
        return []
    state.membership.updates.add_move(move.pool)
    if before is not None and _is_same_step(before, move):
        return []
    return [_make_record(move)]


def renumber(
    state: states.State, pool: str, number: int
) -> list[effects.Effect]:
    """Give a pool's move another number; all else about it stays."""
    move = state.moves.get(pool)
    if move is None or move.number >= number:
        return []
    verdict = state.moves.verdict(move)
    state.moves.renumber_outcomes(pool, number)
    out: list[effects.Effect] = []
    if verdict is not None:
        out += merge_verdict(
            state, dataclasses.replace(verdict, number=number)
        )
    renumbered = dataclasses.replace(
        move,
        number=number,
        sequence=move.sequence + 1,
        wished_by=number,
        reason=f'continues move {move.number}',
        node=state.options.me.name,
    )
    return out + merge_move(state, renumbered)


def target(pool: model.Pool) -> str | None:
    """Return the version that a pool's configuration asks for.

    :return: none where traffic is permanently split between several.
    """
    wanted = [item.name for item in pool.versions if item.weight]
    return wanted[0] if len(wanted) == 1 else None


def _replaces(move: messages.Move, known: messages.Move) -> bool:
    """Return whether a move takes the version of an unfinished one back.

    Where the old version is unknown, it may be that one.
    """
    return (
        known.stage not in messages.ENDED_STAGES
        and bool(move.old)
        and known.new not in (move.old, move.new)
    )


def _is_same_step(before: messages.Move, move: messages.Move) -> bool:
    return (before.number, before.stage, before.share) == (
        move.number,
        move.stage,
        move.share,
    )


_MARK_BY_STAGE = {
    Stage.PREPARING: effects.Mark.MOVE_BEGAN,
    Stage.RUNNING: effects.Mark.MOVE_STEP,
    Stage.DONE: effects.Mark.MOVE_DONE,
    Stage.UNDONE: effects.Mark.MOVE_UNDONE,
}


def _make_record(move: messages.Move) -> effects.RecordEntry:
    detail = (
        f'move {move.number} from {move.old or "?"} to {move.new}, '
        f'share {move.share:.0%}: {move.reason}'
    )
    return effects.RecordEntry(
        mark=_MARK_BY_STAGE[move.stage], pool=move.pool, detail=detail
    )
