"""State machine that Hypothesis runs; the oracle checks each step.

Hypothesis sorts rules by name, so that renaming one changes which examples a
seed gives.
"""

from __future__ import annotations

import itertools

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from teaselbridge.decisions import events
from teaselbridge.peers import messages
from teaselbridge.tables import model
from tests.fuzz import fakes
from tests.fuzz import world as worlds

# Time after all repairs in which requests, rollouts and membership settle;
# longer than `worlds.ROLLOUT_TIMEOUT_MS`, so that each rollout has ended.
SETTLE_TIMEOUT_MS = 45_000
# Fewer requests on a bad version can't show that it is bad.
MIN_TRIES = 4
LONG_NOTICE_MS = 15_000
# Time after all repairs in which every node gets the newest configuration.
CONFIGURATION_SETTLE_MS = 19_000
NODES = st.integers(0, 2)
PICK = st.integers(0, 1_000)
SPANS_MS = st.sampled_from([3, 40, 300, 1_000, 3_000])
NOTICES_MS = st.sampled_from([500, 2_000, 4_000, 15_000])


class Machine(hypothesis.stateful.RuleBasedStateMachine):
    """Requests, faults and repairs in any order.

    After each run, all faults are repaired and the nodes have to settle.
    """

    def __init__(self) -> None:
        super().__init__()
        self._table_numbers = itertools.count(1)
        self._world: worlds.World | None = None

    @hypothesis.stateful.initialize(seed=st.integers(0, 1 << 30))
    def begin(self, seed: int) -> None:
        self._world = worlds.World(seed=seed)

    @hypothesis.stateful.rule(span=SPANS_MS)
    def advance(self, span: int) -> None:
        self._world.advance(span)

    @hypothesis.stateful.rule(pick=PICK, count=st.integers(1, 4))
    def send_chat(self, pick: int, count: int) -> None:
        self._send_requests(worlds.CHAT, pick, count)

    @hypothesis.stateful.rule(pick=PICK, count=st.integers(1, 4))
    def send_order(self, pick: int, count: int) -> None:
        self._send_requests(worlds.ORDERS, pick, count)

    @hypothesis.stateful.rule(pick=PICK)
    def resend_order(self, pick: int) -> None:
        orders = [
            request
            for request in self._world.requests
            if request.route is worlds.ORDERS
        ]
        if orders:
            self._world.resend(orders[pick % len(orders)])

    @hypothesis.stateful.rule(pick=PICK)
    def kill_node(self, pick: int) -> None:
        live = self._world.live_nodes()
        node = live[pick % len(live)] if live else None
        others = [
            candidate for candidate in live if not candidate.is_drain_requested
        ]
        if node is not None and others != [node]:
            self._world.kill_node(node.name)

    @hypothesis.stateful.rule(pick=NODES)
    def replace_node(self, pick: int) -> None:
        name = f'n{pick + 1}'
        if not self._world.nodes[name].alive:
            self._world.start_node(name)

    @hypothesis.stateful.rule(pick=PICK, span=st.integers(2_000, 9_000))
    def drain_node(self, pick: int, span: int) -> None:
        """Drain a node, unless it is the last one that accepts requests."""
        staying = [
            node
            for node in self._world.live_nodes()
            if not node.is_drain_requested
        ]
        if len(staying) > 1:
            node = staying[pick % len(staying)]
            by = self._world.now + span
            node.is_drain_requested = True
            self._world.post(node, events.DrainRequested(by))

    @hypothesis.stateful.rule(pick=NODES, span=st.integers(100, 8_000))
    def pause_node(self, pick: int, span: int) -> None:
        self._world.pause_node(f'n{pick + 1}', span)

    @hypothesis.stateful.rule(pick=PICK)
    def kill_server(self, pick: int) -> None:
        server = self._choose_server(pick)
        if server is not None:
            server.kill()

    @hypothesis.stateful.rule(pick=PICK)
    def silence_server(self, pick: int) -> None:
        server = self._choose_server(pick)
        if server is not None:
            server.stall_connections()

    @hypothesis.stateful.rule(pick=PICK, span=NOTICES_MS)
    def reclaim_server(self, pick: int, span: int) -> None:
        """Announce to one node that the cloud takes a host back.

        The other nodes learn of it from this node or from the host list.
        """
        world = self._world
        server = self._choose_server(pick)
        live = world.live_nodes()
        if server is None or server.leaving_since is not None or not live:
            return
        server.leaving_since = world.now
        server.row = worlds.mark_leaving(server.row)
        event = events.ReclaimAnnounced((server.row.host,), span)
        world.post(live[pick % len(live)], event)
        world.schedule(span, server.kill)

    @hypothesis.stateful.rule(pick=PICK)
    def work_beside_leaving(self, pick: int) -> None:
        """Send requests when a server has been leaving for some seconds.

        By then, no node may use it for new work any more.
        """
        self.reclaim_server(pick, LONG_NOTICE_MS)
        self._world.advance(LONG_NOTICE_MS // 2)
        for _ in range(3):
            self._send_requests(worlds.CHAT, pick, 4)
            self._world.advance(50)

    @hypothesis.stateful.rule(engine=st.booleans())
    def add_server(self, engine: bool) -> None:
        if engine:
            self._world.add_server('lm', model.Kind.ENGINE)
        else:
            self._world.add_server('shop', model.Kind.SERVICE)

    @hypothesis.stateful.rule(
        down=st.booleans(), lossy=st.sampled_from([0.0, 0.3, 0.9])
    )
    def disturb_keyvalue(self, down: bool, lossy: float) -> None:
        self._world.keyvalue.is_down = down
        self._world.keyvalue.loss_rate = lossy

    @hypothesis.stateful.rule(
        left=NODES, right=NODES, loss=st.sampled_from([0.0, 0.2])
    )
    def disturb_network(self, left: int, right: int, loss: float) -> None:
        self._world.loss_rate = loss
        if left == right:
            self._world.cut.clear()
            return
        pair = frozenset({f'n{left + 1}', f'n{right + 1}'})
        self._world.cut.add(pair)

    @hypothesis.stateful.rule(pick=PICK, bad=st.booleans())
    def move_version(self, pick: int, bad: bool) -> None:
        live = self._world.live_nodes()
        if live:
            number = next(self._table_numbers)
            version = f'bad{number}' if bad else f'v{number}'
            node = live[pick % len(live)]
            self._world.apply(node, number, version)

    @hypothesis.stateful.rule()
    def lapse_leases(self) -> None:
        self._world.keyvalue.expire_leases(self._world.now)

    @hypothesis.stateful.rule(pick=PICK)
    def apply_tables(self, pick: int) -> None:
        live = self._world.live_nodes()
        if live:
            node = live[pick % len(live)]
            self._world.apply(node, next(self._table_numbers))

    def teardown(self) -> None:
        if self._world is None:
            return
        self._world.repair_all()
        self._world.add_server('lm', model.Kind.ENGINE)
        self._world.add_server('shop', model.Kind.SERVICE)
        self._world.advance(CONFIGURATION_SETTLE_MS)
        self._check_configuration()
        self._world.advance(SETTLE_TIMEOUT_MS - CONFIGURATION_SETTLE_MS)
        self._check_requests()
        self._check_rollouts()
        self._check_membership()

    def _send_requests(
        self, route: model.Route, pick: int, count: int
    ) -> None:
        live = self._world.live_nodes()
        for number in range(count):
            if live:
                name = live[(pick + number) % len(live)].name
                self._world.send_request(route, name)

    def _choose_server(self, pick: int):
        alive = [
            server for server in self._world.servers.values() if server.alive
        ]
        return alive[pick % len(alive)] if alive else None

    def _check_configuration(self) -> None:
        """Check that all nodes use the newest accepted configuration."""
        newest = max(self._world.oracle.accepted_tables)
        for node in self._world.live_nodes():
            current = node.state.index.generation
            assert current >= newest, f'{node.name} has only {current}'
            wanted = self._world.oracle.accepted_tables.get(current)
            have = node.state.index.configuration.tables
            assert wanted in (None, have), 'other tables in force'

    def _check_requests(self) -> None:
        """Check that no caller still waits for an answer."""
        for request in self._world.requests:
            assert not request.waiting, f'{request.key.id} still waits'

    def _check_rollouts(self) -> None:
        """Check that all nodes agree on how the newest rollout has ended.

        It is completed or rolled back. A rollout to a bad version is never
        completed, unless too few requests could have shown the fault. A
        rollout to a good version that lost no time is expected to complete;
        this is not asserted here.
        """
        outcomes = set()
        for node in self._world.live_nodes():
            move = node.state.moves.get('lm')
            assert move is not None, 'no rollout is known'
            assert move.stage in messages.ENDED_STAGES, f'still {move}'
            done = move.stage is messages.Stage.DONE
            is_bad = move.new.startswith(fakes.BAD_VERSION_PREFIX)
            is_allowed = not is_bad or not move.share
            assert is_allowed or self._has_few_tries(move.new), (
                'a rollout to a bad version was completed'
            )
            outcomes.add((move.number, move.stage, done))
        assert len(outcomes) == 1, f'nodes do not agree: {outcomes}'

    def _has_few_tries(self, version: str) -> bool:
        """Return whether too few requests were tried to show a fault."""
        return self._world.oracle.attempt_counts[version] < MIN_TRIES

    def _check_membership(self) -> None:
        """Check that every running node sees all the others."""
        live = {node.name for node in self._world.live_nodes()}
        for node in self._world.live_nodes():
            seen = {
                member.name
                for member in node.state.membership.alive
                if member.status is messages.Status.ALIVE
            }
            assert seen == live - {node.name}, f'{node.name} sees {seen}'
