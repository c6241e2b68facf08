"""HTTP interface for callers."""

from __future__ import annotations

import asyncio
import typing

from absl import logging
import litestar
import litestar.enums
import litestar.exceptions
import litestar.params

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.gateway import addresses
from teaselbridge.gateway import headers as names
from teaselbridge.gateway import parse
from teaselbridge.gateway import problems
from teaselbridge.gateway import replies

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.runtime import loop as loops
    from teaselbridge.runtime import outlets as outlets_module

FORWARDED_METHODS = [
    litestar.enums.HttpMethod(name)
    for name in ('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD')
]

Request: typing.TypeAlias = litestar.Request[
    typing.Any, typing.Any, typing.Any
]
Reply: typing.TypeAlias = litestar.Response[typing.Any]


class GatewayApplication:
    """Web application that serves callers.

    :param loop: event loop of the reducer.
    :param outlets: queues of output for the waiting callers.
    :param body_bytes: largest request body.
    :param scheme: ``http`` or ``https``, for redirects to other nodes.
    """

    def __init__(
        self,
        *,
        loop: loops.Loop,
        outlets: outlets_module.OutputQueues,
        body_bytes: int,
        scheme: str,
    ) -> None:
        self._loop = loop
        self._outlets = outlets
        self._body_bytes = body_bytes
        self._scheme = scheme

    def build(self) -> litestar.Litestar:
        """Build the web application."""

        @litestar.get('/v1/addresses')
        async def list_addresses(
            zone: litestar.params.FromQuery[str] = '',
        ) -> addresses.Addresses:
            return addresses.list_addresses(
                self._loop.state, zone, self._loop.now()
            )

        @litestar.post(
            ['/v1/chat/completions', '/v1/completions'], status_code=200
        )
        async def complete(request: Request) -> Reply:
            return await self._serve(request, parse.parse_completion)

        @litestar.get('/v1/requests/{request_id:str}')
        async def look_up(
            request: Request, request_id: litestar.params.FromPath[str]
        ) -> Reply:
            return await self._look_up(request, request_id)

        @litestar.route(
            '/{path:path}', http_method=FORWARDED_METHODS, status_code=200
        )
        async def pass_through(request: Request) -> Reply:
            return await self._serve(request, parse.parse_service_request)

        return litestar.Litestar(
            route_handlers=[
                list_addresses,
                complete,
                look_up,
                pass_through,
            ],
            request_max_body_size=self._body_bytes,
            exception_handlers={
                parse.RefusedError: _handle_refusal,
                litestar.exceptions.HTTPException: _handle_http_error,
                Exception: _handle_internal_error,
            },
            openapi_config=None,
            logging_config=None,
        )

    async def _serve(
        self,
        request: Request,
        check: collections.abc.Callable[
            [parse.RawRequest, typing.Any], calls.Call
        ],
    ) -> Reply:
        """Pass a request to the reducer and respond with its output.

        :param check: parses and checks the request.
        :raises parse.RefusedError: the request is refused before it runs.
        """
        raw = await self._read_request(request)
        if not self._loop.state.configured:
            detail = 'this node does not know the tables yet'
            raise parse.refused(raw.headers, calls.Reason.WITHDRAWN, detail)
        call = check(raw, self._loop.state.index)
        queue = self._outlets.submit_call(call)
        if call.stream:
            return await self._stream_reply(call, queue)
        try:
            return await _run_until_disconnect(
                request, self._collect_reply(call, queue)
            )
        finally:
            self._outlets.close(call.handle)

    async def _read_request(self, request: Request) -> parse.RawRequest:
        body = await request.body()
        return parse.RawRequest(
            handle=self._outlets.create_handle(),
            method=request.method,
            path=request.url.path,
            query=request.url.query,
            headers=dict(request.headers),
            body=body,
            now=self._loop.now().mono,
        )

    async def _stream_reply(
        self, call: calls.Call, queue: asyncio.Queue[outlets_module.Output]
    ) -> Reply:
        """Respond with a stream, or with a status if the request ends first.

        A refusal or redirect that comes before the first token or heartbeat
        is sent with its own HTTP status. Later ones are events of the stream.
        """

        def close() -> None:
            self._outlets.close(call.handle)

        try:
            first = await replies.wait_for_output(queue)
        except asyncio.CancelledError:
            close()
            raise
        match first:
            case effects.SendRefusal():
                close()
                return problems.build_response(first.refusal, call.key.id)
            case effects.SendRedirect():
                close()
                return replies.moved(call, first, self._scheme)
        return replies.stream(call, first, queue, close)

    async def _collect_reply(
        self, call: calls.Call, queue: asyncio.Queue[outlets_module.Output]
    ) -> Reply:
        """Collect the output of a request into one response."""
        tokens = list(call.resumed)
        while True:
            output = await queue.get()
            match output:
                case effects.SendToken():
                    tokens.append(output.text)
                case effects.SendEnd():
                    return replies.build_completion_response(
                        call, tokens, output
                    )
                case effects.SendAnswer():
                    return replies.answer(call, output)
                case effects.SendRefusal():
                    return problems.build_response(output.refusal, call.key.id)
                case effects.SendRedirect():
                    return replies.moved(call, output, self._scheme)
                case effects.SendStatus():
                    raise TypeError(output)

    async def _look_up(self, request: Request, request_id: str) -> Reply:
        """Return the status of an earlier request of the workspace.

        :raises parse.RefusedError: the bearer key is unknown.
        """
        index = self._loop.state.index
        workspace = parse.find_workspace(dict(request.headers), index)
        key = calls.RequestKey(workspace.name, request_id)
        handle = self._outlets.create_handle()
        event = events.StatusRequested(
            handle, key, names.parse_uuid_time(request_id)
        )
        queue = self._outlets.submit_event(handle, event)
        try:
            output = await queue.get()
        finally:
            self._outlets.close(handle)
        assert isinstance(output, effects.SendStatus)
        return replies.status(request_id, output)


async def _run_until_disconnect(
    request: Request, work: collections.abc.Coroutine[None, None, Reply]
) -> Reply:
    """Run the work, but cancel it if the caller disconnects."""
    task = asyncio.ensure_future(work)
    disconnection = asyncio.ensure_future(_wait_for_disconnect(request))
    try:
        await asyncio.wait(
            {task, disconnection}, return_when=asyncio.FIRST_COMPLETED
        )
        if task.done():
            return task.result()
        return litestar.Response(b'', status_code=499)
    finally:
        disconnection.cancel()
        task.cancel()


async def _wait_for_disconnect(request: Request) -> None:
    """Wait until the caller closes its connection."""
    while True:
        message = await request.receive()
        if message['type'] == 'http.disconnect':
            return


def _handle_refusal(
    request: Request, error: parse.RefusedError
) -> litestar.Response[bytes]:
    return problems.build_response(error.refusal, error.request)


def _handle_http_error(
    request: Request, error: litestar.exceptions.HTTPException
) -> litestar.Response[bytes]:
    reason = calls.Reason.BAD_REQUEST
    if error.status_code == calls.STATUS_BY_REASON[calls.Reason.TOO_LARGE]:
        reason = calls.Reason.TOO_LARGE
    if error.status_code in (404, 405):
        reason = calls.Reason.NO_ROUTE
    refused = parse.refused(dict(request.headers), reason, error.detail)
    return _handle_refusal(request, refused)


def _handle_internal_error(
    request: Request, error: Exception
) -> litestar.Response[bytes]:
    """Log an unhandled exception and respond with an internal error.

    The request itself may be correct, and it may have run.
    """
    logging.exception(
        'unhandled exception while serving a request', exc_info=error
    )
    refusal = calls.Refusal(
        calls.Reason.INTERNAL, calls.RunStatus.UNKNOWN, 'a fault of this node'
    )
    return problems.build_response(refusal, '')
