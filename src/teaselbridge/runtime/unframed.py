"""Responses that end with their connection, for callers that know no chunks.

HTTP/1.0 has no other way to send a body whose length is not known at its
start (RFC 9112, 6.1 and 6.3).
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from uvicorn.protocols.http import httptools_impl

    from teaselbridge.gateway import asgi
    from teaselbridge.runtime import lingering

BODILESS_STATUSES = frozenset({204, 304})


class Sender:
    """Sends one response; without a length, it ends with the connection.

    The connection is reset if it is closed before the response is complete,
    for any reason: otherwise what was sent would look complete.

    :param cycle: request of an HTTP/1.0 caller.
    :param transport: transport of its connection.
    """

    def __init__(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        transport: lingering.LingeringTransport,
    ) -> None:
        self._cycle = cycle
        self._transport = transport
        self._send: asgi.Send = typing.cast('asgi.Send', cycle.send)
        self._is_unframed = False

    async def send(self, message: asgi.Message) -> None:
        """Send a message of the application."""
        cycle = self._cycle
        if message['type'] == 'http.response.start':
            self._is_unframed = self._needs_end(message)
            if self._is_unframed:
                # Neither is the library to send chunks.
                cycle.chunked_encoding = False
                self._transport.set_unframed(True)
        elif self._is_unframed:
            # The library compares each part with the length that is left.
            cycle.expected_content_length = len(message.get('body', b''))
            if not message.get('more_body', False):
                await self._send({**message, 'more_body': True})
                message = {'type': message['type'], 'body': b''}
                # Nothing is left that the end of the process could discard.
                await cycle.flow.drain()
                self._transport.set_unframed(False)
        await self._send(message)

    def _needs_end(self, message: asgi.Message) -> bool:
        """Return whether nothing but the connection tells the end."""
        return (
            self._cycle.scope['method'] != 'HEAD'
            and message['status'] not in BODILESS_STATUSES
            and not any(
                name.lower() == b'content-length'
                for name, _ in message['headers']
            )
        )
