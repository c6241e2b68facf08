"""Rates of workspaces, kept by all nodes together without asking.

What a workspace may ask for holds for all nodes and any span of some
seconds. Each node knows exactly what it let through in that span, and the
others tell it theirs a few times a second. A request goes on if the sum
leaves room for it. What the others let through since they were last heard
is covered by the excess that the platform allows.

A node that hears nobody keeps to an equal part, as the others may go on
without it. One that has just started has forgotten what it let through
before; where many have, they take so much of the span before as used up.
"""

from __future__ import annotations

import collections
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
# Part of the platform's slack that a new node may use at once.
START_SLACK = 0.3
RETRY_LEAST_MS = 200
RETRY_MOST_MS = 2_000


class _Window:
    """Costs that were let through in the last seconds.

    :param span_ms: length of the window.
    """

    def __init__(self, *, span_ms: int) -> None:
        self._span_ms = span_ms
        self._costs: collections.deque[tuple[int, int]] = collections.deque()
        self._sum = 0

    def add(self, mono: int, cost: int) -> None:
        """Count a cost."""
        self._costs.append((mono, cost))
        self._sum += cost

    def sum(self, mono: int) -> int:
        """Add up what still counts."""
        while self._costs and mono - self._costs[0][0] >= self._span_ms:
            self._sum -= self._costs.popleft()[1]
        return self._sum

    def wait(self, mono: int, cost: float) -> int:
        """Give the milliseconds until so much has left the window."""
        left = cost
        for sent, item in self._costs:
            left -= item
            if left <= 0:
                return sent + self._span_ms - mono
        return self._span_ms


@dataclasses.dataclass(slots=True)
class _Peer:
    """What another node let through.

    :param heard: monotonic milliseconds.
    :param spent: costs in its window, by workspace.
    :param started: monotonic milliseconds at which it began to count.
    """

    heard: int
    spent: dict[str, int]
    started: int


class Rates:
    """What this node and the others let through.

    :param span_ms: span that a rate holds for.
    :param slack: excess that the platform allows in it.
    :param first_start: whether no node ran before, which could have
        forgotten anything.
    """

    def __init__(
        self, *, span_ms: int, slack: float, first_start: bool = False
    ) -> None:
        self._span_ms = span_ms
        self._slack = slack
        self._first_start = first_start
        self._started: int | None = None
        self._own: dict[str, _Window] = {}
        self._peers: dict[tuple[str, int], _Peer] = {}

    def hear(self, message: messages.Loads, now: clock.Instant) -> None:
        """Take in what another node let through."""
        spent = {item.workspace: item.spent for item in message.demand}
        source = (message.node, message.incarnation)
        self._peers[source] = _Peer(now.mono, spent, now.mono - message.up_ms)

    def up_ms(self, now: clock.Instant) -> int:
        """Tell how long this node has counted."""
        if self._started is None:
            self._started = now.mono
        if self._first_start:
            return max(self._span_ms, now.mono - self._started)
        return now.mono - self._started

    def tell(self, now: clock.Instant) -> tuple[messages.Demand, ...]:
        """Tell what this node let through, for the others."""
        return tuple(
            messages.Demand(workspace=name, spent=spent)
            for name, window in self._own.items()
            if (spent := window.sum(now.mono))
        )

    def take(
        self,
        call: calls.Call,
        rate: model.Rate,
        nodes: int,
        now: clock.Instant,
    ) -> int:
        """Let a request through, or tell when it may come again.

        :param nodes: live nodes that are known, this one included.
        :return: 0 where it is let through, else milliseconds until then.
        """
        name = call.key.workspace
        cost = cost_of(call, rate)
        limit = rate.per_s * self._span_ms / 1000 + rate.burst
        window = self._own.get(name)
        if window is None:
            window = self._own[name] = _Window(span_ms=self._span_ms)
        own = window.sum(now.mono)
        others, unheard = self._others(name, nodes, now)
        used = own + others + self._forgotten(limit, now)
        fits = used + cost <= limit
        if unheard and own + cost > limit / (nodes + unheard):
            fits = False
        if fits:
            window.add(now.mono, cost)
            return 0
        wait = window.wait(now.mono, used + cost - limit)
        return round(min(RETRY_MOST_MS, max(RETRY_LEAST_MS, wait)))

    def _others(
        self, name: str, nodes: int, now: clock.Instant
    ) -> tuple[int, int]:
        """Add up what the others let through.

        :return: the sum, and how many of them were not heard lately.
        """
        total = 0
        heard = 1
        for source, peer in list(self._peers.items()):
            age = now.mono - peer.heard
            if age >= self._span_ms:
                del self._peers[source]
                continue
            total += peer.spent.get(name, 0)
            heard += age < UNHEARD_MS
        return total, max(0, nodes - heard)

    def _forgotten(self, limit: float, now: clock.Instant) -> float:
        """Guess what was let through by lives of nodes that ended.

        Nodes that run on have told what they let through.
        """
        ages = [now.mono - peer.started for peer in self._peers.values()]
        ages.append(self.up_ms(now))
        left = sum(max(0.0, 1 - age / self._span_ms) for age in ages)
        if not left:
            return 0.0
        return max(0.0, limit * left / len(ages) - START_SLACK * self._slack)


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
    nodes = 1 + len(state.membership.alive)
    return state.rates.take(call, workspace.rate, nodes, now)
