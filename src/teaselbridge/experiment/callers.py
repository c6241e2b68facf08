"""Simulated callers: send requests and record their outcomes."""

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

# Wall-clock milliseconds at virtual time zero.
EPOCH_MS = 1_800_000_000_000
# One-way network latency between a caller and a node.
CALLER_LATENCY_MS = 3.0
# Delay until a caller resends a request whose node has stopped.
RESEND_DELAY_MS = 100.0

PostEvent: typing.TypeAlias = (
    'collections.abc.Callable[[nodes.SimulatedNode, events.Event], None]'
)


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """State of one request at its caller.

    :param arrival: entry of the trace that the request comes from.
    :param sent_at: virtual milliseconds of the first sending.
    :param deadline: virtual milliseconds.
    :param tokens: tokens received so far.
    :param send_count: number of times that the request reached a node.
    :param handle: handle of the latest sending.
    :param node: name of the node that the latest sending reached.
    :param last: virtual milliseconds of the latest token.
    :param first_ms: time from the first sending to the first token.
    :param is_finished: whether the request has its outcome.
    """

    arrival: trace.Arrival
    key: calls.RequestKey
    sent_at: float
    deadline: float
    tokens: list[str] = dataclasses.field(default_factory=list)
    send_count: int = 0
    handle: int = 0
    node: str = ''
    last: float = 0.0
    first_ms: float = 0.0
    is_finished: bool = False


class SimulatedCallers:
    """Callers that send requests, follow redirects and count outcomes.

    :param time: event queue in virtual time.
    :param generator: random generator that chooses nodes.
    :param nodes: all nodes, by name.
    :param post: passes an event to a node.
    :param seconds: length of the timeline of outcomes.
    """

    def __init__(
        self,
        *,
        time: schedule.EventQueue,
        generator: random.Random,
        nodes: dict[str, nodes.SimulatedNode],
        post: PostEvent,
        seconds: int,
    ) -> None:
        self._time = time
        self._random = generator
        self._nodes = nodes
        self._post_event = post
        self._handles = itertools.count(1)
        # By handle; the first entry of each request has a negative key.
        self._requests: dict[int, CallerRequest] = {}
        self.tallies = {work.value: results.Tally() for work in trace.WorkType}
        self.reasons: collections.Counter[str] = collections.Counter()
        self.first = results.LatencyHistogram()
        self.between = results.LatencyHistogram()
        self.seconds = [results.SecondCounts() for _ in range(seconds)]

    def send_arrival(self, arrival: trace.Arrival) -> None:
        """Send the request of one arrival of the trace."""
        kind = arrival.kind
        number = len(self._requests)
        request = CallerRequest(
            arrival=arrival,
            key=calls.RequestKey(kind.key, f'request-{number}'),
            sent_at=self._time.now,
            deadline=self._time.now + kind.deadline_ms,
        )
        self._requests[-number - 1] = request
        self.tallies[kind.work.value].sent += 1
        self._send_to_live_node(request)

    def resend_requests_of(self, node: nodes.SimulatedNode) -> None:
        """Resend the open requests of a node that has stopped."""
        for request in list(self._requests.values()):
            if request.node == node.name and not request.is_finished:
                self._time.call_later(
                    RESEND_DELAY_MS,
                    functools.partial(self._send_to_live_node, request),
                )

    def _send_to_live_node(self, request: CallerRequest) -> None:
        """Send a request to a random node that is alive and not draining."""
        live = [
            node
            for node in self._nodes.values()
            if node.alive and node.state.drain is None
        ]
        if (
            request.is_finished
            or not live
            or self._time.now >= request.deadline
        ):
            self._finish(request, 'late')
            return
        node = self._random.choice(live)
        self._time.call_later(
            CALLER_LATENCY_MS, lambda: self._deliver(request, node)
        )

    def _deliver(
        self, request: CallerRequest, node: nodes.SimulatedNode
    ) -> None:
        """Pass a request to a node, or to another one if it has stopped."""
        if not node.alive:
            self._send_to_live_node(request)
            return
        request.send_count += 1
        request.handle = next(self._handles)
        request.node = node.name
        self._requests[request.handle] = request
        self._post_event(node, events.CallArrived(self._build_call(request)))

    def _build_call(self, request: CallerRequest) -> calls.Call:
        kind = request.arrival.kind
        text = request.arrival.text
        engine = bool(kind.model)
        route = scenarios.route(kind)
        return calls.Call(
            handle=request.handle,
            key=request.key,
            route=route,
            kind=model.Kind.ENGINE if engine else model.Kind.SERVICE,
            deadline=round(request.deadline),
            id_time=EPOCH_MS + round(request.sent_at),
            path=kind.path or '/v1/completions',
            body=text.encode(),
            stream=engine,
            max_tokens=kind.tokens,
            prompt_size=len(text),
            prefix=placement.hash_prefix(text) if engine else 0,
            fingerprint=request.key.id if engine else '',
            resumed=tuple(request.tokens),
            first=request.send_count == 1,
        )

    def handle_effect(self, effect: effects.Effect) -> None:
        """Handle an effect that a node addresses to a caller.

        Effects of an earlier sending of the request are ignored.
        """
        handle = getattr(effect, 'handle', None)
        request = self._requests.get(handle) if handle else None
        if request is None or request.is_finished or request.handle != handle:
            return
        match effect:
            case effects.SendToken():
                self._record_token(request, effect)
            case effects.SendEnd() | effects.SendAnswer():
                self._finish(request, 'whole')
            case effects.SendRefusal():
                self._handle_refusal(request, effect.refusal)
            case effects.SendRedirect():
                node = self._nodes[effect.address]
                self.tallies[request.arrival.kind.work.value].resumed += 1
                self._time.call_later(
                    2 * CALLER_LATENCY_MS, lambda: self._deliver(request, node)
                )

    def _record_token(
        self, request: CallerRequest, effect: effects.SendToken
    ) -> None:
        if effect.index != len(request.tokens):
            return
        now = self._time.now + CALLER_LATENCY_MS
        if request.tokens:
            self.between.record(now - request.last)
        else:
            request.first_ms = now - request.sent_at
            self.first.record(request.first_ms)
        request.last = now
        request.tokens.append(effect.text)

    def _handle_refusal(
        self, request: CallerRequest, refusal: calls.Refusal
    ) -> None:
        """Resend after the given delay if the deadline permits it."""
        wait = refusal.retry_after_ms
        if wait and self._time.now + wait < request.deadline:
            self._time.call_later(
                wait, lambda: self._send_to_live_node(request)
            )
            return
        late = refusal.reason is calls.Reason.DEADLINE
        self.reasons[refusal.reason.value] += 1
        self._finish(request, 'late' if late else 'refused')

    def _finish(self, request: CallerRequest, outcome: str) -> None:
        """Count the outcome of a request and disconnect from its node.

        :param outcome: name of a counter: ``whole``, ``late`` or
            ``refused``.
        """
        if request.is_finished:
            return
        request.is_finished = True
        if outcome == 'whole' and self._time.now > request.deadline:
            outcome = 'late'
        tally = self.tallies[request.arrival.kind.work.value]
        setattr(tally, outcome, getattr(tally, outcome) + 1)
        second = self.seconds[request.arrival.at_ms // clock.SECOND_MS]
        setattr(second, outcome, getattr(second, outcome) + 1)
        node = self._nodes.get(request.node)
        if node is not None:
            handle = request.handle
            self._time.call_later(
                1,
                lambda: self._post_event(
                    node, events.CallerDisconnected(handle)
                ),
            )
