"""Rates of workspaces, kept by all nodes together without asking.

Load pattern: one workspace sends many times its usual at several nodes.

Each node keeps a copy of the one token bucket of each workspace: it takes
out what it lets through itself, and what the others tell it that they let
through, a few times a second. What they let through since is covered by the
excess that the platform allows, and is taken out when it is heard of.

A node that does not hear some of the others has the part of the bucket that
the nodes which it hears make up, as the others may go on without it. One
that starts anew begins with an empty bucket: it may have let through much
before.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.decisions import placement
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

# Nodes tell each other four times a second; three may get lost.
UNHEARD_MS = 1_000
# A node that was not heard for so long is gone, or has lost its keys too.
FORGOTTEN_MS = 10_000
# Nodes that start together have heard each other by then.
MEET_MS = 2_000
# Nodes of which all were lost start within so long of each other.
TOGETHER_MS = 500
# Parts of the platform's tolerance that callers may use.
EXCESS_PART = 0.8
SLACK_HELD = 0.1
SLACK_REFILLED = 0.25
HASH_SPAN = 1 << 63
MEAN_SMOOTHING = 0.1
# A request larger than the bucket goes out of a nearly full one.
FULL_PART = 0.9
# Span over which requests are counted.
ASKED_MS = 2_000
# Four messages a second, and the way of one.
UNHEARD_SPAN_MS = 300
RETRY_LEAST_MS = 200
RETRY_MOST_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Bucket:
    """This node's copy of a workspace's bucket.

    :param level: what may be let through; below zero after a request that
        was larger than the rest, or that several nodes let through at once.
    :param updated: monotonic milliseconds.
    :param spent: what this node let through since its start.
    :param mean: smoothed cost of a request.
    :param opened: whether a request of the workspace came to this node.
    :param asked: requests in the last two seconds, smoothed.
    """

    level: float
    updated: int
    spent: int = 0
    mean: float = 0.0
    asked: float = 0.0
    opened: bool = False


@dataclasses.dataclass(slots=True)
class _Peer:
    """What another node let through.

    :param incarnation: tells its lives apart.
    :param heard: monotonic milliseconds.
    :param spent: since its start, by workspace.
    """

    incarnation: int
    heard: int
    spent: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tolerance:
    """How much over a rate the platform allows in a span.

    :param span_ms: span that a rate holds for.
    :param excess: part of what the rate gives in the span.
    :param slack: further tokens.
    """

    span_ms: int = 8_000
    excess: float = 0.0
    slack: float = 0.0


class Rates:
    """Buckets of all workspaces, and what the other nodes told.

    :param first_start: whether no node ran before, which could have let
        anything through.
    :param tolerance: what the platform allows over a rate.
    """

    def __init__(
        self, *, first_start: bool = False, tolerance: Tolerance = Tolerance()
    ) -> None:
        self._first_start = first_start
        self._tolerance = tolerance
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}
        self._started: int | None = None
        self._listed = 0

    def begin(self, now: clock.Instant, listed: int) -> None:
        """Note since when this node lets requests through, and who else may.

        :param listed: other nodes that the store lists.
        """
        if self._started is None:
            self._started = now.mono
        self._listed = listed

    def hear(self, message: messages.Loads, now: clock.Instant) -> None:
        """Take in what another node let through."""
        spent = {item.workspace: item.spent for item in message.demand}
        known = self._peers.get(message.node)
        before: dict[str, int] = {}
        if known is not None and known.incarnation == message.incarnation:
            before = known.spent
        # Of an older node it is not known when it let those through.
        counts = known is not None or self._is_as_young(message, now)
        for name, total in spent.items():
            if counts:
                bucket = self._bucket(name, now)
                bucket.level -= max(0, total - before.get(name, 0))
        self._peers[message.node] = _Peer(
            message.incarnation, now.mono, {**before, **spent}
        )

    def _is_as_young(
        self, message: messages.Loads, now: clock.Instant
    ) -> bool:
        """Tell whether a node started no earlier than this one, or nearly."""
        if self._started is None:
            return False
        age = message.wall - message.incarnation
        return age <= now.mono - self._started + TOGETHER_MS

    def tell(self) -> tuple[messages.Demand, ...]:
        """Tell what this node let through, for the others."""
        return tuple(
            messages.Demand(workspace=name, spent=bucket.spent)
            for name, bucket in self._buckets.items()
            if bucket.spent
        )

    def take(
        self, call: calls.Call, rate: model.Rate, now: clock.Instant
    ) -> int:
        """Let a request through, or tell when it may come again.

        :return: 0 where it is let through, else milliseconds until then.
        """
        bucket = self._refill(call.key.workspace, rate, now)
        cost = cost_of(call, rate)
        # The same for all sizes: else small requests would keep the bucket
        # too low for large ones.
        bucket.asked += 1
        smoothing = MEAN_SMOOTHING if bucket.mean else 1.0
        bucket.mean += smoothing * (cost - bucket.mean)
        needed = min(bucket.mean, max(1.0, FULL_PART * self._capacity(rate)))
        together = self._together(bucket, now)
        chance = placement.hash_of('rate', call.key.id) / HASH_SPAN
        if bucket.level >= needed * max(1.0, chance * together):
            bucket.level -= cost
            bucket.spent += cost
            return 0
        wait = 1000 * (needed - bucket.level) / self._per_s(rate)
        return round(min(RETRY_MOST_MS, max(RETRY_LEAST_MS, wait)))

    def _together(self, bucket: _Bucket, now: clock.Instant) -> float:
        """Guess how many requests the others decide on unheard.

        All nodes see the same low level at once. Where each let a request
        through, it would be overdrawn by as many, and empty for long after;
        so a request draws whether it is one of those that there is room for.
        """
        others = sum(
            now.mono - peer.heard < UNHEARD_MS for peer in self._peers.values()
        )
        return others * bucket.asked * UNHEARD_SPAN_MS / ASKED_MS

    def _refill(
        self, name: str, rate: model.Rate, now: clock.Instant
    ) -> _Bucket:
        bucket = self._bucket(name, now)
        if not bucket.opened:
            bucket.opened = True
            if self._first_start:
                bucket.level += self._capacity(rate)
        span = now.mono - bucket.updated
        bucket.asked *= max(0.0, 1 - span / ASKED_MS)
        part = self._heard_part(now)
        fresh = self._per_s(rate) * part * span / 1000
        most = max(1.0, self._capacity(rate) * part)
        bucket.level = min(most, bucket.level + fresh)
        bucket.updated = now.mono
        return bucket

    def _bucket(self, name: str, now: clock.Instant) -> _Bucket:
        """Give a bucket; it was empty when this node started."""
        bucket = self._buckets.get(name)
        if bucket is None:
            started = now.mono if self._started is None else self._started
            bucket = self._buckets[name] = _Bucket(0.0, started)
        return bucket

    def _capacity(self, rate: model.Rate) -> float:
        """Give what a bucket holds: the burst, and some of the slack."""
        more = self._tolerance.slack if rate.in_tokens else 0.0
        return rate.burst + SLACK_HELD * more

    def _per_s(self, rate: model.Rate) -> float:
        """Give the refill of a bucket a second.

        The platform allows its tolerance in each span anew. What is refused
        below that is lost to callers; the rest of it is for what nodes let
        through unheard.
        """
        tolerance = self._tolerance
        more = tolerance.slack if rate.in_tokens else 0.0
        slack = 1000 * SLACK_REFILLED * more / tolerance.span_ms
        return rate.per_s * (1 + EXCESS_PART * tolerance.excess) + slack

    def _heard_part(self, now: clock.Instant) -> float:
        """Give the part of the nodes, this one included, that are heard."""
        heard = 1
        known = 1
        for node, peer in list(self._peers.items()):
            age = now.mono - peer.heard
            if age >= FORGOTTEN_MS:
                del self._peers[node]
                continue
            known += 1
            heard += age < UNHEARD_MS
        if self._started is not None and now.mono - self._started < MEET_MS:
            known = max(known, 1 + self._listed)
        return heard / known


def cost_of(call: calls.Call, rate: model.Rate) -> int:
    """Tell how much of its workspace's rate a request takes."""
    if not rate.in_tokens:
        return 1
    return (call.tokens_in + call.max_tokens) or rate.plain_tokens


def check(state: states.State, call: calls.Call, now: clock.Instant) -> int:
    """Let a request through, unless its workspace asks for too much.

    :return: 0 where it may go on, else milliseconds until a retry can help.
    """
    workspace = state.index.workspace(call.key.workspace)
    if workspace is None or workspace.rate is None:
        return 0
    return state.rates.take(call, workspace.rate, now)
