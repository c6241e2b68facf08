"""Timeline of the events of all nodes, ordered by hybrid logical time.

A stamp is wall-clock time that never decreases and is never below the stamp
of a received message, so that causes are ordered before their effects on
all nodes (Kulkarni et al., hybrid logical clocks).
"""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import effects

STAMPS_PER_MS = 1 << 16


class HybridClock:
    """Hybrid logical clock.

    A stamp holds wall-clock milliseconds and a counter in one number.
    """

    def __init__(self) -> None:
        self._last = 0

    def stamp(self, wall: int) -> int:
        """Return the next stamp.

        :param wall: wall-clock milliseconds.
        :return: a number above all earlier stamps.
        """
        self._last = max(self._last + 1, wall * STAMPS_PER_MS)
        return self._last

    def merge_stamp(self, received: int, wall: int) -> None:
        """Advance the clock to the stamp of a received message.

        :param received: stamp of the message.
        :param wall: wall-clock milliseconds of this node.
        """
        self._last = max(self._last, received, wall * STAMPS_PER_MS)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One event of the timeline.

    :param stamp: hybrid logical time.
    :param node: node that recorded the event.
    :param mark: kind of the event.
    :param request: id of the request.
    :param route: name of the route.
    :param pool: name of the pool.
    :param host: host or node that the event concerns.
    :param detail: cause and figures, as text.
    """

    stamp: int
    node: str
    mark: str
    request: str = ''
    route: str = ''
    pool: str = ''
    host: str = ''
    detail: str = ''

    @property
    def wall(self) -> int:
        """Wall-clock milliseconds of the stamp."""
        return self.stamp // STAMPS_PER_MS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Filter:
    """Criteria that select entries; an empty field matches all.

    :param request: id of the request.
    :param route: name of the route.
    :param pool: name of the pool.
    :param host: host that the entry concerns, or node that recorded it.
    :param mark: kind of the event, or a prefix of it.
    :param since: smallest stamp.
    """

    request: str = ''
    route: str = ''
    pool: str = ''
    host: str = ''
    mark: str = ''
    since: int = 0

    def matches(self, entry: Entry) -> bool:
        """Return whether an entry matches all criteria."""
        return (
            entry.stamp >= self.since
            and self.request in ('', entry.request)
            and self.route in ('', entry.route)
            and self.pool in ('', entry.pool)
            and self.host in ('', entry.host, entry.node)
            and entry.mark.startswith(self.mark)
        )


class Timeline:
    """The latest events of one node.

    :param node: name of the node.
    :param most: largest number of events to keep.
    """

    def __init__(self, *, node: str, most: int) -> None:
        self._node = node
        self._entries: collections.deque[Entry] = collections.deque(
            maxlen=most
        )

    def add(self, record: effects.RecordEntry, stamp: int) -> Entry:
        """Add an event.

        :param record: event to add.
        :param stamp: hybrid logical time of the event.
        :return: the new entry.
        """
        entry = Entry(
            stamp=stamp,
            node=self._node,
            mark=record.mark.value,
            request=record.request,
            route=record.route,
            pool=record.pool,
            host=record.host,
            detail=record.detail,
        )
        self._entries.append(entry)
        return entry

    def select(self, wanted: Filter) -> tuple[Entry, ...]:
        """Return the entries that match a filter."""
        return tuple(entry for entry in self._entries if wanted.matches(entry))


def merge_entries(parts: list[tuple[Entry, ...]]) -> tuple[Entry, ...]:
    """Merge the entries of several nodes, ordered by stamp."""
    entries = [entry for part in parts for entry in part]
    entries.sort(key=lambda entry: (entry.stamp, entry.node))
    return tuple(entries)
