"""What a node knows about the pace of one lifetime of a backend server."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from teaselbridge import clock

USUAL_PACE = 100
# Bounds of a stated pace. A wrong figure must neither keep a server unused
# nor attract all requests.
MIN_PACE = 10
MAX_PACE = 400
# Machines are slow for some 600 ms at a time.
PACE_HALF_LIFE_MS = 600
# A pace that differs less from the usual one is noise.
PACE_TOLERANCE = 5
# An unusual pace is reported for this long, until a majority of the nodes has
# had an update, and so is the return to the usual one.
PACE_REPORT_MS = 1_500


@dataclasses.dataclass(slots=True, kw_only=True)
class Picture:
    """What is known about a server, as of its latest statements.

    Times are monotonic milliseconds.

    :param pace: latest pace of its machine in percent of the usual one.
    :param pace_at: when the server stated it, to this or another node.
    :param heard_pace: pace that it last stated to this node, 0 for none.
    :param heard_at: when it stated that.
    :param unusual_until: until when that pace is reported to other nodes.
    :param next_invalid_at: when an invalid load may be logged again.
    """

    pace: int = USUAL_PACE
    pace_at: int = 0
    heard_pace: int = 0
    heard_at: int = 0
    unusual_until: int = 0
    next_invalid_at: int = 0

    def record_pace(self, pace: int, now: clock.Instant) -> None:
        """Record the pace that the server stated to this node."""
        self.heard_pace = pace
        self.heard_at = now.mono
        if abs(pace - USUAL_PACE) > PACE_TOLERANCE:
            self.unusual_until = now.mono + PACE_REPORT_MS
        self.merge_pace(pace, now.mono)

    def merge_pace(self, pace: int, stated_at: int) -> None:
        """Use a stated pace unless a later one is known.

        :param stated_at: when the server stated it.
        """
        if stated_at < self.pace_at:
            return
        self.pace = min(MAX_PACE, max(MIN_PACE, pace))
        self.pace_at = stated_at

    def get_pace(self, now: clock.Instant) -> float:
        """Return the pace in percent, which returns to 100 with its age."""
        off = self.pace - USUAL_PACE
        if not off:
            return float(USUAL_PACE)
        age_ms = max(0, now.mono - self.pace_at)
        left = off * 0.5 ** (age_ms / PACE_HALF_LIFE_MS)
        if abs(left) <= PACE_TOLERANCE:
            return float(USUAL_PACE)
        return float(USUAL_PACE + left)
