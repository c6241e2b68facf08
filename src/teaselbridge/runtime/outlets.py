"""Routes the reducer's output effects to the callers that wait for them."""

from __future__ import annotations

import asyncio
import itertools
import typing

from teaselbridge.decisions import effects
from teaselbridge.decisions import events

if typing.TYPE_CHECKING:
    import collections.abc

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


# A caller whose stream has a larger backlog is given up. Plain answers are as
# large at most.
MAX_BACKLOG_BYTES = 8 << 20


class OutputQueue(asyncio.Queue[typing.Any]):
    """Output to one caller.

    :ivar write: function that takes stream events at once instead of the
        queue, if it returns true. It is set only while the reader waits for
        output and has nothing left to send, so that the order is kept.
    :ivar abort: function that closes the connection of the caller.
    """

    write: collections.abc.Callable[[bytes], bool] | None = None
    abort: collections.abc.Callable[[], None] | None = None
    _backlog_bytes = 0

    def _put(self, item: typing.Any) -> None:
        if type(item) is effects.SendEvents:
            self._backlog_bytes += len(item.data)
            if self._backlog_bytes > MAX_BACKLOG_BYTES and self.abort:
                self.abort()
        super()._put(item)

    def _get(self) -> typing.Any:
        item = super()._get()
        if type(item) is effects.SendEvents:
            self._backlog_bytes -= len(item.data)
        return item


class OutputQueues:
    """Output queues, one per waiting caller, by request handle.

    :param loop: loop that the events are posted to.
    """

    def __init__(self, *, loop: loops.Loop) -> None:
        self._loop = loop
        self._handles = itertools.count(1)
        self._queues: dict[int, OutputQueue] = {}
        for kind in typing.get_args(Output):
            loop.handle(kind, self._put_output)

    def create_handle(self) -> int:
        """Return a new handle, which identifies a request in this process."""
        return next(self._handles)

    def submit_call(self, call: calls.Call) -> OutputQueue:
        """Post a request to the reducer and open its output queue.

        :return: the queue; its last item is not a token.
        """
        return self.submit_event(call.handle, events.CallArrived(call))

    def submit_event(self, handle: int, event: events.Event) -> OutputQueue:
        """Post an event and open a queue for the output to its handle.

        :return: the output queue.
        """
        queue = OutputQueue()
        self._queues[handle] = queue
        self._loop.post(event)
        return queue

    def close(self, handle: int, *, is_cut: bool = False) -> None:
        """Remove a queue after the last output or a disconnect.

        :param is_cut: whether the web server ended the response.
        """
        del self._queues[handle]
        self._loop.post(events.CallerDisconnected(handle, is_cut))

    def _put_output(self, output: Output) -> None:
        queue = self._queues.get(output.handle)
        if queue is None:
            return
        if (
            queue.write is not None
            and type(output) is effects.SendEvents
            and queue.empty()
            and queue.write(output.data)
        ):
            return
        queue.put_nowait(output)
