"""Model of engines that differ in speed and pace, in front of many nodes."""

from __future__ import annotations

import dataclasses
import random

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import prefill
from teaselbridge.tables import join
from teaselbridge.tables import model
from tests.decisions import cluster
from tests.decisions import samples

SLOW_PACE = 40
SLOW_MS = 600
PHASE_MS = 100
# Shorter than the time without events after which a stream counts as broken,
# as the model sends no events.
STREAM_MS = 500
HEAD = calls.Head(200, ())


@dataclasses.dataclass(kw_only=True)
class Engine(cluster.Server):
    """A simulated engine, which reads prompts one after the other.

    :param speed: multiple of the usual speed.
    :param slow_share: fraction of the time in which its machine is slow.
    :param seed: seed of its slow phases.
    :param busy_until: time at which it has read all prompts.
    :param cached: ids of the prompt parts that it has read.
    """

    speed: float = 1.0
    slow_share: float = 0.0
    seed: int = 0
    busy_until: float = 0.0
    cached: set[str] = dataclasses.field(default_factory=set)
    _slow: dict[int, bool] = dataclasses.field(default_factory=dict)

    def get_pace(self, at: float) -> int:
        """Return the pace of its machine at a time."""
        phase = int(at // SLOW_MS)
        if phase not in self._slow:
            generator = random.Random(f'{self.seed} {phase}')
            self._slow[phase] = generator.random() < self.slow_share
        return SLOW_PACE if self._slow[phase] else 100

    def read(self, call: calls.Call, now: int) -> int:
        """Read a prompt after those before it.

        :return: time at which its first token comes.
        """
        tokens = call.tokens_in
        for part in call.parts:
            if part.id in self.cached:
                tokens -= part.tokens
            self.cached.add(part.id)
        at = max(float(now), self.busy_until)
        left_ms = tokens / prefill.DEFAULT_TOKENS_PER_MS / self.speed
        while left_ms > 0:
            step_ms = min(left_ms * 100 / self.get_pace(at), PHASE_MS)
            left_ms -= step_ms * self.get_pace(at) / 100
            at += step_ms
        self.busy_until = at
        return round(at) + prefill.FIRST_STEP_MS


class EngineCluster(cluster.Cluster):
    """Nodes in front of engines.

    :param states_pace: whether the engines state their pace.

    Attributes:

    * ``first_ms``: times to the first token, in the order of their ends.
    """

    def __init__(
        self,
        *,
        nodes: int,
        servers: list[Engine],
        states_pace: bool,
        seed: int = 1,
    ) -> None:
        self._states_pace = states_pace
        self._prompts = random.Random(seed)
        self.first_ms: list[int] = []
        super().__init__(nodes=nodes, servers=list(servers), seed=seed)
        pool = model.Pool(
            name='p',
            kind=model.Kind.RELAYED,
            versions=(),
            zones=cluster.ZONES,
            engine=model.Engine(),
        )
        tables = model.Tables(pools=(pool,))
        configuration = model.Configuration(tables=tables)
        for node in self.nodes.values():
            node.state.index = join.Index(configuration=configuration)

    def send_prompt(self, heads: int) -> None:
        """Send a prompt with one of some shared heads to a random node."""
        handle = next(self._handles)
        head = self._prompts.randrange(heads)
        call = samples.relayed(
            handle,
            parts=(
                calls.PromptPart(f'head-{head}', 5_000),
                calls.PromptPart(f'own-{handle}', 12_000),
            ),
            tokens_in=17_000,
            deadline=self.now + 6_000,
            streaming=True,
            goal_ms=1_000,
        )
        name = self._prompts.choice(list(self.nodes))
        self.sent[handle] = cluster.Sent(
            node=name, sent_at=self.now, call=call
        )
        self._post(self.nodes[name], events.CallArrived(call))

    def run_prompts(self, until: int, per_s: float, heads: int) -> None:
        """Run the model with prompts at a rate."""
        while self.now < until:
            self.run(self.now + cluster.STEP_MS)
            if self._prompts.random() < per_s * cluster.STEP_MS / 1_000:
                self.send_prompt(heads)

    def _serve(self, node: cluster.Node, effect: effects.RelayAttempt) -> None:
        server = self.servers[effect.host]
        assert isinstance(server, Engine)
        handle, attempt = effect.call.handle, effect.attempt
        key = (node.name, handle, attempt)
        self._running[key] = server
        server.running += 1
        first_at = server.read(effect.call, self.now)

        def begin() -> None:
            if key not in self._running:
                return
            pace = server.get_pace(self.now) if self._states_pace else 0
            load = events.AnswerLoadReceived(
                server.host, server.running, 0, server.slots, pace
            )
            self._post(node, load)
            self._post(node, events.HeadReceived(handle, attempt, HEAD))
            sent = self.sent[handle]
            if not sent.is_served:
                sent.is_served = True
                self.first_ms.append(self.now - sent.sent_at)
            self._schedule(STREAM_MS, finish)

        def finish() -> None:
            if self._running.pop(key, None) is None:
                return
            server.running -= 1
            self._post(node, events.RelayEnded(handle, attempt, True))

        self._schedule(first_at - self.now, begin)
