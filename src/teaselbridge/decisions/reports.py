"""Reports between nodes on how the new version of a move does.

Few requests at each of many nodes suffice nowhere, so each node tells the
few that may hold the pool's lease what it saw. They add it up, hold the
move in doubt and may find the version bad. Reports carry totals and are
sent again and again while a version is tested, so a lost one does no harm.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import leases
from teaselbridge.decisions import moves
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

REPORT_MS = 1_000
REPORT_NODE_MS = 20
URGENT_MS = 200


def span(state: states.State, count: int = 1) -> int:
    """Give the time between reports; it grows with the fleet.

    :param count: reports.
    :return: milliseconds.
    """
    return count * max(REPORT_MS, REPORT_NODE_MS * state.membership.nodes)


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Report on the moves under way, as far as due."""
    out: list[effects.Effect] = []
    for move in state.moves.all:
        if moves.is_tested(move, now):
            out += _report(state, move, now)
    return out


def hear(
    state: states.State, message: messages.Scores, now: clock.Instant
) -> list[effects.Effect]:
    """Take in a report."""
    move = state.moves.get(message.pool)
    if move is None or move.number != message.number:
        return []
    pool = state.moves.seen(move.pool, move.number).pool
    out: list[effects.Effect] = []
    for score in message.scores:
        fault = pool.add(message.node, message.incarnation, score)
        if fault is not None:
            out += moves.find(state, move, fault)
    return out


def _report(
    state: states.State, move: messages.Move, now: clock.Instant
) -> list[effects.Effect]:
    seen = state.moves.seen(move.pool, move.number)
    early = URGENT_MS if seen.urgent else span(state)
    if now.mono < seen.reported + early:
        return []
    scores = seen.own.scores
    if not scores:
        return []
    seen.reported = now.mono
    seen.urgent = False
    message = messages.Scores(
        pool=move.pool,
        number=move.number,
        node=state.options.me.name,
        incarnation=state.options.me.incarnation,
        scores=scores,
    )
    return hear(state, message, now) + _send(state, move, message)


def _send(
    state: states.State, move: messages.Move, message: messages.Scores
) -> list[effects.Effect]:
    """Send to who took the last step and to who may take the next."""
    names = {move.node, *leases.candidates(state, move.pool)}
    return [
        effects.SendPeer(member.peers, message)
        for member in state.membership.alive
        if member.name in names
    ]
