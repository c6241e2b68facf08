"""Rates of workspaces, kept by all nodes together without asking.

Each node refills a token bucket by its share of the workspace's rate. The
shares follow the demand that the nodes tell each other, so that they add up
to one however the callers are spread. A node that was not heard for a while
keeps its share: it may be cut off and still serve.
"""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge.peers import messages

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import calls
    from teaselbridge.decisions import state as states
    from teaselbridge.tables import model

# Span over which demand is averaged: the quicker, the sooner shares follow
# callers that move; the slower, the less they jitter.
DEMAND_MS = 2_000
# A dead node's share is free once it can't be running unheard any more.
KEEP_MS = 12_000
# Demand assumed of an idle node, as a share of the rate: what it may give
# out before the others hear of it.
FLOOR = 0.1
RETRY_LEAST_MS = 200
RETRY_MOST_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    updated: int
    demand: float = 0.0


@dataclasses.dataclass(slots=True)
class _PeerDemand:
    heard: int
    by_workspace: dict[str, float]


class Rates:
    """Buckets of all workspaces, and what the others ask for."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _PeerDemand] = {}

    def hear(self, message: messages.Loads, now: clock.Instant) -> None:
        """Take in another node's demand."""
        demand = {item.workspace: item.per_s for item in message.demand}
        self._peers[message.node] = _PeerDemand(now.mono, demand)

    def demand(self, now: clock.Instant) -> tuple[messages.Demand, ...]:
        """Tell this node's demand, for the others."""
        for bucket in self._buckets.values():
            _age(bucket, now)
        return tuple(
            messages.Demand(workspace=name, per_s=round(bucket.demand, 1))
            for name, bucket in self._buckets.items()
            if bucket.demand >= 1
        )

    def share(
        self, name: str, rate: model.Rate, nodes: int, now: clock.Instant
    ) -> float:
        """Give this node's share of a workspace's rate.

        :param name: name of the workspace.
        :param nodes: live nodes that are known, this one included.
        """
        floor = FLOOR * rate.per_s
        bucket = self._buckets.get(name)
        own = floor + (0.0 if bucket is None else bucket.demand)
        others = 0.0
        count = 1
        for node, peer in list(self._peers.items()):
            if now.mono - peer.heard > KEEP_MS:
                del self._peers[node]
                continue
            count += 1
            others += floor + peer.by_workspace.get(name, 0.0)
        others += floor * max(0, nodes - count)
        return own / (own + others)

    def take(
        self,
        call: calls.Call,
        rate: model.Rate,
        nodes: int,
        now: clock.Instant,
    ) -> int:
        """Take the cost of a request out of its workspace's bucket.

        :param nodes: live nodes that are known, this one included.
        :return: 0 where there was enough, else milliseconds until then.
        """
        name = call.key.workspace
        cost = cost_of(call, rate)
        share = self.share(name, rate, nodes, now)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = _Bucket(rate.burst * share, now.mono)
            self._buckets[name] = bucket
        span = now.mono - bucket.updated
        _age(bucket, now)
        bucket.demand += cost * 1000 / DEMAND_MS
        refill = rate.per_s * share
        level = bucket.level + refill * span / 1000
        bucket.level = min(level, rate.burst * share)
        # A request larger than what may be saved up goes out of a full one.
        if bucket.level >= min(cost, rate.burst * share * 0.5):
            bucket.level -= cost
            return 0
        missing = min(cost, rate.burst * share) - bucket.level
        wait = 1000 * missing / max(1.0, refill)
        return round(min(RETRY_MOST_MS, max(RETRY_LEAST_MS, wait)))


def cost_of(call: calls.Call, rate: model.Rate) -> int:
    """Tell what a request takes out of its workspace's bucket."""
    if not rate.in_tokens:
        return 1
    return (call.tokens_in + call.max_tokens) or rate.plain_tokens


def check(state: states.State, call: calls.Call, now: clock.Instant) -> int:
    """Take a request's cost, unless its workspace asks for too much.

    :return: 0 where it may go on, else milliseconds until a retry can help.
    """
    workspace = state.index.workspace(call.key.workspace)
    if workspace is None or workspace.rate is None:
        return 0
    if workspace.rate.per_s <= 0:
        return 0
    nodes = 1 + len(state.membership.alive)
    return state.rates.take(call, workspace.rate, nodes, now)


def _age(bucket: _Bucket, now: clock.Instant) -> None:
    span = max(0, now.mono - bucket.updated)
    bucket.demand *= max(0.0, 1 - span / DEMAND_MS)
    bucket.updated = now.mono
