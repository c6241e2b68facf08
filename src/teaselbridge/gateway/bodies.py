"""Memory for the bodies of requests, shared by all listeners of a node."""

from __future__ import annotations

# Part of each body that needs no room.
FREE_BYTES = 64 << 10
# A body is held up to twice, as received and as it is sent on; the smallest
# hosts have 160 MB.
MAX_LARGE_BYTES = 32 << 20


class Room:
    """Room for what bodies hold beyond `FREE_BYTES`.

    :param most: largest sum in bytes.
    """

    def __init__(self, *, most: int = MAX_LARGE_BYTES) -> None:
        self._left = most

    def take(self, size: int) -> bool:
        """Take room if there is enough.

        :return: whether it was taken.
        """
        if size > self._left:
            return False
        self._left -= size
        return True

    def give_back(self, size: int) -> None:
        """Give back room that was taken."""
        self._left += size


class Claim:
    """Room that one request has taken.

    :param room: room of the node.
    """

    def __init__(self, room: Room) -> None:
        self._room = room
        self._taken = 0

    def grow(self, size: int) -> bool:
        """Take the room for a body that is read so far.

        :param size: bytes of the body.
        :return: whether there is enough.
        """
        more = max(0, size - FREE_BYTES) - self._taken
        if more <= 0:
            return True
        if not self._room.take(more):
            return False
        self._taken += more
        return True

    def release(self) -> None:
        """Give back all room."""
        self._room.give_back(self._taken)
        self._taken = 0
