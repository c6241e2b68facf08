"""Cases that the fuzzing found, and moves step by step in its world."""

from __future__ import annotations

import testtools

from teaselbridge.peers import messages
from tests.fuzz import fakes
from tests.fuzz import machine
from tests.fuzz import world as worlds

NUMBER = 1
FEW = 4
GAP_MS = 100


class TestFound(testtools.TestCase):
    """Runs of the machine that failed once."""

    def test_few_requests_all_failed(self) -> None:
        """Five of five requests failed, and the move was done."""
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


class TestDoubt(testtools.TestCase):
    """Evidence that does not suffice for a verdict holds a move."""

    def setUp(self) -> None:
        super().setUp()
        self._world = worlds.World(seed=7)

    def _begin(self, version: str) -> None:
        node = self._world.live_nodes()[0]
        self._world.apply(node, NUMBER, version)
        self._until(lambda move: move.share > 0)

    def _move(self) -> messages.Move:
        found = [
            node.state.moves.get('lm') for node in self._world.live_nodes()
        ]
        return max(
            (move for move in found if move is not None),
            key=lambda move: move.order,
        )

    def _until(self, wanted) -> messages.Move:
        for _ in range(worlds.MOVE_MS // GAP_MS):
            self._world.advance(GAP_MS)
            if wanted(self._move()):
                return self._move()
        self.fail(f'still {self._move()}')

    def _fail_few(self) -> None:
        """Send until a few requests have met the bad version."""
        tries = self._world.oracle.tries
        while sum(tries.values()) < FEW:
            for node in self._world.live_nodes():
                self._world.send(worlds.CHAT, node.name)
            self._world.advance(GAP_MS)

    def _holder(self) -> worlds.Node:
        world = self._world
        return next(
            node
            for node in world.live_nodes()
            if node.state.moves.control('lm').since is not None
        )

    def _end(self) -> messages.Move:
        return self._until(lambda move: move.stage in messages.ENDED)

    def test_no_step_in_doubt(self) -> None:
        self._begin('bad1')
        self._fail_few()
        self._world.advance(300)
        share = self._move().share
        ended = self._end()
        self.assertIs(messages.Stage.UNDONE, ended.stage)
        self.assertIn('in doubt', ended.reason)
        self.assertLess(share, 1)

    def test_holder_dies_in_doubt(self) -> None:
        """Who takes its place knows what it knew."""
        self._begin('bad1')
        self._fail_few()
        self._world.advance(300)
        self._world.kill_node(self._holder().name)
        ended = self._end()
        self.assertIs(messages.Stage.UNDONE, ended.stage, ended.reason)

    def test_doubt_is_lifted(self) -> None:
        """A good version that had bad luck is done all the same."""
        self._begin('v2')
        self._until(lambda move: move.share >= 0.2)
        new = self._servers('v2')
        for server in new:
            server.faulty = True
        while not self._holder().state.moves.seen('lm', 2).pool.doubt:
            self._send_all()
        for server in new:
            server.faulty = False
        for _ in range(100):
            self._send_all()
        ended = self._end()
        self.assertIs(messages.Stage.DONE, ended.stage, ended.reason)

    def test_version_turns_bad_after_it_was_done(self) -> None:
        """It is taken back, and the old version's servers still stand."""
        self._begin('v2')
        while self._move().stage not in messages.ENDED:
            self._send_all()
        self.assertIs(messages.Stage.DONE, self._move().stage)
        for server in self._servers('v2'):
            server.faulty = True
        for _ in range(100):
            self._send_all()
        move = self._move()
        self.assertIs(messages.Stage.UNDONE, move.stage)
        self.assertIn('after it was done', move.reason)
        last = self._world.send(worlds.CHAT, self._world.live_nodes()[0].name)
        self._world.advance(worlds.CHAT.deadline_ms)
        self.assertTrue(last.whole)

    def _send_all(self) -> None:
        for node in self._world.live_nodes():
            self._world.send(worlds.CHAT, node.name)
        self._world.advance(GAP_MS)

    def _servers(self, version: str) -> list[fakes.Server]:
        return [
            server
            for server in self._world.servers.values()
            if server.version == version and server.alive
        ]
