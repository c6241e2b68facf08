"""Routes the reducer's output effects to the callers that wait for them."""

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
    | effects.SendRedirect
    | effects.SendStatus
)


class OutputQueues:
    """Output queues, one per waiting caller, by request handle.

    :param loop: loop that the events are posted to.
    """

    def __init__(self, *, loop: loops.Loop) -> None:
        self._loop = loop
        self._handles = itertools.count(1)
        self._queues: dict[int, asyncio.Queue[Output]] = {}
        for kind in typing.get_args(Output):
            loop.handle(kind, self._put_output)

    def create_handle(self) -> int:
        """Return a new handle, which identifies a request in this process."""
        return next(self._handles)

    def submit_call(self, call: calls.Call) -> asyncio.Queue[Output]:
        """Post a request to the reducer and open its output queue.

        :return: the queue; its last item is not a token.
        """
        return self.submit_event(call.handle, events.CallArrived(call))

    def submit_event(
        self, handle: int, event: events.Event
    ) -> asyncio.Queue[Output]:
        """Post an event and open a queue for the output to its handle.

        :return: the output queue.
        """
        queue: asyncio.Queue[Output] = asyncio.Queue()
        self._queues[handle] = queue
        self._loop.post(event)
        return queue

    def close(self, handle: int) -> None:
        """Remove a queue after the last output or a disconnect."""
        del self._queues[handle]
        self._loop.post(events.CallerDisconnected(handle))

    def _put_output(self, output: Output) -> None:
        queue = self._queues.get(output.handle)
        if queue is not None:
            queue.put_nowait(output)
