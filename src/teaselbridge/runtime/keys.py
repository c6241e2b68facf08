"""Executes the effects that call the key-value store."""

from __future__ import annotations

import asyncio
import typing

from teaselbridge import clock
from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import tickets
from teaselbridge.ports import keyvalue
from teaselbridge.runtime import supervision

if typing.TYPE_CHECKING:
    from teaselbridge.runtime import loop as loops

WATCH_RETRY_DELAY_MS = 500
MAX_WATCH_RETRY_DELAY_MS = 5_000
LEASE_REUSE_MS = 60_000


class KeyValueExecutor:
    """Calls to the key-value store.

    The result of each call is posted to the loop as an event.

    :param store: client of the key-value store.
    :param loop: loop that the events are posted to.
    :param tasks: background tasks that the calls are added to.
    """

    def __init__(
        self,
        *,
        store: keyvalue.KeyOperations,
        loop: loops.Loop,
        tasks: loops.Tasks,
    ) -> None:
        self._store = store
        self._loop = loop
        self._tasks = tasks
        self._shared_leases: dict[int, _SharedLease] = {}
        loop.handle(effects.ReadKey, self._start_read)
        loop.handle(effects.SwapKey, self._start_swap)
        loop.handle(effects.GrantLease, self._start_grant)
        loop.handle(effects.RenewLease, self._start_keep)
        loop.handle(effects.RevokeLease, self._start_revoke)

    def _start_read(self, effect: effects.ReadKey) -> None:
        self._tasks.start(self._read_key(effect))

    def _start_swap(self, effect: effects.SwapKey) -> None:
        self._tasks.start(self._swap_key(effect))

    def _start_grant(self, effect: effects.GrantLease) -> None:
        self._tasks.start(self._grant_lease(effect))

    def _start_keep(self, effect: effects.RenewLease) -> None:
        self._tasks.start(self._keep_lease(effect))

    def _start_revoke(self, effect: effects.RevokeLease) -> None:
        self._tasks.start(self._revoke_lease(effect))

    async def _grant_lease(self, effect: effects.GrantLease) -> None:
        try:
            number = await self._store.grant_lease(effect.ttl_ms)
        except keyvalue.KeyValueError as error:
            self._loop.post(events.KeyFailed(effect.ticket, error.in_doubt))
            return
        self._loop.post(events.LeaseGranted(effect.ticket, number))

    async def _keep_lease(self, effect: effects.RenewLease) -> None:
        try:
            is_valid = await self._store.renew_lease(effect.number)
        except keyvalue.KeyValueError as error:
            self._loop.post(events.KeyFailed(effect.ticket, error.in_doubt))
            return
        self._loop.post(events.LeaseRenewed(effect.ticket, is_valid))

    async def _revoke_lease(self, effect: effects.RevokeLease) -> None:
        try:
            await self._store.revoke_lease(effect.number)
        except keyvalue.KeyValueError:
            pass  # The lease expires at the end of its TTL.

    async def _read_key(self, effect: effects.ReadKey) -> None:
        try:
            value = await self._store.get(
                effect.key, _get_purpose(effect.ticket)
            )
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
                lease = await self._get_shared_lease(effect.keep_ms)
            swap = await self._store.compare_and_swap(
                effect.key,
                effect.value,
                effect.revision,
                _get_purpose(effect.ticket),
                lease,
            )
        except keyvalue.KeyValueError as error:
            self._shared_leases.pop(effect.keep_ms, None)
            self._loop.post(events.KeyFailed(effect.ticket, error.in_doubt))
            return
        self._loop.post(
            events.KeySwapped(effect.ticket, swap.swapped, swap.revision)
        )

    async def _get_shared_lease(self, keep_ms: int) -> int:
        """Return the id of a lease that lasts for at least ``keep_ms``.

        Writes with the same ``keep_ms`` share a lease for `LEASE_REUSE_MS`.
        It is never renewed, so its keys are deleted when it expires.
        """
        now = self._loop.now().mono
        known = self._shared_leases.get(keep_ms)
        if known is not None and now < known.until:
            return await known.number
        number = asyncio.ensure_future(
            self._store.grant_lease(keep_ms + LEASE_REUSE_MS)
        )
        self._shared_leases[keep_ms] = _SharedLease(
            number, now + LEASE_REUSE_MS
        )
        return await number


class _SharedLease(typing.NamedTuple):
    """Lease that several writes share.

    :param number: id of the lease.
    :param until: monotonic milliseconds; later writes need a new lease.
    """

    number: asyncio.Future[int]
    until: int


class ConfigurationWatch:
    """Watch on the configuration in the key-value store.

    :param store: client of the key-value store.
    :param loop: loop that the events are posted to.
    :param tasks: background tasks that the watch is added to.
    """

    def __init__(
        self,
        *,
        store: keyvalue.KeyValueStore,
        loop: loops.Loop,
        tasks: loops.Tasks,
    ) -> None:
        self._store = store
        self._loop = loop
        self._tasks = tasks
        self._watch_task: asyncio.Task[None] | None = None
        loop.handle(effects.WatchConfiguration, self._set_watch)

    def _set_watch(self, effect: effects.WatchConfiguration) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if effect.on:
            self._watch_task = self._tasks.start(
                supervision.run_forever(
                    self._loop, 'watch_configuration', self._run_watch
                )
            )

    async def _run_watch(self) -> None:
        """Watch the configuration, reopening watches that end or time out.

        The delay before a retry doubles after each failed call.
        """
        wait = WATCH_RETRY_DELAY_MS
        while True:
            try:
                await self._follow_changes()
                wait = WATCH_RETRY_DELAY_MS
            except keyvalue.KeyValueError as error:
                self._loop.post(
                    events.KeyFailed(
                        tickets.ConfigurationTicket(), error.in_doubt
                    )
                )
                wait = min(MAX_WATCH_RETRY_DELAY_MS, 2 * wait)
            await asyncio.sleep(clock.seconds(wait))

    async def _follow_changes(self) -> None:
        purpose = keyvalue.Purpose.CONFIGURATION
        value = await self._store.get(configuration.CONFIGURATION_KEY, purpose)
        self._post_value(value)
        async for update in self._store.watch(
            configuration.CONFIGURATION_KEY, value.revision + 1, purpose
        ):
            # Progress notifications carry no data.
            if update.data is not None:
                self._post_value(update)

    def _post_value(self, value: keyvalue.Value) -> None:
        self._loop.post(
            events.KeyRead(
                tickets.ConfigurationTicket(), value.data, value.revision
            )
        )


_PURPOSE_BY_TICKET: dict[type, keyvalue.Purpose] = {
    tickets.BucketTicket: keyvalue.Purpose.LEDGER,
    tickets.LeaseTicket: keyvalue.Purpose.LEASE,
    tickets.MoveTicket: keyvalue.Purpose.MOVE,
    tickets.UsageTicket: keyvalue.Purpose.USAGE,
}


def _get_purpose(ticket: tickets.Ticket) -> keyvalue.Purpose:
    return _PURPOSE_BY_TICKET.get(type(ticket), keyvalue.Purpose.CONFIGURATION)
