"""Follows the platform's store: configuration, backend servers, nodes.

Everything that is learnt goes to the decisions as events, with the moment
at which the question was sent.
"""

from __future__ import annotations

import asyncio
import random
import typing

from teaselbridge import clock
from teaselbridge.decisions import events
from teaselbridge import errors
from teaselbridge.platform import documents
from teaselbridge.platform import store as stores
from teaselbridge.ports import keyvalue

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.runtime import loop as loops

# A waiting watch proves nothing until it returns, so those that confirm
# workspace keys wait for a part of the time that keys may be trusted.
WAIT_MS = 1_200
RETRY_MS = 150
RETRY_MOST_MS = 600
NODES_EVERY_MS = 5_000
NODE_LEASE_MS = 30_000
NODE_KEEP_MS = 8_000
NODES_PREFIX = 'teaselbridge/nodes/'
# Connections that failed this often in a row may be silent for good.
RECONNECT_AFTER = 2


class Watching:
    """Follows the store for as long as the node runs.

    :param store: the platform's store.
    :param loop: takes the events.
    :param name: name of this node.
    :param peers: ``ip:port`` of this node's zmq socket.
    """

    def __init__(
        self,
        *,
        store: stores.Store,
        loop: loops.Loop,
        name: str,
        peers: str,
    ) -> None:
        self._store = store
        self._loop = loop
        self._name = name
        self._peers = peers
        self._failures = 0

    async def configuration(self) -> None:
        """Follow what the operators write."""
        await self._follow(
            documents.OPERATOR_PREFIX,
            keyvalue.Purpose.CONFIGURATION,
            self._take_operator,
        )

    async def servers(self) -> None:
        """Follow the entries of backend servers."""
        await self._follow(
            documents.SERVERS_PREFIX,
            keyvalue.Purpose.SERVERS,
            self._take_servers,
        )

    async def nodes(self) -> None:
        """Tell where this node is, and find out where the others are."""
        lease = 0
        kept = 0
        while True:
            try:
                if not lease:
                    lease = await self._enter()
                    kept = self._loop.now().mono
                elif self._loop.now().mono - kept >= NODE_KEEP_MS:
                    kept = self._loop.now().mono
                    if not await self._store.keep(lease):
                        lease = 0
                        continue
                await self._list_nodes()
            except keyvalue.KeyValueError as error:
                self._loop.post(events.StoreAnswered(False, error.detail))
                await _sleep(RETRY_MOST_MS)
                continue
            await _sleep(NODES_EVERY_MS if lease else RETRY_MS)

    async def leave(self) -> None:
        """Take this node's own entry back, before a stop."""
        try:
            await self._store.put(NODES_PREFIX + self._name, b'{}', 0)
        except keyvalue.KeyValueError as error:
            self._loop.post(events.StoreAnswered(False, error.detail))

    async def _enter(self) -> int:
        lease = await self._store.grant(NODE_LEASE_MS)
        value = documents.encode_node(documents.Node(peers=self._peers))
        if not await self._store.put(NODES_PREFIX + self._name, value, lease):
            return 0
        return lease

    async def _list_nodes(self) -> None:
        found = await self._store.list(
            NODES_PREFIX, keyvalue.Purpose.MEMBERS, stale=bool(self._peers)
        )
        addresses = []
        for entry in found.entries:
            if entry.data is None:
                continue
            try:
                addresses.append(documents.node(entry.data).peers)
            except errors.DocumentError as error:
                self._loop.post(events.Undecodable(entry.key, str(error)))
        self._loop.post(events.NodesListed(tuple(sorted(addresses))))

    async def _follow(
        self,
        prefix: str,
        purpose: keyvalue.Purpose,
        take: collections.abc.Callable[[stores.Entries, int, bool], None],
    ) -> None:
        """Read all entries, then wait for changes; start over on a gap.

        :param take: takes entries, the moment at which they were asked for,
            and whether they are all there are.
        """
        revision: int | None = None
        wait = RETRY_MS
        while True:
            sent = self._loop.now().mono
            try:
                if revision is None:
                    found = await self._store.list(prefix, purpose)
                else:
                    found = await self._store.changes(
                        prefix, revision, WAIT_MS, purpose
                    )
            except stores.HistoryLostError:
                revision = None
                continue
            except keyvalue.KeyValueError as error:
                self._loop.post(events.StoreAnswered(False, error.detail))
                await self._note_failure()
                await _sleep(wait)
                wait = min(RETRY_MOST_MS, 2 * wait)
                # What was missed meanwhile comes with the history.
                continue
            wait = RETRY_MS
            self._failures = 0
            self._loop.post(events.StoreAnswered(True))
            take(found, sent, revision is None)
            revision = found.revision

    async def _note_failure(self) -> None:
        self._failures += 1
        if self._failures % RECONNECT_AFTER == 0:
            await self._store.reconnect()

    def _take_operator(
        self, found: stores.Entries, sent: int, whole: bool
    ) -> None:
        configuration = None
        for entry in found.entries:
            if entry.key != documents.CONFIGURATION_KEY or entry.data is None:
                continue
            try:
                configuration = documents.configuration(entry.data)
            except errors.DocumentError as error:
                self._loop.post(events.Undecodable(entry.key, str(error)))
        self._loop.post(
            events.ConfigurationSeen(found=configuration, sent=sent)
        )

    def _take_servers(
        self, found: stores.Entries, sent: int, whole: bool
    ) -> None:
        rows = {entry.key: self._row(entry) for entry in found.entries}
        if whole:
            known = {key: row for key, row in rows.items() if row is not None}
            self._loop.post(events.ServersListed(rows=known))
        elif rows:
            self._loop.post(events.ServersChanged(rows=rows))

    def _row(self, entry: stores.Entry) -> events.HostRow | None:
        if entry.data is None:
            return None
        try:
            return documents.server(entry.key, entry.data)
        except errors.DocumentError as error:
            self._loop.post(events.Undecodable(entry.key, str(error)))
            return None


async def _sleep(span_ms: int) -> None:
    """Wait about as long as asked, so that nodes do not come together."""
    spread = random.uniform(0.75, 1.25)  # noqa: S311
    await asyncio.sleep(clock.seconds(span_ms) * spread)
