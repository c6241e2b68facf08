"""Tests of calls to the deployment platform's own services."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import socket
import threading
import time
import typing

import testtools

from teaselbridge.platform import connections
from teaselbridge.platform import services
from tests.platform import serving

OK = b'HTTP/1.1 404 Any\r\nStore-Era: 3\r\nContent-Length: 2\r\n\r\nok'


class TestCalls(testtools.TestCase):
    """Calls end with a response or an error, never later than stated."""

    def _run(
        self,
        work: collections.abc.Callable[
            [services.Client, serving.RawServer],
            collections.abc.Coroutine[typing.Any, typing.Any, None],
        ],
        *pieces: bytes,
    ) -> None:
        async def run() -> None:
            async with (
                asyncio.timeout(serving.TIMEOUT_S),
                serving.serve(*pieces, keeps_open=True) as server,
            ):
                client = services.Client(
                    address=server.address, connect_timeout_ms=5_000
                )
                await work(client, server)
                await client.close()

        asyncio.run(run())

    def test_request_and_response(self) -> None:
        async def check(
            client: services.Client, server: serving.RawServer
        ) -> None:
            response = await client.call(
                'POST',
                '/a',
                timeout_ms=5_000,
                params={'key': 'op/x y&z', 'after': ''},
                headers=[(b'X-One', b'1')],
            )
            self.assertEqual(404, response.status)
            self.assertEqual(b'ok', response.content)
            self.assertEqual('3', response.get_header('store-era'))
            self.assertEqual('', response.get_header('other'))
            host = server.address.encode()
            self.assertEqual(
                [
                    b'POST /a?key=op/x+y%26z&after= HTTP/1.1\r\n'
                    b'host: ' + host + b'\r\nX-One: 1\r\n'
                    b'content-length: 0\r\n\r\n'
                ],
                server.requests,
            )

        self._run(check, OK)

    # Guards against a duty that is held longer than its lease by a call.
    def test_slow_response(self) -> None:
        async def check(
            client: services.Client, server: serving.RawServer
        ) -> None:
            with self.assertRaises(TimeoutError):
                await client.call('GET', '/', timeout_ms=30)
            while not server.closed_count:
                await asyncio.sleep(0.001)

        self._run(check, b'HTTP/1.1 200 OK\r\n', *[b'X: y\r\n'] * 20)

    # Guards against a watch that waits on a connection that was closed.
    def test_close_ends_calls(self) -> None:
        async def check(
            client: services.Client, server: serving.RawServer
        ) -> None:
            for is_sent in (False, True):
                call = asyncio.ensure_future(
                    client.call('GET', '/', timeout_ms=60_000)
                )
                await asyncio.sleep(0)
                while is_sent and not server.requests:
                    await asyncio.sleep(0.001)
                await client.close()
                error = connections.CutError
                if not is_sent:
                    error = connections.ConnectError
                with self.assertRaises(error):
                    await call

        self._run(check, b'HTTP/1.1 200 OK\r\n')

    def test_nothing_listens(self) -> None:
        async def run() -> None:
            async with serving.serve(OK) as server:
                pass
            client = services.Client(
                address=server.address, connect_timeout_ms=500
            )
            with self.assertRaises(connections.ConnectError):
                await client.call('GET', '/', timeout_ms=5_000)

        asyncio.run(run())


class TestStalls(testtools.TestCase):
    """A response that came in time counts, however late it is read."""

    def _call(
        self, pieces: int, answer_s: float
    ) -> services.Response | TimeoutError:
        """Call a service while the event loop stands still.

        :param pieces: number of callbacks that hold it up one after another.
        :param answer_s: time after which the service answers.
        """

        def answer(listener: socket.socket) -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(1 << 16)
                time.sleep(answer_s)
                # Nobody waits for a late answer.
                with contextlib.suppress(OSError):
                    connection.sendall(OK)
                    connection.recv(1)

        async def run(address: str) -> services.Response | TimeoutError:
            client = services.Client(address=address, connect_timeout_ms=5_000)
            loop = asyncio.get_running_loop()
            for number in range(pieces):
                loop.call_later(0.1 + number / 1_000, time.sleep, 1 / pieces)
            try:
                return await client.call('GET', '/', timeout_ms=500)
            except TimeoutError as error:
                return error
            finally:
                await client.close()

        with socket.create_server(('127.0.0.1', 0)) as listener:
            thread = threading.Thread(target=answer, args=[listener])
            thread.start()
            host, port = listener.getsockname()
            result = asyncio.run(run(f'{host}:{port}'))
            thread.join()
        return result

    # Guards against calls to the store that fail though it has answered, as
    # the node itself stood still.
    def test_response_came_during_a_stall(self) -> None:
        for pieces in (1, 40):
            response = self._call(pieces, answer_s=0.2)
            self.assertIsInstance(response, services.Response)

    def test_response_came_after_a_stall(self) -> None:
        self.assertIsInstance(self._call(1, answer_s=1.5), TimeoutError)
