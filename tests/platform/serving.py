"""A server on loopback whose responses are given byte for byte."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

# Long enough for a busy machine.
TIMEOUT_S = 20.0
# Time between two pieces, so that each is received on its own.
PIECE_DELAY_S = 0.02


class RawServer:
    """Answers each request by the same bytes.

    :param pieces: bytes that are sent one after the other.
    :param keeps_open: whether connections stay open after the response.
    :ivar requests: bytes of the requests, in their order.
    :ivar connection_count: number of connections that were accepted.
    :ivar closed_count: number of connections that the client closed.
    """

    def __init__(self, pieces: tuple[bytes, ...], *, keeps_open: bool) -> None:
        self._pieces = pieces
        self._keeps_open = keeps_open
        self.requests: list[bytes] = []
        self.address = ''
        self.connection_count = 0
        self.closed_count = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests.append(head)
                for number, piece in enumerate(self._pieces):
                    if number:
                        await asyncio.sleep(PIECE_DELAY_S)
                    writer.write(piece)
                    await writer.drain()
                if not self._keeps_open:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_count += 1
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def serve(
    *pieces: bytes, keeps_open: bool = False
) -> collections.abc.AsyncIterator[RawServer]:
    """Run a server that answers by some bytes.

    :param keeps_open: whether connections stay open after the response.
    """
    raw = RawServer(pieces, keeps_open=keeps_open)
    server = await asyncio.start_server(raw.handle, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    raw.address = f'{host}:{port}'
    try:
        yield raw
    finally:
        server.close()
