"""HTTP client of the deployment platform's own services."""

from __future__ import annotations

import asyncio
import typing
import urllib.parse

from teaselbridge import clock
from teaselbridge.platform import connections
from teaselbridge.platform import names

if typing.TYPE_CHECKING:
    import collections.abc

# Shorter than the idle timeout of usual servers.
KEEP_ALIVE_MS = 5_000
# Turns of the event loop after which what came during a stall was read.
READING_TURNS = 2
# A page of the store's entries has far less.
MAX_RESPONSE_BYTES = 32 << 20

# Errors of a call; only with the first one it has certainly had no effect.
ERRORS = (
    connections.ConnectError,
    connections.ResetError,
    connections.CutError,
    TimeoutError,
)


class _Collector:
    """Collects a response for a coroutine."""

    def __init__(self) -> None:
        self._head: connections.Head | None = None
        self._content = bytearray()
        loop = asyncio.get_running_loop()
        self.response: asyncio.Future[Response] = loop.create_future()

    def handle_head(self, head: connections.Head) -> None:
        """Note the head."""
        self._head = head

    def handle_data(self, data: bytes) -> None:
        """Note a part of the body."""
        self._content += data
        if len(self._content) > MAX_RESPONSE_BYTES:
            error = f'more than {MAX_RESPONSE_BYTES} bytes'
            self.handle_error(connections.CutError(error))

    def handle_end(self) -> None:
        """Pass on the response."""
        assert self._head is not None
        if not self.response.done():
            self.response.set_result(
                Response(self._head, bytes(self._content))
            )

    def handle_error(self, error: Exception) -> None:
        """Pass on an error."""
        if not self.response.done():
            self.response.set_exception(error)


class Response:
    """Complete response to a call.

    :param content: body of the response.
    """

    def __init__(self, head: connections.Head, content: bytes) -> None:
        self._head = head
        self.content = content

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._head.status

    def get_header(self, name: str) -> str:
        """Return the first value of a header, empty where there is none."""
        wanted = name.lower().encode('latin-1')
        return names.first(self._head.headers, wanted)


class Client:
    """Client of one service, with connections that are kept.

    :param address: ``ip:port`` of the service.
    :param connect_timeout_ms: timeout for opening a connection.
    """

    def __init__(self, *, address: str, connect_timeout_ms: int) -> None:
        self._address = address
        self._pool = connections.Pool(
            connect_timeout_ms=connect_timeout_ms, keep_alive_ms=KEEP_ALIVE_MS
        )

    async def close(self) -> None:
        """Close all connections; calls on them fail."""
        await self._pool.close()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: int,
        params: collections.abc.Mapping[str, str] | None = None,
        headers: names.Headers | None = None,
        body: bytes | None = None,
    ) -> Response:
        """Send a request and wait for the complete response.

        :param timeout_ms: longest time of the whole call.
        :param params: parameters of the query.
        :param body: JSON document.
        :raises connections.ConnectError: no connection was opened.
        :raises connections.ResetError: the connection failed.
        :raises connections.CutError: the response ended early or is invalid.
        :raises TimeoutError: there was no response in time.
        """
        if params:
            path = f'{path}?{urllib.parse.urlencode(params, safe="/")}'
        sent = [(b'host', self._address.encode('latin-1')), *(headers or ())]
        if body is not None:
            sent.append((b'content-type', b'application/json'))
        if body is not None or method != 'GET':
            length = str(len(body or b'')).encode()
            sent.append((b'content-length', length))
        collector = _Collector()
        exchange = self._pool.send(
            self._address,
            connections.encode_request(
                method, path.encode('latin-1'), sent, body or b''
            ),
            collector,
        )
        try:
            return await _wait_for(collector.response, exchange, timeout_ms)
        finally:
            exchange.cancel()
            collector.response.cancel()


async def _wait_for(
    response: asyncio.Future[Response],
    exchange: connections.Exchange,
    timeout_ms: int,
) -> Response:
    """Wait for a response.

    After a stall of the event loop, the response may wait in the socket. A
    request that was not sent yet is not sent any more.

    :raises TimeoutError: it did not come in time.
    """
    await asyncio.wait({response}, timeout=clock.seconds(timeout_ms))
    for _ in range(READING_TURNS):
        if response.done() or exchange.connection is None:
            break
        await asyncio.sleep(0)
    if not response.done():
        raise TimeoutError
    return response.result()
