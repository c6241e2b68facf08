"""Ledger of claims that make a non-idempotent request run at most once.

A claim is written by a compare-and-swap of a single key before the request
is sent to a backend server. Several claims share one value, called a bucket.
An idle bucket is written at once. Operations that arrive during a write or
shortly after it are batched into the next write, which bounds the writes per
second. A bucket belongs to a time slice, which follows from the time in the
request id, so it stops growing and is deleted as a whole once its ids are
too old to be accepted.

The operations of each shard are sent to one node, chosen by rendezvous
hashing, which batches those of all nodes. This only saves conflicts and
writes. If that node does not answer in time, the operation is done by this
node. Operations are idempotent, because the token shows whose claim it is.
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

# Length of the time slice that a bucket covers.
SLICE_MS = 2_000
# Number of buckets per time slice.
SHARDS = 4
# Time for another node to answer before the operation is done here.
HANDOVER_TIMEOUT_MS = 200
# Minimum interval between two writes of a bucket.
WRITE_INTERVAL_MS = 25
# An unused bucket is removed from memory after this time.
IDLE_TIMEOUT_MS = 30_000
# Tolerated clock skew between the callers and the nodes.
MAX_CLOCK_SKEW_MS = 60_000
# Initial and maximum delay before a bucket is read again after a failure.
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class OperationResult:
    """Result of an operation.

    :param operation: the operation.
    :param claim: resulting claim of the request, none if there is none.
    :param failed: whether the key-value store did not answer in time.
    """

    operation: entries.Operation
    claim: entries.Claim | None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Effects of a step of the ledger, and the operations it completes."""

    effects: tuple[effects.Effect, ...] = ()
    results: tuple[OperationResult, ...] = ()


@dataclasses.dataclass(slots=True)
class _HandedOver:
    """Operation that was handed over to another node.

    :param operation: the operation.
    :param due: monotonic milliseconds at which this node does it instead.
    """

    operation: entries.Operation
    due: int


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Cached content of a bucket, and its pending operations.

    :param key: key in the key-value store.
    :param claims: content as last read or written, none if not known.
    :param revision: revision of that content.
    :param waiting: operations that wait for the next write.
    :param writing: operations in the write that is in flight.
    :param pending_claims: content that this write sets.
    :param busy: whether a read or write is in flight.
    :param wake_at: monotonic milliseconds of the wake-up that was asked for.
    :param due: monotonic milliseconds before which nothing is sent.
    :param failures: consecutive failed reads or writes.
    :param used_at: monotonic milliseconds of the last use.
    """

    key: str
    claims: entries.Claims | None = None
    revision: int = 0
    waiting: list[entries.Operation] = dataclasses.field(default_factory=list)
    writing: list[entries.Operation] = dataclasses.field(default_factory=list)
    pending_claims: entries.Claims = dataclasses.field(default_factory=dict)
    busy: bool = False
    wake_at: int = 0
    due: int = 0
    failures: int = 0
    used_at: int = 0


class Ledger:
    """Buckets that this node reads or writes, and operations handed over."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._remote: dict[int, _HandedOver] = {}
        self._ticket_numbers = itertools.count(1)

    @property
    def pending_count(self) -> int:
        """Number of operations without a result yet."""
        return len(self._remote) + sum(
            len(bucket.waiting) + len(bucket.writing)
            for bucket in self._buckets.values()
        )

    def hand_over(
        self, operation: entries.Operation, now: clock.Instant
    ) -> int:
        """Record an operation that is handed over to another node.

        :return: ticket that matches the answer to the operation.
        """
        ticket = next(self._ticket_numbers)
        self._remote[ticket] = _HandedOver(
            operation, now.mono + HANDOVER_TIMEOUT_MS
        )
        return ticket

    def handle_ledger_told(
        self, ticket: int, claim: entries.Claim | None
    ) -> Step:
        """Handle the result of an operation that was handed over."""
        remote = self._remote.pop(ticket, None)
        if remote is None:
            return Step()
        return Step(results=(OperationResult(remote.operation, claim),))

    def submit(self, operation: entries.Operation, now: clock.Instant) -> Step:
        """Add an operation and advance its bucket.

        :return: effects, and the operations that are complete.
        """
        key = get_bucket_key(operation.key, operation.id_time)
        bucket = self._buckets.setdefault(key, _Bucket(key))
        if operation.wish is entries.OperationKind.READ and not bucket.busy:
            bucket.claims = None
        bucket.waiting.append(operation)
        return self._advance(bucket, now)

    def handle_key_read(
        self, event: events.KeyRead, now: clock.Instant
    ) -> Step:
        """Handle the result of reading a bucket."""
        bucket = self._find_bucket(event.ticket)
        if bucket is None:
            return Step()
        bucket.busy = False
        bucket.failures = 0
        bucket.claims = decode_claims(event.value)
        bucket.revision = event.revision
        return self._advance(bucket, now)

    def handle_key_swapped(
        self, event: events.KeySwapped, now: clock.Instant
    ) -> Step:
        """Handle the result of a compare-and-swap of a bucket."""
        bucket = self._find_bucket(event.ticket)
        if bucket is None:
            return Step()
        bucket.busy = False
        bucket.failures = 0
        if not event.swapped:
            self._requeue(bucket)
            bucket.due = now.mono
            return self._advance(bucket, now)
        bucket.claims = bucket.pending_claims
        bucket.revision = event.revision
        settled = _complete(bucket.writing, bucket.pending_claims)
        bucket.writing = []
        return _merge_steps(Step(results=settled), self._advance(bucket, now))

    def failed(self, event: events.KeyFailed, now: clock.Instant) -> Step:
        """Handle a failed read or write of a bucket.

        The bucket is read again after a backoff, since the outcome of a
        write is not known.
        """
        bucket = self._find_bucket(event.ticket)
        if bucket is None:
            return Step()
        bucket.busy = False
        self._requeue(bucket)
        span = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(bucket.failures, 8))
        bucket.failures += 1
        bucket.due = now.mono + span
        return Step()

    def tick(self, now: clock.Instant) -> Step:
        """Advance buckets whose wait is over, and expire late operations."""
        step = self._submit_overdue(now)
        for bucket in list(self._buckets.values()):
            step = _merge_steps(step, self._expire(bucket, now))
            step = _merge_steps(step, self._advance(bucket, now))
            idle = not (bucket.busy or bucket.waiting or bucket.writing)
            if idle and now.mono - bucket.used_at > IDLE_TIMEOUT_MS:
                del self._buckets[bucket.key]
        return step

    def _submit_overdue(self, now: clock.Instant) -> Step:
        """Submit handed-over operations here that got no answer in time."""
        step = Step()
        for ticket, remote in list(self._remote.items()):
            if remote.due <= now.mono:
                del self._remote[ticket]
                step = _merge_steps(step, self.submit(remote.operation, now))
        return step

    def _find_bucket(self, ticket: tickets.Ticket) -> _Bucket | None:
        """Return the bucket that a ticket refers to, if it is still held."""
        if isinstance(ticket, tickets.BucketTicket):
            return self._buckets.get(ticket.key)
        return None

    def _requeue(self, bucket: _Bucket) -> None:
        """Requeue the operations of a write, and drop the cached content."""
        bucket.claims = None
        bucket.waiting = bucket.writing + bucket.waiting
        bucket.writing = []

    def _expire(self, bucket: _Bucket, now: clock.Instant) -> Step:
        """Fail operations past their deadline, also those being written."""
        operations = bucket.waiting + bucket.writing
        late = [item for item in operations if item.until <= now.mono]
        if not late:
            return Step()
        bucket.waiting = _drop_expired(bucket.waiting, now)
        bucket.writing = _drop_expired(bucket.writing, now)
        return Step(
            results=tuple(OperationResult(item, None, True) for item in late)
        )

    def _schedule_wake(self, bucket: _Bucket, now: clock.Instant) -> Step:
        """Schedule a wake-up for the next write of a bucket.

        Only one is scheduled, no matter how many operations are added until
        then.
        """
        if bucket.wake_at > now.mono:
            return Step()
        bucket.wake_at = bucket.due
        return Step((effects.Wake(bucket.due - now.mono),))

    def _advance(self, bucket: _Bucket, now: clock.Instant) -> Step:
        """Read or write a bucket if it has operations and is not busy."""
        if bucket.busy or not bucket.waiting:
            return Step()
        if bucket.due > now.mono:
            return self._schedule_wake(bucket, now)
        bucket.used_at = now.mono
        ticket = tickets.BucketTicket(bucket.key)
        if bucket.claims is None:
            bucket.busy = True
            return Step((effects.ReadKey(ticket, bucket.key),))
        operations = bucket.waiting
        bucket.waiting = []
        changed = apply(bucket.claims, operations)
        if changed == bucket.claims:
            return Step(results=_complete(operations, bucket.claims))
        bucket.busy = True
        bucket.due = now.mono + WRITE_INTERVAL_MS
        bucket.writing = operations
        bucket.pending_claims = changed
        claims = sum(
            item.wish is entries.OperationKind.CLAIM for item in operations
        )
        return Step(
            (
                effects.SwapKey(
                    ticket=ticket,
                    key=bucket.key,
                    value=encode_claims(changed),
                    revision=bucket.revision,
                    keep_ms=max(item.keep_ms for item in operations),
                ),
                effects.Count(effects.Counter.BUCKET_WRITES),
                effects.Count(effects.Counter.CLAIMS, '', claims),
            )
        )


def get_bucket_key(key: calls.RequestKey, id_time: int) -> str:
    """Return the key of the bucket of a request.

    :param key: identity of the request.
    :param id_time: wall-clock milliseconds in the request id.
    :return: key in the key-value store.
    """
    return f'/teaselbridge/ledger/{id_time // SLICE_MS}/{get_shard(key)}'


def get_shard(key: calls.RequestKey) -> int:
    """Return the number of the shard of a request."""
    return placement.hash_text(key.workspace, key.id) % SHARDS


def apply(
    claims: entries.Claims,
    operations: collections.abc.Iterable[entries.Operation],
) -> entries.Claims:
    """Apply operations to the content of a bucket.

    :param claims: current content.
    :param operations: operations in order.
    :return: new content.
    """
    changed = dict(claims)
    for operation in operations:
        name = _entry_name(operation.key)
        claim = _apply_operation(changed.get(name), operation)
        if claim is not None:
            changed[name] = claim
    return changed


def encode_claims(claims: entries.Claims) -> bytes:
    """Encode the content of a bucket."""
    return msgspec.json.encode(claims)


def decode_claims(value: bytes | None) -> entries.Claims:
    """Decode the content of a bucket; a missing value is empty."""
    if value is None:
        return {}
    return msgspec.json.decode(value, type=dict[str, entries.Claim])


def _apply_operation(
    known: entries.Claim | None, operation: entries.Operation
) -> entries.Claim | None:
    """Return the new claim of a request, none if nothing changes.

    A claim can be taken if there is none or if the request was not run,
    except by the token that was closed. A late duplicate of a claim thus
    cannot reopen it. An existing claim can be finished or closed only by
    its own token.
    """
    is_free = known is None or known.stage is entries.Stage.NOT_RUN
    is_owner = known is not None and known.token == operation.token
    if (
        operation.wish is entries.OperationKind.CLAIM
        and is_free
        and not is_owner
    ):
        return _make_claim(operation, entries.Stage.RUNNING)
    if operation.wish is entries.OperationKind.FINISH and (
        known is None or is_owner
    ):
        return _make_claim(operation, entries.Stage.DONE)
    if operation.wish is entries.OperationKind.CLOSE and (
        known is None or is_owner
    ):
        return _make_claim(operation, entries.Stage.NOT_RUN)
    return None


def _make_claim(
    operation: entries.Operation, stage: entries.Stage
) -> entries.Claim:
    return entries.Claim(
        token=operation.token,
        node=operation.node,
        stage=stage,
        answer=operation.answer if stage is entries.Stage.DONE else None,
    )


def _drop_expired(
    operations: list[entries.Operation], now: clock.Instant
) -> list[entries.Operation]:
    return [item for item in operations if item.until > now.mono]


def _complete(
    operations: list[entries.Operation], claims: entries.Claims
) -> tuple[OperationResult, ...]:
    return tuple(
        OperationResult(operation, claims.get(_entry_name(operation.key)))
        for operation in operations
    )


def _entry_name(key: calls.RequestKey) -> str:
    return f'{key.workspace}/{key.id}'


def _merge_steps(left: Step, right: Step) -> Step:
    return Step(left.effects + right.effects, left.results + right.results)
