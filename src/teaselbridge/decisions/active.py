"""Active nodes: the few of each availability zone that callers are sent to.

Load pattern: a few requests a second at each of hundreds of hosts. A host
that serves so few knows almost nothing of the load of backend servers, of
cached prompts or of rate limits unless all others tell it, which costs each
of them more the more hosts there are. Callers are therefore sent to a small
set of nodes, which tell each other all of that. Every node derives the set
from its own view of the membership, so that nothing has to be agreed on, and
it changes only with the membership.

The other nodes are ready as well: they serve callers that still use an
earlier list, from a small reserve of the rate limits (see `loads`).
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import placement
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Least number over all zones, and in each zone. A small host is kept busy by
# some ten streams a second, and a loss of half of them leaves enough in every
# zone until others replace them.
MIN_NODES = 64
MIN_ZONE_NODES = 4
# Larger fleets serve more requests, and need one active node for this many.
NODES_PER_ACTIVE_NODE = 6
REFRESH_INTERVAL_MS = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveNodes:
    """The active nodes by this node's view of the membership.

    :param names: their names, that of this node included if it is active.
    :param next_refresh_at: monotonic milliseconds of the next update.
    """

    names: frozenset[str] = frozenset()
    next_refresh_at: int = 0


def tick(state: states.State, now: clock.Instant) -> list[effects.Effect]:
    """Update the active nodes a few times a second."""
    known = state.active
    if now.mono < known.next_refresh_at:
        return []
    known.next_refresh_at = now.mono + REFRESH_INTERVAL_MS
    me = state.options.me.name
    was_active = me in known.names
    chosen = choose_nodes(_list_available(state))
    known.names = frozenset(member.name for member in chosen)
    state.budgets.set_active_nodes(len(chosen))
    if (me in known.names) is was_active:
        return []
    mark = effects.Mark.NODE_IDLE if was_active else effects.Mark.NODE_ACTIVE
    detail = f'{len(chosen)} active of {1 + len(state.membership.alive)} nodes'
    return [effects.RecordEntry(mark=mark, host=me, detail=detail)]


def choose_nodes(
    available: list[messages.Member],
) -> list[messages.Member]:
    """Choose the active nodes among those that take callers.

    Hosts with more processor cores come first. The rest of the order is a
    hash of the name, so that each loss is made up for by one other node.
    """
    by_zone: dict[str, list[messages.Member]] = collections.defaultdict(list)
    for member in available:
        by_zone[member.zone].append(member)
    chosen: list[messages.Member] = []
    for members in by_zone.values():
        count = max(
            MIN_ZONE_NODES,
            math.ceil(MIN_NODES / len(by_zone)),
            math.ceil(len(members) / NODES_PER_ACTIVE_NODE),
        )
        members.sort(key=_rank)
        chosen += members[:count]
    return chosen


def list_names(state: states.State) -> frozenset[str]:
    """Return the names of the active nodes, or of all where none are chosen.

    Only the users' platform sends callers to some of the nodes.
    """
    if state.options.bounds is None or not state.active.names:
        return frozenset(state.membership.serving_nodes)
    return state.active.names


def count_nodes(state: states.State) -> int:
    """Return the number of active nodes, at least 1."""
    return max(1, len(list_names(state)))


def _list_available(state: states.State) -> list[messages.Member]:
    available = [
        member
        for member in state.membership.alive
        if member.status is messages.Status.ALIVE and not member.draining
    ]
    if state.drain is None and not state.membership.me.draining:
        available.append(state.membership.me)
    return available


def _rank(member: messages.Member) -> tuple[float, int]:
    return -member.cores, placement.hash_text('active', member.name)
