"""Order in which a node sends its load update to the others.

Random receivers leave some nodes without an update for many intervals, so
that their age bounds nothing. In a fixed order each node gets an update from
each other one once a period. Each node begins behind its own name, so that
a receiver does not get the updates of all others at once.
"""

from __future__ import annotations

import bisect
import math
import typing

# With four messages a second, what the other nodes know is never older than
# the prefill of one long prompt takes. A message has a few hundred bytes.
UPDATE_INTERVAL_MS = 250
# Maximum number of nodes that get one update. An update has some kilobytes,
# and small hosts have links of a few megabits per second, on which more of
# them at once hold up the answers of callers.
MAX_UPDATE_PEERS = 24


def choose_window(names: typing.Sequence[str], last: str) -> list[str]:
    """Choose the receivers of the next update.

    :param names: names of all receivers, sorted.
    :param last: last receiver of the update before, or the node itself. It
        need not be among the receivers any more.
    """
    count = min(MAX_UPDATE_PEERS, len(names))
    start = bisect.bisect_right(names, last)
    return [names[(start + step) % len(names)] for step in range(count)]


def get_period_ms(receivers: int) -> int:
    """Return the time in which each of some receivers gets an update."""
    return UPDATE_INTERVAL_MS * max(1, math.ceil(receivers / MAX_UPDATE_PEERS))
