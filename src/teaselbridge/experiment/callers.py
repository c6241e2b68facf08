"""Callers of an experiment, and what comes of their requests."""

from __future__ import annotations

import collections
import dataclasses
import functools
import itertools
import typing

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import placement
from teaselbridge.experiment import scenario as scenarios
from teaselbridge.tables import model
from teaselbridge.workload import results
from teaselbridge.workload import trace

if typing.TYPE_CHECKING:
    import collections.abc
    import random

    from teaselbridge.experiment import nodes
    from teaselbridge.experiment import schedule

EPOCH = 1_800_000_000_000
CALLER_MS = 3.0
RESEND_MS = 100.0

Post: typing.TypeAlias = (
    'collections.abc.Callable[[nodes.Node, events.Event], None]'
)


@dataclasses.dataclass(slots=True, eq=False)
class Asked:
    """One request, as its caller sees it."""

    arrival: trace.Arrival
    key: calls.RequestKey
    sent_at: float
    deadline: float
    tokens: list[str] = dataclasses.field(default_factory=list)
    sendings: int = 0
    handle: int = 0
    node: str = ''
    last: float = 0.0
    first_ms: float = 0.0
    over: bool = False


class Callers:
    """Sends requests, follows refusals, and counts how they end.

    :param time: virtual time.
    :param generator: chooses nodes.
    :param nodes: all nodes, by name.
    :param post: lets a node take in an event.
    :param seconds: length of the time line of outcomes.
    """

    def __init__(
        self,
        *,
        time: schedule.Schedule,
        generator: random.Random,
        nodes: dict[str, nodes.Node],
        post: Post,
        seconds: int,
    ) -> None:
        self._time = time
        self._random = generator
        self._nodes = nodes
        self._post = post
        self._handles = itertools.count(1)
        self._asked: dict[int, Asked] = {}
        self.tallies = {work.value: results.Tally() for work in trace.Work}
        self.reasons: collections.Counter[str] = collections.Counter()
        self.first = results.Times()
        self.between = results.Times()
        self.seconds = [results.Second() for _ in range(seconds)]

    def send(self, arrival: trace.Arrival) -> None:
        """Send a new request."""
        kind = arrival.kind
        number = len(self._asked)
        asked = Asked(
            arrival=arrival,
            key=calls.RequestKey(kind.key, f'request-{number}'),
            sent_at=self._time.now,
            deadline=self._time.now + kind.deadline_ms,
        )
        self._asked[-number - 1] = asked
        self.tallies[kind.work.value].sent += 1
        self._resend(asked)

    def lose(self, node: nodes.Node) -> None:
        """Let callers that a node still held go elsewhere."""
        for asked in list(self._asked.values()):
            if asked.node == node.name and not asked.over:
                self._time.later(
                    RESEND_MS, functools.partial(self._resend, asked)
                )

    def _resend(self, asked: Asked) -> None:
        """Send a request, or send it again, to a node of the list."""
        live = [
            node
            for node in self._nodes.values()
            if node.alive and node.state.drain is None
        ]
        if asked.over or not live or self._time.now >= asked.deadline:
            self._close(asked, 'late')
            return
        node = self._random.choice(live)
        self._time.later(CALLER_MS, lambda: self._arrive(asked, node))

    def _arrive(self, asked: Asked, node: nodes.Node) -> None:
        if not node.alive:
            self._resend(asked)
            return
        asked.sendings += 1
        asked.handle = next(self._handles)
        asked.node = node.name
        self._asked[asked.handle] = asked
        self._post(node, events.CallArrived(self._call(asked)))

    def _call(self, asked: Asked) -> calls.Call:
        kind = asked.arrival.kind
        text = asked.arrival.text
        engine = bool(kind.model)
        route = scenarios.route(kind)
        return calls.Call(
            handle=asked.handle,
            key=asked.key,
            route=route,
            kind=model.Kind.ENGINE if engine else model.Kind.SERVICE,
            deadline=round(asked.deadline),
            id_time=EPOCH + round(asked.sent_at),
            path=kind.path or '/v1/completions',
            body=text.encode(),
            stream=engine,
            max_tokens=kind.tokens,
            prompt_size=len(text),
            prefix=placement.prefix_of(text) if engine else 0,
            fingerprint=asked.key.id if engine else '',
            resumed=tuple(asked.tokens),
            first=asked.sendings == 1,
        )

    def tell(self, effect: effects.Effect) -> None:
        """Tell a caller what a node says to it."""
        handle = getattr(effect, 'handle', None)
        asked = self._asked.get(handle) if handle else None
        if asked is None or asked.over or asked.handle != handle:
            return
        match effect:
            case effects.SendToken():
                self._take_token(asked, effect)
            case effects.SendEnd() | effects.SendAnswer():
                self._close(asked, 'whole')
            case effects.SendRefusal():
                self._refused(asked, effect.refusal)
            case effects.SendMoved():
                node = self._nodes[effect.address]
                self.tallies[asked.arrival.kind.work.value].resumed += 1
                self._time.later(
                    2 * CALLER_MS, lambda: self._arrive(asked, node)
                )

    def _take_token(self, asked: Asked, effect: effects.SendToken) -> None:
        if effect.index != len(asked.tokens):
            return
        now = self._time.now + CALLER_MS
        if asked.tokens:
            self.between.add(now - asked.last)
        else:
            asked.first_ms = now - asked.sent_at
            self.first.add(asked.first_ms)
        asked.last = now
        asked.tokens.append(effect.text)

    def _refused(self, asked: Asked, refusal: calls.Refusal) -> None:
        """Come back when the system said, if there is time."""
        wait = refusal.retry_after_ms
        if wait and self._time.now + wait < asked.deadline:
            self._time.later(wait, lambda: self._resend(asked))
            return
        late = refusal.reason is calls.Reason.DEADLINE
        self.reasons[refusal.reason.value] += 1
        self._close(asked, 'late' if late else 'refused')

    def _close(self, asked: Asked, outcome: str) -> None:
        if asked.over:
            return
        asked.over = True
        if outcome == 'whole' and self._time.now > asked.deadline:
            outcome = 'late'
        tally = self.tallies[asked.arrival.kind.work.value]
        setattr(tally, outcome, getattr(tally, outcome) + 1)
        second = self.seconds[asked.arrival.at_ms // clock.SECOND]
        setattr(second, outcome, getattr(second, outcome) + 1)
        node = self._nodes.get(asked.node)
        if node is not None:
            handle = asked.handle
            self._time.later(
                1, lambda: self._post(node, events.CallerLeft(handle))
            )
