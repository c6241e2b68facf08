"""Tests of the framing of requests, with bytes as received."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import socket
import time
import typing

import testtools

from teaselbridge.gateway import asgi
from teaselbridge.runtime import protocol
from teaselbridge.runtime import web
from teaselbridge.standins import ports

TIMEOUT_S = 20.0
GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nHost: h\r\n'


class Application:
    """Application that answers by the body that it received.

    :ivar scopes: scopes of the requests, in their order.
    :ivar release: set to let the responses go.
    """

    def __init__(self) -> None:
        self.scopes: list[asgi.Message] = []
        self.disconnected_count = 0
        self.release = asyncio.Event()
        self.release.set()

    async def __call__(
        self, scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        self.scopes.append(scope)
        body = b''
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                self.disconnected_count += 1
                return
            body += message['body']
            if not message['more_body']:
                break
        await self.release.wait()
        await asgi.send_response(send, 200, [], b'<%s>' % body)


class LargeApplication:
    """Application whose answers are larger than the buffers on their way.

    :ivar answered: set when an answer was written.
    :ivar count: number of requests.
    """

    BODY = b'x' * (8 << 20)

    def __init__(self) -> None:
        self.answered = asyncio.Event()
        self.count = 0

    async def __call__(
        self, scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer a request and close its connection."""
        self.count += 1
        headers = [(b'connection', b'close')]
        await asgi.send_response(send, 200, headers, self.BODY)
        self.answered.set()


@contextlib.asynccontextmanager
async def serve_application(
    app: Application | LargeApplication,
) -> collections.abc.AsyncIterator[tuple[web.HttpListener, tuple[str, int]]]:
    """Run an application; return its listener with its address."""
    port = ports.find_free_port()
    server = web.HttpListener(
        app=typing.cast('typing.Any', app),
        address=f'127.0.0.1:{port}',
        graceful_s=1,
    )
    await server.start()
    try:
        yield server, ('127.0.0.1', port)
    finally:
        await server.abort()


@contextlib.asynccontextmanager
async def serve(
    request_ms: int = 30_000,
) -> collections.abc.AsyncIterator[tuple[Application, str, int]]:
    """Run the application; return it with its address."""
    app = Application()
    port = ports.find_free_port()
    server = web.HttpListener(
        app=typing.cast('typing.Any', app),
        address=f'127.0.0.1:{port}',
        request_ms=request_ms,
        graceful_s=1,
    )
    await server.start()
    try:
        yield app, '127.0.0.1', port
    finally:
        await server.abort()


class TestCase(testtools.TestCase):
    """Base of the tests, which run within a time limit."""

    def run_coroutine(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine within the time limit."""

        async def run() -> None:
            async with asyncio.timeout(TIMEOUT_S):
                await work

        asyncio.run(run())

    async def exchange(
        self, host: str, port: int, *pieces: bytes, until: bytes = b''
    ) -> bytes:
        """Send bytes and return what is received.

        :param until: bytes after which to stop, empty to read until the
            server closes the connection.
        """
        reader, writer = await asyncio.open_connection(host, port)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.01)
        received = b''
        try:
            while not until or until not in received:
                data = await reader.read(1 << 16)
                if not data:
                    break
                received += data
        except ConnectionError:
            pass
        writer.close()
        return received

    def send(self, *pieces: bytes, until: bytes = b'') -> tuple[bytes, int]:
        """Return what a new server sends, and how many requests it served."""
        found: list[tuple[bytes, int]] = []

        async def run() -> None:
            async with serve() as (app, host, port):
                answer = await self.exchange(host, port, *pieces, until=until)
                found.append((answer, len(app.scopes)))

        self.run_coroutine(run())
        return found[0]


class TestStop(TestCase):
    """A listener stops once nothing is left to answer."""

    # Guards against a stopping node that waits while its time runs out.
    def test_no_time_is_lost(self) -> None:
        async def stop() -> float:
            app = Application()
            port = ports.find_free_port()
            server = web.HttpListener(
                app=typing.cast('typing.Any', app),
                address=f'127.0.0.1:{port}',
                graceful_s=5,
            )
            await server.start()
            idle = await asyncio.open_connection('127.0.0.1', port)
            app.release.clear()
            answer = asyncio.ensure_future(
                self.exchange('127.0.0.1', port, GET)
            )
            while not app.scopes:
                await asyncio.sleep(0.01)
            stopping = asyncio.ensure_future(server.stop())
            await asyncio.sleep(0.05)
            self.assertFalse(stopping.done())
            released = time.monotonic()
            app.release.set()
            await stopping
            span_s = time.monotonic() - released
            self.assertIn(b'<>', await answer)
            idle[1].close()
            return span_s

        async def run() -> None:
            spans = [await stop() for _ in range(5)]
            # The library polls ten times a second.
            self.assertLess(min(spans), 0.02)

        self.run_coroutine(run())


class TestPartialRequests(TestCase):
    """A request that has begun to arrive is answered before a stop."""

    # Guards against a stop that cuts off requests that are on their way.
    def test_rest_comes_after_the_stop(self) -> None:
        async def run() -> None:
            request = POST + b'Content-Length: 2\r\n\r\nab'
            for size in (1, 20, len(POST) - 2, len(request) - 1):
                app = Application()
                async with serve_application(app) as (server, address):
                    reader, writer = await asyncio.open_connection(*address)
                    # Also a connection that was used before.
                    writer.write(GET)
                    await reader.readuntil(b'<>')
                    writer.write(request[:size])
                    await asyncio.sleep(0.05)
                    stop = asyncio.ensure_future(server.stop(5))
                    await asyncio.sleep(0.05)
                    writer.write(request[size:])
                    answer = await reader.read()
                    self.assertIn(b'<ab>', answer)
                    self.assertIn(b'connection: close', answer)
                    writer.close()
                    await stop

        self.run_coroutine(run())

    # Guards against a node that does not stop before the end of its grace
    # period, as it waits for a caller that is gone.
    def test_rest_never_comes(self) -> None:
        self.patch(protocol.Protocol, 'max_pause_ms', 200)

        async def run() -> None:
            for part in (b'POST / HT', POST + b'Content-Length: 2\r\n\r\na'):
                async with serve_application(Application()) as (
                    server,
                    address,
                ):
                    _, writer = await asyncio.open_connection(*address)
                    writer.write(part)
                    await asyncio.sleep(0.05)
                    began = time.monotonic()
                    await server.stop(TIMEOUT_S / 2)
                    self.assertLess(time.monotonic() - began, TIMEOUT_S / 4)
                    writer.close()

        self.run_coroutine(run())

    def test_rest_comes_slowly(self) -> None:
        async def run() -> None:
            async with serve_application(Application()) as (server, address):
                reader, writer = await asyncio.open_connection(*address)
                stop: asyncio.Future[None] | None = None
                request = POST + b'Content-Length: 2\r\n\r\nab'
                for start in range(0, len(request), 8):
                    writer.write(request[start : start + 8])
                    await asyncio.sleep(0.5)
                    if stop is None:
                        stop = asyncio.ensure_future(server.stop(10))
                self.assertIn(b'<ab>', await reader.read())
                writer.close()
                assert stop is not None
                await stop

        self.run_coroutine(run())

    def test_answer_before_the_pause_is_sent(self) -> None:
        self.patch(protocol.Protocol, 'max_pause_ms', 100)

        async def run() -> None:
            for part in (b'POST / HT', POST + b'Content-Length: 2\r\n\r\na'):
                app = Application()
                async with serve_application(app) as (server, address):
                    app.release.clear()
                    reader, writer = await asyncio.open_connection(*address)
                    writer.write(GET + part)
                    await asyncio.sleep(0.05)
                    stop = asyncio.ensure_future(server.stop(10))
                    await asyncio.sleep(0.5)
                    app.release.set()
                    self.assertIn(b'<>', await reader.read())
                    writer.close()
                    await stop

        self.run_coroutine(run())


class TestWaitingRequests(TestCase):
    """What the kernel has received before a stop is answered."""

    def _stop(self, count: int, *, is_kept: bool) -> list[bytes]:
        """Return what callers get that send just before a stop.

        :param count: number of callers.
        :param is_kept: whether their connections were used before.
        """
        answers: list[bytes] = []

        async def run() -> None:
            async with serve_application(Application()) as (server, address):
                callers = [socket.socket() for _ in range(count)]
                loop = asyncio.get_running_loop()
                for caller in callers:
                    caller.connect(address)
                    caller.setblocking(False)
                    if is_kept:
                        await loop.sock_sendall(caller, GET)
                        await loop.sock_recv(caller, 1 << 16)
                for caller in callers:
                    caller.send(GET)
                await server.stop(5)
                for caller in callers:
                    with caller, contextlib.suppress(ConnectionError):
                        answers.append(await loop.sock_recv(caller, 1 << 16))

        self.run_coroutine(run())
        return answers

    # Guards against connections that are reset in the accept queue, or before
    # their request is read.
    def test_connections_in_the_accept_queue(self) -> None:
        answers = self._stop(200, is_kept=False)
        self.assertEqual(200, sum(b'<>' in answer for answer in answers))

    def test_unread_requests_of_kept_connections(self) -> None:
        answers = self._stop(20, is_kept=True)
        self.assertEqual(20, sum(b'<>' in answer for answer in answers))


class TestEnd(TestCase):
    """Callers hear of the end of their connection in an answer."""

    def test_next_answer_is_the_last(self) -> None:
        async def run() -> None:
            async with serve_application(Application()) as (server, address):
                reader, writer = await asyncio.open_connection(*address)
                for _ in range(2):
                    writer.write(GET)
                    answer = await reader.readuntil(b'<>')
                    self.assertNotIn(b'connection: close', answer)
                server.end_connections()
                writer.write(GET)
                self.assertIn(b'connection: close', await reader.read())
                writer.close()

        self.run_coroutine(run())

    def test_answer_that_is_awaited_is_the_last(self) -> None:
        async def run() -> None:
            for pieces in ((GET,), (GET, GET), (GET[:9], GET[9:])):
                app = Application()
                app.release.clear()
                async with serve_application(app) as (server, address):
                    reader, writer = await asyncio.open_connection(*address)
                    writer.write(pieces[0])
                    await asyncio.sleep(0.05)
                    server.end_connections()
                    writer.write(b''.join(pieces[1:]))
                    await asyncio.sleep(0.05)
                    app.release.set()
                    answer = await reader.read()
                    self.assertEqual(1, answer.count(b'<>'))
                    self.assertIn(b'connection: close', answer)
                    writer.close()

        self.run_coroutine(run())

    def test_all_pipelined_requests_are_answered(self) -> None:
        async def run() -> None:
            app = Application()
            app.release.clear()
            async with serve_application(app) as (server, address):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(GET * 3)
                await asyncio.sleep(0.05)
                server.end_connections()
                app.release.set()
                answer = await reader.read()
                self.assertEqual(3, answer.count(b'<>'))
                self.assertEqual(1, answer.count(b'connection: close'))
                writer.close()

        self.run_coroutine(run())

    # Guards against connections that are reset as nobody has accepted them.
    def test_connections_that_wait_for_the_listener(self) -> None:
        async def run() -> None:
            app = Application()
            async with serve_application(app) as (server, address):
                server.end_connections()
                callers = [
                    socket.create_connection(address) for _ in range(40)
                ]
                for caller in callers:
                    caller.sendall(GET)
                stop = asyncio.ensure_future(server.stop(5))
                loop = asyncio.get_running_loop()
                for caller in callers:
                    caller.setblocking(False)
                    answer = await loop.sock_recv(caller, 1 << 16)
                    self.assertIn(b'connection: close', answer)
                    caller.close()
                await stop

        self.run_coroutine(run())

    # Guards against a close that resets a connection whose first request is
    # on its way.
    def test_first_request_comes_after_the_stop(self) -> None:
        async def run() -> None:
            async with serve_application(Application()) as (server, address):
                server.end_connections()
                reader, writer = await asyncio.open_connection(*address)
                await asyncio.sleep(0.05)
                stop = asyncio.ensure_future(server.stop(5))
                await asyncio.sleep(0.05)
                writer.write(GET)
                self.assertIn(b'connection: close', await reader.read())
                writer.close()
                await stop

        self.run_coroutine(run())

    # Guards against a node that does not stop in time, as a new caller sends
    # a part of a request and nothing more.
    def test_rest_of_the_first_request_never_comes(self) -> None:
        self.patch(protocol.Protocol, 'max_pause_ms', 200)

        async def run() -> None:
            async with serve_application(Application()) as (server, address):
                server.end_connections()
                _, writer = await asyncio.open_connection(*address)
                await asyncio.sleep(0.05)
                began = time.monotonic()
                stop = asyncio.ensure_future(server.stop(TIMEOUT_S / 2))
                await asyncio.sleep(0.1)
                writer.write(b'POST / HT')
                await stop
                self.assertLess(time.monotonic() - began, TIMEOUT_S / 4)
                writer.close()

        self.run_coroutine(run())

    def test_connection_without_a_request_is_closed(self) -> None:
        async def run() -> None:
            async with serve_application(Application()) as (server, address):
                server.end_connections()
                reader, writer = await asyncio.open_connection(*address)
                await server.stop(TIMEOUT_S)
                self.assertEqual(b'', await reader.read())
                writer.close()

        self.run_coroutine(run())


class TestClose(TestCase):
    """A connection that the server closes delivers its last answer.

    The kernel resets a connection that is closed with unread bytes, which
    discards what was not sent yet.
    """

    async def _fetch(
        self, app: LargeApplication, later: bytes, stop_s: float = 0
    ) -> bytes:
        """Return what a caller gets that reads late.

        :param later: bytes that it sends while it waits for its answer.
        :param stop_s: how long open responses may take at a stop of the
            server that comes before it reads; 0 for no stop.
        """
        stops: list[asyncio.Future[None]] = []
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            async with serve_application(app) as (server, address):
                await loop.sock_connect(caller, address)
                await loop.sock_sendall(caller, GET)
                await app.answered.wait()
                await loop.sock_sendall(caller, later)
                if stop_s:
                    stops.append(asyncio.ensure_future(server.stop(stop_s)))
                await asyncio.sleep(0.3)
                received = b''
                with contextlib.suppress(ConnectionError):
                    while data := await loop.sock_recv(caller, 1 << 16):
                        received += data
                await asyncio.gather(*stops)
                return received

    # Guards against answers whose end is lost with a reset.
    def test_unread_bytes_do_not_reset_the_answer(self) -> None:
        async def run() -> None:
            for later in (b'', GET, b'x' * 100_000):
                app = LargeApplication()
                received = await self._fetch(app, later)
                _, _, body = received.partition(b'\r\n\r\n')
                self.assertEqual(len(LargeApplication.BODY), len(body))
                self.assertEqual(1, app.count)

        self.run_coroutine(run())

    def test_answer_is_written_before_the_end(self) -> None:
        async def run() -> None:
            for later in (b'', GET):
                app = LargeApplication()
                received = await self._fetch(app, later, stop_s=5)
                _, _, body = received.partition(b'\r\n\r\n')
                self.assertEqual(len(LargeApplication.BODY), len(body))

        self.run_coroutine(run())

    def test_connection_ends_if_its_caller_keeps_it_open(self) -> None:
        async def run() -> None:
            app = Application()
            async with serve_application(app) as (server, address):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b'GET / HTTP/1.0\r\n\r\n')
                self.assertIn(b'<>', await reader.read())
                with self.assertRaises(ConnectionError):
                    while True:
                        writer.write(b'x')
                        await writer.drain()
                        await asyncio.sleep(0.05)

        self.run_coroutine(run())


class TestFraming(TestCase):
    """A request whose end others may read differently is refused."""

    # Guards against request smuggling.
    def test_refused(self) -> None:
        for request in (
            POST + b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\n',
            POST + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
            POST + b'Content-Length: 1\r\nContent-Length: 1\r\n\r\na',
            POST + b'Content-Length: 1, 1\r\n\r\na',
            POST + b'Content-Length: +1\r\n\r\na',
            POST + b'Content-Length: -1\r\n\r\na',
            POST + b'Content-Length : 1\r\n\r\na',
            POST + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
            POST + b'Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n',
            POST + b'Transfer-Encoding: identity\r\n\r\n',
            POST + b'Transfer-Encoding: chunked\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            POST + b'Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n',
            POST + b'Transfer-Encoding:\n chunked\r\n\r\n0\r\n\r\n',
            b'POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'GET / HTTP/1.1\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n',
            b'GET / HTTP/2.0\r\nHost: h\r\n\r\n',
            b'GET / HTTP/0.9\r\nHost: h\r\n\r\n',
            b'GET /\xc3\xa4 HTTP/1.1\r\nHost: h\r\n\r\n',
            b'GET /a b HTTP/1.1\r\nHost: h\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: h\r\nX: a\rY: b\r\n\r\n',
            b'GET / HTTP/1.1\nHost: h\n\n',
            b'noise\r\n\r\n',
            b'FOO / HTTP/1.1\r\nHost: h\r\n\r\n',
        ):
            answer, served_count = self.send(request)
            self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), request)
            self.assertIn(b'connection: close', answer.lower())
            self.assertEqual(0, served_count, request)

    def test_broken_chunks_are_refused(self) -> None:
        head = POST + b'Transfer-Encoding: chunked\r\n\r\n'
        for body in (b'zz\r\n', b'1\r\nab\r\n', b'1\nab\r\n', b'-1\r\n'):
            answer, _ = self.send(head, body)
            self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), body)

    def test_bodies(self) -> None:
        for request in (
            POST + b'Content-Length: 2\r\n\r\nab',
            POST + b'Transfer-Encoding: Chunked\r\n\r\n'
            b'1;x=y\r\na\r\n1\r\nb\r\n0\r\nX-Trailer: z\r\n\r\n',
        ):
            answer, _ = self.send(request, until=b'<ab>')
            self.assertTrue(answer.startswith(b'HTTP/1.1 200 OK\r\n'))

    # Guards against requests that are served with an empty body.
    def test_offers_of_another_protocol_are_ignored(self) -> None:
        offer = (
            b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
            b'HTTP2-Settings: AAMAAABkAAQAAP__\r\n'
        )
        framed = b'Content-Length: 2\r\n\r\nab'
        chunks = b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n'
        chunked = chunks + b'0\r\n\r\n'
        for body in (framed, chunked):
            request = POST + offer + body
            for size in (1, 7, len(request)):
                pieces = [
                    request[start : start + size]
                    for start in range(0, len(request), size)
                ]
                answer, count = self.send(*pieces, until=b'<ab>')
                self.assertTrue(answer.startswith(b'HTTP/1.1 200 OK\r\n'))
                self.assertIn(b'<ab>', answer)
                self.assertEqual(1, count)
            answer, count = self.send(POST + framed + request + GET)
            self.assertEqual((2, 2), (answer.count(b'<ab>'), count))
        answer, _ = self.send(
            b'GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n'
            b'Upgrade: websocket\r\n\r\n',
            until=b'<>',
        )
        self.assertIn(b'<>', answer)

    def test_framing_beside_an_offer_is_checked(self) -> None:
        offer = b'Connection: Upgrade\r\nUpgrade: h2c\r\n'
        for request in (
            POST + offer + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\na',
            POST + offer + b'Transfer-Encoding: gzip\r\n\r\n',
            POST + offer + b'Host: i\r\n\r\n',
            POST + offer + b'X: y\r\n z\r\n\r\n',
        ):
            answer, count = self.send(request)
            self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), request)
            self.assertEqual(0, count, request)

    # Guards against trailers that are taken for checked headers.
    def test_trailers_are_no_headers(self) -> None:
        async def run() -> None:
            async with serve() as (app, host, port):
                answer = await self.exchange(
                    host,
                    port,
                    POST + b'Transfer-Encoding: chunked\r\n\r\n',
                    b'0\r\nX: y\r\nHost: i\r\nZ: z\r\n\r\n',
                    until=b'<>',
                )
                self.assertIn(b'<>', answer)
                self.assertEqual(
                    [(b'host', b'h'), (b'transfer-encoding', b'chunked')],
                    app.scopes[0]['headers'],
                )

        self.run_coroutine(run())

    # Guards against targets that are normalized on their way.
    def test_targets_are_kept(self) -> None:
        async def run() -> None:
            async with serve() as (app, host, port):
                for target in (
                    b'/a/../b//c?x=%2F?y',
                    b'//a?',
                    b'/%61%00;p',
                    b'http://other/a?b',
                    b'*',
                ):
                    await self.exchange(
                        host,
                        port,
                        b'OPTIONS %s HTTP/1.1\r\nHost: h\r\n\r\n' % target,
                        until=b'<>',
                    )
                    scope = app.scopes[-1]
                    path, _, query = target.partition(b'?')
                    self.assertEqual(path, scope['raw_path'])
                    self.assertEqual(query, scope['query_string'])

        self.run_coroutine(run())


class TestBounds(TestCase):
    """Requests without end are given up."""

    def test_endless(self) -> None:
        most = protocol.MAX_HEAD_BYTES
        chunked = POST + b'Transfer-Encoding: chunked\r\n\r\n'
        for head, repeated in (
            (b'GET /', b'a'),
            (b'GET / HTTP/1.1\r\nX: ', b'a'),
            (b'GET / HTTP/1.1\r\n', b'X: y\r\n'),
            (chunked + b'1;', b'a'),
            (chunked + b'0\r\n', b'X: y\r\n'),
        ):
            data = repeated * (most // len(repeated) + 1)
            answer, _ = self.send(head + data, data, data)
            self.assertIn(answer[:13], (b'', b'HTTP/1.1 400 '), head)

    def test_whole_request_with_too_many_headers(self) -> None:
        headers = b'X: y\r\n' * protocol.MAX_HEAD_BYTES
        answer, served_count = self.send(GET[:-2] + headers + b'\r\n')
        self.assertIn(answer[:13], (b'', b'HTTP/1.1 400 '))
        self.assertEqual(0, served_count)

    def test_slow_sender(self) -> None:
        async def run() -> None:
            for head in (GET[:-2], POST + b'Content-Length: 9\r\n\r\na'):
                async with serve(request_ms=50) as (_, host, port):
                    answer = await self.exchange(host, port, head)
                    self.assertEqual(b'', answer)

        self.run_coroutine(run())

    # The timer is for receiving, not for serving.
    def test_slow_response(self) -> None:
        async def run() -> None:
            async with serve(request_ms=50) as (app, host, port):
                app.release.clear()
                loop = asyncio.get_running_loop()
                loop.call_later(0.2, app.release.set)
                answer = await self.exchange(host, port, GET, until=b'<>')
                self.assertIn(b' 200 ', answer)

        self.run_coroutine(run())


class TestConnections(TestCase):
    """Requests that share a connection are answered in their order."""

    def test_pipelined(self) -> None:
        second = POST + b'Content-Length: 1\r\n\r\nb'
        answer, served_count = self.send(GET + second + GET, until=b'<b>')
        self.assertLess(answer.index(b'<>'), answer.index(b'<b>'))
        self.assertGreaterEqual(served_count, 2)

    # Guards against a refusal in the middle of the response before it.
    def test_invalid_after_a_valid_one(self) -> None:
        async def run() -> None:
            async with serve() as (app, host, port):
                app.release.clear()
                loop = asyncio.get_running_loop()
                loop.call_later(0.1, app.release.set)
                answer = await self.exchange(host, port, GET + b'noise', GET)
                self.assertTrue(answer.startswith(b'HTTP/1.1 200 '))
                self.assertTrue(answer.endswith(b'<>'))
                self.assertEqual(1, len(app.scopes))

        self.run_coroutine(run())

    def test_too_many_pipelined(self) -> None:
        answer, served_count = self.send(GET * 1_000)
        self.assertEqual(protocol.MAX_PIPELINED + 1, served_count)
        self.assertEqual(served_count, answer.count(b' 200 '))

    # Guards against bytes of another protocol that are read as a request.
    def test_upgrade(self) -> None:
        for request in (
            b'GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n'
            b'Upgrade: x\r\n\r\n',
            b'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n',
        ):
            answer, served_count = self.send(request + GET, GET)
            self.assertIn(b' 200 ', answer)
            self.assertEqual(1, served_count)

    def test_closing(self) -> None:
        closing = GET[:-2] + b'Connection: close\r\n\r\n'
        answer, served_count = self.send(closing + GET)
        self.assertEqual(1, answer.count(b' 200 '))
        self.assertEqual(1, served_count)

    # Guards against requests that go on for a caller that has left.
    def test_disconnect_inside_a_body(self) -> None:
        async def run() -> None:
            async with serve() as (app, host, port):
                _, writer = await asyncio.open_connection(host, port)
                writer.write(POST + b'Content-Length: 9\r\n\r\na')
                while not app.scopes:
                    await asyncio.sleep(0.001)
                writer.close()
                while not app.disconnected_count:
                    await asyncio.sleep(0.001)

        self.run_coroutine(run())


class StreamApplication:
    """Application that sends numbers, some by the extension of the scope.

    :ivar written: whether each write was taken.
    """

    def __init__(self) -> None:
        self.written: list[bool] = []

    async def __call__(
        self, scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        write = asgi.get_write(scope)
        assert write is not None
        self.written.append(write(b'early'))
        await asgi.send_start(send, 200, [])
        self.written.append(write(b''))
        for number in range(3):
            self.written.append(write(b'<%d>' % number))
            await asgi.send_body(send, b'[%d]' % number, more=True)
        block = b'x' * (1 << 20)
        while write(block):
            pass
        await asgi.send_body(send, b'end', more=False)
        self.written.append(write(b'late'))


class TestWrites(TestCase):
    """Parts of a response are written at once where that keeps its order."""

    def test_writes(self) -> None:
        async def run() -> None:
            app = StreamApplication()
            port = ports.find_free_port()
            server = web.HttpListener(
                app=typing.cast('typing.Any', app),
                address=f'127.0.0.1:{port}',
            )
            await server.start()
            answer = await self.exchange(
                '127.0.0.1', port, GET, until=b'0\r\n\r\n'
            )
            body = answer.partition(b'\r\n\r\n')[2]
            begin = b''.join(
                b'3\r\n<%d>\r\n3\r\n[%d]\r\n' % (number, number)
                for number in range(3)
            )
            self.assertTrue(body.startswith(begin))
            self.assertTrue(body.endswith(b'3\r\nend\r\n0\r\n\r\n'))
            self.assertEqual(
                [False, False, True, True, True, False], app.written
            )
            await server.abort()

        self.run_coroutine(run())
