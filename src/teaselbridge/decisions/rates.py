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
RETRY_LEAST_MS = 200
RETRY_MOST_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Bucket:
    """This node's copy of a workspace's bucket.

    :param level: what may be let through; below zero after a request that
        was larger than the rest, or that several nodes let through at once.
    :param updated: monotonic milliseconds.
    :param spent: what this node let through since its start.
    """

    level: float
    updated: int
    spent: int = 0


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


class Rates:
    """Buckets of all workspaces, and what the other nodes told.

    :param first_start: whether no node ran before, which could have let
        anything through.
    """

    def __init__(self, *, first_start: bool = False) -> None:
        self._first_start = first_start
        self._buckets: dict[str, _Bucket] = {}
        self._peers: dict[str, _Peer] = {}

    def hear(self, message: messages.Loads, now: clock.Instant) -> None:
        """Take in what another node let through."""
        spent = {item.workspace: item.spent for item in message.demand}
        known = self._peers.get(message.node)
        before: dict[str, int] = {}
        if known is not None and known.incarnation == message.incarnation:
            before = known.spent
        for name, total in spent.items():
            bucket = self._buckets.get(name)
            # Of a node heard for the first time it is not known when.
            if bucket is not None and known is not None:
                bucket.level -= max(0, total - before.get(name, 0))
        self._peers[message.node] = _Peer(
            message.incarnation, now.mono, {**before, **spent}
        )

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
        if bucket.level > 0:
            cost = cost_of(call, rate)
            bucket.level -= cost
            bucket.spent += cost
            return 0
        wait = 1000 * (1 - bucket.level) / rate.per_s
        return round(min(RETRY_MOST_MS, max(RETRY_LEAST_MS, wait)))

    def _refill(
        self, name: str, rate: model.Rate, now: clock.Instant
    ) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            level = rate.burst if self._first_start else 0.0
            # The first request of a workspace opens its bucket.
            bucket = _Bucket(max(1.0, level), now.mono)
            self._buckets[name] = bucket
        span = now.mono - bucket.updated
        part = self._heard_part(now)
        fresh = rate.per_s * part * span / 1000
        bucket.level = min(max(1.0, rate.burst * part), bucket.level + fresh)
        bucket.updated = now.mono
        return bucket

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
