"""Executes the effects that check whether a server can be reached."""

from __future__ import annotations

import asyncio
import typing

from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import events

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops

CHECK_TIMEOUT_MS = 500
PROBE_TIMEOUT_MS = 300
# A link that resets connections may do so only after they were opened.
PROBE_OPEN_MS = 15
# The last one is for names that cannot be looked up.
_ERRORS = (OSError, ValueError)


def connect(loop: loops.Loop, tasks: loops.Tasks) -> None:
    """Handle the effects that check servers.

    :param loop: loop that the results are posted to.
    :param tasks: background tasks that the checks are added to.
    """

    async def check_server(effect: effects.CheckServer) -> None:
        is_gone = await _refuses_connections(effect.address)
        loop.post(events.ServerChecked(effect.host, is_gone))

    async def probe_link(effect: effects.ProbeLink) -> None:
        is_connected = await _accepts_connections(effect.address)
        loop.post(events.LinkProbed(effect.host, effect.pool, is_connected))

    def start_check(effect: effects.CheckServer) -> None:
        tasks.start(check_server(effect))

    def start_probe(effect: effects.ProbeLink) -> None:
        tasks.start(probe_link(effect))

    loop.handle(effects.CheckServer, start_check)
    loop.handle(effects.ProbeLink, start_probe)


async def _refuses_connections(address: str) -> bool:
    """Return whether a port refuses connections.

    One that does not answer in time may belong to a server that is cut off.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(clock.seconds(CHECK_TIMEOUT_MS)):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except _ERRORS:
        return False
    writer.close()
    return False


async def _accepts_connections(address: str) -> bool:
    """Return whether a port accepts a connection and keeps it open."""
    host, _, port = address.rpartition(':')
    opening = asyncio.ensure_future(asyncio.open_connection(host, int(port)))
    try:
        await asyncio.wait({opening}, timeout=clock.seconds(PROBE_TIMEOUT_MS))
        # The connection may be open, if only this process stood still.
        await asyncio.wait({opening}, timeout=clock.seconds(PROBE_OPEN_MS))
        if not opening.done():
            return False
        reader, writer = opening.result()
    except _ERRORS:
        return False
    finally:
        opening.cancel()
    try:
        async with asyncio.timeout(clock.seconds(PROBE_OPEN_MS)):
            await reader.read(1)
    except TimeoutError:
        return True
    except OSError:
        return False
    finally:
        writer.transport.abort()
    return False
