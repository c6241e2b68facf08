"""Transport that closes its connection in steps (RFC 9112, 9.6).

The kernel resets a connection that is closed with unread bytes, or to which
bytes come later, and discards what it has not sent yet.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import typing

from teaselbridge import clock

# How long the peer may take to close its side once all was written.
LINGER_MS = 1_000


class LingeringTransport(asyncio.Transport):
    """Transport whose `close` ends only the direction to the peer.

    The connection is closed once the peer has closed its side, or after
    `LINGER_MS`. What is received until then is dropped.

    :param transport: transport of the connection.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport
        self._is_ended = False
        self._is_unframed = False
        self._timer: asyncio.TimerHandle | None = None
        # Each event of a stream is written, so that this is no method.
        self.write = transport.write  # type: ignore[method-assign]

    def get_extra_info(
        self, name: str, default: typing.Any = None
    ) -> typing.Any:
        """Return what is known of the connection."""
        return self._transport.get_extra_info(name, default)

    def set_unframed(self, enabled: bool) -> None:
        """Set whether `close` would read as the end of the answer.

        The connection is then reset instead, by any close of it.
        """
        if self.is_closing():
            return
        self._is_unframed = enabled
        if enabled:
            self._transport.set_write_buffer_limits(0)
        self._transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            struct.pack('ii', int(enabled), 0),
        )

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that were not sent yet."""
        return self._transport.get_write_buffer_size()

    def pause_reading(self) -> None:
        """Stop to read."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection and discard what was not sent."""
        self._transport.abort()

    def is_closing(self) -> bool:
        """Return whether nothing more may be written."""
        return self._is_ended or self._transport.is_closing()

    def close(self) -> None:
        """End the direction to the peer when all was written."""
        if self.is_closing():
            return
        if self._is_unframed:
            self.close_at_once()
            return
        self._is_ended = True
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
            return
        self._transport.resume_reading()
        self._start_timer()

    def close_at_once(self) -> None:
        """Close the connection, both directions."""
        self._is_ended = True
        self._cancel_timer()
        self._transport.close()

    def connection_lost(self) -> None:
        """Stop to wait for the peer."""
        self._is_ended = True
        self._cancel_timer()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            clock.seconds(LINGER_MS), self._close_if_written
        )

    def _close_if_written(self) -> None:
        self._timer = None
        if self._transport.get_write_buffer_size():
            self._start_timer()
        else:
            self._transport.close()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
