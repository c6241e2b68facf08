"""Processor time and memory of a process, from the proc file system."""

from __future__ import annotations

import dataclasses
import os
import pathlib

PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
MEGABYTE = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used.

    :param cpu_s: processor seconds, user and system.
    :param resident_mb: resident memory in megabytes.
    """

    cpu_s: float
    resident_mb: float


def read(pid: int) -> Usage:
    """Read what a process has used so far."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return Usage(ticks / TICKS_PER_SECOND, pages * PAGE_BYTES / MEGABYTE)
