"""Distributed rate limits of workspaces, without a request to other nodes.

Load pattern: one workspace sends many times its usual traffic to several
nodes.

Each node keeps a replica of one token bucket per workspace. It subtracts the
cost of the requests that it admits itself, and once a period (see
`rotation`) the cost of those that each other node reports. What the others
admit between two reports is predicted from what they admitted before. All
nodes see about the same level, so each admits a request only with the
probability at which all of them together use up the level and the refill
until they hear of each other.

Less urgent requests draw the level down only to a reserve for what is asked
for by more urgent ones. A fraction of them is exempt from that.

A node that gets no reports from some of the others uses only the fraction of
the bucket that corresponds to the nodes it can hear, since the others may
still admit requests. A node that restarts begins with an empty bucket, since
it may have admitted many requests just before.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge import clock as clocks
from teaselbridge.decisions import calls
from teaselbridge.decisions import placement
from teaselbridge.decisions.sharing import asked
from teaselbridge.decisions.sharing import returns
from teaselbridge.decisions.sharing import rotation
from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge import clock
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

# Least time without a report after which a node counts as not reachable. At
# four reports a second, three in a row may get lost.
MIN_PEER_TIMEOUT_MS = 1_000
# With longer periods, a report may be late by this much.
MAX_REPORT_DELAY_MS = 500
# A node that sent no report for this long is gone, or is partitioned from
# the store too and refuses requests, as it cannot confirm workspace keys.
PEER_FORGET_TIMEOUT_MS = 10_000
# Nodes that are remembered after their removal.
MAX_FORGOTTEN = 1_000
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
# With older reports, these fractions are multiplied by the staleness to this
# power.
MARGIN_EXPONENT = -0.4
# Hashes lie below this number.
HASH_RANGE = 1 << 63
# Weight of a new sample in the moving average of the request cost.
MEAN_SMOOTHING = 0.1
# A request larger than the bucket is admitted once the bucket is this full.
NEARLY_FULL_FRACTION = 0.9
# Network delay of a report, added to the period of the reports.
REPORT_DELAY_MS = 50
# The reserve covers what more urgent ranks ask for in at least this time,
# in which a few of their requests arrive at once.
MIN_RESERVE_MS = 500
# The reserve is at most this fraction of the capacity, so that a full bucket
# serves all ranks.
MAX_RESERVE_FRACTION = 0.5
# So many requests of a full bucket do not count as spare. With two of them,
# a small bucket gave up to 1.07 times what the platform allows at seven times
# the load, in the model of 64 nodes; with eight 0.98.
SPARE_REQUESTS = 8
# Each rank is served at least this much as often as all ranks together, by
# requests that are admitted like the most urgent ones. The users' platform
# requires a quarter.
FLOOR_FRACTION = 0.4


@dataclasses.dataclass(slots=True)
class _Bucket:
    """This node's replica of the token bucket of a workspace.

    :param level: tokens left; negative after a request that cost more than
        was left, or after several nodes admitted requests at once.
    :param updated: monotonic milliseconds of the last refill.
    :param spent: cost of the requests that this node admitted since its
        start.
    :param mean_cost: moving average of the cost of a request.
    :param is_filled: whether it was filled since the start of this node.
    :param has_requests: whether this node has got a request of the workspace.
    :param own: cost of the requests to this node.
    :param reported: cost of the requests to other nodes.
    :param silent_peers: number of nodes whose reports have no such costs.
    :param seen: cost of all requests that were subtracted from the level.
    :param pace: tokens per millisecond that other nodes admit.
    :param pace_moment: sum over these nodes of that times the monotonic
        milliseconds of their last report.
    """

    level: float
    updated: int
    spent: int = 0
    mean_cost: float = 0.0
    is_filled: bool = False
    has_requests: bool = False
    own: asked.RecentCosts = dataclasses.field(
        default_factory=asked.RecentCosts
    )
    reported: asked.ReportedCosts = dataclasses.field(
        default_factory=asked.ReportedCosts
    )
    silent_peers: int = 0
    seen: int = 0
    pace: float = 0.0
    pace_moment: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """What another node last reported of a workspace.

    :param spent: cost of the requests that it admitted since its start.
    :param asked: cost of the requests to it by rank; empty from nodes of an
        earlier version.
    :param pace: tokens per millisecond that it admitted since the report
        before.
    :param seen: cost of the requests of all nodes that were known then.
    """

    spent: int = 0
    asked: tuple[int, ...] = ()
    pace: float = 0.0
    seen: int = 0


@dataclasses.dataclass(slots=True)
class _Peer:
    """Latest report of another node.

    :param incarnation: incarnation of the node, which grows with restarts.
    :param heard_at: monotonic milliseconds at which the report arrived.
    :param reports: what it reported, by workspace.
    :param presumed: tokens that it is taken to have spent since, by
        workspace; none while its reports are not late.
    """

    incarnation: int
    heard_at: int
    reports: dict[str, _Report]
    presumed: dict[str, float] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """What a request of one rank finds in the bucket of its workspace.

    :param level: tokens left, less what other nodes admitted presumably.
    :param capacity: tokens that this node counts with in a full bucket.
    :param reserve: tokens kept for more urgent ranks.
    :param needed: tokens above the reserve that are required.
    :param refill_per_s: refill that this node counts with.
    :param asked_per_s: tokens that requests as urgent as this one ask for at
        all nodes.
    """

    level: float
    capacity: float
    reserve: float
    needed: float
    refill_per_s: float
    asked_per_s: float


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
        # What nodes that were removed had spent, with their incarnation: a
        # late report must not count again what was subtracted before.
        self._forgotten: dict[str, tuple[int, dict[str, int]]] = {}
        self._started: int | None = None
        self._listed_peers = 0
        self._period_ms = rotation.UPDATE_INTERVAL_MS
        self._share = 1.0

    def record_start(
        self,
        now: clock.Instant,
        listed_peers: int,
        period_ms: int = rotation.UPDATE_INTERVAL_MS,
    ) -> None:
        """Record the start of this node, and how many other nodes there are.

        :param listed_peers: number of other nodes that the store lists.
        :param period_ms: time between two reports of each of them.
        """
        if self._started is None:
            self._started = now.mono
        self._listed_peers = listed_peers
        self._period_ms = period_ms

    def set_share(self, share: float) -> None:
        """Set this node's share of each limit, apart from what others spent.

        :param share: 1 where all nodes admit requests together.
        """
        self._share = share

    def merge_report(
        self,
        message: messages.Loads,
        now: clock.Instant,
        find_rate: collections.abc.Callable[
            [str], model.Rate | None
        ] = lambda _: None,
    ) -> None:
        """Subtract the cost of the requests that another node reports.

        :param find_rate: function that returns the rate of a workspace, none
            where it has none.
        """
        known = self._peers.get(message.node)
        forgotten = self._forgotten.pop(message.node, None)
        # The first report of a node that started earlier may include requests
        # from before this node started, so it only sets the baseline.
        counts = (
            known is not None
            or forgotten is not None
            or self._started_no_earlier(message, now)
        )
        if known is None:
            known = _Peer(message.incarnation, now.mono, {})
        self._return_presumed(known)
        spent = {name: item.spent for name, item in known.reports.items()}
        incarnation = known.incarnation
        if forgotten is not None:
            incarnation, spent = forgotten
        if incarnation != message.incarnation:
            spent = {}
        told = {item.workspace: item for item in message.demand}
        reports: dict[str, _Report] = {}
        for name in told.keys() | known.reports.keys():
            base = spent.get(name, 0)
            item = told.get(name) or messages.Demand(
                workspace=name, spent=base, asked=(0,)
            )
            cost = max(0, item.spent - base)
            pace = 0.0
            if counts and now.mono > known.heard_at:
                pace = cost / (now.mono - known.heard_at)
            bucket = self._get_bucket(name, now)
            if cost and now.mono - bucket.updated >= self._period_ms:
                # A full bucket loses its refill, which may not be added behind
                # what is subtracted here.
                rate = find_rate(name)
                if rate is not None:
                    self._refill(name, rate, now)
            if counts:
                bucket.level -= cost
                bucket.seen += cost
            report = _Report(item.spent, item.asked, pace, bucket.seen)
            _replace_report(
                bucket,
                known.reports.get(name),
                known.heard_at,
                report,
                now.mono,
            )
            reports[name] = report
        self._peers[message.node] = _Peer(
            message.incarnation, now.mono, reports
        )

    def _started_no_earlier(
        self, message: messages.Loads, now: clock.Instant
    ) -> bool:
        """Return whether a node started at most START_TOLERANCE_MS earlier."""
        if self._started is None:
            return False
        age = message.wall - message.incarnation
        return age <= now.mono - self._started + START_TOLERANCE_MS

    def forget_peers(self, names: typing.Iterable[str]) -> None:
        """Remove nodes that certainly admit no more requests."""
        for name in names:
            if name in self._peers:
                self._return_presumed(self._peers[name])
            self._forget_peer(name)

    def list_peers(self) -> list[str]:
        """Return the names of the nodes that sent reports."""
        return list(self._peers)

    def get_demand(self, now: clock.Instant) -> tuple[messages.Demand, ...]:
        """Return the cost of the requests to this node by workspace."""
        return tuple(
            messages.Demand(
                workspace=name,
                spent=bucket.spent,
                asked=asked.encode(bucket.own.get(now.mono)),
            )
            for name, bucket in self._buckets.items()
            if bucket.has_requests
        )

    def admit(
        self, call: calls.Call, rate: model.Rate, now: clock.Instant
    ) -> int:
        """Admit a request and subtract its cost, or return a retry delay.

        :return: 0 if the request is admitted, else milliseconds until a
            retry.
        """
        cost = compute_cost(call, rate)
        bucket = self._refill(call.key.workspace, rate, now)
        bucket.has_requests = True
        bucket.own.add(call.route.priority, cost, now.mono)
        bucket.mean_cost = bucket.mean_cost or cost
        view = self._view(bucket, call, rate, now)
        # Only later requests need more after a large one. Otherwise large
        # ones would be refused at a level that admits small ones.
        bucket.mean_cost += MEAN_SMOOTHING * (cost - bucket.mean_cost)
        free = view.level - view.reserve
        draw = placement.hash_text('rate', call.key.id) / HASH_RANGE
        if free >= view.needed and self._is_in_turn(view, draw):
            bucket.level -= cost
            bucket.spent += cost
            bucket.seen += cost
            return 0
        needed = view.needed - free
        excess_per_s = view.asked_per_s - view.refill_per_s
        waiting = excess_per_s * asked.WINDOW_MS / clocks.SECOND_MS
        return_ms = returns.compute_return_ms(
            needed,
            view.refill_per_s,
            returns.limit_waiting(
                waiting, needed, view.refill_per_s, call.route.goal_ms
            ),
            draw,
        )
        return returns.cap_return_ms(return_ms, call.deadline - now.mono)

    def describe(
        self, call: calls.Call, rate: model.Rate, now: clock.Instant
    ) -> str:
        """Describe the bucket as a request finds it, for the log."""
        bucket = self._refill(call.key.workspace, rate, now)
        view = self._view(bucket, call, rate, now)
        ages = [now.mono - peer.heard_at for peer in self._peers.values()]
        timeout = self._peer_timeout_ms()
        heard = sum(age < timeout for age in ages)
        return (
            f'level {view.level:.0f}, reserve {view.reserve:.0f}, '
            f'refill {view.refill_per_s:.0f}/s, share {self._share:.3f}, '
            f'heard {heard} of {len(ages)} nodes, '
            f'oldest report {max(ages, default=0)} ms'
        )

    def _view(
        self,
        bucket: _Bucket,
        call: calls.Call,
        rate: model.Rate,
        now: clock.Instant,
    ) -> _View:
        """Return what a request finds in a bucket that was just refilled."""
        capacity = self._capacity(rate)
        # The required level is the same for all request sizes. Otherwise
        # small requests would keep the level too low for large ones.
        needed = min(
            bucket.mean_cost, max(1.0, NEARLY_FULL_FRACTION * capacity)
        )
        fraction = self._share * self._reachable_fraction(now)
        refill_per_s = self._refill_per_s(rate) * fraction
        costs_per_s = self._list_asked_per_s(bucket, now)
        exempt = _compute_exempt(costs_per_s, refill_per_s)
        rank = call.route.priority
        draw = placement.hash_text('rank', call.key.id) / HASH_RANGE
        if draw < exempt:
            rank = 0
        urgent = sum(costs_per_s[:rank])
        reserve = 0.0
        if urgent:
            span_ms = max(MIN_RESERVE_MS, self._report_age_ms())
            reserve = min(
                MAX_RESERVE_FRACTION * capacity * fraction,
                max(needed, urgent * span_ms / clocks.SECOND_MS),
            )
        others = exempt * sum(costs_per_s[rank + 1 :])
        return _View(
            level=bucket.level - self._estimate_unreported(bucket, now),
            capacity=capacity * fraction,
            reserve=reserve,
            needed=needed,
            refill_per_s=refill_per_s,
            asked_per_s=urgent + costs_per_s[rank] + others,
        )

    def _is_in_turn(self, view: _View, draw: float) -> bool:
        """Return whether a request is among those that all nodes admit.

        All nodes see the same level at the same time. If each of them
        admitted all requests that it allows, the bucket would be overdrawn
        before they hear of each other. Each request has a random draw, so
        that about as many are admitted as the level and the refill allow.
        """
        if not self._peers:
            return True
        span_s = self._report_age_ms() / clocks.SECOND_MS
        free = view.level - view.reserve
        # In a bucket that is not full, more is asked for than is refilled.
        # The older the reports, the more that may have grown since.
        spare = free - SPARE_REQUESTS * view.needed
        drawn = 1 - min(1.0, max(0.0, spare / max(1.0, view.capacity)))
        growth = 1 + (self._get_staleness() - 1) * drawn
        asked_per_s = growth * view.asked_per_s
        return draw * asked_per_s * span_s <= (
            free + view.refill_per_s * span_s
        )

    def _list_asked_per_s(
        self, bucket: _Bucket, now: clock.Instant
    ) -> list[float]:
        """Return the tokens per second that callers ask for, by rank.

        A node whose reports do not say so is taken to get as much as this
        one.
        """
        own = bucket.own.get(now.mono)
        return [
            clocks.SECOND_MS
            * (cost * (1 + bucket.silent_peers) + others)
            / asked.WINDOW_MS
            for cost, others in zip(own, bucket.reported.get(), strict=True)
        ]

    def _estimate_unreported(
        self, bucket: _Bucket, now: clock.Instant
    ) -> float:
        """Estimate what other nodes admitted since their last reports."""
        spent = bucket.pace * now.mono - bucket.pace_moment
        return max(0.0, min(spent, bucket.pace * self._report_age_ms()))

    def _report_age_ms(self) -> int:
        """Return the highest age of a report that is not late."""
        return self._period_ms + REPORT_DELAY_MS

    def _get_staleness(self) -> float:
        """Return the age of reports relative to that with few nodes, >= 1."""
        least = rotation.UPDATE_INTERVAL_MS + REPORT_DELAY_MS
        return self._report_age_ms() / least

    def _peer_timeout_ms(self) -> int:
        """Return after how long without a report a node is not reachable."""
        return max(MIN_PEER_TIMEOUT_MS, self._period_ms + MAX_REPORT_DELAY_MS)

    def _refill(
        self, name: str, rate: model.Rate, now: clock.Instant
    ) -> _Bucket:
        """Refill the bucket of a workspace up to now and return it."""
        bucket = self._get_bucket(name, now)
        if not bucket.is_filled:
            bucket.is_filled = True
            if self._first_start:
                bucket.level += self._capacity(rate)
        span = now.mono - bucket.updated
        fraction = self._share * self._reachable_fraction(now)
        refill = self._refill_per_s(rate) * fraction * span / 1000
        most = max(1.0, self._capacity(rate) * fraction)
        # The level still includes what other nodes admitted since.
        most += self._estimate_unreported(bucket, now)
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
        fraction = SLACK_CAPACITY_FRACTION * self._get_margin()
        return rate.burst + fraction * slack_tokens

    def _refill_per_s(self, rate: model.Rate) -> float:
        """Return the refill of a bucket in tokens per second.

        The platform grants its tolerance in every window, and tolerance that
        is not used is lost to callers. Part of it is therefore added to the
        refill. The rest is kept for requests that nodes admit before they
        hear of each other's.
        """
        tolerance = self._tolerance
        margin = self._get_margin()
        slack_tokens = tolerance.slack if rate.in_tokens else 0.0
        slack = (
            clocks.SECOND_MS
            * SLACK_REFILL_FRACTION
            * margin
            * slack_tokens
            / tolerance.span_ms
        )
        excess = EXCESS_FRACTION * margin * tolerance.excess
        return rate.per_s * (1 + excess) + slack

    def _get_margin(self) -> float:
        """Return the part of these fractions that is used.

        It is smaller with older reports. In the model of 64 nodes, all of
        them and no other measure gave 1.09 times what the platform allows,
        at seven times the usual load.
        """
        return float(self._get_staleness() ** MARGIN_EXPONENT)

    def _reachable_fraction(self, now: clock.Instant) -> float:
        """Return the fraction of nodes that report, including this one."""
        known = 1
        late: list[_Peer] = []
        timeout = self._peer_timeout_ms()
        for node, peer in list(self._peers.items()):
            age = now.mono - peer.heard_at
            if age >= PEER_FORGET_TIMEOUT_MS:
                self._forget_peer(node)
                continue
            known += 1
            if age >= timeout:
                late.append(peer)
        reachable = known - len(late)
        for peer in late:
            if peer.presumed is None:
                self._presume_spending(peer, reachable, reachable / known)
        if (
            self._started is not None
            and now.mono - self._started < STARTUP_GRACE_MS
        ):
            known = max(known, 1 + self._listed_peers)
        return reachable / known

    def _presume_spending(
        self, peer: _Peer, reachable: int, fraction: float
    ) -> None:
        """Subtract what a node presumably spent since its last report.

        Until both sides of a partition notice it, each of them uses the
        whole bucket. Each then bears its fraction of what the other side
        spent, taken to be as much for each node as on its own side.

        :param reachable: number of nodes on this side.
        :param fraction: fraction of the nodes that they are.
        """
        peer.presumed = {}
        for name, report in peer.reports.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                spent = (bucket.seen - report.seen) / reachable
                peer.presumed[name] = spent * fraction
                bucket.level -= spent * fraction

    def _return_presumed(self, peer: _Peer) -> None:
        """Add again what a node was presumed to have spent."""
        for name, tokens in (peer.presumed or {}).items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level += tokens
        peer.presumed = None

    def _forget_peer(self, node: str) -> None:
        """Remove another node and what it reported."""
        peer = self._peers.pop(node, None)
        if peer is None:
            return
        self._forgotten[node] = (
            peer.incarnation,
            {name: item.spent for name, item in peer.reports.items()},
        )
        if len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        for name, report in peer.reports.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                _replace_report(bucket, report, peer.heard_at, None, 0)


def _compute_exempt(costs_per_s: list[float], refill_per_s: float) -> float:
    """Compute the fraction of the requests of each rank without a reserve.

    They compete with the most urgent ones, of which more are served than of
    all, so that the fraction is the smaller the more this is so.

    :param costs_per_s: tokens per second that callers ask for, by rank.
    """
    first = next((cost for cost in costs_per_s if cost), 0.0)
    total = max(sum(costs_per_s), refill_per_s, 1.0)
    return FLOOR_FRACTION * max(first, refill_per_s) / total


def _replace_report(
    bucket: _Bucket,
    before: _Report | None,
    heard_before: int,
    after: _Report | None,
    heard_at: int,
) -> None:
    """Replace what one node reported in the sums of a bucket."""
    if before is not None:
        bucket.pace -= before.pace
        bucket.pace_moment -= before.pace * heard_before
        bucket.reported.replace(before.asked, ())
        bucket.silent_peers -= not before.asked
    if after is not None:
        bucket.pace += after.pace
        bucket.pace_moment += after.pace * heard_at
        bucket.reported.replace((), after.asked)
        bucket.silent_peers += not after.asked


def compute_cost(call: calls.Call, rate: model.Rate) -> int:
    """Return the cost of a request in the unit of its workspace's rate."""
    if not rate.in_tokens:
        return 1
    return (call.tokens_in + call.max_tokens) or rate.plain_tokens


def check(
    state: states.State, call: calls.Call, now: clock.Instant
) -> calls.Refusal | None:
    """Admit a request unless its workspace exceeds its rate limit.

    :return: the refusal, none where the request is admitted.
    """
    workspace = state.index.workspace(call.key.workspace)
    if workspace is None or workspace.rate is None:
        return None
    wait = state.rates.admit(call, workspace.rate, now)
    if not wait:
        return None
    return calls.Refusal(
        calls.Reason.RATE_LIMIT,
        calls.RunStatus.NOT_RUN,
        'the workspace exceeds its request rate',
        wait,
        state.rates.describe(call, workspace.rate, now),
    )
