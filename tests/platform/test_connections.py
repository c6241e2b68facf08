"""Tests of the connections to backend servers, with bytes as received."""

from __future__ import annotations

import asyncio
import collections.abc
import gc
import socket
import struct
import time
import typing
import weakref

import testtools

from teaselbridge.platform import connections
from tests.platform import serving

REQUEST = b'GET /a%2f/../b?c#d HTTP/1.1\r\nHost: shop\r\n\r\n'
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Receiver:
    """Receiver that records what it is called with.

    :ivar calls: names of the calls, in their order.
    :ivar error: the error, none where there was none.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.head: connections.Head | None = None
        self.body = b''
        self.error: Exception | None = None
        self.ended = asyncio.Event()

    def handle_head(self, head: connections.Head) -> None:
        self.calls.append('head')
        self.head = head

    def handle_data(self, data: bytes) -> None:
        self.calls.append('data')
        self.body += data

    def handle_end(self) -> None:
        self.calls.append('end')
        self.ended.set()

    def handle_error(self, error: Exception) -> None:
        self.calls.append('error')
        self.error = error
        self.ended.set()


class TestCase(testtools.TestCase):
    """Base of the tests: each has a pool of its own."""

    def run_coroutine(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine within the time limit."""

        async def run() -> None:
            async with asyncio.timeout(serving.TIMEOUT_S):
                await work

        asyncio.run(run())

    async def send(
        self,
        pool: connections.Pool,
        server: serving.RawServer,
        **options: bool,
    ) -> Receiver:
        """Send a request and return its receiver after the end."""
        receiver = Receiver()
        pool.send(server.address, REQUEST, receiver, **options)
        await receiver.ended.wait()
        return receiver

    def answer(self, *pieces: bytes, is_head: bool = False) -> Receiver:
        """Return the receiver of an answer by a server that then closes."""
        found: list[Receiver] = []

        async def run() -> None:
            pool = connections.Pool()
            async with serving.serve(*pieces) as server:
                found.append(await self.send(pool, server, is_head=is_head))
            await pool.close()

        self.run_coroutine(run())
        return found[0]


class TestRequests(TestCase):
    """Requests are sent byte for byte as they were received."""

    def test_target_and_headers_are_kept(self) -> None:
        encoded = connections.encode_request(
            'GET', b'/a%2f/../b?c#d', [(b'Host', b'shop')], b''
        )
        self.assertEqual(REQUEST, encoded)

    # Guards against a second request within the header of the first one.
    def test_line_breaks_are_refused(self) -> None:
        for target, value in (
            (b'/', b'a\r\nX: y'),
            (b'/', b'a\n'),
            (b'/', b'a\rb'),
            (b'/', b'a\0b'),
            (b'/ HTTP/1.1\r\nX: y', b'a'),
            (b'/a b', b'a'),
        ):
            with self.assertRaises(connections.InvalidRequestError):
                connections.encode_request(
                    'GET', target, [(b'Host', value)], b''
                )

    def test_sent_bytes(self) -> None:
        async def run() -> None:
            pool = connections.Pool()
            async with serving.serve(OK) as server:
                await self.send(pool, server)
                self.assertEqual([REQUEST], server.requests)
            await pool.close()

        self.run_coroutine(run())


class TestAnswers(TestCase):
    """Answers end where they say; what is broken off is an error."""

    def test_headers_are_kept(self) -> None:
        found = self.answer(
            b'HTTP/1.1 200 OK\r\nX-One:  a \r\nx-one: b\r\nEmpty:\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        assert found.head is not None
        self.assertEqual(
            [
                (b'X-One', b'a'),
                (b'x-one', b'b'),
                (b'Empty', b''),
                (b'Content-Length', b'0'),
            ],
            found.head.headers,
        )

    def test_pieces_of_one_read_are_joined(self) -> None:
        found = self.answer(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'1\r\na\r\n2\r\nbc\r\n',
            b'0\r\nX-Trailer: y\r\n\r\n',
        )
        self.assertEqual(['head', 'data', 'end'], found.calls)
        self.assertEqual(b'abc', found.body)

    # No decompression: the caller asked for the encoding.
    def test_encoded_body_is_kept(self) -> None:
        found = self.answer(
            b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n'
            b'Content-Length: 2\r\n\r\nxx'
        )
        self.assertEqual(b'xx', found.body)

    def test_interim_responses_are_skipped(self) -> None:
        found = self.answer(
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'HTTP/1.1 102 Processing\r\nX: y\r\n\r\n' + OK,
        )
        self.assertEqual(['head', 'data', 'end'], found.calls)
        assert found.head is not None
        self.assertEqual([(b'Content-Length', b'2')], found.head.headers)

    def test_body_without_a_stated_end(self) -> None:
        found = self.answer(b'HTTP/1.1 200 OK\r\n\r\n', b'a', b'b')
        self.assertEqual(b'ab', found.body)
        self.assertEqual('end', found.calls[-1])
        assert found.head is not None
        self.assertFalse(found.head.is_framed)

    def test_answers_without_a_body(self) -> None:
        head = b'HTTP/1.1 %d Any\r\nContent-Length: 9\r\n\r\n'
        for found in (
            self.answer(head % 204),
            self.answer(head % 304),
            self.answer(head % 200, is_head=True),
            self.answer(b'HTTP/1.1 204 Any\r\n\r\n'),
        ):
            self.assertEqual(['head', 'end'], found.calls)

    def test_lines_without_carriage_returns(self) -> None:
        found = self.answer(b'HTTP/1.1 200 OK\nContent-Length: 2\n\nok')
        self.assertEqual(b'ok', found.body)

    # Guards against a broken-off answer that looks complete.
    def test_broken_off(self) -> None:
        for pieces in (
            (b'',),
            (b'HTTP/1.1 200 OK\r\nX: y\r\n',),
            (b'HTTP/1.1 100 Continue\r\n\r\n',),
            (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n', b'o'),
            (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
                b'2\r\nok\r\n',
            ),
        ):
            found = self.answer(*pieces)
            self.assertIsInstance(found.error, connections.CutError, pieces)

    # Guards against two readings of where an answer ends.
    def test_invalid(self) -> None:
        for head in (
            b'noise',
            b'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
            b'Content-Length: 3\r\n\r\nabc',
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            b'HTTP/1.1 101 Any\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
            b'HTTP/1.1 100 Any\r\nContent-Length: 2\r\n\r\nok' + OK,
        ):
            found = self.answer(head)
            self.assertIsInstance(found.error, connections.CutError, head)

    # Guards against bytes without end that fill the memory.
    def test_endless(self) -> None:
        chunked = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        most = connections.MAX_HEAD_BYTES
        for head, repeated in (
            (b'', b'HTTP/1.1 102 Any\r\n\r\n'),
            (b'HTTP/1.1 200 OK\r\nX: ', b'x'),
            (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n'),
            (chunked + b'2;', b'x'),
            (chunked + b'0\r\n', b'X: y\r\n'),
        ):
            data = head + repeated * (most // len(repeated) + 1)
            found = self.answer(data, repeated, repeated)
            self.assertIsInstance(found.error, connections.CutError, head)
            # The node gives up before the server closes the connection.
            self.assertNotIn('closed', str(found.error), head)

    def test_too_many_interim_responses(self) -> None:
        interim = b'HTTP/1.1 102 Any\r\n\r\n'
        most = connections.MAX_INTERIM_RESPONSES
        found = self.answer(interim * most + OK)
        self.assertEqual('end', found.calls[-1])
        found = self.answer(interim * (most + 1) + OK)
        self.assertEqual(['error'], found.calls)

    def test_chunks_of_a_long_stream_are_not_headers(self) -> None:
        chunk = b'1\r\na\r\n'
        count = connections.MAX_HEAD_BYTES
        found = self.answer(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            chunk * count + b'0\r\n\r\n',
        )
        self.assertEqual('end', found.calls[-1])
        self.assertEqual(count, len(found.body))


class TestReuse(TestCase):
    """A connection serves one request after the other."""

    def count_connections(
        self, answer: bytes, *, keep_alive_ms: int = 10_000, **options: bool
    ) -> int:
        """Return the connections of three requests."""
        counts: list[int] = []

        async def run() -> None:
            opened: list[None] = []
            pool = connections.Pool(
                keep_alive_ms=keep_alive_ms,
                on_open=lambda: opened.append(None),
            )
            async with serving.serve(answer, keeps_open=True) as server:
                for _ in range(3):
                    found = await self.send(pool, server, **options)
                    self.assertEqual('end', found.calls[-1])
                    self.assertEqual(b'ok', found.body)
                    await asyncio.sleep(0.01)
                counts.append(server.connection_count)
                self.assertEqual(server.connection_count, len(opened))
            await pool.close()

        self.run_coroutine(run())
        return counts[0]

    def test_connection_is_kept(self) -> None:
        self.assertEqual(1, self.count_connections(OK))

    def test_connection_of_a_request_that_runs_at_most_once(self) -> None:
        self.assertEqual(3, self.count_connections(OK, new_connection=True))

    def test_server_that_closes(self) -> None:
        closing = OK.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
        self.assertEqual(3, self.count_connections(closing))

    def test_expired(self) -> None:
        self.assertEqual(3, self.count_connections(OK, keep_alive_ms=1))

    # Guards against extra bytes that are read as the next answer.
    def test_bytes_after_the_answer(self) -> None:
        for extra in (b'x', OK, b'HTTP/1.1 200 OK\r\n'):
            self.assertEqual(3, self.count_connections(OK + extra))

    def test_bytes_that_come_between_two_requests(self) -> None:
        async def run() -> None:
            pool = connections.Pool()
            late = OK.replace(b'ok', b'no')
            async with serving.serve(OK, late, keeps_open=True) as server:
                for _ in range(2):
                    found = await self.send(pool, server)
                    self.assertEqual(b'ok', found.body)
                    await asyncio.sleep(3 * serving.PIECE_DELAY_S)
                self.assertEqual(2, server.connection_count)
            await pool.close()

        self.run_coroutine(run())

    # The bytes are in the socket, but the event loop has not read them yet.
    def test_bytes_that_were_not_read_yet(self) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            pool = connections.Pool()
            listener = socket.create_server(('127.0.0.1', 0))
            listener.setblocking(False)
            host, port = listener.getsockname()
            address = f'{host}:{port}'
            receiver = Receiver()
            pool.send(address, REQUEST, receiver)
            peer, _ = await loop.sock_accept(listener)
            await loop.sock_recv(peer, 1 << 16)
            await loop.sock_sendall(peer, OK)
            await receiver.ended.wait()
            peer.send(OK)
            pool.send(address, REQUEST, Receiver())
            second, _ = await loop.sock_accept(listener)
            self.assertEqual(REQUEST, await loop.sock_recv(second, 1 << 16))
            for opened in (peer, second, listener):
                opened.close()
            await pool.close()

        self.run_coroutine(run())

    def test_dropped_connections_are_closed(self) -> None:
        async def run() -> None:
            pool = connections.Pool()
            async with serving.serve(OK, keeps_open=True) as server:
                await self.send(pool, server)
                pool.drop(server.address)
                await self.send(pool, server)
                self.assertEqual(2, server.connection_count)
                self.assertEqual(1, server.closed_count)
            await pool.close()

        self.run_coroutine(run())


class TestFaults(TestCase):
    """Errors tell whether the request can have been received."""

    def test_nothing_listens(self) -> None:
        async def run() -> None:
            async with serving.serve(OK) as server:
                pass
            pool = connections.Pool()
            found = await self.send(pool, server)
            self.assertIsInstance(found.error, connections.ConnectError)
            await pool.close()

        self.run_coroutine(run())

    # Guards against a sound server that counts as unreachable as this process
    # stood still while its connection was opened.
    def test_stall_while_a_connection_opens(self) -> None:
        async def run() -> None:
            pool = connections.Pool(connect_timeout_ms=300)
            async with serving.serve(OK) as server:
                receiver = Receiver()
                pool.send(server.address, REQUEST, receiver)
                await asyncio.sleep(0)
                time.sleep(0.6)
                await receiver.ended.wait()
            self.assertIsNone(receiver.error)
            await pool.close()

        self.run_coroutine(run())

    def test_reset(self) -> None:
        async def reset(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n\r\nbegun')
            await writer.drain()
            await asyncio.sleep(serving.PIECE_DELAY_S)
            sock = writer.get_extra_info('socket')
            # No lingering: the connection is reset when it is closed.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()

        async def run() -> None:
            pool = connections.Pool()
            server = await asyncio.start_server(reset, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            receiver = Receiver()
            pool.send(f'{host}:{port}', REQUEST, receiver)
            await receiver.ended.wait()
            self.assertIsInstance(receiver.error, connections.ResetError)
            server.close()
            await pool.close()

        self.run_coroutine(run())

    # Guards against a request that runs on after its caller has gone.
    def test_cancelled_request_closes_the_connection(self) -> None:
        async def run() -> None:
            pool = connections.Pool()
            async with serving.serve(OK[:-1], keeps_open=True) as server:
                receiver = Receiver()
                exchange = pool.send(server.address, REQUEST, receiver)
                while 'data' not in receiver.calls:
                    await asyncio.sleep(0.001)
                exchange.cancel()
                while not server.closed_count:
                    await asyncio.sleep(0.001)
                self.assertEqual(['head', 'data'], receiver.calls)
            await pool.close()

        self.run_coroutine(run())

    def test_cancelled_while_the_connection_is_opened(self) -> None:
        async def run() -> None:
            pool = connections.Pool()
            async with serving.serve(OK, keeps_open=True) as server:
                for turns in range(4):
                    receiver = Receiver()
                    exchange = pool.send(server.address, REQUEST, receiver)
                    for _ in range(turns):
                        await asyncio.sleep(0)
                    exchange.cancel()
                    await asyncio.sleep(serving.PIECE_DELAY_S)
                    self.assertEqual([], receiver.calls)
                self.assertEqual(server.connection_count, server.closed_count)
            await pool.close()

        self.run_coroutine(run())

    # Guards against an exchange that ends a later one of its connection.
    def test_late_cancel_leaves_the_next_request_alone(self) -> None:
        async def run() -> None:
            pool = connections.Pool()
            async with serving.serve(OK, keeps_open=True) as server:
                first, second = Receiver(), Receiver()
                exchange = pool.send(server.address, REQUEST, first)
                await first.ended.wait()
                pool.send(server.address, REQUEST, second)
                exchange.cancel()
                await second.ended.wait()
                self.assertEqual(b'ok', second.body)
                self.assertEqual(1, server.connection_count)
            await pool.close()

        self.run_coroutine(run())


class TestClosedPool(TestCase):
    """A pool that is closed breaks off the answers that it still receives."""

    def close_within(self, answer: bytes) -> Receiver:
        """Return the receiver of an answer during which the pool closes."""
        receiver = Receiver()

        async def run() -> None:
            pool = connections.Pool()
            async with serving.serve(answer, keeps_open=True) as server:
                pool.send(server.address, REQUEST, receiver)
                while answer and 'data' not in receiver.calls:
                    await asyncio.sleep(0.001)
                while not server.requests:
                    await asyncio.sleep(0.001)
                await pool.close()
                await receiver.ended.wait()

        self.run_coroutine(run())
        return receiver

    # Guards against an answer without a length that looks complete, as its
    # connection was closed by this process.
    def test_answer_without_a_length(self) -> None:
        for version in (b'1.0', b'1.1'):
            found = self.close_within(b'HTTP/%s 200 OK\r\n\r\nbegun' % version)
            self.assertEqual(['head', 'data', 'error'], found.calls)
            self.assertIsInstance(found.error, connections.CutError)

    def test_answers_with_a_stated_end(self) -> None:
        for head in (b'Content-Length: 9', b'Transfer-Encoding: chunked'):
            found = self.close_within(
                b'HTTP/1.1 200 OK\r\n%s\r\n\r\n5\r\nab' % head
            )
            self.assertEqual(['head', 'data', 'error'], found.calls)
            self.assertIsInstance(found.error, connections.CutError)

    def test_no_answer_yet(self) -> None:
        found = self.close_within(b'')
        self.assertEqual(['error'], found.calls)
        self.assertIsInstance(found.error, connections.CutError)


class TestReferences(TestCase):
    """What an exchange held is freed without the garbage collector."""

    def test_receiver_is_freed(self) -> None:
        async def run() -> None:
            pool = connections.Pool()
            broken = OK[:-1]
            for answer in (OK, broken):
                async with serving.serve(answer) as server:
                    receiver = Receiver()
                    receiver.exchange = pool.send(  # type: ignore
                        server.address, REQUEST, receiver
                    )
                    await receiver.ended.wait()
                    await asyncio.sleep(0)
                    reference = weakref.ref(receiver)
                    gc.disable()
                    self.addCleanup(gc.enable)
                    del receiver
                    await asyncio.sleep(0)
                    self.assertIsNone(reference(), answer)
                    gc.enable()
            await pool.close()

        self.run_coroutine(run())
