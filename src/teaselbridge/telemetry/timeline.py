"""Time line of events over all nodes, in hybrid logical time.

A stamp is wall time that never runs backwards and is never below that of a
message received, so causes stand before effects on all nodes (Kulkarni et
al., hybrid logical clocks).
"""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import effects

COUNTER_SPAN = 1 << 16


class HybridClock:
    """Gives stamps: wall milliseconds and a counter in one number."""

    def __init__(self) -> None:
        self._last = 0

    def stamp(self, wall: int) -> int:
        """Give the next stamp.

        :param wall: wall milliseconds.
        :return: a number above all before it.
        """
        self._last = max(self._last + 1, wall * COUNTER_SPAN)
        return self._last

    def merge(self, heard: int, wall: int) -> None:
        """Take in the stamp of a message.

        :param heard: stamp of its sender.
        :param wall: wall milliseconds here.
        """
        self._last = max(self._last, heard, wall * COUNTER_SPAN)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One event.

    :param stamp: hybrid logical time.
    :param node: node that saw it.
    :param mark: kind of the event.
    :param request: id of the request.
    :param route: name of the route.
    :param pool: name of the pool.
    :param host: host or node that it is about.
    :param detail: cause and figures.
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
        """Wall milliseconds of the stamp."""
        return self.stamp // COUNTER_SPAN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Filter:
    """Which entries are wanted; empty fields let all through.

    :param mark: kind of the event, or how its kind begins.
    :param since: smallest stamp.
    """

    request: str = ''
    route: str = ''
    pool: str = ''
    host: str = ''
    mark: str = ''
    since: int = 0

    def lets(self, entry: Entry) -> bool:
        """Tell whether an entry is wanted."""
        return (
            entry.stamp >= self.since
            and self.request in ('', entry.request)
            and self.route in ('', entry.route)
            and self.pool in ('', entry.pool)
            and self.host in ('', entry.host, entry.node)
            and entry.mark.startswith(self.mark)
        )


class Timeline:
    """The last events of one node.

    :param node: name of the node.
    :param most: events to keep.
    """

    def __init__(self, *, node: str, most: int) -> None:
        self._node = node
        self._entries: collections.deque[Entry] = collections.deque(
            maxlen=most
        )

    def add(self, record: effects.Record, stamp: int) -> Entry:
        """Add an event.

        :return: the entry, for the log.
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
        """List the entries that a filter lets through."""
        return tuple(entry for entry in self._entries if wanted.lets(entry))


def merge(parts: list[tuple[Entry, ...]]) -> tuple[Entry, ...]:
    """Merge the entries of several nodes in order of their stamps."""
    entries = [entry for part in parts for entry in part]
    entries.sort(key=lambda entry: (entry.stamp, entry.node))
    return tuple(entries)
