"""Claims that make a non-idempotent request run at most once.

A claim is written under single-key compare-and-swap before the request is
sent to a backend server. Claims share values, called buckets, so that one
write carries all claims that gathered while the last write was under way.
A bucket belongs to a slice of time, which ids carry, so it stops growing
and is dropped whole once its ids are too old to be accepted.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import typing

import msgspec

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import placement
from teaselbridge.decisions import tickets

if typing.TYPE_CHECKING:
    from teaselbridge import clock

SLICE_MS = 10_000
SHARDS = 8
SKEW_MS = 60_000
BACKOFF_MS = 50
BACKOFF_MOST_MS = 1_000


class Stage(enum.Enum):
    """How far a claimed request has come."""

    RUNNING = 'running'
    DONE = 'done'
    NOT_RUN = 'not-run'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """One request's entry in a bucket.

    :param token: unique token of the attempt to claim.
    :param node: node that wrote it.
    :param stage: how far it has come.
    :param answer: whole answer, once done.
    """

    token: str
    node: str
    stage: Stage
    answer: calls.Answer | None = None


Claims: typing.TypeAlias = dict[str, Claim]


class Wish(enum.Enum):
    """What is wanted of a bucket."""

    CLAIM = 'claim'
    FINISH = 'finish'
    CLOSE = 'close'
    LOOK = 'look'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """One wish for one request.

    :param handle: request that waits for the result.
    :param key: identity of the request.
    :param id_time: wall milliseconds in the id.
    :param token: unique token of the claim.
    :param node: node that claims.
    :param answer: whole answer, to finish.
    :param until: monotonic milliseconds after which to give up.
    :param keep_ms: how long the outcome must be kept.
    """

    wish: Wish
    handle: int
    key: calls.RequestKey
    id_time: int
    token: str
    node: str
    until: int
    keep_ms: int
    answer: calls.Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The result of an operation.

    :param claim: entry that stands, none where there is none.
    :param failed: whether the key-value service gave no answer in time.
    """

    operation: Operation
    claim: Claim | None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What a step of the ledger leads to."""

    effects: tuple[effects.Effect, ...] = ()
    settled: tuple[Settled, ...] = ()


@dataclasses.dataclass(slots=True)
class _Bucket:
    key: str
    claims: Claims | None = None
    revision: int = 0
    waiting: list[Operation] = dataclasses.field(default_factory=list)
    writing: list[Operation] = dataclasses.field(default_factory=list)
    written: Claims = dataclasses.field(default_factory=dict)
    busy: bool = False
    due: int = 0
    failures: int = 0
    used: int = 0


class Ledger:
    """Buckets that this node is reading or writing."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    @property
    def open(self) -> int:
        """Operations that are not settled."""
        return sum(
            len(bucket.waiting) + len(bucket.writing)
            for bucket in self._buckets.values()
        )

    def submit(self, operation: Operation, now: clock.Instant) -> Step:
        """Add an operation and go on with its bucket.

        :return: effects, and what they settle.
        """
        key = bucket_of(operation.key, operation.id_time)
        bucket = self._buckets.setdefault(key, _Bucket(key))
        if operation.wish is Wish.LOOK and not bucket.busy:
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
        step = Step()
        for bucket in list(self._buckets.values()):
            step = _join(step, self._expire(bucket, now))
            step = _join(step, self._advance(bucket, now))
            idle = not (bucket.busy or bucket.waiting or bucket.writing)
            if idle and now.mono - bucket.used > 3 * SLICE_MS:
                del self._buckets[bucket.key]
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

    def _advance(self, bucket: _Bucket, now: clock.Instant) -> Step:
        if bucket.busy or not bucket.waiting or bucket.due > now.mono:
            return Step()
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
        bucket.writing = operations
        bucket.written = changed
        claims = sum(item.wish is Wish.CLAIM for item in operations)
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
    shard = placement.hash_of(key.workspace, key.id) % SHARDS
    return f'/teaselbridge/ledger/{id_time // SLICE_MS}/{shard}'


def apply(
    claims: Claims, operations: collections.abc.Iterable[Operation]
) -> Claims:
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


def encode(claims: Claims) -> bytes:
    """Encode the content of a bucket."""
    return msgspec.json.encode(claims)


def decode(value: bytes | None) -> Claims:
    """Decode the content of a bucket, empty where there is none."""
    if value is None:
        return {}
    return msgspec.json.decode(value, type=dict[str, Claim])


def _apply_one(known: Claim | None, operation: Operation) -> Claim | None:
    free = known is None or known.stage is Stage.NOT_RUN
    mine = known is not None and known.token == operation.token
    if operation.wish is Wish.CLAIM and free and not mine:
        return _claim(operation, Stage.RUNNING)
    if operation.wish is Wish.FINISH and (known is None or mine):
        return _claim(operation, Stage.DONE)
    if operation.wish is Wish.CLOSE and (known is None or mine):
        return _claim(operation, Stage.NOT_RUN)
    return None


def _claim(operation: Operation, stage: Stage) -> Claim:
    return Claim(
        token=operation.token,
        node=operation.node,
        stage=stage,
        answer=operation.answer if stage is Stage.DONE else None,
    )


def _in_time(
    operations: list[Operation], now: clock.Instant
) -> list[Operation]:
    return [item for item in operations if item.until > now.mono]


def _settle(
    operations: list[Operation], claims: Claims
) -> tuple[Settled, ...]:
    return tuple(
        Settled(operation, claims.get(_name(operation.key)))
        for operation in operations
    )


def _name(key: calls.RequestKey) -> str:
    return f'{key.workspace}/{key.id}'


def _join(left: Step, right: Step) -> Step:
    return Step(left.effects + right.effects, left.settled + right.settled)
