"""Monotonic and wall-clock time in whole milliseconds."""

from __future__ import annotations

import dataclasses
import time

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Instant:
    """Simultaneous reading of the monotonic and the wall clock.

    :param mono: monotonic milliseconds, for timeouts and leases.
    :param wall: wall-clock milliseconds since the epoch, for ids and
        reports.
    """

    mono: int
    wall: int

    def plus(self, span: int) -> Instant:
        """Return the instant ``span`` milliseconds after this one.

        :param span: milliseconds, may be negative.
        :return: the later instant.
        """
        return Instant(self.mono + span, self.wall + span)


class Clock:
    """Source of the current time.

    The monotonic clock includes the time during which the host was
    suspended, so that a lease or a freshness check that expired during a
    suspension is not taken as valid afterwards.
    """

    def now(self) -> Instant:
        """Return the current instant of both clocks.

        :return: the current instant.
        """
        return Instant(
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
            time.time_ns() // 1_000_000,
        )


def seconds(span: int) -> float:
    """Convert milliseconds to seconds, for libraries that take seconds.

    :param span: milliseconds.
    :return: seconds.
    """
    return span / SECOND_MS
