"""Reports between nodes on the outcomes of a version under rollout.

Where each of many nodes handles only a few requests, no single node has
enough outcomes for a decision. Each node therefore reports its own outcomes
to the few nodes that may hold the lease of the pool. These add them up, pause
the rollout while the version is in doubt, and may reject the version. Reports
carry totals and are repeated while a version is tested, so that a lost report
does no harm.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import effects
from teaselbridge.decisions import leases
from teaselbridge.decisions import moves
from teaselbridge.decisions import rollouts
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Least time between reports; larger fleets wait REPORT_INTERVAL_MS_PER_NODE
# for each node.
MIN_REPORT_INTERVAL_MS = 1_000
REPORT_INTERVAL_MS_PER_NODE = 20
# Time between reports after an outcome that counts against the new version.
URGENT_REPORT_INTERVAL_MS = 200


def span(state: states.State, count: int = 1) -> int:
    """Return the time between reports, which grows with the fleet.

    :param count: number of reports.
    :return: milliseconds.
    """
    return count * max(
        MIN_REPORT_INTERVAL_MS,
        REPORT_INTERVAL_MS_PER_NODE * active.count_nodes(state),
    )


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Send the reports that are due on the rollouts under way."""
    out: list[effects.Effect] = []
    for move in state.moves.all:
        if moves.is_tested(move, now):
            out += _report_if_due(state, move, now)
    return out


def handle_scores(
    state: states.State, message: messages.Scores, now: clock.Instant
) -> list[effects.Effect]:
    """Merge the report of a node, this one included."""
    move = state.moves.get(message.pool)
    if move is None or move.number != message.number:
        return []
    rollouts.adopt_elapsed(
        state, move.pool, move.number, message.elapsed_ms, now
    )
    pool = state.moves.get_outcomes(move.pool, move.number).pool
    out: list[effects.Effect] = []
    for score in message.scores:
        fault = pool.add(message.node, message.incarnation, score)
        if fault is not None:
            out += moves.add_fault(state, move, fault)
    return out


def _report_if_due(
    state: states.State, move: messages.Move, now: clock.Instant
) -> list[effects.Effect]:
    """Report on a rollout if the interval since the last one is over."""
    outcomes = state.moves.get_outcomes(move.pool, move.number)
    interval = URGENT_REPORT_INTERVAL_MS if outcomes.is_urgent else span(state)
    if now.mono < outcomes.reported_at + interval:
        return []
    scores = outcomes.own_evidence.scores
    if not scores:
        return []
    outcomes.reported_at = now.mono
    outcomes.is_urgent = False
    message = messages.Scores(
        pool=move.pool,
        number=move.number,
        node=state.options.me.name,
        incarnation=state.options.me.incarnation,
        scores=scores,
        elapsed_ms=rollouts.get_elapsed_ms(state, move.pool, move.number, now),
    )
    return handle_scores(state, message, now) + _send_to_deciders(
        state, move, message
    )


def _send_to_deciders(
    state: states.State, move: messages.Move, message: messages.Scores
) -> list[effects.Effect]:
    """Send a report to the nodes that decide on the rollout.

    These are the node that took the last step and those that may take the
    next one.
    """
    names = {move.node, *leases.list_candidates(state, move.pool)}
    return [
        effects.SendPeer(member.peers, message)
        for member in state.membership.alive
        if member.name in names
    ]
