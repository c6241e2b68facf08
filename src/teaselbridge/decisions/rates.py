"""Distributed rate limits of workspaces, without a request to other nodes.

Load pattern: one workspace sends many times its usual traffic to several
nodes.

Each node keeps a replica of one token bucket per workspace. It subtracts the
cost of the requests that it admits itself, and a few times a second the cost
of those that the other nodes report. Requests that the others admitted since
their last report are covered by the excess that the platform tolerates, and
are subtracted when the next report arrives.

A node that gets no reports from some of the others uses only the fraction of
the bucket that corresponds to the nodes it can hear, since the others may
still admit requests. A node that restarts begins with an empty bucket, since
it may have admitted many requests just before.
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

# Nodes report four times a second, so three in a row may get lost.
PEER_TIMEOUT_MS = 1_000
# A node that sent no report for this long is gone, or is partitioned from
# the store too and refuses requests, as it cannot confirm workspace keys.
PEER_FORGET_TIMEOUT_MS = 10_000
# Nodes that start together have got reports from each other by then.
STARTUP_GRACE_MS = 2_000
# After a failure of all nodes, they restart within this span of each other.
START_TOLERANCE_MS = 500
# Fractions of the platform's tolerance that callers may use: of the excess,
# of the slack that a bucket holds, and of the slack in each refill. The rest
# covers requests that nodes admit before they hear of each other's.
EXCESS_FRACTION = 0.8
SLACK_CAPACITY_FRACTION = 0.1
SLACK_REFILL_FRACTION = 0.25
# Hashes lie below this number.
HASH_RANGE = 1 << 63
# Weight of a new sample in the moving average of the request cost.
MEAN_SMOOTHING = 0.1
# A request larger than the bucket is admitted once the bucket is this full.
NEARLY_FULL_FRACTION = 0.9
# Window over which requests are counted.
REQUEST_WINDOW_MS = 2_000
# Maximum age of the last report: the interval at four messages a second,
# plus the network delay of one.
MAX_REPORT_AGE_MS = 300
# Bounds of the retry delay that callers are given.
MIN_RETRY_MS = 200
MAX_RETRY_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Bucket:
    """This node's replica of the token bucket of a workspace.

    :param level: tokens left; negative after a request that cost more than
        was left, or after several nodes admitted requests at once.
    :param updated: monotonic milliseconds of the last refill.
    :param spent: cost of the requests that this node admitted since its
        start.
    :param mean_cost: moving average of the cost of a request.
    :param recent_requests: requests to this node in the last two seconds,
        decayed.
    :param has_requests: whether this node has got a request of the workspace.
    """

    level: float
    updated: int
    spent: int = 0
    mean_cost: float = 0.0
    recent_requests: float = 0.0
    has_requests: bool = False


@dataclasses.dataclass(slots=True)
class _Peer:
    """Latest report of another node.

    :param incarnation: incarnation of the node, which grows with restarts.
    :param heard_at: monotonic milliseconds at which the report arrived.
    :param spent: cost of the requests that it admitted since its start, by
        workspace.
    """

    incarnation: int
    heard_at: int
    spent: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tolerance:
    """Usage beyond a rate limit that the platform tolerates per window.

    :param span_ms: window over which the platform checks a rate.
    :param excess: tolerated excess, as a fraction of the rate in the window.
    :param slack: tolerated excess in tokens, added to that.
    """

    span_ms: int = 8_000
    excess: float = 0.0
    slack: float = 0.0


class RateLimiter:
    """Token buckets of all workspaces, and the reports of other nodes.

    :param first_start: whether no node ran before that could have admitted
        requests, so that buckets start full.
    :param tolerance: usage beyond a rate limit that the platform tolerates.
    """

    def __init__(
        self, *, first_start: bool = False, tolerance: Tolerance = Tolerance()
    ) -> None:
        self._first_start = first_start
        self._tolerance = tolerance
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}
        self._started: int | None = None
        self._listed_peers = 0
        self._share = 1.0

    def record_start(self, now: clock.Instant, listed_peers: int) -> None:
        """Record the start of this node, and how many other nodes there are.

        :param listed_peers: number of other nodes that the store lists.
        """
        if self._started is None:
            self._started = now.mono
        self._listed_peers = listed_peers

    def set_share(self, share: float) -> None:
        """Set this node's share of each limit, apart from what others spent.

        :param share: 1 where all nodes admit requests together.
        """
        self._share = share

    def merge_report(
        self, message: messages.Loads, now: clock.Instant
    ) -> None:
        """Subtract the cost of the requests that another node reports."""
        spent = {item.workspace: item.spent for item in message.demand}
        known = self._peers.get(message.node)
        before: dict[str, int] = {}
        if known is not None and known.incarnation == message.incarnation:
            before = known.spent
        # The first report of a node that started earlier may include requests
        # from before this node started, so it only sets the baseline.
        counts = known is not None or self._started_no_earlier(message, now)
        for name, total in spent.items():
            if counts:
                bucket = self._get_bucket(name, now)
                bucket.level -= max(0, total - before.get(name, 0))
        self._peers[message.node] = _Peer(
            message.incarnation, now.mono, {**before, **spent}
        )

    def _started_no_earlier(
        self, message: messages.Loads, now: clock.Instant
    ) -> bool:
        """Return whether a node started at most START_TOLERANCE_MS earlier."""
        if self._started is None:
            return False
        age = message.wall - message.incarnation
        return age <= now.mono - self._started + START_TOLERANCE_MS

    def get_demand(self) -> tuple[messages.Demand, ...]:
        """Return the cost of the requests admitted by this node so far."""
        return tuple(
            messages.Demand(workspace=name, spent=bucket.spent)
            for name, bucket in self._buckets.items()
            if bucket.spent
        )

    def admit(
        self, call: calls.Call, rate: model.Rate, now: clock.Instant
    ) -> int:
        """Admit a request and subtract its cost, or return a retry delay.

        :return: 0 if the request is admitted, else milliseconds until a
            retry.
        """
        bucket = self._refill(call.key.workspace, rate, now)
        cost = compute_cost(call, rate)
        # The required level is the same for all request sizes. Otherwise
        # small requests would keep the level too low for large ones.
        bucket.recent_requests += 1
        smoothing = MEAN_SMOOTHING if bucket.mean_cost else 1.0
        bucket.mean_cost += smoothing * (cost - bucket.mean_cost)
        needed = min(
            bucket.mean_cost,
            max(1.0, NEARLY_FULL_FRACTION * self._capacity(rate)),
        )
        unreported = self._estimate_unreported(bucket, now)
        draw = placement.hash_text('rate', call.key.id) / HASH_RANGE
        if bucket.level >= needed * max(1.0, draw * unreported):
            bucket.level -= cost
            bucket.spent += cost
            return 0
        wait = 1000 * (needed - bucket.level) / self._refill_per_s(rate)
        return round(min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait)))

    def _estimate_unreported(
        self, bucket: _Bucket, now: clock.Instant
    ) -> float:
        """Estimate how many requests other nodes handle before they report.

        All nodes see the same low level at the same time. If each of them
        admitted a request, the bucket would be overdrawn by that many
        requests and stay empty for long. The caller of this method
        therefore scales the required level by a random draw, so that only
        about as many requests are admitted as the level allows.
        """
        others = sum(
            now.mono - peer.heard_at < PEER_TIMEOUT_MS
            for peer in self._peers.values()
        )
        return (
            others
            * bucket.recent_requests
            * MAX_REPORT_AGE_MS
            / REQUEST_WINDOW_MS
        )

    def _refill(
        self, name: str, rate: model.Rate, now: clock.Instant
    ) -> _Bucket:
        """Refill the bucket of a workspace up to now and return it."""
        bucket = self._get_bucket(name, now)
        if not bucket.has_requests:
            bucket.has_requests = True
            if self._first_start:
                bucket.level += self._capacity(rate)
        span = now.mono - bucket.updated
        bucket.recent_requests *= max(0.0, 1 - span / REQUEST_WINDOW_MS)
        fraction = self._share * self._reachable_fraction(now)
        refill = self._refill_per_s(rate) * fraction * span / 1000
        most = max(1.0, self._capacity(rate) * fraction)
        bucket.level = min(most, bucket.level + refill)
        bucket.updated = now.mono
        return bucket

    def _get_bucket(self, name: str, now: clock.Instant) -> _Bucket:
        """Return the bucket of a workspace, empty as of the start if new."""
        bucket = self._buckets.get(name)
        if bucket is None:
            started = now.mono if self._started is None else self._started
            bucket = self._buckets[name] = _Bucket(0.0, started)
        return bucket

    def _capacity(self, rate: model.Rate) -> float:
        """Return the capacity of a bucket: the burst and some of the slack."""
        slack_tokens = self._tolerance.slack if rate.in_tokens else 0.0
        return rate.burst + SLACK_CAPACITY_FRACTION * slack_tokens

    def _refill_per_s(self, rate: model.Rate) -> float:
        """Return the refill of a bucket in tokens per second.

        The platform grants its tolerance in every window, and tolerance that
        is not used is lost to callers. Part of it is therefore added to the
        refill. The rest is kept for requests that nodes admit before they
        hear of each other's.
        """
        tolerance = self._tolerance
        slack_tokens = tolerance.slack if rate.in_tokens else 0.0
        slack = 1000 * SLACK_REFILL_FRACTION * slack_tokens / tolerance.span_ms
        return rate.per_s * (1 + EXCESS_FRACTION * tolerance.excess) + slack

    def _reachable_fraction(self, now: clock.Instant) -> float:
        """Return the fraction of nodes that report, including this one."""
        reachable = 1
        known = 1
        for node, peer in list(self._peers.items()):
            age = now.mono - peer.heard_at
            if age >= PEER_FORGET_TIMEOUT_MS:
                del self._peers[node]
                continue
            known += 1
            reachable += age < PEER_TIMEOUT_MS
        if (
            self._started is not None
            and now.mono - self._started < STARTUP_GRACE_MS
        ):
            known = max(known, 1 + self._listed_peers)
        return reachable / known


def compute_cost(call: calls.Call, rate: model.Rate) -> int:
    """Return the cost of a request in the unit of its workspace's rate."""
    if not rate.in_tokens:
        return 1
    return (call.tokens_in + call.max_tokens) or rate.plain_tokens


def check(state: states.State, call: calls.Call, now: clock.Instant) -> int:
    """Admit a request unless its workspace exceeds its rate limit.

    :return: 0 if it is admitted, else milliseconds until a retry can
        succeed.
    """
    workspace = state.index.workspace(call.key.workspace)
    if workspace is None or workspace.rate is None:
        return 0
    return state.rates.admit(call, workspace.rate, now)
