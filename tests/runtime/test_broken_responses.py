"""Tests of responses whose application ends before they are complete."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import logging
import typing

import h11

from teaselbridge.gateway import asgi
from teaselbridge.runtime import web
from teaselbridge.standins import ports
from tests.runtime import test_web

if typing.TYPE_CHECKING:
    import collections.abc

VERSIONS = ('1.0', '1.1')
# What the application does, one letter a step: it starts a response of four
# bytes with a length or without one, sends the first two bytes, two more by
# the extension of the scope, or the last two.
STEPS = ('', 'l', 'ld', 'lde', 'n', 'nd', 'ndw', 'nde', 'ndwe', 'ne')
BLOCK = b'x' * 65_536
BLOCKS = 64


class Application:
    """Application that does what the target tells.

    :param listener: listener that is aborted by requests that wait.
    """

    listener: web.HttpListener

    async def __call__(
        self, scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serve one request."""
        _, steps, end = asgi.get_target(scope).decode().split('/')
        for step in steps:
            match step:
                case 'l':
                    length = (b'content-length', b'4')
                    await asgi.send_start(send, 200, [length])
                case 'n':
                    await asgi.send_start(send, 200, [])
                case 'd':
                    await asgi.send_body(send, b'ab', more=True)
                case 'w':
                    write = asgi.get_write(scope)
                    if write is None or not write(b'xy'):
                        await asgi.send_body(send, b'xy', more=True)
                case 'e':
                    await asgi.send_body(send, b'cd', more=False)
                case 'b':
                    for _ in range(BLOCKS):
                        await asgi.send_body(send, BLOCK, more=True)
        task = asyncio.current_task()
        assert task is not None
        match end:
            case 'raise':
                raise ValueError
            case 'cancel':
                task.cancel()
                await asyncio.sleep(0)
            case 'wait':
                await self.listener.abort()


@dataclasses.dataclass(frozen=True)
class Received:
    """What a caller receives.

    :param status: status of the response, none where there is no head.
    :param is_complete: whether it looks complete.
    """

    status: int | None
    headers: dict[bytes, bytes]
    body: bytes
    is_complete: bool


@contextlib.asynccontextmanager
async def serve() -> collections.abc.AsyncIterator[str]:
    """Run a listener with the application; return its address."""
    app = Application()
    address = f'127.0.0.1:{ports.find_free_port()}'
    app.listener = web.HttpListener(
        app=typing.cast('typing.Any', app), address=address, graceful_s=0.02
    )
    await app.listener.start()
    try:
        yield address
    finally:
        await app.listener.abort()


async def exchange(
    address: str, target: str, version: str, *, delay_s: float = 0
) -> Received:
    """Send a request and return what a caller of a version receives.

    :param delay_s: time after which the caller begins to read.
    """
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port), limit=1)
    writer.write(
        f'GET {target} HTTP/{version}\r\nHost: h\r\n'
        'Connection: close\r\n\r\n'.encode()
    )
    received = b''
    is_closed = False
    await asyncio.sleep(delay_s)
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(1 << 20):
            received += data
        is_closed = True
    writer.close()
    return parse(received, version, is_closed=is_closed)


def parse(received: bytes, version: str, *, is_closed: bool) -> Received:
    """Parse what a caller received.

    :param is_closed: whether the connection was closed, not reset.
    """
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=1 << 30)
    parser.send(h11.Request(method='GET', target='/', headers=[('Host', 'h')]))
    parser.send(h11.EndOfMessage())
    if received:
        parser.receive_data(received)
    if is_closed:
        parser.receive_data(b'')
    status, headers, body = None, {}, b''
    with contextlib.suppress(h11.RemoteProtocolError):
        while True:
            match parser.next_event():
                case h11.Response() as response:
                    status = response.status_code
                    headers = dict(response.headers)
                    if version == '1.0' and b'transfer-encoding' in headers:
                        _, _, body = received.partition(b'\r\n\r\n')
                        return Received(status, headers, body, is_closed)
                case h11.Data() as data:
                    body += data.data
                case h11.EndOfMessage():
                    return Received(status, headers, body, True)
                case _:
                    break
    return Received(status, headers, body, False)


class TestBrokenResponses(test_web.TestCase):
    """A response looks complete only if the application completed it."""

    def setUp(self) -> None:
        super().setUp()
        # The library logs each exception of the application.
        logger = logging.getLogger('uvicorn.error')
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.CRITICAL)

    def _check(self, received: Received, steps: str, where: str) -> None:
        sent = b''.join(
            {'d': b'ab', 'w': b'xy', 'e': b'cd'}.get(step, b'')
            for step in steps
        )
        if steps.endswith('e'):
            self.assertTrue(received.is_complete, where)
            self.assertEqual(sent, received.body, where)
        elif steps:
            self.assertFalse(received.is_complete, where)
            self.assertTrue(sent.startswith(received.body), where)
        elif received.status is not None:
            self.assertEqual(500, received.status, where)
            self.assertNotIn(b'teaselbridge-reply-stamp', received.headers)
            self.assertEqual(b'Internal Server Error', received.body)

    async def _check_case(
        self, address: str, version: str, steps: str, end: str
    ) -> None:
        received = await exchange(address, f'/{steps}/{end}', version)
        where = f'HTTP/{version}, {steps!r}, {end}: {received}'
        self._check(received, steps, where)

    # Guards against a response that looks complete although its application
    # has failed or was cancelled.
    def test_each_end(self) -> None:
        async def run() -> None:
            async with serve() as address:
                for version, steps, end in itertools.product(
                    VERSIONS, STEPS, ('return', 'raise', 'cancel')
                ):
                    await self._check_case(address, version, steps, end)

        self.run_coroutine(run())

    # Guards against a response that looks complete although it was ended with
    # the listener.
    def test_listener_is_aborted(self) -> None:
        async def run() -> None:
            for version, steps in itertools.product(VERSIONS, STEPS):
                async with serve() as address:
                    await self._check_case(address, version, steps, 'wait')

        self.run_coroutine(run())


class TestOldCallers(test_web.TestCase):
    """Callers that speak HTTP/1.0 get no chunks."""

    # Guards against sizes of chunks in the body of an HTTP/1.0 caller.
    def test_no_chunks(self) -> None:
        async def run() -> None:
            async with serve() as address:
                received = await exchange(address, '/ndwe/return', '1.0')
            self.assertNotIn(b'transfer-encoding', received.headers)
            self.assertEqual(b'abxycd', received.body)
            self.assertTrue(received.is_complete)

        self.run_coroutine(run())

    def test_slow_reader_gets_the_whole_response(self) -> None:
        async def run() -> None:
            async with serve() as address:
                received = await exchange(
                    address, '/nbe/return', '1.0', delay_s=0.2
                )
            self.assertTrue(received.is_complete)
            self.assertEqual(BLOCK * BLOCKS + b'cd', received.body)

        self.run_coroutine(run())

    # Guards against a response that looks complete although the rest was
    # discarded.
    def test_slow_reader_of_a_broken_response(self) -> None:
        async def run() -> None:
            for end in ('return', 'raise', 'wait'):
                async with serve() as address:
                    received = await exchange(
                        address, f'/nb/{end}', '1.0', delay_s=0.2
                    )
                self.assertFalse(received.is_complete, end)

        self.run_coroutine(run())
