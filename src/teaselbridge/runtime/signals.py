"""Handlers of signals that know when their signal arrived."""

from __future__ import annotations

import asyncio
import signal
import typing

if typing.TYPE_CHECKING:
    import collections.abc
    import types

    from teaselbridge import clock as clocks


def handle_stop(
    clock: clocks.Clock, handler: collections.abc.Callable[[int], None]
) -> None:
    """Call a function in the running loop for each signal to stop.

    A busy loop gets round to it late. The interpreter notes the arrival
    before, between two instructions.

    :param clock: clock of the process.
    :param handler: function that gets the time of the first signal, in
        monotonic milliseconds.
    """
    arrivals: list[int] = []

    def note(number: int, frame: types.FrameType | None) -> None:
        arrivals.append(clock.now().mono)

    def call() -> None:
        handler(arrivals[0] if arrivals else clock.now().mono)

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, call)
        # The loop is still woken up, by the descriptor that it has set.
        signal.signal(number, note)
        signal.siginterrupt(number, False)
