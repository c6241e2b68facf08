"""Processor time and memory of a process, read from ``/proc``."""

from __future__ import annotations

import dataclasses
import os
import pathlib

PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
MEGABYTE = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process.

    :param cpu_s: processor seconds, user and system.
    :param resident_mb: resident memory in megabytes.
    """

    cpu_s: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process since its start.

    :param pid: process id.
    :return: its processor time and resident memory.
    """
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    # After the command name in parentheses, 11 and 12 are the user and the
    # system time, 21 is the resident set size (see proc(5)).
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return Usage(ticks / TICKS_PER_SECOND, pages * PAGE_BYTES / MEGABYTE)
