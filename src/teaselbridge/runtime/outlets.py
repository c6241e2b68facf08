"""Joins the gateway's waiting callers with the reducer's effects."""

from __future__ import annotations

import asyncio
import itertools
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import calls
    from teaselbridge.runtime import loop as loops

Output: typing.TypeAlias = (
    effects.SendToken
    | effects.SendHead
    | effects.SendEvents
    | effects.SendFinish
    | effects.SendEnd
    | effects.SendAnswer
    | effects.SendRefusal
    | effects.SendMoved
    | effects.SendStatus
)


class Outlets:
    """Queues of output, one for each waiting caller.

    :param loop: takes the events.
    """

    def __init__(self, *, loop: loops.Loop) -> None:
        self._loop = loop
        self._handles = itertools.count(1)
        self._queues: dict[int, asyncio.Queue[Output]] = {}
        for kind in typing.get_args(Output):
            loop.handle(kind, self._put)

    def new_handle(self) -> int:
        """Give the number of a new request."""
        return next(self._handles)

    def open(self, call: calls.Call) -> asyncio.Queue[Output]:
        """Hand a request to the reducer.

        :return: its output; the last item is no token.
        """
        return self.ask(call.handle, events.CallArrived(call))

    def ask(self, handle: int, event: events.Event) -> asyncio.Queue[Output]:
        """Post an event whose output goes to a handle.

        :return: the output.
        """
        queue: asyncio.Queue[Output] = asyncio.Queue()
        self._queues[handle] = queue
        self._loop.post(event)
        return queue

    def close(self, handle: int) -> None:
        """The caller got its last word, or left."""
        del self._queues[handle]
        self._loop.post(events.CallerLeft(handle))

    def _put(self, output: Output) -> None:
        queue = self._queues.get(output.handle)
        if queue is not None:
            queue.put_nowait(output)
