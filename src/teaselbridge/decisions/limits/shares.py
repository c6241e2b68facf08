"""Shares of the rate that a backend server names.

The server's rate is for all nodes together, and the nodes do not ask each
other before each request. A few nodes are therefore its senders, chosen by
rendezvous hashing over the active nodes, and each of them may use an equal
part of the rate. Nodes that disagree on the membership for a moment choose
mostly the same senders.

A node that is lost keeps its part for some time: it may be partitioned from
this node only, and still send requests.
"""

from __future__ import annotations

import math
import typing

from teaselbridge.decisions import active
from teaselbridge.decisions import placement

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock
    from teaselbridge.decisions import state as states

# Each sender may send one request at once, so their number is bounded by what
# the server takes within a few seconds.
MIN_SENDERS = 2
# A server that gets no request cannot tell that it takes more again.
MIN_RATE_PER_S = 0.2
# As long as a partition between nodes usually lasts.
LOST_NODE_RETENTION_MS = 10_000


class Candidates:
    """Nodes among which the senders are chosen."""

    def __init__(self) -> None:
        self._active_at: dict[str, int] = {}
        self._names: frozenset[str] = frozenset()

    @property
    def names(self) -> frozenset[str]:
        """Names of the nodes that are active, or were until recently."""
        return self._names

    def update(
        self, names: collections.abc.Iterable[str], now: clock.Instant
    ) -> None:
        """Update the candidates by the nodes that are active now."""
        self._active_at.update(dict.fromkeys(names, now.mono))
        self._active_at = {
            name: active_at
            for name, active_at in self._active_at.items()
            if now.mono - active_at < LOST_NODE_RETENTION_MS
        }
        self._names = frozenset(self._active_at)


def compute_share(state: states.State, host: str, rate: float) -> float:
    """Return how many requests a second this node may send to a server.

    :param rate: requests a second that the server takes from all nodes.
    :return: requests a second, 0 where this node is not one of its senders.
    """
    senders = list_senders(state, host, rate)
    if state.options.me.name not in senders:
        return 0.0
    return max(rate, MIN_RATE_PER_S) / len(senders)


def list_senders(state: states.State, host: str, rate: float) -> list[str]:
    """Return the nodes that may send requests to a server."""
    names = state.limits.candidates.names or active.list_names(state)
    count = min(len(names), MIN_SENDERS + math.floor(min(rate, len(names))))
    return placement.first(names, count, 'sender', host)
