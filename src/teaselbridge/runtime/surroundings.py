"""Polls the cloud's host list and its reclaim notices."""

from __future__ import annotations

import asyncio
import typing

from teaselbridge import clock
from teaselbridge.decisions import events
from teaselbridge.protocols import cloud as clouds

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops

HOSTS_INTERVAL_MS = 1_000
RETRY_DELAY_MS = 1_000
# A node stops so long before its host is taken back, so that its last answers
# are sent by then, but takes no more than a part of the time that is left.
MAX_STOP_MARGIN_MS = 500
MAX_STOP_MARGIN_SHARE = 0.25


async def follow_hosts(hosts: clouds.HostListClient, loop: loops.Loop) -> None:
    """Poll the host list and post it, forever.

    While it cannot be read, the last list stays in use.
    """
    while True:
        try:
            loop.post(events.HostsRead(await hosts.read_hosts()))
        except clouds.PlatformError:
            pass
        await asyncio.sleep(clock.seconds(HOSTS_INTERVAL_MS))


async def follow_notices(cloud: clouds.CloudClient, loop: loops.Loop) -> None:
    """Long-poll for reclaim notices and post them, forever."""
    last = 0
    while True:
        try:
            answer = await cloud.notices(last)
        except clouds.PlatformError:
            await asyncio.sleep(clock.seconds(RETRY_DELAY_MS))
            continue
        last = answer.last
        for notice in answer.notices:
            _post_notice(notice, loop)


def _post_notice(notice: clouds.ReclaimNotice, loop: loops.Loop) -> None:
    left = max(1, notice.at - loop.now().wall)
    if notice.host == loop.state.options.me.name:
        margin_ms = min(
            MAX_STOP_MARGIN_MS, round(MAX_STOP_MARGIN_SHARE * left)
        )
        by = loop.now().mono + left - margin_ms
        loop.post(events.DrainRequested(by, is_final=True))
        return
    loop.post(events.ReclaimAnnounced((notice.host,), left))
