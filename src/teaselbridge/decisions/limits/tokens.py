"""Token buckets of the requests that this node may send to servers."""

from __future__ import annotations

import dataclasses
import math
import typing

from teaselbridge import clock as clocks

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock

# Time for which unused tokens are kept, so that requests that come unevenly
# can use the rate.
MAX_SAVED_MS = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class Bucket:
    """Token bucket for one server; it starts empty.

    :param per_s: tokens added per second.
    :param level: tokens left.
    :param updated_at: monotonic milliseconds of the last refill.
    """

    per_s: float
    level: float
    updated_at: int

    def refill(self, now: clock.Instant) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed_ms = max(0, now.mono - self.updated_at)
        most = max(1.0, self.per_s * MAX_SAVED_MS / clocks.SECOND_MS)
        added = self.per_s * elapsed_ms / clocks.SECOND_MS
        self.level = min(most, self.level + added)
        self.updated_at = now.mono


class Buckets:
    """Buckets by host, for the servers that named a rate."""

    def __init__(self) -> None:
        self._by_host: dict[str, Bucket] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no server names a rate."""
        return not self._by_host

    def set_rate(self, host: str, per_s: float, now: clock.Instant) -> None:
        """Set the rate of a server's bucket, and create it if needed.

        :param per_s: requests per second; 0 also empties the bucket.
        """
        bucket = self._by_host.get(host)
        if bucket is None:
            bucket = self._by_host[host] = Bucket(
                per_s=per_s, level=0.0, updated_at=now.mono
            )
        bucket.refill(now)
        bucket.per_s = per_s
        if not per_s:
            bucket.level = 0.0

    def remove_others(self, hosts: collections.abc.Container[str]) -> None:
        """Remove the buckets of all servers but these."""
        for host in list(self._by_host):
            if host not in hosts:
                del self._by_host[host]

    def remove(self, host: str) -> None:
        """Remove the bucket of a server that takes any rate."""
        self._by_host.pop(host, None)

    def has_rate(self, host: str) -> bool:
        """Return whether this node may send requests to a server at all."""
        bucket = self._by_host.get(host)
        return bucket is None or bucket.per_s > 0

    def may_send(self, host: str, now: clock.Instant) -> bool:
        """Return whether a request may be sent to a server now."""
        bucket = self._by_host.get(host)
        if bucket is None:
            return True
        bucket.refill(now)
        return bucket.level >= 1

    def spend(self, host: str) -> None:
        """Take a token for a request that is sent to a server."""
        bucket = self._by_host.get(host)
        if bucket is not None:
            bucket.level -= 1

    def predict_wait_ms(
        self, hosts: list[str], ahead: int, now: clock.Instant
    ) -> float:
        """Predict when a request can be sent to any of some servers.

        :param ahead: requests that wait for the same servers before it.
        :return: milliseconds; 0 if one of the servers takes any rate,
            infinite if this node may send to none of them.
        """
        buckets = [self._by_host.get(host) for host in hosts]
        level = per_s = 0.0
        for bucket in buckets:
            if bucket is None:
                return 0.0
            bucket.refill(now)
            level += bucket.level
            per_s += bucket.per_s
        if not per_s:
            return math.inf
        return max(0.0, (ahead + 1 - level) / per_s * clocks.SECOND_MS)
