"""Restarts the tasks of a node that must never end."""

from __future__ import annotations

import asyncio
import typing

from teaselbridge import clock

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.runtime import loop as loops

MIN_RESTART_DELAY_MS = 50
MAX_RESTART_DELAY_MS = 2_000
# A task that ran for so long starts again after the shortest delay.
SOUND_RUN_MS = 10_000


async def run_forever(
    loop: loops.Loop,
    name: str,
    work: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Run a task, and start it again after each unexpected error.

    Errors that are expected are handled by the task itself. The others are
    counted and logged, and the delay doubles while they go on.

    :param loop: loop that records the errors.
    :param name: name of the task in the log and in the metrics.
    :param work: function that starts the task.
    """
    delay_ms = MIN_RESTART_DELAY_MS
    while True:
        started_at = loop.now().mono
        try:
            await work()
            return
        except Exception as error:
            loop.record_error(name, error)
        if loop.now().mono - started_at >= SOUND_RUN_MS:
            delay_ms = MIN_RESTART_DELAY_MS
        await asyncio.sleep(clock.seconds(delay_ms))
        delay_ms = min(MAX_RESTART_DELAY_MS, 2 * delay_ms)
