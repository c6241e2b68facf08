"""Stand-in of the cloud API, the host list and the weight store."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

import litestar
import litestar.params

from teaselbridge import clock as clocks
from teaselbridge.decisions import events
from teaselbridge.platform import cloud

POLL_S = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class _Snapshot:
    at: int
    hosts: tuple[events.HostRow, ...]


class Region:
    """Hosts, notices and prices of one region.

    :param clock: clocks of the process.
    :param list_lag_ms: age of the host list.
    """

    def __init__(self, *, clock: clocks.Clock, list_lag_ms: int) -> None:
        self._clock = clock
        self._lag_ms = list_lag_ms
        self._rows: dict[str, events.HostRow] = {}
        self._snapshots: collections.deque[_Snapshot] = collections.deque()
        self._notices: list[cloud.Notice] = []

    def add(self, row: events.HostRow) -> None:
        """Add a host."""
        self._rows[row.host] = row
        self._changed()

    def remove(self, host: str) -> None:
        """Remove a host."""
        self._rows.pop(host, None)
        self._changed()

    def mark_leaving(self, host: str) -> None:
        """Show a host as leaving."""
        row = self._rows[host]
        self._rows[host] = dataclasses.replace(
            row, state=events.HostState.LEAVING
        )
        self._changed()

    def notice(self, host: str, at: int) -> None:
        """Announce that a host is taken back.

        :param at: wall milliseconds.
        """
        number = len(self._notices) + 1
        self._notices.append(cloud.Notice(number=number, host=host, at=at))

    def hosts(self) -> tuple[events.HostRow, ...]:
        """Give the host list, as it was a while ago."""
        seen = self._clock.now().mono - self._lag_ms
        while len(self._snapshots) > 1 and self._snapshots[1].at <= seen:
            self._snapshots.popleft()
        return self._snapshots[0].hosts if self._snapshots else ()

    async def notices(self, after: int, wait_ms: int) -> cloud.Notices:
        """Wait for notices after a number."""
        until = self._clock.now().mono + wait_ms
        while len(self._notices) <= after:
            if self._clock.now().mono >= until:
                break
            await asyncio.sleep(POLL_S)
        found = tuple(self._notices[after:])
        return cloud.Notices(last=len(self._notices), notices=found)

    def _changed(self) -> None:
        now = self._clock.now().mono
        rows = tuple(self._rows.values())
        self._snapshots.append(_Snapshot(at=now, hosts=rows))


class WeightStore:
    """Rate-limited store of model weights.

    :param rate: megabytes a second, over all that load.
    """

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._lock = asyncio.Lock()

    async def load(self, megabytes: float) -> None:
        """Load weights, one after the other."""
        async with self._lock:
            await asyncio.sleep(megabytes / self._rate)


def build(region: Region) -> litestar.Litestar:
    """Build the web application of a region."""

    @litestar.get('/v1/hosts')
    async def list_hosts() -> cloud.Hosts:
        return cloud.Hosts(hosts=region.hosts())

    @litestar.get('/v1/notices')
    async def list_notices(after: int = 0, wait_ms: int = 0) -> cloud.Notices:
        return await region.notices(after, wait_ms)

    handlers: list[typing.Any] = [list_hosts, list_notices]
    return litestar.Litestar(
        route_handlers=handlers, openapi_config=None, logging_config=None
    )
