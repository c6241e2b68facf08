"""HTTP/1.1 of listeners, parsed by a C library."""

from __future__ import annotations

import asyncio
import functools
import typing
import urllib.parse

import httptools
from uvicorn.protocols.http import httptools_impl
from uvicorn import server

from teaselbridge import clock
from teaselbridge.gateway import asgi
from teaselbridge.runtime import lingering
from teaselbridge.runtime import unframed

# Bounds the request line, the headers and what frames chunks of the body.
MAX_HEAD_BYTES = 64 << 10
# How long the first request of a connection may take once its listener stops.
FIRST_REQUEST_MS = 1_000
# Requests that a connection may send before the first one is answered.
MAX_PIPELINED = 32
VERSIONS = ('1.0', '1.1')


class ServerState(server.ServerState):
    """State that the connections of a listener share.

    :ivar lost: set whenever a connection has ended.
    :ivar is_ending: whether the next request of each connection is its last.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lost = asyncio.Event()
        self.is_ending = False


class _RefusedError(Exception):
    """Stops the parser at a request that another one may read otherwise."""


class Protocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 protocol that aborts connections of slow senders.

    The library accepts requests whose end or whose target others may read
    differently, so these are checked in addition. It also ends a request that
    offers another protocol after its head, although no other protocol is
    spoken here (RFC 9110, 7.8). Such a head is parsed again without the offer,
    and the request is the last one of its connection, as what follows it may
    be in the other protocol.
    """

    # Longest time in which a request must be received.
    request_ms = 30_000
    # Longest pause in a request that a listener waits for when it stops.
    max_pause_ms = 2_000

    server_state: ServerState
    _lingering: lingering.LingeringTransport
    _timer: asyncio.TimerHandle | None = None
    _pause_timer: asyncio.TimerHandle | None = None
    _target = b''
    _has_head = False
    # Head of a request that offers another protocol, to be parsed again.
    _repeated_head = b''
    _is_last_request = False
    # Whether a request has come in part.
    _is_in_request = False
    # Whether nothing further is read as a request.
    _is_stopped = False
    _header_bytes = 0
    _overhead_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer of the first request."""
        self._lingering = lingering.LingeringTransport(
            typing.cast(asyncio.Transport, transport)
        )
        super().connection_made(self._lingering)
        self._start_timer()

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; stop the timer after a whole request."""
        self._unset_keepalive_if_required()
        if self._pause_timer is not None:
            self._start_pause_timer()
        if self._is_stopped or self.transport.is_closing():
            return
        self._overhead_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._refuse()
        else:
            if self._overhead_bytes > MAX_HEAD_BYTES:
                self._refuse()
        if self._is_request_complete():
            self._cancel_timer()
        elif self._timer is None:
            self._start_timer()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes.

        :raises httptools.HttpParserError: they are no requests.
        """
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as error:
                (parsed_bytes,) = error.args
                if not self._repeated_head:
                    # What follows is in another protocol, or in none.
                    self._stop()
                    return
                data = self._repeated_head + data[parsed_bytes:]
                self._repeated_head = b''
                self._is_last_request = True
                self.parser = httptools.HttpRequestParser(self)
                self.parser.set_dangerous_leniencies(
                    lenient_data_after_close=True
                )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers."""
        self._cancel_timer()
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        self._lingering.connection_lost()
        super().connection_lost(exc)
        self.server_state.lost.set()

    def end(self) -> None:
        """Make the next answer the last one of the connection.

        An answer that has begun has told its caller that another request may
        follow, which is the last one then.
        """
        if self._is_in_request:
            self._is_last_request = True
        elif self._is_unanswered() and not self.cycle.response_started:
            self._stop()

    def shutdown(self) -> None:
        """Close the connection after its answers, or at once if it is idle.

        A request that has come in part is the last one, unless its caller
        pauses for too long. One that an idle caller sends at the same time
        stays unread, so that its caller may send it again. A new connection
        has some time left for its first request if the listener has told its
        callers of the end.
        """
        if self.transport.is_closing():
            return
        if self._is_in_request:
            self._is_last_request = True
            self._start_pause_timer()
        elif self.cycle is None and self.server_state.is_ending:
            self._cancel_timer()
            self._timer = self.loop.call_later(
                clock.seconds(FIRST_REQUEST_MS), self._close_if_unused
            )
        elif self.cycle is None or self.cycle.response_complete:
            self._lingering.close_at_once()
        else:
            self.cycle.keep_alive = False

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection."""
        if not self.transport.is_closing():
            self._lingering.close_at_once()

    def _close_if_unused(self) -> None:
        """Close a connection that has sent no request."""
        self._timer = None
        if self._is_in_request:
            self._start_timer()
            self._start_pause_timer()
        elif not self.transport.is_closing():
            self._lingering.close_at_once()

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._is_stopped:
            raise _RefusedError('after the last request')
        super().on_message_begin()
        self._is_in_request = True
        if self.server_state.is_ending:
            self._is_last_request = True
        self._has_head = False
        self._header_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note a header; trailers are ignored."""
        if self._has_head:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEAD_BYTES:
            raise _RefusedError('too many bytes of headers')
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the head of a request and start to serve it."""
        self._has_head = True
        if self._offers_protocol():
            self._repeated_head = self._encode_head()
            return
        target = self.url
        self._check_head(target)
        # The target is passed on as it is, whatever its form.
        self.url = b'/'
        super().on_headers_complete()
        if self.scope['http_version'] == '1.0':
            cycle: typing.Any = self.cycle
            cycle.send = unframed.Sender(cycle, self._lingering).send
        path, _, query = target.partition(b'?')
        self.scope['raw_path'] = path
        self.scope['path'] = urllib.parse.unquote(path.decode('ascii'))
        self.scope['query_string'] = query
        self.scope['extensions'] = {
            asgi.TARGET_EXTENSION: {'target': target},
            asgi.WRITE_EXTENSION: {
                'write': functools.partial(_write_chunk, self.cycle)
            },
            asgi.ABORT_EXTENSION: {'abort': self.transport.abort},
            asgi.FOLLOWED_EXTENSION: {'is_followed': self._is_followed},
        }

    def on_body(self, body: bytes) -> None:
        """Note a part of the body."""
        self._overhead_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note the end of a request."""
        self._overhead_bytes = 0
        if self._repeated_head:
            return
        self._is_in_request = False
        super().on_message_complete()
        if self._is_last_request:
            self._stop()

    def _is_followed(self) -> bool:
        """Return whether requests wait for the one that is served now."""
        return bool(self.pipeline)

    def _offers_protocol(self) -> bool:
        """Return whether the library ends the request after its head.

        It does so for tunnels too, whose bytes are not to be read.
        """
        return (
            self.parser.should_upgrade()
            and self.parser.get_method() != b'CONNECT'
        )

    def _encode_head(self) -> bytes:
        """Return the head of the request without its offer."""
        version = self.parser.get_http_version().encode()
        lines = [
            b'%s %s HTTP/%s' % (self.parser.get_method(), self.url, version)
        ]
        lines += [
            b'%s: %s' % item for item in self.headers if item[0] != b'upgrade'
        ]
        return b'\r\n'.join((*lines, b'', b''))

    def _check_head(self, target: bytes) -> None:
        """Check what the library does not.

        :raises _RefusedError: the request is not valid.
        """
        if len(self.pipeline) >= MAX_PIPELINED:
            raise _RefusedError('too many requests before the first answer')
        version = self.parser.get_http_version()
        if version not in VERSIONS:
            raise _RefusedError(f'version {version}')
        if not target.isascii():
            raise _RefusedError('target with other than ASCII characters')
        hosts = codings = 0
        for name, value in self.headers:
            if name == b'host':
                hosts += 1
            elif name == b'transfer-encoding':
                codings += 1
                if value.lower() != b'chunked':
                    raise _RefusedError('unknown transfer encoding')
        if hosts > 1 or (not hosts and version != '1.0'):
            raise _RefusedError('not exactly one host')
        if codings > 1 or (codings and version == '1.0'):
            raise _RefusedError('ambiguous transfer encoding')

    def _refuse(self) -> None:
        """Refuse the request that cannot be parsed, after those before it."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if not cycle.more_body:
                self._stop()
                return
            if self.pipeline or cycle.response_started:
                self.transport.abort()
                return
        self._is_stopped = True
        self.send_400_response('Invalid HTTP request received.')

    def _stop(self) -> None:
        """Close the connection after the last request is answered."""
        self._is_stopped = True
        if self.cycle is None or self.cycle.response_complete:
            self.transport.close()
        else:
            self.cycle.keep_alive = False

    def _is_unanswered(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _is_request_complete(self) -> bool:
        return self._is_unanswered() and not self.cycle.more_body

    def _start_pause_timer(self) -> None:
        """Start to wait for the next part of a request, or begin again."""
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        self._pause_timer = self.loop.call_later(
            clock.seconds(self.max_pause_ms), self._end_pause
        )

    def _end_pause(self) -> None:
        """Close the connection if only the rest of a request is awaited."""
        if not self._is_in_request or self.transport.is_closing():
            return
        if self._is_answering_earlier():
            self._start_pause_timer()
        else:
            self._lingering.close_at_once()

    def _is_answering_earlier(self) -> bool:
        """Return whether a request before the last one is unanswered."""
        if self._has_head:
            return bool(self.pipeline)
        return self._is_unanswered()

    def _start_timer(self) -> None:
        self._timer = self.loop.call_later(
            clock.seconds(self.request_ms), self.transport.abort
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _write_chunk(
    cycle: httptools_impl.RequestResponseCycle, data: bytes
) -> bool:
    """Write a chunk of a response that was started, if that is possible now.

    :return: whether it was written, or is not needed as the caller has left.
    """
    if cycle.disconnected:
        return True
    if (
        not data
        or not cycle.response_started
        or not cycle.chunked_encoding
        or cycle.response_complete
        or cycle.flow.write_paused
        or cycle.scope['method'] == 'HEAD'
    ):
        return False
    cycle.transport.write(b'%x\r\n%s\r\n' % (len(data), data))
    return True


def build(request_ms: int) -> type[Protocol]:
    """Build a protocol class.

    :param request_ms: longest time in which a request must be received.
    """
    return type('Protocol', (Protocol,), {'request_ms': request_ms})
