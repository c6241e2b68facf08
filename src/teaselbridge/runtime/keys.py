"""Performs calls to the key-value service."""

from __future__ import annotations

import asyncio
import typing

from teaselbridge import clock
from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import tickets
from teaselbridge.ports import keyvalue

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops

WATCH_RETRY_MS = 500
WATCH_RETRY_MOST_MS = 5_000
LEASE_REUSE_MS = 60_000


class Keys:
    """Calls to the key-value service.

    :param store: the service.
    :param loop: takes the events.
    :param tasks: keeps the tasks.
    """

    def __init__(
        self,
        *,
        store: keyvalue.Cells,
        loop: loops.Loop,
        tasks: loops.Tasks,
    ) -> None:
        self._store = store
        self._loop = loop
        self._tasks = tasks
        self._leases: dict[int, _Lease] = {}
        loop.handle(effects.ReadKey, self._read)
        loop.handle(effects.SwapKey, self._swap)
        loop.handle(effects.GrantLease, self._grant)
        loop.handle(effects.KeepLease, self._keep)
        loop.handle(effects.RevokeLease, self._revoke)

    def _read(self, effect: effects.ReadKey) -> None:
        self._tasks.start(self._read_key(effect))

    def _swap(self, effect: effects.SwapKey) -> None:
        self._tasks.start(self._swap_key(effect))

    def _grant(self, effect: effects.GrantLease) -> None:
        self._tasks.start(self._grant_lease(effect))

    def _keep(self, effect: effects.KeepLease) -> None:
        self._tasks.start(self._keep_lease(effect))

    def _revoke(self, effect: effects.RevokeLease) -> None:
        self._tasks.start(self._revoke_lease(effect))

    async def _grant_lease(self, effect: effects.GrantLease) -> None:
        try:
            number = await self._store.grant(effect.ttl_ms)
        except keyvalue.KeyValueError as error:
            self._loop.post(events.KeyFailed(effect.ticket, error.in_doubt))
            return
        self._loop.post(events.LeaseGranted(effect.ticket, number))

    async def _keep_lease(self, effect: effects.KeepLease) -> None:
        try:
            stands = await self._store.keep(effect.number)
        except keyvalue.KeyValueError as error:
            self._loop.post(events.KeyFailed(effect.ticket, error.in_doubt))
            return
        self._loop.post(events.LeaseKept(effect.ticket, stands))

    async def _revoke_lease(self, effect: effects.RevokeLease) -> None:
        try:
            await self._store.revoke(effect.number)
        except keyvalue.KeyValueError:
            pass  # it lapses by itself

    async def _read_key(self, effect: effects.ReadKey) -> None:
        try:
            value = await self._store.get(effect.key, _purpose(effect.ticket))
        except keyvalue.KeyValueError as error:
            self._loop.post(events.KeyFailed(effect.ticket, error.in_doubt))
            return
        self._loop.post(
            events.KeyRead(effect.ticket, value.data, value.revision)
        )

    async def _swap_key(self, effect: effects.SwapKey) -> None:
        try:
            lease = effect.lease
            if effect.keep_ms:
                lease = await self._lease(effect.keep_ms)
            swap = await self._store.swap(
                effect.key,
                effect.value,
                effect.revision,
                _purpose(effect.ticket),
                lease,
            )
        except keyvalue.KeyValueError as error:
            self._leases.pop(effect.keep_ms, None)
            self._loop.post(events.KeyFailed(effect.ticket, error.in_doubt))
            return
        self._loop.post(
            events.KeySwapped(effect.ticket, swap.swapped, swap.revision)
        )

    async def _lease(self, keep_ms: int) -> int:
        """Give a lease that lasts at least as long as asked.

        It is never renewed: its keys are dropped once they are too old.
        """
        now = self._loop.now().mono
        known = self._leases.get(keep_ms)
        if known is not None and now < known.until:
            return await known.number
        number = asyncio.ensure_future(
            self._store.grant(keep_ms + LEASE_REUSE_MS)
        )
        self._leases[keep_ms] = _Lease(number, now + LEASE_REUSE_MS)
        return await number


class _Lease(typing.NamedTuple):
    number: asyncio.Future[int]
    until: int


class ConfigurationWatch:
    """Follows the configuration in the key-value service.

    :param store: the service.
    :param loop: takes the events.
    :param tasks: keeps the tasks.
    """

    def __init__(
        self,
        *,
        store: keyvalue.KeyValue,
        loop: loops.Loop,
        tasks: loops.Tasks,
    ) -> None:
        self._store = store
        self._loop = loop
        self._tasks = tasks
        self._watch_task: asyncio.Task[None] | None = None
        loop.handle(effects.Watch, self._set_watch)

    def _set_watch(self, effect: effects.Watch) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if effect.on:
            self._watch_task = self._tasks.start(self._watch())

    async def _watch(self) -> None:
        """Follow the configuration; a silent watch is opened anew."""
        wait = WATCH_RETRY_MS
        while True:
            try:
                await self._follow()
                wait = WATCH_RETRY_MS
            except keyvalue.KeyValueError as error:
                self._loop.post(
                    events.KeyFailed(tickets.WatchTicket(), error.in_doubt)
                )
                wait = min(WATCH_RETRY_MOST_MS, 2 * wait)
            await asyncio.sleep(clock.seconds(wait))

    async def _follow(self) -> None:
        purpose = keyvalue.Purpose.CONFIGURATION
        value = await self._store.get(configuration.KEY, purpose)
        self._post_value(value)
        async for news in self._store.watch(
            configuration.KEY, value.revision + 1, purpose
        ):
            if news.data is not None:
                self._post_value(news)

    def _post_value(self, value: keyvalue.Value) -> None:
        self._loop.post(
            events.KeyRead(tickets.WatchTicket(), value.data, value.revision)
        )


_PURPOSES: dict[type, keyvalue.Purpose] = {
    tickets.BucketTicket: keyvalue.Purpose.LEDGER,
    tickets.LeaseTicket: keyvalue.Purpose.LEASE,
    tickets.MoveTicket: keyvalue.Purpose.MOVE,
    tickets.UsageTicket: keyvalue.Purpose.USAGE,
}


def _purpose(ticket: tickets.Ticket) -> keyvalue.Purpose:
    return _PURPOSES.get(type(ticket), keyvalue.Purpose.CONFIGURATION)
