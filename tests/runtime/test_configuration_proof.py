"""Model of a node that learns of the store by its own reads and by a reader.

Messages with the configuration get lost; messages of the reader are dropped,
late, out of order and repeated, and the node restarts in between.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

import testtools

from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.peers import messages
from teaselbridge.platform import store as stores
from teaselbridge.runtime import watching
from tests.failures import site

if typing.TYPE_CHECKING:
    from teaselbridge.ports import keyvalue

RUNS = 40
STEPS = 120
SERVER = (
    b'{"service": "p", "address": "10.0.0.1:1", "zone": "z",'
    b' "state": "ready", "version": "v"}'
)


class Store:
    """Store with its whole history.

    :ivar history: all entries, one for each revision from 1 on.
    :ivar generations: generation of the configuration at each revision.
    """

    era = 0

    def __init__(self) -> None:
        self.history: list[stores.Entry] = []
        self.generations = [0]
        self.write(is_configuration=True)

    @property
    def revision(self) -> int:
        """Current revision."""
        return len(self.history)

    def write(self, *, is_configuration: bool) -> None:
        """Write a new configuration, or the entry of a server."""
        generation = self.generations[-1] + is_configuration
        revision = self.revision + 1
        if is_configuration:
            data = site.encode_configuration(generation, routes=())
            entry = stores.Entry('op/config', data, revision)
        else:
            entry = stores.Entry(f'servers/i{revision}', SERVER, revision)
        self.history.append(entry)
        self.generations.append(generation)

    async def list(
        self, prefix: str, purpose: keyvalue.Purpose
    ) -> stores.Entries:
        """Return all entries."""
        await asyncio.sleep(0)
        found = {entry.key: entry for entry in self.history}
        return stores.Entries(tuple(found.values()), self.revision)

    async def changes(
        self,
        prefix: str,
        since: tuple[int, int],
        wait_ms: int,
        purpose: keyvalue.Purpose,
    ) -> stores.Entries:
        """Return the changes since a revision."""
        await asyncio.sleep(0)
        _, after = since
        return stores.Entries(tuple(self.history[after:]), self.revision)

    async def get_latest_position(
        self, purpose: keyvalue.Purpose
    ) -> tuple[int, int]:
        """Return the current revision."""
        return 0, self.revision

    def note_era(self, era: int) -> None:
        """Ignore the era, which stays the same."""


@dataclasses.dataclass
class Write:
    """Generation that was written, and when."""

    generation: int
    at: int


class Node:
    """A node's watch of the store, and the generation that it has in force."""

    def __init__(self, store: Store, tester: TestProof) -> None:
        self._handlers: dict[type, typing.Any] = {}
        self._tester = tester
        self.generation = 0
        self.watch = watching.StoreWatch(
            store=typing.cast('typing.Any', store),
            loop=typing.cast('typing.Any', self),
            name='n',
            peers='',
        )

    def handle(self, kind: type, handler: typing.Any) -> None:
        """Keep the handler of an effect type."""
        self._handlers[kind] = handler

    def execute(self, effect: effects.Effect) -> None:
        """Execute an effect."""
        self._handlers[type(effect)](effect)

    def now(self) -> clock.Instant:
        """Return the next millisecond."""
        return self._tester.now()

    def post(self, event: events.Event) -> None:
        """Adopt configurations, and check each confirmation."""
        if not isinstance(event, events.ConfigurationRead):
            return
        if event.configuration is not None:
            read = event.configuration.generation
            self.generation = max(self.generation, read)
        self._tester.check_confirmation(self.generation, event.sent)

    def apply(self, message: messages.ChangesSent) -> None:
        """Apply a message of the reader, as the reducer does."""
        is_same = message.generation == self.generation
        self.execute(effects.ApplyChanges(message, is_same))


class TestProof(testtools.TestCase):
    """A confirmation is of the newest configuration at its time, or later."""

    def setUp(self) -> None:
        super().setUp()
        self.patch(watching, 'WATCH_DELAY_MS', 0)
        self._mono = 0
        self._writes: list[Write] = []
        self._confirmation_count = 0

    def now(self) -> clock.Instant:
        """Return the next millisecond."""
        self._mono += 1
        return clock.Instant(self._mono, self._mono)

    def check_confirmation(self, generation: int, sent: int) -> None:
        """Check that a node had all configurations written before a time."""
        newest = max(
            (item.generation for item in self._writes if item.at < sent),
            default=0,
        )
        self.assertGreaterEqual(generation, newest)
        self._confirmation_count += 1

    def _build_message(
        self, store: Store, choices: random.Random
    ) -> messages.ChangesSent:
        """Return what a reader sends that knows the store up to a revision."""
        known = choices.randint(0, store.revision)
        since = choices.randint(0, known)
        # What the reader knows of the configuration may be older.
        known_configuration = choices.choice(
            (known, choices.randint(0, known))
        )
        return messages.ChangesSent(
            era=0,
            revision=known,
            since=since,
            entries=tuple(
                messages.StoreEntry(
                    key=entry.key, data=entry.data, revision=entry.revision
                )
                for entry in store.history[since:known]
                if entry.key != 'op/config'
            ),
            asked_at=0,
            confirmed_ms=0,
            generation=store.generations[known_configuration],
            configuration_revision=known_configuration,
        )

    async def _run(self, seed: int) -> None:
        choices = random.Random(seed)
        store = Store()
        self._writes = [Write(1, 0)]
        node = Node(store, self)
        task = asyncio.ensure_future(node.watch.follow_changes())
        delayed: list[messages.ChangesSent] = []
        for _ in range(STEPS):
            match choices.randrange(9):
                case 0:
                    store.write(is_configuration=True)
                    self._writes.append(
                        Write(store.generations[-1], self.now().mono)
                    )
                case 1 | 2:
                    store.write(is_configuration=False)
                case 3 | 4:
                    delayed.append(self._build_message(store, choices))
                case 5:
                    choices.shuffle(delayed)
                    for message in delayed[:3]:
                        node.apply(message)
                    del delayed[: choices.randint(0, 2)]
                case 6:
                    # A message with some configuration arrives.
                    sent = choices.choice(store.generations)
                    node.generation = max(node.generation, sent)
                case 7:
                    node.execute(effects.WatchStore(choices.random() < 0.3))
                    for _ in range(choices.randint(0, 6)):
                        await asyncio.sleep(0)
                case 8 if choices.random() < 0.2:
                    task.cancel()
                    node = Node(store, self)
                    task = asyncio.ensure_future(node.watch.follow_changes())
            await node.watch.confirm_configuration()
            await asyncio.sleep(0)
            if task.done():
                task.result()
        await self._check_reading(store, node)
        task.cancel()

    async def _check_reading(self, store: Store, node: Node) -> None:
        """Check that a node reads a configuration that no message brought.

        A reader tells it of all other entries up to a later revision.
        """
        store.write(is_configuration=True)
        self._writes.append(Write(store.generations[-1], self.now().mono))
        store.write(is_configuration=False)
        message = self._build_message(store, random.Random(0))
        entries = tuple(
            messages.StoreEntry(
                key=entry.key, data=entry.data, revision=entry.revision
            )
            for entry in store.history
            if entry.key != 'op/config'
        )
        node.apply(
            dataclasses.replace(
                message,
                since=0,
                revision=store.revision,
                entries=entries,
                generation=store.generations[-1],
                configuration_revision=store.revision,
            )
        )
        node.execute(effects.WatchStore(True))
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertEqual(store.generations[-1], node.generation)

    # Guards against a revoked key that stays valid, however the messages with
    # a new configuration are lost.
    def test_lost_late_and_repeated_messages(self) -> None:
        for seed in range(RUNS):
            asyncio.run(self._run(seed))
        self.assertGreater(self._confirmation_count, 10 * RUNS)
