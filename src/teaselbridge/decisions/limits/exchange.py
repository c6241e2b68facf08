"""Exchange of what backend servers state, with the load updates of nodes.

A node passes on changes at once, and all else that it knows by turns, so that
nodes that missed an update or have just started learn of it as well.
"""

from __future__ import annotations

import typing

from teaselbridge.decisions.limits import answers
from teaselbridge.decisions.limits import terms as terms_module
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import effects
    from teaselbridge.decisions import state as states

# Bound the size of an update.
MAX_CHANGES = 24
MAX_REPEATED = 4


def take_updates(
    state: states.State, now: clock.Instant
) -> tuple[messages.StatedTerms, ...]:
    """Return the statements that the next load update carries."""
    known = state.limits.terms
    hosts = known.take_changed(MAX_CHANGES)
    hosts += known.take_next(MAX_REPEATED)
    statements = {host: known.get_statement(host) for host in hosts}
    return tuple(
        messages.StatedTerms(
            host=host,
            terms=statement.terms,
            asked_ms_ago=now.mono - statement.asked_at,
            heard_ms_ago=now.mono - statement.heard_at,
        )
        for host, statement in statements.items()
        if statement is not None
    )


def merge_updates(
    state: states.State, message: messages.Loads, now: clock.Instant
) -> list[effects.Effect]:
    """Merge the statements in the load update of another node."""
    out: list[effects.Effect] = []
    for item in message.terms:
        statement = terms_module.Statement(
            terms=item.terms,
            asked_at=now.mono - item.asked_ms_ago,
            heard_at=now.mono - item.heard_ms_ago,
        )
        out += answers.merge_statement(
            state, item.host, statement, message.node, now
        )
    return out
