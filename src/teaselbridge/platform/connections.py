"""HTTP/1.1 connections to backend servers, parsed by a C library.

Everything between a request and the receiver of its answer happens in the
callbacks of the transport, without a task, a queue or a copy per piece.
"""

from __future__ import annotations

import asyncio
import dataclasses
import select
import typing

import httptools

from teaselbridge import clock
from teaselbridge.platform import names

if typing.TYPE_CHECKING:
    import collections.abc

CONNECT_TIMEOUT_MS = 1_000
KEEP_ALIVE_TIMEOUT_MS = 20_000
# A time limit that ends later than this has waited for the event loop.
MAX_TIMER_DELAY_S = 0.05
# Bounds interim responses, the status line, all headers and the trailers, so
# that a server that sends any of them without end is given up.
MAX_HEAD_BYTES = 100 << 10
# Backend servers send at most a few interim responses.
MAX_INTERIM_RESPONSES = 100
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset({204, 304})

_CLOCK = clock.Clock()


class ConnectError(Exception):
    """No connection was opened, so nothing was sent."""


class ResetError(Exception):
    """The connection failed before the answer was complete."""


class CutError(Exception):
    """The answer ended early or is not valid HTTP."""


class InvalidRequestError(Exception):
    """A header or the target of a request would break its framing."""


class _StopError(Exception):
    """Stops the parser at bytes that need no parsing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer.

    :param headers: names and values as received.
    """

    status: int
    headers: names.Headers

    @property
    def is_success(self) -> bool:
        """Whether the status says that the request succeeded."""
        return FIRST_FINAL_STATUS <= self.status < 300

    @property
    def has_body(self) -> bool:
        """Whether a body may follow, unless the request was a ``HEAD``."""
        return self.status not in BODILESS_STATUSES

    @property
    def is_framed(self) -> bool:
        """Whether the answer states its end.

        Otherwise it ends with its connection.
        """
        return any(
            name.lower() in (b'content-length', b'transfer-encoding')
            for name, _ in self.headers
        )


class Receiver(typing.Protocol):
    """Receiver of one answer; nothing follows its end or an error."""

    def handle_head(self, head: Head) -> None:
        """Handle the status and the headers."""

    def handle_data(self, data: bytes) -> None:
        """Handle the decoded body bytes of one read of the socket."""

    def handle_end(self) -> None:
        """Handle the regular end of the answer."""

    def handle_error(self, error: Exception) -> None:
        """Handle an answer that did not come or did not end.

        :param error: one of `ConnectError`, `ResetError` and `CutError`.
        """


def encode_request(
    method: str, target: bytes, headers: names.Headers, body: bytes
) -> bytes:
    """Encode a request; the target and the headers are sent as they are.

    :raises InvalidRequestError: the request would not be read as one.
    """
    lines = [b'%s %s HTTP/1.1' % (method.encode('latin-1'), target)]
    lines += [b'%s: %s' % item for item in headers]
    head = b'\r\n'.join(lines)
    breaks = len(lines) - 1
    if (
        head.count(b'\n') != breaks
        or head.count(b'\r') != breaks
        or b'\0' in head
        or lines[0].count(b' ') != 2
    ):
        raise InvalidRequestError('a line break in a header or the target')
    return b'%s\r\n\r\n%s' % (head, body)


class Exchange:
    """A request in progress.

    :param receiver: receiver of the answer.
    :param on_sent: function that is called as the request is sent.
    """

    def __init__(
        self,
        receiver: Receiver,
        on_sent: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        self.receiver: Receiver | None = receiver
        self.on_sent = on_sent
        self.connection: Connection | None = None
        self.opening: asyncio.Task[None] | None = None

    def end_connection(self) -> None:
        """Close the connection after this answer, instead of keeping it."""
        if self.connection is not None:
            self.connection.is_reusable = False

    def cancel(self) -> None:
        """Close the connection; the receiver gets no further call."""
        self.receiver = None
        if self.opening is not None:
            self.opening.cancel()
        if self.connection is not None:
            self.connection.abort(self)


class Pool:
    """Connections to backend servers, kept for further requests.

    :param connect_timeout_ms: timeout for opening a connection.
    :param keep_alive_ms: how long an idle connection is kept.
    :param on_open: function that is called for each connection opened.
    """

    def __init__(
        self,
        *,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        keep_alive_ms: int = KEEP_ALIVE_TIMEOUT_MS,
        on_open: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._connect_s = clock.seconds(connect_timeout_ms)
        self._keep_alive_ms = keep_alive_ms
        self._idle_by_address: dict[str, list[Connection]] = {}
        self._open: set[Connection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._sweep: asyncio.TimerHandle | None = None
        self._on_open = on_open

    def send(
        self,
        address: str,
        request: bytes,
        receiver: Receiver,
        *,
        is_head: bool = False,
        new_connection: bool = False,
        on_sent: collections.abc.Callable[[], None] | None = None,
    ) -> Exchange:
        """Send a request; the receiver is called later, never by this call.

        :param address: ``ip:port`` of the server.
        :param request: encoded request.
        :param is_head: whether the method is ``HEAD``, so that the answer
            has no body.
        :param new_connection: whether to open a connection for this request
            alone.
        :param on_sent: function that is called as the request is sent on an
            open connection, which this call may do.
        """
        exchange = Exchange(receiver, on_sent)
        connection = None if new_connection else self._take_idle(address)
        if connection is not None:
            connection.start(exchange, receiver, request, is_head)
            return exchange
        task = asyncio.get_running_loop().create_task(
            self._open_connection(
                address, request, exchange, is_head, not new_connection
            )
        )
        exchange.opening = task
        self._opening.add(task)

        def handle_opened(opened: asyncio.Task[None]) -> None:
            self._opening.discard(opened)
            if opened.cancelled() and exchange.receiver is not None:
                error = ConnectError('the pool was closed')
                exchange.receiver.handle_error(error)

        task.add_done_callback(handle_opened)
        return exchange

    def drop(self, address: str) -> None:
        """Close idle connections; those in use are not used again."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()
        for connection in self._open:
            if connection.address == address:
                connection.is_reusable = False

    async def close(self) -> None:
        """Close all connections."""
        for task in list(self._opening):
            task.cancel()
        await asyncio.gather(*self._opening, return_exceptions=True)
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None
        for connection in list(self._open):
            connection.close()
        self._idle_by_address.clear()

    def add_open(self, connection: Connection) -> None:
        """Add a connection that was opened."""
        self._on_open()
        self._open.add(connection)

    def add_idle(self, connection: Connection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = _CLOCK.now().mono
        idle = self._idle_by_address.setdefault(connection.address, [])
        idle.append(connection)
        if self._sweep is None:
            self._schedule_sweep()

    def remove(self, connection: Connection) -> None:
        """Remove a connection that was closed."""
        self._open.discard(connection)
        idle = self._idle_by_address.get(connection.address)
        if idle is None or connection not in idle:
            return
        idle.remove(connection)
        if not idle:
            del self._idle_by_address[connection.address]

    def _take_idle(self, address: str) -> Connection | None:
        """Take the idle connection that was used last."""
        idle = self._idle_by_address.get(address)
        oldest = _CLOCK.now().mono - self._keep_alive_ms
        while idle:
            connection = idle.pop()
            if connection.idle_since >= oldest and connection.is_quiet():
                return connection
            connection.close()
        return None

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(
            clock.seconds(self._keep_alive_ms), self._close_expired
        )

    def _close_expired(self) -> None:
        oldest = _CLOCK.now().mono - self._keep_alive_ms
        self._sweep = None
        for address, idle in list(self._idle_by_address.items()):
            kept = [item for item in idle if item.idle_since >= oldest]
            for connection in idle:
                if connection.idle_since < oldest:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]
        if self._idle_by_address:
            self._schedule_sweep()

    async def _open_connection(
        self,
        address: str,
        request: bytes,
        exchange: Exchange,
        is_head: bool,
        is_reusable: bool,
    ) -> None:
        host, _, port = address.rpartition(':')
        connection = Connection(self, address, is_reusable)
        error: Exception | None = None
        try:
            await self._connect(connection, host.strip('[]'), int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as fault:
            # The last two are for addresses that cannot be.
            error = ConnectError(repr(fault))
        finally:
            exchange.opening = None
            if error is not None or exchange.receiver is None:
                connection.close()
        receiver = exchange.receiver
        if receiver is None:
            return
        if error is not None:
            receiver.handle_error(error)
        else:
            connection.start(exchange, receiver, request, is_head)

    async def _connect(
        self, connection: Connection, host: str, port: int
    ) -> None:
        """Connect to a server.

        The server may have accepted the connection while the event loop stood
        still, so that a time limit that ends late is extended once.

        :raises OSError: it cannot be reached.
        :raises TimeoutError: it did not accept the connection in time.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + self._connect_s
        opening = asyncio.ensure_future(
            loop.create_connection(lambda: connection, host, port)
        )
        try:
            await asyncio.wait({opening}, timeout=self._connect_s)
            if loop.time() - due > MAX_TIMER_DELAY_S:
                await asyncio.wait({opening}, timeout=self._connect_s)
            if not opening.done():
                raise TimeoutError
            opening.result()
        finally:
            opening.cancel()


class Connection(asyncio.Protocol):
    """Connection to a backend server.

    :param pool: pool that it belongs to.
    :param address: ``ip:port`` of the server.
    :param is_reusable: whether it may serve another request.
    """

    def __init__(self, pool: Pool, address: str, is_reusable: bool) -> None:
        self._pool = pool
        self.address = address
        self.is_reusable = is_reusable
        self.idle_since = 0
        self._has_server_ended = False
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None
        self._exchange: Exchange | None = None
        self._receiver: Receiver | None = None
        self._clear()

    def _clear(self) -> None:
        """Forget the last answer."""
        self._parser: typing.Any = None
        self._headers: names.Headers = []
        self._pieces: list[bytes] = []
        self._head: Head | None = None
        self._is_head_delivered = False
        self._is_complete = False
        self._is_bodiless = False
        self._overhead_bytes = 0
        self._interim_count = 0

    def start(
        self,
        exchange: Exchange,
        receiver: Receiver,
        request: bytes,
        is_head: bool,
    ) -> None:
        """Send a request."""
        exchange.connection = self
        self._exchange = exchange
        self._receiver = receiver
        self._is_bodiless = is_head
        self._parser = httptools.HttpResponseParser(self)
        # Lines may end without a carriage return, as HTTP allows recipients
        # to accept; servers that send such lines were served before.
        self._parser.set_dangerous_leniencies(
            lenient_optional_cr_before_lf=True
        )
        if self._transport is None or self._transport.is_closing():
            # The server closed it right after it was opened.
            asyncio.get_running_loop().call_soon(
                self._fail, ResetError('closed before the request was sent')
            )
            return
        self._transport.write(request)
        if exchange.on_sent is not None:
            exchange.on_sent()

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing was received.

        What was received belongs to no request, and a closed connection is
        readable too.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(
                transport.get_extra_info('socket').fileno(), select.POLLIN
            )
        return not self._poll.poll(0)

    def close(self) -> None:
        """Close an idle connection, or abort the request on it."""
        if self._transport is not None:
            self._transport.abort()

    def abort(self, exchange: Exchange) -> None:
        """Close the connection if it still serves an exchange."""
        if self._exchange is exchange:
            self._release()
            self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the opened transport."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._pool.add_open(self)

    def eof_received(self) -> None:
        """Note that the server ended the connection, which is then closed."""
        self._has_server_ended = True

    def connection_lost(self, exc: Exception | None) -> None:
        """End an answer without a stated length; any other one is broken.

        Only the server ends it: a connection that is aborted here is lost
        without an error too.
        """
        self._transport = None
        self._pool.remove(self)
        receiver = self._receiver
        if receiver is None:
            return
        if exc is not None:
            self._fail(ResetError(repr(exc)))
        elif not self._has_server_ended:
            self._fail(CutError('the connection was closed here'))
        elif self._head is None or self._head.is_framed:
            self._fail(CutError('the server closed the connection'))
        else:
            self._release()
            receiver.handle_end()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and pass on what they hold."""
        if self._receiver is None or self._transport is None:
            # Bytes that belong to no request.
            self.close()
            return
        error: CutError | None = None
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as fault:
            error = CutError(repr(fault.__context__ or fault))
            self.is_reusable = False
        self._overhead_bytes += len(data)
        self._deliver(error)

    def on_message_begin(self) -> None:
        """Forget the headers of an interim response."""
        if self._is_complete:
            self.is_reusable = False
            raise _StopError('bytes after the answer')
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note a header; trailers are ignored."""
        if self._head is None:
            self._headers.append((name, value.strip(b' \t')))

    def on_headers_complete(self) -> None:
        """Note the head of the answer; interim responses are ignored."""
        status = self._parser.get_status_code()
        head = Head(status, self._headers)
        if status < FIRST_FINAL_STATUS:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES or head.is_framed:
                raise _StopError('endless or invalid interim responses')
            return
        _check_transfer_encoding(head)
        self._head = head
        if self._is_bodiless or not head.has_body:
            self._is_complete = True
            if head.is_framed:
                # The parser would wait for the body that was stated.
                self.is_reusable = False
                raise _StopError('no body follows')

    def on_body(self, body: bytes) -> None:
        """Note a piece of the body."""
        self._pieces.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._head is not None:
            self._is_complete = True
            if not self._parser.should_keep_alive():
                self.is_reusable = False

    def _deliver(self, error: CutError | None) -> None:
        """Pass on what was parsed, then an error, if there was one."""
        receiver = self._receiver
        assert receiver is not None
        if self._head is not None and not self._is_head_delivered:
            self._is_head_delivered = True
            receiver.handle_head(self._head)
        if self._pieces and self._receiver is receiver:
            pieces, self._pieces = self._pieces, []
            self._overhead_bytes = 0
            receiver.handle_data(
                pieces[0] if len(pieces) == 1 else b''.join(pieces)
            )
        if self._receiver is not receiver:
            return
        if self._is_complete:
            self._finish()
            receiver.handle_end()
        elif error is not None:
            self._fail(error)
        elif self._overhead_bytes > MAX_HEAD_BYTES:
            self._fail(
                CutError(f'more than {MAX_HEAD_BYTES} bytes of headers')
            )

    def _release(self) -> None:
        """Let go of the exchange and the answer.

        No cycle of references is left to the garbage collector.
        """
        if self._exchange is not None:
            self._exchange.receiver = self._exchange.connection = None
        self._exchange = self._receiver = None
        self._clear()

    def _finish(self) -> None:
        """Keep the connection after an answer, or close it."""
        self._release()
        transport = self._transport
        assert transport is not None
        if self.is_reusable and not transport.get_write_buffer_size():
            self._pool.add_idle(self)
        else:
            transport.abort()

    def _fail(self, error: Exception) -> None:
        """Close the connection and pass on the error."""
        receiver = self._receiver
        if receiver is None:
            return
        self._release()
        self.close()
        receiver.handle_error(error)


def _check_transfer_encoding(head: Head) -> None:
    """Check that the body is encoded in chunks, if at all.

    :raises _StopError: its end is not known.
    """
    values = names.list_values(head.headers, b'transfer-encoding')
    if values and [value.lower() for value in values] != ['chunked']:
        raise _StopError(f'transfer encoding {values}')
