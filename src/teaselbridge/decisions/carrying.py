"""What each node can carry, and what it carries.

A node reports the rate of its arriving requests in its load updates. What it
can carry follows from the processor cores of its host, which are in its
membership record.
"""

from __future__ import annotations

import math
import typing

from teaselbridge import clock as clocks

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.peers import messages

# A node is one process that runs on one core at a time.
MAX_CORES = 1.0
# Processor time that a request takes from its arrival to the end of its
# answer, and cores that a node without requests uses.
REQUEST_CORES = 0.010
IDLE_CORES = 0.03
# Up to this fraction of what it can carry, a node counts in full. Callers do
# not move because of small differences in load.
FULL_WEIGHT_LOAD = 0.5
# A node that carries all it can keeps this fraction of its weight, so that
# callers come back when its load falls.
MIN_WEIGHT = 0.1
# Time over which arrivals are averaged: at five requests a second, the
# standard deviation is a fifth.
AVERAGING_MS = 3_000


class Arrivals:
    """Rate of the requests that arrive at this node."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_at = 0

    def record(self, now: clock.Instant) -> None:
        """Record that a request has arrived."""
        self._per_s = self.get_per_s(now) + clocks.SECOND_MS / AVERAGING_MS
        self._updated_at = now.mono

    def get_per_s(self, now: clock.Instant) -> float:
        """Return the average of the last seconds, in requests per second."""
        elapsed = max(0, now.mono - self._updated_at)
        return self._per_s * math.exp(-elapsed / AVERAGING_MS)


def get_load(
    state: states.State, name: str, now: clock.Instant
) -> float | None:
    """Return the requests per second at a node, or none if it is unknown."""
    if name == state.options.me.name:
        return state.arrivals.get_per_s(now)
    return state.loads.get_arrivals(name, now)


def compute_capacity(member: messages.Member) -> float:
    """Return the requests per second that a node can carry, at least 1."""
    cores = min(member.cores, MAX_CORES)
    return max(1.0, (cores - IDLE_CORES) / REQUEST_CORES)


def compute_weight(member: messages.Member, load: float | None) -> float:
    """Return a node's weight among others that callers can use.

    It follows the cores of its host, also beyond those that its process uses:
    a process that uses a small part of its host waits less for its turn. It
    falls from half of what the node can carry on. An unknown load counts as
    none.

    :param load: requests per second at the node.
    """
    used = (load or 0.0) / compute_capacity(member)
    spare = (1 - used) / (1 - FULL_WEIGHT_LOAD)
    return max(IDLE_CORES, member.cores - IDLE_CORES) * min(
        1.0, max(MIN_WEIGHT, spare)
    )
