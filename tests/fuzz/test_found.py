"""Failures found by fuzzing, and rollouts step by step.

Both run in the simulated world of the fuzzing.
"""

from __future__ import annotations

import testtools

from teaselbridge.peers import messages
from tests.fuzz import fakes
from tests.fuzz import machine
from tests.fuzz import world as worlds

TABLES_NUMBER = 1
FEW_REQUESTS = 4
STEP_MS = 100


class TestRegressions(testtools.TestCase):
    """Runs of the state machine that failed once."""

    def test_few_requests_all_failed(self) -> None:
        """Roll back a bad version that got only a few requests.

        Five requests reached the new version and all five failed, but the
        rollout was completed all the same. This is the run that showed it.
        """
        run = machine.Machine()
        run.begin(seed=591)
        run.advance(span=3_000)
        run.kill_node(pick=762)
        run.lapse_leases()
        run.drain_node(pick=583, span=7_686)
        run.send_order(count=2, pick=537)
        run.pause_node(pick=0, span=2_578)
        run.reclaim_server(pick=480, span=500)
        run.work_beside_leaving(pick=229)
        run.drain_node(pick=579, span=2_000)
        for engine in (True, False, True, False):
            run.add_server(engine=engine)
        run.work_beside_leaving(pick=340)
        run.lapse_leases()
        run.move_version(bad=True, pick=265)
        run.lapse_leases()
        run.work_beside_leaving(pick=208)
        run.send_order(count=3, pick=100)
        run.kill_node(pick=935)
        run.work_beside_leaving(pick=999)
        run.drain_node(pick=908, span=4_507)
        run.teardown()

    # Guards against a bad version that is completed since it was compared
    # with the bad version of the rollout that it replaced.
    def test_bad_version_between_reclaims(self) -> None:
        run = machine.Machine()
        run.begin(seed=1322)
        run.add_server(engine=True)
        run.drain_node(pick=103, span=2813)
        run.drain_node(pick=1000, span=3232)
        run.disturb_network(left=2, loss=0.0, right=0)
        run.kill_node(pick=286)
        run.lapse_leases()
        run.move_version(bad=False, pick=159)
        run.add_server(engine=True)
        run.add_server(engine=False)
        run.lapse_leases()
        run.advance(span=300)
        run.work_beside_leaving(pick=126)
        run.add_server(engine=False)
        run.reclaim_server(pick=966, span=500)
        run.drain_node(pick=456, span=7339)
        run.move_version(bad=True, pick=429)
        run.move_version(bad=False, pick=159)
        run.advance(span=1000)
        run.reclaim_server(pick=138, span=4000)
        run.move_version(bad=True, pick=413)
        run.work_beside_leaving(pick=60)
        run.work_beside_leaving(pick=143)
        run.reclaim_server(pick=227, span=500)
        run.kill_node(pick=128)
        run.teardown()


class TestInsufficientEvidence(testtools.TestCase):
    """Rollouts with too little evidence for a decision.

    As long as failures make the new version doubtful, the rollout takes no
    further step.
    """

    def setUp(self) -> None:
        super().setUp()
        self._world = worlds.World(seed=7)

    def _start_rollout(self, version: str) -> None:
        node = self._world.live_nodes()[0]
        self._world.apply(node, TABLES_NUMBER, version)
        self._advance_until(lambda move: move.share > 0)

    def _find_newest_move(self) -> messages.Move:
        known_moves = [
            node.state.moves.get('lm') for node in self._world.live_nodes()
        ]
        return max(
            (move for move in known_moves if move is not None),
            key=lambda move: move.order,
        )

    def _advance_until(self, wanted) -> messages.Move:
        for _ in range(worlds.ROLLOUT_TIMEOUT_MS // STEP_MS):
            self._world.advance(STEP_MS)
            if wanted(self._find_newest_move()):
                return self._find_newest_move()
        self.fail(f'still {self._find_newest_move()}')

    def _send_until_few_failed(self) -> None:
        """Send until a few requests have reached the bad version."""
        tries = self._world.oracle.attempt_counts
        while sum(tries.values()) < FEW_REQUESTS:
            for node in self._world.live_nodes():
                self._world.send_request(worlds.CHAT, node.name)
            self._world.advance(STEP_MS)

    def _find_lease_holder(self) -> worlds.Node:
        world = self._world
        return next(
            node
            for node in world.live_nodes()
            if node.state.moves.control('lm').since is not None
        )

    def _advance_to_end(self) -> messages.Move:
        return self._advance_until(
            lambda move: move.stage in messages.ENDED_STAGES
        )

    def test_no_step_on_insufficient_evidence(self) -> None:
        """Roll back near the deadline, without having taken the last step."""
        self._start_rollout('bad1')
        self._send_until_few_failed()
        self._world.advance(300)
        share = self._find_newest_move().share
        ended = self._advance_to_end()
        self.assertIs(messages.Stage.UNDONE, ended.stage)
        self.assertIn('in doubt', ended.reason)
        self.assertLess(share, 1)

    def test_lease_holder_dies_before_decision(self) -> None:
        """Roll back although the node that counted the failures dies.

        The node that takes over the lease has the same evidence, as the
        nodes exchange what they count.
        """
        self._start_rollout('bad1')
        self._send_until_few_failed()
        self._world.advance(300)
        self._world.kill_node(self._find_lease_holder().name)
        ended = self._advance_to_end()
        self.assertIs(messages.Stage.UNDONE, ended.stage, ended.reason)

    def test_good_version_recovers_from_early_failures(self) -> None:
        """Complete a rollout to a good version after a few failures."""
        self._start_rollout('v2')
        self._advance_until(lambda move: move.share >= 0.2)
        new = self._list_servers('v2')
        for server in new:
            server.is_faulty = True
        while (
            not self._find_lease_holder()
            .state.moves.get_outcomes('lm', 2)
            .pool.doubt
        ):
            self._send_to_all_nodes()
        for server in new:
            server.is_faulty = False
        for _ in range(100):
            self._send_to_all_nodes()
        ended = self._advance_to_end()
        self.assertIs(messages.Stage.DONE, ended.stage, ended.reason)

    def test_version_turns_bad_after_it_was_done(self) -> None:
        """Roll back to the old version, whose servers still run.

        The new version is still compared for a while after the rollout was
        completed.
        """
        self._start_rollout('v2')
        while self._find_newest_move().stage not in messages.ENDED_STAGES:
            self._send_to_all_nodes()
        self.assertIs(messages.Stage.DONE, self._find_newest_move().stage)
        for server in self._list_servers('v2'):
            server.is_faulty = True
        for _ in range(100):
            self._send_to_all_nodes()
        move = self._find_newest_move()
        self.assertIs(messages.Stage.UNDONE, move.stage)
        self.assertIn('after it was done', move.reason)
        last = self._world.send_request(
            worlds.CHAT, self._world.live_nodes()[0].name
        )
        self._world.advance(worlds.CHAT.deadline_ms)
        self.assertTrue(last.whole)

    def _send_to_all_nodes(self) -> None:
        for node in self._world.live_nodes():
            self._world.send_request(worlds.CHAT, node.name)
        self._world.advance(STEP_MS)

    def _list_servers(self, version: str) -> list[fakes.FakeServer]:
        return [
            server
            for server in self._world.servers.values()
            if server.version == version and server.alive
        ]
