"""Follows the platform's host list and its reclaim notices."""

from __future__ import annotations

import asyncio
import typing

from teaselbridge import clock
from teaselbridge.decisions import events
from teaselbridge.protocols import cloud as clouds

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops

HOSTS_EVERY_MS = 1_000
RETRY_MS = 1_000


async def follow_hosts(hosts: clouds.HostList, loop: loops.Loop) -> None:
    """Read the host list again and again.

    While it cannot be read, what was read last stays in use.
    """
    while True:
        try:
            loop.post(events.HostsRead(await hosts.read()))
        except clouds.PlatformError:
            pass
        await asyncio.sleep(clock.seconds(HOSTS_EVERY_MS))


async def follow_notices(cloud: clouds.Cloud, loop: loops.Loop) -> None:
    """Wait for reclaim notices, one question after the other."""
    last = 0
    while True:
        try:
            answer = await cloud.notices(last)
        except clouds.PlatformError:
            await asyncio.sleep(clock.seconds(RETRY_MS))
            continue
        last = answer.last
        for notice in answer.notices:
            _post(notice, loop)


def _post(notice: clouds.Notice, loop: loops.Loop) -> None:
    left = max(1, notice.at - loop.now().wall)
    if notice.host == loop.state.options.me.name:
        loop.post(events.DrainAsked(loop.now().mono + left))
        return
    loop.post(events.ReclaimNoticed((notice.host,), left))
