"""HTTP interface for callers on the deployment platform.

This is a plain ASGI application: the path, the query and the headers must be
forwarded unchanged, and a broken stream must not look complete. The response
types of web frameworks do not support this.
"""

from __future__ import annotations

import asyncio
import collections
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import ends
from teaselbridge.decisions import freshness
from teaselbridge.gateway import asgi
from teaselbridge.gateway import bodies
from teaselbridge.platform import ingress
from teaselbridge.platform import names

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops
    from teaselbridge.runtime import outlets as outlets_module

CLOSE_HEADER = (b'connection', b'close')
# Room for the headers that a node adds to a request that it forwards.
ADDED_HEADER_BYTES = 1_024


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its request was read."""


class IngressApplication:
    """ASGI application that serves callers.

    :param loop: event loop of the reducer.
    :param outlets: queues of output for the waiting callers.
    :param budget: memory for large bodies, shared by the listeners of a node.
    :param is_forwarded: whether it serves other nodes, which forward
        requests, instead of callers.
    """

    def __init__(
        self,
        *,
        loop: loops.Loop,
        outlets: outlets_module.OutputQueues,
        budget: bodies.BodyBudget,
        is_forwarded: bool = False,
    ) -> None:
        self._is_forwarded = is_forwarded
        self._added_header_bytes = ADDED_HEADER_BYTES if is_forwarded else 0
        self._loop = loop
        self._outlets = outlets
        self._budget = budget

    async def __call__(
        self, scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        reservation = bodies.Reservation(self._budget)
        try:
            await self._serve(scope, receive, send, reservation)
        except Exception as error:
            # The web server answers 500, or closes the connection.
            self._loop.record_error('serve', error)
            raise
        finally:
            reservation.release()

    async def _serve(
        self,
        scope: asgi.Message,
        receive: asgi.Receive,
        send: asgi.Send,
        reservation: bodies.Reservation,
    ) -> None:
        try:
            call = await self._read_call(scope, receive, reservation)
        except CallerDisconnectedError:
            self._record_unread(scope, ends.Cause.CALLER)
            return
        except asyncio.CancelledError:
            self._record_unread(scope, ends.Cause.CUT)
            raise
        except ingress.RefusedError as error:
            attempt = names.first(scope['headers'], names.ATTEMPT_ID)
            self._record_refusal(attempt, error.refusal)
            must_close = error.refusal.reason is calls.Reason.BAD_REQUEST
            await self._send_refusal(
                send,
                error.refusal,
                attempt,
                close=must_close or self._is_last(scope),
            )
            return
        queue = self._outlets.submit_call(call)
        queue.abort = asgi.get_abort(scope)
        disconnection = asyncio.ensure_future(
            _wait_for_disconnect(receive, queue)
        )
        is_cut = False
        try:
            await self._send_output(call, queue, scope, send)
        except asyncio.CancelledError:
            is_cut = True
            self._record_unsent(call)
            raise
        finally:
            disconnection.cancel()
            self._outlets.close(call.handle, is_cut=is_cut)

    async def _read_call(
        self,
        scope: asgi.Message,
        receive: asgi.Receive,
        reservation: bodies.Reservation,
    ) -> calls.Call:
        """Read and check one request.

        :param reservation: memory that its body takes.
        :raises CallerDisconnectedError: the caller disconnected.
        :raises ingress.RefusedError: the request is refused.
        """
        now = self._loop.now()
        state = self._loop.state
        headers: names.Headers = scope['headers']
        ingress.check_framing(headers)
        limits = state.index.configuration.tables.limits
        size = sum(len(name) + len(value) for name, value in headers)
        if size > limits.header_bytes + self._added_header_bytes:
            raise ingress.refused(
                calls.Reason.HEADERS_TOO_LARGE, f'{size} bytes of headers'
            )
        body = await _read_body(receive, limits.body_bytes, reservation)
        if not state.configured:
            raise ingress.refused(
                calls.Reason.WITHDRAWN, 'no configuration is known yet'
            )
        target = asgi.get_target(scope)
        call = ingress.decode_request(
            ingress.RawRequest(
                handle=self._outlets.create_handle(),
                method=scope['method'],
                target=target.decode('latin-1'),
                headers=headers,
                body=body,
                now=now.mono,
                is_forwarded=self._is_forwarded,
            ),
            state.index,
        )
        if call.credential and not freshness.is_fresh(state, now):
            raise ingress.refused(
                calls.Reason.KEYS_NOT_CONFIRMED,
                'the store was not heard for too long to trust a key',
            )
        return call

    async def _send_output(
        self,
        call: calls.Call,
        queue: outlets_module.OutputQueue,
        scope: asgi.Message,
        send: asgi.Send,
    ) -> None:
        """Send the output of a request until it ends."""
        write = asgi.get_write(scope)
        pending: collections.deque[typing.Any] = collections.deque()
        is_started = False
        while True:
            if not pending:
                queue.write = write if is_started else None
                pending.append(await queue.get())
                queue.write = None
            while not queue.empty():
                pending.append(queue.get_nowait())
            output = pending.popleft()
            match output:
                case effects.SendHead():
                    headers = self._encode_headers(output.head.headers, scope)
                    await asgi.send_start(send, output.head.status, headers)
                    is_started = True
                case effects.SendEvents():
                    pieces = [output.data]
                    while pending and isinstance(
                        pending[0], effects.SendEvents
                    ):
                        pieces.append(pending.popleft().data)
                    await asgi.send_body(send, b''.join(pieces), more=True)
                case effects.SendFinish():
                    if output.whole:
                        await asgi.send_body(send, b'', more=False)
                    # Otherwise the HTTP server closes the connection, so
                    # that a broken stream does not look complete.
                    return
                case effects.SendAnswer() | effects.SendRefusal() if (
                    is_started
                ):
                    # Broken off: it would look like a part of the stream.
                    return
                case effects.SendAnswer():
                    answer = output.answer
                    headers = self._encode_headers(answer.headers, scope)
                    await asgi.send_response(
                        send, answer.status, headers, answer.body
                    )
                    return
                case effects.SendRefusal():
                    await self._send_refusal(
                        send,
                        output.refusal,
                        call.key.id,
                        close=self._is_last(scope),
                    )
                    return
                case _:
                    return

    async def _send_refusal(
        self,
        send: asgi.Send,
        refusal: calls.Refusal,
        request: str,
        *,
        close: bool,
    ) -> None:
        body = ingress.encode_refusal_body(refusal)
        headers = ingress.build_refusal_headers(
            refusal, request, is_forwarded=self._is_forwarded
        )
        if close:
            headers.append(CLOSE_HEADER)
        await asgi.send_response(
            send, ingress.get_refusal_status(refusal), headers, body
        )

    def _encode_headers(
        self, headers: tuple[calls.Header, ...], scope: asgi.Message
    ) -> names.Headers:
        """Encode response headers, and close the connection after the last."""
        out = [
            (
                header.name.lower().encode('latin-1'),
                header.value.encode('latin-1'),
            )
            for header in headers
        ]
        if self._is_last(scope):
            out.append(CLOSE_HEADER)
        return out

    def _is_last(self, scope: asgi.Message) -> bool:
        """Return whether a connection is closed after an answer.

        While the node stops, that is the answer to the last request that was
        read: those before it would be closed over the others.
        """
        draining = self._loop.state.drain is not None
        return draining and not asgi.is_followed(scope)

    def _record_refusal(self, request: str, refusal: calls.Refusal) -> None:
        """Record the refusal in the timeline."""
        state = self._loop.state
        age = freshness.confirmed_ms(state, self._loop.now())
        detail = (
            f'{refusal.reason.value}: {refusal.detail};'
            f' generation {state.index.generation}, confirmed {age} ms ago'
        )
        self._loop.record(
            effects.RecordEntry(
                mark=effects.Mark.REFUSED, request=request, detail=detail
            )
        )
        self._loop.execute(ends.count(ends.Cause.NODE, ends.Sent.REFUSAL))

    def _record_unread(self, scope: asgi.Message, cause: ends.Cause) -> None:
        """Record a request whose connection was closed before its end."""
        attempt = names.first(scope['headers'], names.ATTEMPT_ID)
        self._record_end(attempt, cause, ends.Sent.NOTHING, 'not read whole')

    def _record_unsent(self, call: calls.Call) -> None:
        """Record an answer that the web server cut while it was sent.

        Other requests are still held, and the reducer records their end.
        """
        if call.handle not in self._loop.state.requests:
            self._record_end(
                call.key.id,
                ends.Cause.CUT,
                ends.Sent.PART,
                'the answer was not sent whole',
            )

    def _record_end(
        self, request: str, cause: ends.Cause, sent: ends.Sent, detail: str
    ) -> None:
        self._loop.execute(ends.count(cause, sent))
        self._loop.record(
            effects.RecordEntry(
                mark=effects.Mark.ENDED,
                request=request,
                detail=ends.describe(detail, cause, sent),
            )
        )


async def _read_body(
    receive: asgi.Receive, most: int, reservation: bodies.Reservation
) -> bytes:
    """Read the request body.

    :param most: largest body in bytes.
    :param reservation: memory that it takes.
    :raises CallerDisconnectedError: the caller disconnected.
    :raises ingress.RefusedError: the body is too large, or there is no memory
        for it.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > most:
            raise ingress.refused(
                calls.Reason.TOO_LARGE, f'more than {most} bytes'
            )
        if not reservation.grow(size):
            raise ingress.refused(
                calls.Reason.OVERLOAD, 'too many bytes of bodies are held'
            )
        chunks.append(chunk)
        if not message.get('more_body', False):
            return b''.join(chunks)


async def _wait_for_disconnect(
    receive: asgi.Receive, queue: asyncio.Queue[typing.Any]
) -> None:
    """End the output queue with none once the caller disconnects."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            queue.put_nowait(None)
            return
