"""What a node knows about one lifetime of a backend server.

A server whose machine is slow for a moment states its pace. A server whose
machine is always slower or faster than the others of its pool has another
speed, which is learnt from its answers. Both apply to all of its steps.
"""

from __future__ import annotations

import dataclasses
import math
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
# Mean duration of a difference that halves every `PACE_HALF_LIFE_MS`.
PACE_LIFE_MS = PACE_HALF_LIFE_MS / math.log(2)
# Speeds in a pool differ by less than this factor either way.
MAX_SPEED_FACTOR = 4.0
# Fewer samples may all have met a queue that was not known.
MIN_SPEED_SAMPLES = 5
# Quantile of the samples that is the speed. In the model of the tests a
# quarter of the samples met no unknown queue.
SPEED_QUANTILE = 0.85
# Relative step per sample, and number of samples before the first step.
SAMPLE_STEP = 0.05
FIRST_SAMPLES = 8
# Factors are used in steps and only beyond a tolerance, so that nodes with
# different samples agree on them. Speeds that differ less than this cost less
# than prompts that several servers read because nodes disagree.
SPEED_STEP_DIGITS = 1
SPEED_TOLERANCE = 0.15
# A sample is reported for three updates, in which most nodes get one.
SAMPLE_REPORT_MS = 750


@dataclasses.dataclass(slots=True, kw_only=True)
class Profile:
    """What is known about a server, as of its latest statements.

    Times are monotonic milliseconds.

    :param pace: latest pace of its machine in percent of the usual one.
    :param pace_at: when the server stated it, to this or another node.
    :param heard_pace: pace that it last stated to this node, 0 for none.
    :param heard_at: when it stated that.
    :param unusual_until: until when that pace is reported to other nodes.
    :param states_pace: whether it ever stated a pace.
    :param next_invalid_at: when an invalid load may be logged again.
    :param tokens_per_ms: prompt tokens that it reads per millisecond at the
        usual pace, as learnt from all nodes' samples.
    :param sample_count: number of these samples.
    :param recent_speed: latest sample of this node.
    :param recent_until: until when it is reported.
    :param tokens: tokens in its memory that this node's requests hold and
        will hold.
    :param other_tokens: the same for the requests of other nodes.
    """

    pace: int = USUAL_PACE
    pace_at: int = 0
    heard_pace: int = 0
    heard_at: int = 0
    unusual_until: int = 0
    states_pace: bool = False
    next_invalid_at: int = 0
    tokens_per_ms: float = 0.0
    sample_count: int = 0
    recent_speed: float = 0.0
    recent_until: int = 0
    tokens: int = 0
    other_tokens: int = 0

    def record_pace(self, pace: int, now: clock.Instant) -> None:
        """Record the pace that the server stated to this node."""
        self.heard_pace = pace
        self.heard_at = now.mono
        if abs(pace - USUAL_PACE) > PACE_TOLERANCE:
            self.unusual_until = now.mono + PACE_REPORT_MS
        self.merge_pace(pace, now.mono)

    def has_news(self, now: clock.Instant) -> bool:
        """Return whether other nodes should be told what this one heard."""
        return max(self.unusual_until, self.recent_until) > now.mono

    def merge_pace(self, pace: int, stated_at: int) -> None:
        """Use a stated pace unless a later one is known.

        :param stated_at: when the server stated it.
        """
        self.states_pace = True
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

    def stretch(self, usual_ms: float, now: clock.Instant) -> float:
        """Return how long a work takes that begins now.

        The pace returns to the usual one meanwhile, so that a long work is
        delayed by no more than the slow phase lasts.

        :param usual_ms: milliseconds that it takes at the usual pace.
        """
        pace = self.get_pace(now) / USUAL_PACE
        if pace == 1.0:
            return usual_ms
        ended = 1 - 0.5 ** (usual_ms / pace / PACE_HALF_LIFE_MS)
        return float(usual_ms + (1 - pace) * PACE_LIFE_MS * ended)

    def record_speed(self, tokens_per_ms: float, now: clock.Instant) -> None:
        """Record a sample of this node.

        :param tokens_per_ms: tokens read per millisecond, at the usual pace.
        """
        self.recent_speed = tokens_per_ms
        self.recent_until = now.mono + SAMPLE_REPORT_MS
        self.merge_speed(tokens_per_ms)

    def merge_speed(self, tokens_per_ms: float) -> None:
        """Update the speed with a sample, this node's or another's.

        Prompts that other nodes sent just before make a sample too slow, and
        under load most samples are. The speed is therefore a high quantile:
        the best of the first samples, then moved by unequal steps.
        """
        known = self.tokens_per_ms
        self.sample_count += 1
        if self.sample_count <= FIRST_SAMPLES:
            self.tokens_per_ms = max(known, tokens_per_ms)
        elif tokens_per_ms > known:
            most = known * (1 + SAMPLE_STEP * SPEED_QUANTILE)
            self.tokens_per_ms = min(tokens_per_ms, most)
        else:
            least = known * (1 - SAMPLE_STEP * (1 - SPEED_QUANTILE))
            self.tokens_per_ms = max(tokens_per_ms, least)

    def get_speed_factor(self, usual: float) -> float:
        """Return the speed in steps, as a multiple of the pool's usual one."""
        factor = self.measure_factor(usual)
        if abs(factor - 1) < SPEED_TOLERANCE:
            return 1.0
        return round(factor, SPEED_STEP_DIGITS)

    def measure_factor(self, usual: float) -> float:
        """Return the speed as a multiple of the usual one of the pool."""
        if self.sample_count < MIN_SPEED_SAMPLES:
            return 1.0
        factor = self.tokens_per_ms / usual
        return max(1 / MAX_SPEED_FACTOR, min(MAX_SPEED_FACTOR, factor))

    def describe(self, usual: float, now: clock.Instant) -> str:
        """Describe what is known, for the log line of an attempt."""
        return (
            f'pace {self.get_pace(now):.0f}%,'
            f' speed {self.get_speed_factor(usual):.1f}'
            f' of {self.sample_count} samples,'
            f' {self.tokens + self.other_tokens} tokens held'
        )
