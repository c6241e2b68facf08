"""Links between one node and the backend servers that can be cut."""

from __future__ import annotations

import asyncio
import enum
import typing

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events

if typing.TYPE_CHECKING:
    from tests.failures import site

CONNECT_TIMEOUT_MS = 400


class Cut(enum.Enum):
    """How new requests fail: by a timeout, a reset or a refusal."""

    HANG = 'hang'
    RESET = 'reset'
    REFUSE = 'refuse'


class Links:
    """Links of a node to all backend servers.

    :param trial: running deployment.
    :param node: index of the node.
    """

    def __init__(self, *, trial: site.Trial, node: int) -> None:
        self._servers = {server.address for server in trial.servers}
        self._loop = trial.nodes[node].loop
        self._cut: Cut | None = None
        self._relay = self._loop.get_handler(effects.RelayAttempt)
        self._probe = self._loop.get_handler(effects.ProbeLink)
        self._loop.handle(effects.RelayAttempt, self._start_attempt)
        self._loop.handle(effects.ProbeLink, self._start_probe)

    def cut(self, how: Cut) -> None:
        """Cut the links to all servers."""
        self._cut = how

    def heal(self) -> None:
        """End the cut."""
        self._cut = None

    def _start_attempt(self, effect: effects.RelayAttempt) -> None:
        if self._cut is None or effect.address not in self._servers:
            self._relay(effect)
            return
        fault = calls.Fault(
            calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, 'cut'
        )
        delay_ms = 0
        match self._cut:
            case Cut.HANG:
                delay_ms = CONNECT_TIMEOUT_MS
            case Cut.RESET:
                fault = calls.Fault(
                    calls.FaultKind.RESET, calls.RunStatus.UNKNOWN, 'cut'
                )
        failed = events.AttemptFailed(
            effect.call.handle, effect.attempt, fault
        )
        asyncio.get_running_loop().call_later(
            clock.seconds(delay_ms), self._loop.post, failed
        )

    def _start_probe(self, effect: effects.ProbeLink) -> None:
        if self._cut is None:
            self._probe(effect)
            return
        delay_ms = CONNECT_TIMEOUT_MS if self._cut is Cut.HANG else 0
        probed = events.LinkProbed(effect.host, effect.pool, False)
        asyncio.get_running_loop().call_later(
            clock.seconds(delay_ms), self._loop.post, probed
        )
