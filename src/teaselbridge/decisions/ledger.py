"""Claims that make a non-idempotent request run at most once.

A claim is written under single-key compare-and-swap before the request is
sent to a backend server. Claims share values, called buckets. A bucket that
was idle is written at once; after that one write carries all operations
that gathered meanwhile, so the writes a second have a bound.
A bucket belongs to a slice of time, which ids carry, so it stops growing
and is dropped whole once its ids are too old to be accepted.

Operations go to one node for each shard, by rendezvous hashing, which
gathers those of all nodes. That only saves conflicts and writes: where that
node does not answer at once, the operation is done here, and repeating it
changes nothing, as its token tells whose it is.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import typing

import msgspec

from teaselbridge.decisions import calls
from teaselbridge.decisions import claims as entries
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import placement
from teaselbridge.decisions import tickets

if typing.TYPE_CHECKING:
    from teaselbridge import clock

SLICE_MS = 2_000
SHARDS = 4
REMOTE_MS = 200
GATHER_MS = 25
IDLE_MS = 30_000
SKEW_MS = 60_000
BACKOFF_MS = 50
BACKOFF_MOST_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The result of an operation.

    :param claim: entry that stands, none where there is none.
    :param failed: whether the key-value service gave no answer in time.
    """

    operation: entries.Operation
    claim: entries.Claim | None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What a step of the ledger leads to."""

    effects: tuple[effects.Effect, ...] = ()
    settled: tuple[Settled, ...] = ()


@dataclasses.dataclass(slots=True)
class _Remote:
    operation: entries.Operation
    due: int


@dataclasses.dataclass(slots=True)
class _Bucket:
    key: str
    claims: entries.Claims | None = None
    revision: int = 0
    waiting: list[entries.Operation] = dataclasses.field(default_factory=list)
    writing: list[entries.Operation] = dataclasses.field(default_factory=list)
    written: entries.Claims = dataclasses.field(default_factory=dict)
    busy: bool = False
    wake_at: int = 0
    due: int = 0
    failures: int = 0
    used: int = 0


class Ledger:
    """Buckets that this node is reading or writing."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._remote: dict[int, _Remote] = {}
        self._numbers = itertools.count(1)

    @property
    def open(self) -> int:
        """Operations that are not settled."""
        return len(self._remote) + sum(
            len(bucket.waiting) + len(bucket.writing)
            for bucket in self._buckets.values()
        )

    def hand_over(
        self, operation: entries.Operation, now: clock.Instant
    ) -> int:
        """Note an operation that another node was asked to do.

        :return: ticket for its answer.
        """
        ticket = next(self._numbers)
        self._remote[ticket] = _Remote(operation, now.mono + REMOTE_MS)
        return ticket

    def told(self, ticket: int, claim: entries.Claim | None) -> Step:
        """Another node did an operation."""
        remote = self._remote.pop(ticket, None)
        if remote is None:
            return Step()
        return Step(settled=(Settled(remote.operation, claim),))

    def submit(self, operation: entries.Operation, now: clock.Instant) -> Step:
        """Add an operation and go on with its bucket.

        :return: effects, and what they settle.
        """
        key = bucket_of(operation.key, operation.id_time)
        bucket = self._buckets.setdefault(key, _Bucket(key))
        if operation.wish is entries.Wish.LOOK and not bucket.busy:
            bucket.claims = None
        bucket.waiting.append(operation)
        return self._advance(bucket, now)

    def read(self, event: events.KeyRead, now: clock.Instant) -> Step:
        """A bucket was read."""
        bucket = self._bucket(event.ticket)
        if bucket is None:
            return Step()
        bucket.busy = False
        bucket.failures = 0
        bucket.claims = decode(event.value)
        bucket.revision = event.revision
        return self._advance(bucket, now)

    def swapped(self, event: events.KeySwapped, now: clock.Instant) -> Step:
        """A write of a bucket was decided."""
        bucket = self._bucket(event.ticket)
        if bucket is None:
            return Step()
        bucket.busy = False
        bucket.failures = 0
        if not event.swapped:
            self._requeue(bucket)
            bucket.due = now.mono
            return self._advance(bucket, now)
        bucket.claims = bucket.written
        bucket.revision = event.revision
        settled = _settle(bucket.writing, bucket.written)
        bucket.writing = []
        return _join(Step(settled=settled), self._advance(bucket, now))

    def failed(self, event: events.KeyFailed, now: clock.Instant) -> Step:
        """A read or write got no answer; the bucket is read anew."""
        bucket = self._bucket(event.ticket)
        if bucket is None:
            return Step()
        bucket.busy = False
        self._requeue(bucket)
        span = min(BACKOFF_MOST_MS, BACKOFF_MS << min(bucket.failures, 8))
        bucket.failures += 1
        bucket.due = now.mono + span
        return Step()

    def tick(self, now: clock.Instant) -> Step:
        """Go on where a wait is over, and give up what is out of time."""
        step = self._take_back(now)
        for bucket in list(self._buckets.values()):
            step = _join(step, self._expire(bucket, now))
            step = _join(step, self._advance(bucket, now))
            idle = not (bucket.busy or bucket.waiting or bucket.writing)
            if idle and now.mono - bucket.used > IDLE_MS:
                del self._buckets[bucket.key]
        return step

    def _take_back(self, now: clock.Instant) -> Step:
        """Do here what another node did not do in time."""
        step = Step()
        for ticket, remote in list(self._remote.items()):
            if remote.due <= now.mono:
                del self._remote[ticket]
                step = _join(step, self.submit(remote.operation, now))
        return step

    def _bucket(self, ticket: tickets.Ticket) -> _Bucket | None:
        if isinstance(ticket, tickets.BucketTicket):
            return self._buckets.get(ticket.key)
        return None

    def _requeue(self, bucket: _Bucket) -> None:
        bucket.claims = None
        bucket.waiting = bucket.writing + bucket.waiting
        bucket.writing = []

    def _expire(self, bucket: _Bucket, now: clock.Instant) -> Step:
        """Give up what is out of time, a write under way included."""
        operations = bucket.waiting + bucket.writing
        late = [item for item in operations if item.until <= now.mono]
        if not late:
            return Step()
        bucket.waiting = _in_time(bucket.waiting, now)
        bucket.writing = _in_time(bucket.writing, now)
        return Step(settled=tuple(Settled(item, None, True) for item in late))

    def _wait(self, bucket: _Bucket, now: clock.Instant) -> Step:
        """Let operations gather until the next write is due.

        One wake is enough, however often others come in between.
        """
        if bucket.wake_at > now.mono:
            return Step()
        bucket.wake_at = bucket.due
        return Step((effects.Wake(bucket.due - now.mono),))

    def _advance(self, bucket: _Bucket, now: clock.Instant) -> Step:
        if bucket.busy or not bucket.waiting:
            return Step()
        if bucket.due > now.mono:
            return self._wait(bucket, now)
        bucket.used = now.mono
        ticket = tickets.BucketTicket(bucket.key)
        if bucket.claims is None:
            bucket.busy = True
            return Step((effects.ReadKey(ticket, bucket.key),))
        operations = bucket.waiting
        bucket.waiting = []
        changed = apply(bucket.claims, operations)
        if changed == bucket.claims:
            return Step(settled=_settle(operations, bucket.claims))
        bucket.busy = True
        bucket.due = now.mono + GATHER_MS
        bucket.writing = operations
        bucket.written = changed
        claims = sum(item.wish is entries.Wish.CLAIM for item in operations)
        return Step(
            (
                effects.SwapKey(
                    ticket=ticket,
                    key=bucket.key,
                    value=encode(changed),
                    revision=bucket.revision,
                    keep_ms=max(item.keep_ms for item in operations),
                ),
                effects.Count(effects.Counter.BUCKET_WRITES),
                effects.Count(effects.Counter.CLAIMS, '', claims),
            )
        )


def bucket_of(key: calls.RequestKey, id_time: int) -> str:
    """Name the bucket of a request.

    :param key: identity of the request.
    :param id_time: wall milliseconds in the id.
    :return: key in the key-value service.
    """
    return f'/teaselbridge/ledger/{id_time // SLICE_MS}/{shard_of(key)}'


def shard_of(key: calls.RequestKey) -> int:
    """Give the shard of a request."""
    return placement.hash_of(key.workspace, key.id) % SHARDS


def apply(
    claims: entries.Claims,
    operations: collections.abc.Iterable[entries.Operation],
) -> entries.Claims:
    """Apply operations to the content of a bucket.

    :param claims: content as read.
    :param operations: in order.
    :return: content to write.
    """
    changed = dict(claims)
    for operation in operations:
        name = _name(operation.key)
        claim = _apply_one(changed.get(name), operation)
        if claim is not None:
            changed[name] = claim
    return changed


def encode(claims: entries.Claims) -> bytes:
    """Encode the content of a bucket."""
    return msgspec.json.encode(claims)


def decode(value: bytes | None) -> entries.Claims:
    """Decode the content of a bucket, empty where there is none."""
    if value is None:
        return {}
    return msgspec.json.decode(value, type=dict[str, entries.Claim])


def _apply_one(
    known: entries.Claim | None, operation: entries.Operation
) -> entries.Claim | None:
    free = known is None or known.stage is entries.Stage.NOT_RUN
    mine = known is not None and known.token == operation.token
    if operation.wish is entries.Wish.CLAIM and free and not mine:
        return _claim(operation, entries.Stage.RUNNING)
    if operation.wish is entries.Wish.FINISH and (known is None or mine):
        return _claim(operation, entries.Stage.DONE)
    if operation.wish is entries.Wish.CLOSE and (known is None or mine):
        return _claim(operation, entries.Stage.NOT_RUN)
    return None


def _claim(
    operation: entries.Operation, stage: entries.Stage
) -> entries.Claim:
    return entries.Claim(
        token=operation.token,
        node=operation.node,
        stage=stage,
        answer=operation.answer if stage is entries.Stage.DONE else None,
    )


def _in_time(
    operations: list[entries.Operation], now: clock.Instant
) -> list[entries.Operation]:
    return [item for item in operations if item.until > now.mono]


def _settle(
    operations: list[entries.Operation], claims: entries.Claims
) -> tuple[Settled, ...]:
    return tuple(
        Settled(operation, claims.get(_name(operation.key)))
        for operation in operations
    )


def _name(key: calls.RequestKey) -> str:
    return f'{key.workspace}/{key.id}'


def _join(left: Step, right: Step) -> Step:
    return Step(left.effects + right.effects, left.settled + right.settled)
