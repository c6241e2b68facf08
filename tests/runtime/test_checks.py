"""Tests of the checks whether a server can be reached."""

from __future__ import annotations

import asyncio
import socket
import time
import typing

import testtools

from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.runtime import checks
from teaselbridge.runtime import loop as loops

TIMEOUT_S = 5.0
STALL_S = 2 * checks.PROBE_TIMEOUT_MS / 1_000


class _Loop:
    """Loop that keeps the handlers and the events."""

    def __init__(self) -> None:
        self.handlers: dict[type, typing.Callable[..., None]] = {}
        self.events: asyncio.Queue[events.Event] = asyncio.Queue()
        self.post = self.events.put_nowait

    def handle(self, kind: type, handler: typing.Callable[..., None]) -> None:
        """Set the handler of an effect type."""
        self.handlers[kind] = handler


async def probe(address: str, stall_s: float = 0.0) -> bool:
    """Return whether a server counts as reached.

    :param stall_s: time for which the event loop stands still meanwhile.
    """
    loop = _Loop()
    tasks = loops.Tasks()
    checks.connect(typing.cast(loops.Loop, loop), tasks)
    loop.handlers[effects.ProbeLink](effects.ProbeLink('h', 'p', address))
    await asyncio.sleep(0)
    asyncio.get_running_loop().call_soon(time.sleep, stall_s)
    event = await loop.events.get()
    assert isinstance(event, events.LinkProbed)
    await tasks.stop()
    return event.is_connected


class TestProbes(testtools.TestCase):
    """A probe tells whether a port accepts a connection."""

    def _probe(self, *, is_open: bool, stall_s: float = 0.0) -> bool:
        with socket.socket() as server:
            server.bind(('127.0.0.1', 0))
            if is_open:
                server.listen()
            host, port = server.getsockname()
            return asyncio.run(probe(f'{host}:{port}', stall_s))

    def test_port(self) -> None:
        self.assertTrue(self._probe(is_open=True))
        self.assertFalse(self._probe(is_open=False))

    # Guards against a round of probes that never ends, so that the links of
    # the pool are not probed again.
    def test_name_that_cannot_be_looked_up(self) -> None:
        for host in ('..', 'x' * 70):

            async def run(address: str = f'{host}:80') -> bool:
                async with asyncio.timeout(TIMEOUT_S):
                    return await probe(address)

            self.assertFalse(asyncio.run(run()))

    # Guards against links that are taken for cut by a node that stood still.
    def test_stall(self) -> None:
        self.assertTrue(self._probe(is_open=True, stall_s=STALL_S))
        self.assertFalse(self._probe(is_open=False, stall_s=STALL_S))
