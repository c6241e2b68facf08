"""Time in whole milliseconds, monotonic and wall."""

from __future__ import annotations

import dataclasses
import time

SECOND = 1_000
MINUTE = 60 * SECOND


@dataclasses.dataclass(frozen=True, slots=True)
class Instant:
    """One reading of both clocks of a process.

    :param mono: monotonic milliseconds, for timeouts and leases.
    :param wall: milliseconds since the epoch, for ids and reports.
    """

    mono: int
    wall: int

    def later(self, span: int) -> Instant:
        """Give the instant ``span`` milliseconds after this one.

        :param span: milliseconds, may be negative.
        :return: the moved instant.
        """
        return Instant(self.mono + span, self.wall + span)


class Clock:
    """Reads the clocks of this process.

    The monotonic one counts the time that the host was suspended, so that
    a lease or a proof of freshness is not trusted after a suspension.
    """

    def now(self) -> Instant:
        """Read both clocks.

        :return: the present instant.
        """
        return Instant(
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
            time.time_ns() // 1_000_000,
        )


def seconds(span: int) -> float:
    """Convert milliseconds for libraries that take seconds.

    :param span: milliseconds.
    :return: seconds.
    """
    return span / SECOND
