"""Free loopback ports that no two processes get at the same time."""

from __future__ import annotations

import fcntl
import pathlib
import random
import socket
import tempfile
import typing

# Below the ephemeral port range, so that no outgoing connection takes a port
# before its user listens on it.
MIN_PORT = 10_000
PORT_END = 32_000
# Ports are reserved in blocks, so that a process holds few lock files.
BLOCK_SIZE = 100


class PortReservations:
    """Ports that only this process gives out.

    A lock on a file reserves a block of ports. It ends with the process.

    :param folder: folder of the lock files, which all processes share.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._folder = folder
        self._generator = random.SystemRandom()
        self._locks: dict[int, typing.BinaryIO] = {}
        self._ports: list[int] = []

    def take(self) -> int:
        """Return a port of a reserved block.

        A port is given out again only when no block can be reserved.
        """
        if not self._ports:
            block = self._reserve_block()
            starts = list(self._locks) if block is None else [block]
            self._ports = [
                port
                for start in starts
                for port in range(start, start + BLOCK_SIZE)
            ]
        return self._ports.pop()

    def _reserve_block(self) -> int | None:
        """Return the first port of a newly reserved block, none if all are."""
        starts = list(range(MIN_PORT, PORT_END, BLOCK_SIZE))
        self._generator.shuffle(starts)
        self._folder.mkdir(exist_ok=True)
        for start in starts:
            if start in self._locks:
                continue
            lock = (self._folder / str(start)).open('wb')
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._locks[start] = lock
            return start
        return None


_RESERVATIONS = PortReservations(
    folder=pathlib.Path(tempfile.gettempdir()) / 'teaselbridge-ports'
)


def find_free_port() -> int:
    """Return a free loopback port that no other process is given."""
    while True:
        port = _RESERVATIONS.take()
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port
