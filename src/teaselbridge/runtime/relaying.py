"""Executes the effects that forward requests to backend servers."""

from __future__ import annotations

import typing

from teaselbridge.decisions import effects
from teaselbridge.platform import connections
from teaselbridge.platform import runners
from teaselbridge.runtime import checks

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops
    from teaselbridge.telemetry import metrics


class RelayExecutor:
    """Attempts in flight and the connections that they use.

    :param loop: loop that the events are posted to.
    :param tasks: background tasks that checks of servers are added to.
    :param meter: metrics that count the connections.
    :param connect_timeout_ms: timeout for opening a connection.
    :param keep_alive_ms: how long an idle connection is kept.
    """

    def __init__(
        self,
        *,
        loop: loops.Loop,
        tasks: loops.Tasks,
        meter: metrics.Meter,
        connect_timeout_ms: int,
        keep_alive_ms: int,
    ) -> None:
        self._loop = loop
        self._pool = connections.Pool(
            connect_timeout_ms=connect_timeout_ms,
            keep_alive_ms=keep_alive_ms,
            on_open=meter.count_connection,
        )
        # By the handle of the request and the number of the attempt.
        self._attempts: dict[tuple[int, int], runners.Attempt] = {}
        loop.handle(effects.RelayAttempt, self._start_attempt)
        loop.handle(effects.CancelAttempt, self._cancel_attempt)
        loop.handle(effects.DropConnections, self._drop_connections)
        checks.connect(loop, tasks)

    async def close(self) -> None:
        """Close all connections."""
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        self._attempts.clear()
        await self._pool.close()

    def _start_attempt(self, effect: effects.RelayAttempt) -> None:
        key = (effect.call.handle, effect.attempt)

        def remove_ended(_: runners.Attempt) -> None:
            self._attempts.pop(key, None)

        attempt = runners.Attempt(effect, self._loop.post, remove_ended)
        self._attempts[key] = attempt
        attempt.start(self._pool)

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        key = (effect.handle, effect.attempt)
        attempt = self._attempts.pop(key, None)
        if attempt is not None:
            attempt.cancel()

    def _drop_connections(self, effect: effects.DropConnections) -> None:
        self._pool.drop(effect.address)
