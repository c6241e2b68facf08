"""Tests of sockets that listen before the program does."""

from __future__ import annotations

import asyncio
import socket
import typing

import testtools

from teaselbridge.gateway import asgi
from teaselbridge.runtime import listening
from teaselbridge.runtime import web
from teaselbridge.standins import hosting


async def greet(
    scope: asgi.Message, receive: asgi.Receive, send: asgi.Send
) -> None:
    """Answer anything."""
    await asgi.respond(send, 200, [], b'here')


def free_address() -> str:
    """Give an address that nothing listens on."""
    return f'127.0.0.1:{hosting.free_port()}'


def address_of(listener: socket.socket) -> str:
    """Give a socket's ``ip:port``."""
    host, port = listener.getsockname()
    return f'{host}:{port}'


class TestListen(testtools.TestCase):
    """Callers wait for a server that has not started yet."""

    def test_request_sent_before_the_start_is_answered(self) -> None:
        async def run() -> bytes:
            with listening.listen(free_address()) as listener:
                caller = socket.create_connection(listener.getsockname())
                with caller:
                    caller.sendall(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
                    server = web.Web(
                        app=typing.cast('typing.Any', greet),
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
        address = free_address()
        listeners = listening.listen_all((address, '', address))
        for listener in listeners.values():
            listener.close()
        self.assertEqual([address], list(listeners))

    def test_taken_address(self) -> None:
        with listening.listen(free_address()) as listener:
            address = address_of(listener)
            self.assertRaises(OSError, listening.listen, address)
