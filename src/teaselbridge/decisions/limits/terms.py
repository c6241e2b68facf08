"""Terms that backend servers state in their answers.

Answers overtake each other, and other nodes pass on what they were told, so
terms are ordered by when the request was sent and when its answer came. A
server states its terms at some moment between the two.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Terms on which a backend server takes requests.

    :param rate: most requests per second from all nodes together, none
        where it takes any number.
    :param refusals: refusals per second, for want of room, beyond which it
        fails; none where it bears any number.
    """

    rate: float | None = None
    refusals: float | None = None

    @property
    def is_restrictive(self) -> bool:
        """Whether the server asks for any restraint."""
        return self.rate is not None or self.refusals is not None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Statement:
    """Terms of one server, and when it stated them.

    :param asked_at: monotonic milliseconds at which the request was sent.
    :param heard_at: monotonic milliseconds at which its answer came.
    """

    terms: Terms
    asked_at: int
    heard_at: int

    def merge(self, other: Statement) -> Statement:
        """Return the later statement, or the stricter of both.

        The stricter terms hold where the order is not certain.
        """
        if other.asked_at >= self.heard_at:
            return other
        if self.asked_at >= other.heard_at:
            return self
        return Statement(
            terms=Terms(
                rate=_get_least(self.terms.rate, other.terms.rate),
                refusals=_get_least(self.terms.refusals, other.terms.refusals),
            ),
            asked_at=max(self.asked_at, other.asked_at),
            heard_at=max(self.heard_at, other.heard_at),
        )


class StatedTerms:
    """Latest statement of each backend server that made one.

    A host stands for one lifetime of its server, so that a restarted server
    begins without terms.

    Attributes:

    * ``invalid_hosts``: hosts whose last answer had terms that cannot be
      used.
    """

    def __init__(self) -> None:
        self._by_host: dict[str, Statement] = {}
        self._changed: dict[str, None] = {}
        self._recorded_at: dict[str, int] = {}
        self.invalid_hosts: set[str] = set()

    @property
    def restricted_hosts(self) -> list[str]:
        """Hosts whose servers ask for any restraint."""
        return [
            host
            for host, known in self._by_host.items()
            if known.terms.is_restrictive
        ]

    def get(self, host: str) -> Terms:
        """Return the terms of a server, unrestrictive ones if unknown."""
        known = self._by_host.get(host)
        return Terms() if known is None else known.terms

    def get_statement(self, host: str) -> Statement | None:
        """Return the latest statement of a server, none if it made none."""
        return self._by_host.get(host)

    def merge(self, host: str, statement: Statement) -> bool:
        """Merge a statement.

        Servers that never asked for restraint are not remembered.

        :return: whether the terms of the server changed.
        """
        known = self._by_host.get(host)
        if known is None:
            if not statement.terms.is_restrictive:
                return False
            self._by_host[host] = statement
            self._changed[host] = None
            return True
        merged = self._by_host[host] = known.merge(statement)
        if merged.terms == known.terms:
            return False
        self._changed[host] = None
        return True

    def take_changed(self, most: int) -> list[str]:
        """Return and clear hosts whose terms changed, at most so many."""
        hosts = list(self._changed)[:most]
        for host in hosts:
            del self._changed[host]
        return hosts

    def take_next(self, most: int) -> list[str]:
        """Return hosts by turns, at most so many."""
        hosts = list(self._by_host)[:most]
        for host in hosts:
            self._by_host[host] = self._by_host.pop(host)
        return hosts

    def try_record(
        self, host: str, interval_ms: int, now: clock.Instant
    ) -> bool:
        """Return whether a change may be recorded, and note that it is.

        :param interval_ms: least time between two records of one server.
        """
        recorded_at = self._recorded_at.get(host)
        if recorded_at is not None and now.mono - recorded_at < interval_ms:
            return False
        self._recorded_at[host] = now.mono
        return True

    def forget_gone(
        self,
        hosts: collections.abc.Container[str],
        max_age_ms: int,
        now: clock.Instant,
    ) -> None:
        """Forget servers that are not listed and said nothing for a time.

        :param hosts: listed hosts.
        """
        for host, known in list(self._by_host.items()):
            if host in hosts or now.mono - known.heard_at < max_age_ms:
                continue
            del self._by_host[host]
            self._recorded_at.pop(host, None)
        self.invalid_hosts = {
            host for host in self.invalid_hosts if host in hosts
        }


def _get_least(first: float | None, second: float | None) -> float | None:
    """Return the stricter of two limits, where none stands for no limit."""
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)
