"""Tests of sockets that are opened before the server starts."""

from __future__ import annotations

import asyncio
import socket
import typing

import testtools

from teaselbridge.gateway import asgi
from teaselbridge.runtime import listening
from teaselbridge.runtime import web
from teaselbridge.standins import ports


async def respond_ok(
    scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
) -> None:
    """Answer every request with 200."""
    await asgi.send_response(send, 200, [], b'here')


def get_free_address() -> str:
    """Return an ``ip:port`` that nothing listens on."""
    return f'127.0.0.1:{ports.find_free_port()}'


def address_of(listener: socket.socket) -> str:
    """Return the ``ip:port`` of a socket."""
    host, port = listener.getsockname()
    return f'{host}:{port}'


class TestListen(testtools.TestCase):
    """Requests to a starting server wait instead of being refused."""

    def test_request_sent_before_the_start_is_answered(self) -> None:
        async def run() -> bytes:
            with listening.listen(get_free_address()) as listener:
                caller = socket.create_connection(listener.getsockname())
                with caller:
                    caller.sendall(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
                    server = web.HttpListener(
                        app=typing.cast('typing.Any', respond_ok),
                        address=address_of(listener),
                        listener=listener,
                    )
                    await server.start()
                    caller.setblocking(False)
                    loop = asyncio.get_running_loop()
                    answer = await loop.sock_recv(caller, 4_096)
                await server.stop()
                return answer

        self.assertIn(b'200 OK', asyncio.run(run()))

    def test_each_address_once(self) -> None:
        address = get_free_address()
        listeners = listening.listen_all((address, '', address))
        for listener in listeners.values():
            listener.close()
        self.assertEqual([address], list(listeners))

    def test_address_in_use(self) -> None:
        with listening.listen(get_free_address()) as listener:
            address = address_of(listener)
            self.assertRaises(OSError, listening.listen, address)
