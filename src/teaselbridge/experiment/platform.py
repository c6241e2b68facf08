"""Simulated key-value store of the deployment platform."""

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

# Round trip of a call; the call takes effect after half of it.
CALL_ROUND_TRIP_MS = 3.0
# Time after which a call fails while the store is down.
CALL_TIMEOUT_MS = 1_500.0

PostEvent: typing.TypeAlias = 'collections.abc.Callable[[events.Event], None]'


@dataclasses.dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    lease: int


@dataclasses.dataclass(slots=True)
class _Lease:
    ends: float
    ttl: float


class SimulatedStore:
    """Simulated key-value store with leases and compare-and-swap.

    :param time: event queue in virtual time.
    """

    def __init__(self, *, time: schedule.EventQueue) -> None:
        self._time = time
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._revision = 1
        self.is_down = False
        self.read_count = 0
        self.writes = 0

    def execute_call(self, effect: effects.KeyCall, post: PostEvent) -> None:
        """Execute a call and post its result after the latency.

        :param post: receives the result.
        """
        writes = not isinstance(effect, effects.ReadKey)
        self.writes += writes
        self.read_count += not writes
        if self.is_down:
            failed = events.KeyFailed(effect.ticket, writes)
            self._time.call_later(CALL_TIMEOUT_MS, lambda: post(failed))
            return

        def execute() -> None:
            event = self._execute(effect)
            self._time.call_later(CALL_ROUND_TRIP_MS / 2, lambda: post(event))

        self._time.call_later(CALL_ROUND_TRIP_MS / 2, execute)

    def get_watched_configuration(self) -> events.KeyRead:
        """Return the configuration as a watch reports it."""
        item = self._get_item(configuration.CONFIGURATION_KEY)
        ticket = tickets.ConfigurationTicket()
        if item is None:
            return events.KeyRead(ticket, None, 0)
        return events.KeyRead(ticket, item.value, item.revision)

    def put_unconditionally(self, key: str, value: bytes) -> None:
        """Write a key without a lease or a comparison of revisions."""
        self._revision += 1
        self._items[key] = _Item(value, self._revision, 0)

    def _get_item(self, key: str) -> _Item | None:
        """Return an item unless it is missing or its lease has expired."""
        item = self._items.get(key)
        if item is None or not item.lease:
            return item
        has_expired = self._leases[item.lease].ends <= self._time.now
        return None if has_expired else item

    def _execute(self, effect: effects.KeyCall) -> events.Event:
        match effect:
            case effects.SwapKey():
                return self._compare_and_swap(effect)
            case effects.GrantLease():
                number = len(self._leases) + 1
                ends = self._time.now + effect.ttl_ms
                self._leases[number] = _Lease(ends, effect.ttl_ms)
                return events.LeaseGranted(effect.ticket, number)
            case effects.RenewLease():
                lease = self._leases[effect.number]
                is_valid = lease.ends > self._time.now
                if is_valid:
                    lease.ends = self._time.now + lease.ttl
                return events.LeaseRenewed(effect.ticket, is_valid)
            case effects.RevokeLease():
                self._leases[effect.number].ends = self._time.now
                return events.LeaseRenewed(effect.ticket, False)
            case effects.ReadKey():
                item = self._get_item(effect.key)
                if item is None:
                    return events.KeyRead(effect.ticket, None, 0)
                return events.KeyRead(effect.ticket, item.value, item.revision)

    def _compare_and_swap(self, effect: effects.SwapKey) -> events.KeySwapped:
        item = self._get_item(effect.key)
        revision = 0 if item is None else item.revision
        if revision != effect.revision:
            return events.KeySwapped(effect.ticket, False, 0)
        self._revision += 1
        self._items[effect.key] = _Item(
            effect.value, self._revision, effect.lease
        )
        return events.KeySwapped(effect.ticket, True, self._revision)
