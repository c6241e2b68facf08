"""Model of many nodes and backend servers in virtual time.

Each node is a reducer with its state. Its messages reach the other nodes
after a delay, or get lost; its attempts reach simulated servers, which answer
with the terms that they state at that moment.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import typing

from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions.limits import terms
from teaselbridge.decisions import reducer
from teaselbridge.decisions import state as states
from teaselbridge.peers import messages
from tests.decisions import samples

TICK_INTERVAL_MS = 50
STEP_MS = 10
LINK_MS = 2
ZONES = ('a', 'b', 'c', 'd')
UNRESTRICTED = terms.Terms()
# Time after which a node must keep to a rate that it was told.
TOLD_MS = 500


@dataclasses.dataclass(kw_only=True)
class Server:
    """A simulated backend server.

    :param host: name of its host.
    :param version: version that it runs.
    :param slots: requests that it runs at once.
    :param queue: requests that wait there before it refuses more.
    :param work_ms: time that a request takes.
    :param terms: terms that it states in its answers.
    :param arrivals: time and node of all requests that reached it.
    :param told: nodes by when they first heard terms with a rate from it.
    :param refusals: times at which it refused a request for want of room.
    :param running: requests that it holds.
    """

    host: str
    version: str = samples.VERSION
    slots: int = 64
    queue: int = 8
    work_ms: int = 30
    terms: terms.Terms = UNRESTRICTED
    arrivals: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    told: dict[str, int] = dataclasses.field(default_factory=dict)
    refusals: list[int] = dataclasses.field(default_factory=list)
    running: int = 0

    def max_arrivals(self, since: int, span_ms: int = 4_000) -> int:
        """Return the most requests that reached it in any such span.

        Those of nodes that it told of its rate just before do not count.

        :param since: time from which requests count.
        """
        times = [
            at
            for at, node in self.arrivals
            if at >= since and at >= self.told.get(node, at) + TOLD_MS
        ]
        return _max_in_span(times, span_ms)

    def max_refusals(self, since: int, span_ms: int = 1_000) -> int:
        """Return the most requests that it refused in any such span."""
        times = [at for at in self.refusals if at >= since]
        return _max_in_span(times, span_ms)


def _max_in_span(times: list[int], span_ms: int) -> int:
    ordered = sorted(times)
    most = first = 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - span_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


@dataclasses.dataclass(kw_only=True)
class Sent:
    """A request that a caller sent.

    :param node: node that the caller sent it to.
    :param sent_at: virtual time in milliseconds.
    :param call: the request.
    :param is_served: whether it was served.
    """

    node: str
    sent_at: int
    call: calls.Call
    is_served: bool = False


@dataclasses.dataclass(kw_only=True)
class Node:
    """A node of the model.

    :param state: state of its reducer.
    :param is_up: whether its process runs.
    """

    name: str
    state: states.State
    is_up: bool = True


class Cluster:
    """Nodes and servers of one model, which runs in virtual time.

    :param nodes: number of nodes.
    :param servers: backend servers, all of one pool.
    :param seed: seed of all random numbers.
    :param loss: fraction of the messages between nodes that get lost.
    :param duties: duties that the platform assigns.

    Attributes:

    * ``now``: virtual time in milliseconds.
    * ``sent``: all requests by handle.
    * ``served``: the served ones, in the order of their answers.
    * ``refused``: the refusals.
    * ``can_reach``: whether one node reaches another.
    * ``can_serve``: whether a node reaches a server.
    """

    def __init__(
        self,
        *,
        nodes: int,
        servers: list[Server],
        seed: int = 1,
        loss: float = 0.0,
        duties: tuple[str, ...] = (),
    ) -> None:
        self._bounds = bounds.Bounds(duties=duties)
        self._random = random.Random(seed)
        self._loss = loss
        self._numbers = itertools.count(1)
        self._handles = itertools.count(1)
        self._due: list[tuple[int, int, typing.Callable[[], None]]] = []
        self.now = 0
        self.can_reach: typing.Callable[[str, str], bool] = _is_connected
        self.can_serve: typing.Callable[[str, str], bool] = _is_connected
        self.servers = {server.host: server for server in servers}
        self.members = [build_member(number) for number in range(nodes)]
        self.nodes = {
            member.name: Node(name=member.name, state=self._build(member))
            for member in self.members
        }
        self.sent: dict[int, Sent] = {}
        self._running: dict[tuple[str, int, int], Server] = {}
        self._forwarded: dict[
            tuple[str, int], tuple[Node, effects.RelayAttempt]
        ] = {}
        self.served: list[Sent] = []
        self.refused: list[calls.Refusal] = []

    def run(self, until: int, per_s: float = 0.0, **route: object) -> None:
        """Run the model.

        :param until: virtual time in milliseconds.
        :param per_s: requests a second, at random nodes.
        :param route: fields of their route.
        """
        while self.now < until:
            self.now += STEP_MS
            self._run_due()
            for node in self.nodes.values():
                offset = hash_offset(node.name)
                if node.is_up and (self.now + offset) % TICK_INTERVAL_MS == 0:
                    self._post(node, events.Ticked())
            expected = per_s * STEP_MS / 1_000
            while expected > 0:
                if self._random.random() < expected:
                    self._send_request(route)
                expected -= 1

    def send_request(self, name: str, **route: object) -> int:
        """Send one request to a node.

        :return: its handle at that node.
        """
        handle = next(self._handles)
        deadline = self.now + 2_000
        call = samples.relayed(handle, deadline=deadline, **route)
        self.sent[handle] = Sent(node=name, sent_at=self.now, call=call)
        self._post(self.nodes[name], events.CallArrived(call))
        return handle

    def post(self, names: typing.Iterable[str], event: events.Event) -> None:
        """Post an event to some nodes at once."""
        for name in names:
            self._post(self.nodes[name], event)

    def count_served(
        self, names: typing.Container[str], since: int, until: int
    ) -> tuple[int, int]:
        """Count the requests that were served at some nodes.

        :param since: time from which on they were sent, until another one.
        :return: number of those that were served, and of all.
        """
        sent = [
            item
            for item in self.sent.values()
            if item.node in names and since <= item.sent_at < until
        ]
        return sum(item.is_served for item in sent), len(sent)

    def restart(self, name: str) -> None:
        """Restart a node, which forgets everything."""
        (member,) = [item for item in self.members if item.name == name]
        member = dataclasses.replace(member, incarnation=self.now + 1)
        self.nodes[name] = Node(name=name, state=self._build(member))

    def _build(self, me: messages.Member) -> states.State:
        state = samples.state(self._bounds)
        state.options = dataclasses.replace(state.options, me=me)
        state.membership.me = me
        state.random.seed(self._random.random())
        others = tuple(item for item in self.members if item.name != me.name)
        told = messages.SyncSent(gossip=messages.Gossip(members=others))
        event = events.PeerMessageReceived('none', told)
        now = samples.instant(self.now)
        reducer.reduce(state, event, now)
        for host, simulated in self.servers.items():
            server = state.servers.add(
                samples.row(host), simulated.version, now
            )
            server.slots = simulated.slots
        return state

    def _send_request(self, route: dict[str, object]) -> None:
        running = [node.name for node in self.nodes.values() if node.is_up]
        self.send_request(self._random.choice(running), **route)

    def _schedule(
        self, delay_ms: int, action: typing.Callable[[], None]
    ) -> None:
        entry = (self.now + delay_ms, next(self._numbers), action)
        heapq.heappush(self._due, entry)

    def _run_due(self) -> None:
        while self._due and self._due[0][0] <= self.now:
            _, _, action = heapq.heappop(self._due)
            action()

    def _post(self, node: Node, event: events.Event) -> None:
        now = samples.instant(self.now)
        for effect in reducer.reduce(node.state, event, now):
            self._perform(node, effect)

    def _post_later(
        self, node: Node, delay_ms: int, event: events.Event
    ) -> None:
        def post() -> None:
            if node.is_up and self.nodes[node.name] is node:
                self._post(node, event)

        self._schedule(delay_ms, post)

    def _perform(self, node: Node, effect: effects.Effect) -> None:
        match effect:
            case effects.SendPeer():
                self._send_message(node, effect)
            case effects.RelayAttempt():
                self._schedule(LINK_MS, lambda: self._send(node, effect))
            case effects.Wake():
                woken = events.DelayElapsed()
                self._post_later(node, effect.delay_ms, woken)
            case effects.CancelAttempt():
                key = (node.name, effect.handle, effect.attempt)
                self._schedule(LINK_MS, lambda: self._cancel(key))
            case effects.ProbeLink():
                self._probe(node, effect)
            case effects.ExitProcess():
                node.is_up = False
            case effects.SendAnswer() | effects.SendRefusal():
                self._handle_outcome(node, effect)

    def _handle_outcome(
        self, node: Node, effect: effects.SendAnswer | effects.SendRefusal
    ) -> None:
        """Record the outcome of a request, or pass it to its origin."""
        forwarded = self._forwarded.get((node.name, effect.handle))
        if forwarded is not None:
            self._pass_back(*forwarded, effect)
        elif isinstance(effect, effects.SendRefusal):
            self.refused.append(effect.refusal)
        else:
            sent = self.sent[effect.handle]
            sent.is_served = True
            self.served.append(sent)

    def _cancel(self, key: tuple[str, int, int]) -> None:
        """End a run whose connection was closed."""
        server = self._running.pop(key, None)
        if server is not None:
            server.running -= 1

    def _send(self, node: Node, effect: effects.RelayAttempt) -> None:
        """Send the request of an attempt to a server or a helper."""
        if effect.origin:
            is_reached = self.nodes[effect.host].is_up and self.can_reach(
                node.name, effect.host
            )
        else:
            is_reached = self.can_serve(node.name, effect.host)
        if is_reached and effect.reports_sending:
            handle = effect.call.handle
            self._post(node, events.AttemptSent(handle, effect.attempt))
        if effect.origin:
            self._forward(node, effect)
        else:
            self._serve(node, effect)

    def _forward(self, node: Node, effect: effects.RelayAttempt) -> None:
        helper = self.nodes[effect.host]
        if not helper.is_up or not self.can_reach(node.name, helper.name):
            fault = calls.Fault(
                calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, 'no helper'
            )
            failed = events.AttemptFailed(
                effect.call.handle, effect.attempt, fault
            )
            self._post_later(node, 400, failed)
            return
        handle = next(self._handles)
        self._forwarded[(helper.name, handle)] = (node, effect)
        call = dataclasses.replace(
            effect.call,
            handle=handle,
            origin=effect.origin,
            deadline=self.now + effect.remaining_ms,
        )
        self._post(helper, events.CallArrived(call))

    def _pass_back(
        self,
        node: Node,
        effect: effects.RelayAttempt,
        outcome: effects.SendAnswer | effects.SendRefusal,
    ) -> None:
        handle, attempt = effect.call.handle, effect.attempt
        event: events.Event
        if isinstance(outcome, effects.SendAnswer):
            event = events.AnswerReceived(handle, attempt, outcome.answer)
        else:
            refusal = outcome.refusal
            fault = calls.Fault(
                calls.FaultKind.BUSY, refusal.ran, refusal.detail
            )
            event = events.AttemptFailed(handle, attempt, fault)
        self._post_later(node, LINK_MS, event)

    def _probe(self, node: Node, effect: effects.ProbeLink) -> None:
        is_connected = self.can_serve(node.name, effect.host)
        event = events.LinkProbed(effect.host, effect.pool, is_connected)
        self._post_later(node, LINK_MS if is_connected else 300, event)

    def _send_message(self, node: Node, effect: effects.SendPeer) -> None:
        if self._random.random() < self._loss:
            return
        name = effect.address.removeprefix('peers-')
        target = self.nodes.get(name)
        if target is None or not self.can_reach(node.name, name):
            return
        event = events.PeerMessageReceived(node.name, effect.message)
        self._post_later(target, LINK_MS, event)

    def _serve(self, node: Node, effect: effects.RelayAttempt) -> None:
        handle, attempt = effect.call.handle, effect.attempt
        if not self.can_serve(node.name, effect.host):
            fault = calls.Fault(
                calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, 'timeout'
            )
            failed = events.AttemptFailed(handle, attempt, fault)
            self._post_later(node, 400, failed)
            return
        server = self.servers[effect.host]
        asked_at = self.now - LINK_MS
        server.arrivals.append((self.now, node.name))
        if server.running >= server.slots + server.queue:
            server.refusals.append(self.now)
            fault = calls.Fault(
                calls.FaultKind.BUSY, calls.RunStatus.NOT_RUN, 'full'
            )
            failed = events.AttemptFailed(handle, attempt, fault)
            self._answer(node, server, asked_at, failed)
            return
        server.running += 1
        waves = 1 + (server.running - 1) // server.slots
        key = (node.name, handle, attempt)
        self._running[key] = server

        def finish() -> None:
            if self._running.pop(key, None) is None:
                return
            server.running -= 1
            answer = calls.Answer(200, (), b'')
            answered = events.AnswerReceived(handle, attempt, answer)
            self._answer(node, server, asked_at, answered)

        self._schedule(server.work_ms * waves, finish)

    def _answer(
        self, node: Node, server: Server, asked_at: int, event: events.Event
    ) -> None:
        stated = events.TermsStated(
            host=server.host, terms=server.terms, asked_at=asked_at
        )
        if server.terms.rate is not None:
            server.told.setdefault(node.name, self.now + LINK_MS)
        self._post_later(node, LINK_MS, stated)
        self._post_later(node, LINK_MS, event)


def hash_offset(name: str) -> int:
    """Return the phase of a node's ticks in milliseconds."""
    number = int(name.removeprefix('n'))
    return number * STEP_MS % TICK_INTERVAL_MS


def _is_connected(source: str, target: str) -> bool:
    return True


def build_member(number: int) -> messages.Member:
    """Return a node; they are spread over the zones in turn."""
    return messages.Member(
        name=f'n{number}',
        incarnation=1,
        status=messages.Status.ALIVE,
        peers=f'peers-n{number}',
        callers=f'callers-n{number}',
        admin='',
        zone=ZONES[number % len(ZONES)],
        region='r',
        forwarding=f'forwarding-n{number}',
        takes_usage_counts=True,
    )
