"""Model of the platform in virtual time: keys, leases, prices."""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import tickets

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.experiment import schedule

CALL_MS = 3.0
TIMEOUT_MS = 1_500.0

Post: typing.TypeAlias = 'collections.abc.Callable[[events.Event], None]'


@dataclasses.dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    lease: int


@dataclasses.dataclass(slots=True)
class _Lease:
    ends: float
    ttl: float


class KeyValue:
    """The key-value service.

    :param time: virtual time.
    """

    def __init__(self, *, time: schedule.Schedule) -> None:
        self._time = time
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._revision = 1
        self.down = False
        self.reads = 0
        self.writes = 0

    def perform(self, effect: effects.KeyCall, post: Post) -> None:
        """Answer a call after a while."""
        writes = not isinstance(effect, effects.ReadKey)
        self.writes += writes
        self.reads += not writes
        if self.down:
            failed = events.KeyFailed(effect.ticket, writes)
            self._time.later(TIMEOUT_MS, lambda: post(failed))
            return

        def act() -> None:
            event = self._act(effect)
            self._time.later(CALL_MS / 2, lambda: post(event))

        self._time.later(CALL_MS / 2, act)

    def watched(self) -> events.KeyRead:
        """Give what a watch of the configuration tells."""
        item = self._get(configuration.KEY)
        ticket = tickets.WatchTicket()
        if item is None:
            return events.KeyRead(ticket, None, 0)
        return events.KeyRead(ticket, item.value, item.revision)

    def put(self, key: str, value: bytes) -> None:
        """Write a key without comparing."""
        self._revision += 1
        self._items[key] = _Item(value, self._revision, 0)

    def _get(self, key: str) -> _Item | None:
        item = self._items.get(key)
        if item is None or not item.lease:
            return item
        ended = self._leases[item.lease].ends <= self._time.now
        return None if ended else item

    def _act(self, effect: effects.KeyCall) -> events.Event:
        match effect:
            case effects.SwapKey():
                return self._swap(effect)
            case effects.GrantLease():
                number = len(self._leases) + 1
                ends = self._time.now + effect.ttl_ms
                self._leases[number] = _Lease(ends, effect.ttl_ms)
                return events.LeaseGranted(effect.ticket, number)
            case effects.KeepLease():
                lease = self._leases[effect.number]
                stands = lease.ends > self._time.now
                if stands:
                    lease.ends = self._time.now + lease.ttl
                return events.LeaseKept(effect.ticket, stands)
            case effects.RevokeLease():
                self._leases[effect.number].ends = self._time.now
                return events.LeaseKept(effect.ticket, False)
            case effects.ReadKey():
                item = self._get(effect.key)
                if item is None:
                    return events.KeyRead(effect.ticket, None, 0)
                return events.KeyRead(effect.ticket, item.value, item.revision)

    def _swap(self, effect: effects.SwapKey) -> events.KeySwapped:
        item = self._get(effect.key)
        revision = 0 if item is None else item.revision
        if revision != effect.revision:
            return events.KeySwapped(effect.ticket, False, 0)
        self._revision += 1
        self._items[effect.key] = _Item(
            effect.value, self._revision, effect.lease
        )
        return events.KeySwapped(effect.ticket, True, self._revision)
