"""Memory for the bodies of requests, shared by all listeners of a node."""

from __future__ import annotations

# Part of each body that is not counted.
FREE_BYTES = 64 << 10
# A body is held up to twice, as received and as it is sent on; the smallest
# hosts have 160 MB.
MAX_LARGE_BYTES = 32 << 20


class BodyBudget:
    """Memory for what bodies hold beyond `FREE_BYTES`.

    :param capacity_bytes: largest sum. A body that is alone may be larger.
    """

    def __init__(self, *, capacity_bytes: int = MAX_LARGE_BYTES) -> None:
        self._capacity_bytes = capacity_bytes
        self._reserved_bytes = 0

    def reserve(self, size: int, own_bytes: int) -> bool:
        """Reserve memory if there is enough.

        :param size: bytes to reserve.
        :param own_bytes: bytes that the same request has reserved before.
        :return: whether they were reserved.
        """
        is_alone = self._reserved_bytes == own_bytes
        if not is_alone and self._reserved_bytes + size > self._capacity_bytes:
            return False
        self._reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back memory that was reserved."""
        self._reserved_bytes -= size


class Reservation:
    """Memory that one request has reserved.

    :param budget: memory of the node.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def grow(self, size: int) -> bool:
        """Reserve the memory for a body that is read so far.

        :param size: bytes of the body.
        :return: whether there is enough.
        """
        more = max(0, size - FREE_BYTES) - self._reserved_bytes
        if more <= 0:
            return True
        if not self._budget.reserve(more, self._reserved_bytes):
            return False
        self._reserved_bytes += more
        return True

    def release(self) -> None:
        """Give back all memory."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
