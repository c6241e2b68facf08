"""Follows the platform's store: configuration, backend servers, nodes.

Everything that is learnt goes to the decisions as events, with the moment
at which the question was sent.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import functools
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
# Wait after a failure, doubled up to the most: keys outlive two of those.
RETRY_MS = 150
RETRY_MOST_MS = 600
# A node's entry outlives three lost renewals.
NODE_LEASE_MS = 30_000
NODE_KEEP_MS = 8_000
EVERYTHING = ''
NODES_PREFIX = 'teaselbridge/nodes/'
# Connections that failed this often in a row may be silent for good.
RECONNECT_AFTER = 2
# Answers that wait for the watch; it is rarely further behind.
PROOFS_MOST = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Proof:
    """What was read of the store's revision.

    :param sent: monotonic milliseconds before the question was sent.
    """

    revision: int
    sent: int


T = typing.TypeVar('T')


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
        self._nodes: dict[str, str] = {}
        self._revision = 0
        self._first = asyncio.Event()
        self._proofs: collections.deque[_Proof] = collections.deque(
            maxlen=PROOFS_MOST
        )

    async def wait_first(self, span_ms: int) -> None:
        """Wait until everything was read once, but not for long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock.seconds(span_ms)):
                await self._first.wait()

    async def enter(self) -> None:
        """Tell where this node is, for as long as it runs."""
        lease = 0
        while True:
            try:
                if not lease or not await self._store.keep(lease):
                    lease = await self._write()
            except keyvalue.KeyValueError as error:
                self._loop.post(events.StoreAnswered(False, error.detail))
                await _sleep(RETRY_MOST_MS)
                continue
            await _sleep(NODE_KEEP_MS if lease else RETRY_MS)

    async def follow(self) -> None:
        """Read all entries, then wait for changes; start over on a gap.

        One watch for everything: each one that waits is paid for.
        """
        revision: int | None = None
        wait = RETRY_MS
        while True:
            sent = self._loop.now().mono
            try:
                found = await self._ask(revision)
            except stores.HistoryLostError:
                revision = None
                continue
            except keyvalue.KeyValueError as error:
                # What was missed meanwhile comes with the history.
                self._loop.post(events.StoreAnswered(False, error.detail))
                await self._note_failure()
                await _sleep(wait)
                wait = min(RETRY_MOST_MS, 2 * wait)
                continue
            wait = RETRY_MS
            self._failures = 0
            self._loop.post(events.StoreAnswered(True))
            self._take(found, sent, whole=revision is None)
            revision = found.revision
            self._revision = max(self._revision, revision)
            self._first.set()
            self._use_proofs()

    async def confirm(self) -> None:
        """Ask for the store's revision, which confirms what is known.

        It does so as soon as everything up to that revision has come.
        """
        sent = self._loop.now().mono
        try:
            found = await self._store.latest(keyvalue.Purpose.CONFIGURATION)
        except keyvalue.KeyValueError as error:
            self._loop.post(events.StoreAnswered(False, error.detail))
            return
        self._loop.post(events.StoreAnswered(True))
        self._proofs.append(_Proof(found, sent))
        self._use_proofs()

    def _use_proofs(self) -> None:
        proven = [
            proof for proof in self._proofs if proof.revision <= self._revision
        ]
        if not proven:
            return
        for proof in proven:
            self._proofs.remove(proof)
        sent = max(proof.sent for proof in proven)
        self._loop.post(events.ConfigurationSeen(found=None, sent=sent))

    async def _ask(self, revision: int | None) -> stores.Entries:
        purpose = keyvalue.Purpose.CONFIGURATION
        if revision is None:
            return await self._store.list(EVERYTHING, purpose)
        return await self._store.changes(
            EVERYTHING, revision, WAIT_MS, purpose
        )

    async def _write(self) -> int:
        """Write this node's entry.

        :return: the lease that it stands under, 0 where that has ended.
        """
        lease = await self._store.grant(NODE_LEASE_MS)
        value = documents.encode_node(documents.Node(peers=self._peers))
        if not await self._store.put(NODES_PREFIX + self._name, value, lease):
            return 0
        return lease

    async def _note_failure(self) -> None:
        self._failures += 1
        if self._failures % RECONNECT_AFTER == 0:
            await self._store.reconnect()

    def _take(self, found: stores.Entries, sent: int, *, whole: bool) -> None:
        """Post what was learnt.

        :param sent: monotonic milliseconds before the question was sent.
        :param whole: whether these are all entries there are.
        """
        configuration = None
        rows: dict[str, events.HostRow | None] = {}
        nodes = {} if whole else dict(self._nodes)
        for entry in found.entries:
            if entry.key == documents.CONFIGURATION_KEY:
                configuration = self._decode(entry, documents.configuration)
            elif entry.key.startswith(documents.SERVERS_PREFIX):
                decode = functools.partial(documents.server, entry.key)
                rows[entry.key] = self._decode(entry, decode)
            elif entry.key.startswith(NODES_PREFIX):
                node = self._decode(entry, documents.node)
                nodes[entry.key] = '' if node is None else node.peers
        self._take_rollouts(found)
        if whole:
            known = {key: row for key, row in rows.items() if row is not None}
            self._loop.post(events.ServersListed(rows=known))
        elif rows:
            self._loop.post(events.ServersChanged(rows=rows))
        if nodes != self._nodes:
            self._nodes = nodes
            addresses = sorted(item for item in nodes.values() if item)
            self._loop.post(events.NodesListed(tuple(addresses)))
        self._loop.post(
            events.ConfigurationSeen(found=configuration, sent=sent)
        )

    def _take_rollouts(self, found: stores.Entries) -> None:
        """Post orders of moves, then what was told of them."""
        for entry in found.entries:
            if not entry.key.startswith(documents.ROLLOUT_PREFIX):
                continue
            decode = functools.partial(
                documents.rollout, revision=entry.revision
            )
            order = self._decode(entry, decode)
            if order is not None:
                self._loop.post(order)
        for entry in found.entries:
            if not entry.key.startswith(documents.ROLLOUT_STATUS_PREFIX):
                continue
            told = functools.partial(documents.rollout_status, entry.key)
            ended = self._decode(entry, told)
            if ended is not None:
                self._loop.post(ended)

    def _decode(
        self,
        entry: stores.Entry,
        decode: collections.abc.Callable[[bytes], T],
    ) -> T | None:
        """Decode an entry, none where it was removed or cannot be."""
        if entry.data is None:
            return None
        try:
            return decode(entry.data)
        except errors.DocumentError as error:
            self._loop.post(events.Undecodable(entry.key, str(error)))
            return None


async def _sleep(span_ms: int) -> None:
    """Wait about as long as asked, so that nodes do not come together."""
    spread = random.uniform(0.75, 1.25)  # noqa: S311
    await asyncio.sleep(clock.seconds(span_ms) * spread)
