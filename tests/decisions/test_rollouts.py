"""Tests of rollouts that operators order with a deadline."""

from __future__ import annotations

import typing

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import evidence
from teaselbridge.decisions import leases
from teaselbridge.decisions import moves
from teaselbridge.decisions import reports
from teaselbridge.decisions import rollouts
from teaselbridge.decisions import state as states
from teaselbridge.decisions import versions
from teaselbridge.peers import messages
from teaselbridge.tables import join
from teaselbridge.tables import model
from tests.decisions import samples
from tests.decisions import test_active

DURATION_MS = 12_000
BOUNDS = bounds.Bounds(duties=('usage',))
ORDER = events.RolloutOrdered(
    pool='p', version='v2', duration_ms=DURATION_MS, number=40
)


class TestRollouts(testtools.TestCase):
    """Timed steps, and reports to the operators."""

    def setUp(self) -> None:
        super().setUp()
        self.state = samples.state(BOUNDS)
        pool = model.Pool(
            name='p', kind=model.Kind.RELAYED, versions=(), zones=()
        )
        self.state.index = join.Index(
            configuration=model.Configuration(
                tables=model.Tables(pools=(pool,))
            )
        )
        self.add('v', 4)
        rollouts.handle_rollout_ordered(self.state, ORDER, samples.instant(0))

    def add(self, version: str, count: int) -> None:
        """Add servers of a version."""
        for number in range(count):
            row = samples.row(f'{version}-{number}')
            self.state.servers.add(row, version, samples.instant(0))

    def hold_duties(self) -> None:
        """Make this node the holder of the duties lease."""
        lease = self.state.leases.get(leases.DUTIES_LEASE)
        lease.phase = leases.Phase.HELD
        lease.until = 1_000_000

    def run_ticks(
        self, until: int, begin: int = 0
    ) -> list[effects.ReportMove]:
        """Run ticks over a time span and acknowledge each report at once."""
        told = []
        for now in range(begin, until, 100):
            for effect in rollouts.tick(self.state, samples.instant(now)):
                if isinstance(effect, effects.ReportMove):
                    told.append(effect)
                    event = events.MoveStatusWritten(
                        pool='p', number=40, is_written=True
                    )
                    rollouts.handle_move_status_written(
                        self.state, event, samples.instant(now)
                    )
        return told

    @property
    def move(self) -> messages.Move:
        """The current move."""
        move = self.state.moves.get('p')
        assert move is not None
        return move

    def share(self) -> float:
        """Return the measured share of requests for the new version."""
        found = 0
        servers = self.state.servers.in_pool('p')
        for number in range(2_000):
            call = samples.relayed(number)
            request = _Request(call)
            chosen = versions.filter_by_version(
                self.state, typing.cast(typing.Any, request), servers
            )
            found += chosen[0].version == 'v2'
        return found / 2_000

    def test_good_version_is_done_before_the_deadline(self) -> None:
        self.hold_duties()
        self.add('v2', 4)
        told = [item.state for item in self.run_ticks(DURATION_MS)]
        self.assertEqual(
            [effects.MoveStatus.RUNNING, effects.MoveStatus.DONE], told
        )
        self.assertEqual(1.0, self.share())

    def test_old_version_has_time_to_finish_requests(self) -> None:
        self.hold_duties()
        self.add('v2', 4)
        self.run_ticks(round(DURATION_MS * 0.7))
        self.assertEqual(1.0, self.share())
        self.assertIs(messages.Stage.RUNNING, self.move.stage)

    def test_canary_share_is_small(self) -> None:
        self.add('v2', 4)
        self.run_ticks(DURATION_MS // 3)
        self.assertTrue(0 < self.share() < 0.1, self.share())

    def test_faulty_version_is_stopped_without_duties_lease(self) -> None:
        self.add('v2', 4)
        self.run_ticks(2_000)
        verdict = messages.Verdict(
            pool='p', number=40, node='other', route='*', cause='errors'
        )
        moves.merge_verdict(self.state, verdict)
        self.assertEqual(0.0, self.share())
        self.run_ticks(DURATION_MS, 2_000)
        self.assertIs(messages.Stage.UNDONE, self.move.stage)
        self.hold_duties()
        (told,) = self.run_ticks(DURATION_MS + 1_000, DURATION_MS)
        self.assertIs(effects.MoveStatus.UNDONE, told.state)

    # Guards against a rollback that is lost with all nodes, since no node held
    # the lease to report it.
    def test_node_that_finds_a_fault_reports_it_without_the_lease(
        self,
    ) -> None:
        self.add('v2', 4)
        self.run_ticks(2_000)
        moves.add_fault(self.state, self.move, evidence.Fault('*', 'errors'))
        (told,) = self.run_ticks(2_200, 2_000)
        self.assertIs(effects.MoveStatus.UNDONE, told.state)

    def test_version_without_servers_is_rolled_back_in_time(self) -> None:
        self.hold_duties()
        told = self.run_ticks(DURATION_MS + 200)
        self.assertIs(effects.MoveStatus.UNDONE, told[-1].state)

    def test_node_that_starts_later_learns_the_outcome(self) -> None:
        self.add('v2', 4)
        ended = events.RolloutEnded(pool='p', version='v2', done=True)
        rollouts.handle_rollout_ended(self.state, ended, samples.instant(100))
        self.assertEqual(1.0, self.share())
        self.hold_duties()
        self.assertEqual([], self.run_ticks(DURATION_MS, 200))

    def test_repeated_order_changes_nothing(self) -> None:
        again = rollouts.handle_rollout_ordered(
            self.state, ORDER, samples.instant(5_000)
        )
        self.assertEqual([], again)


class TestManyNodes(testtools.TestCase):
    """Only nodes that get the reports of the others take steps."""

    def setUp(self) -> None:
        super().setUp()
        self.states = [test_active.build_state(5, me) for me in range(5)]
        for state in self.states:
            for version in ('v', 'v2'):
                for number in range(4):
                    row = samples.row(f'{version}-{number}')
                    state.servers.add(row, version, samples.instant(0))
            rollouts.handle_rollout_ordered(state, ORDER, samples.instant(0))

    def step(self, state: states.State) -> float:
        """Return the share at a node after half of the time."""
        now = samples.instant(round(DURATION_MS * 0.55))
        rollouts.tick(state, now)
        move = state.moves.get('p')
        assert move is not None
        return move.share

    def report(
        self, state: states.State, old: evidence.Tally, new: evidence.Tally
    ) -> None:
        """Report outcomes of both versions to a node."""
        score = evidence.Score(route='r', old=old, new=new)
        message = messages.Scores(
            pool='p', number=40, node='canary', incarnation=1, scores=(score,)
        )
        reports.handle_scores(state, message, samples.instant(10))

    def check_shares(
        self, old: evidence.Tally, news: dict[evidence.Tally, float]
    ) -> None:
        """Check the share after each report to the nodes that take steps.

        :param news: expected share by the reported outcomes of the new
            version.
        """
        candidates = leases.list_candidates(self.states[0], 'p')
        for new, expected in news.items():
            for state in self.states:
                if state.options.me.name in candidates:
                    self.report(state, old, new)
                    self.assertEqual(expected, self.step(state))

    # Guards against a step by a node that does not know what other nodes have
    # against the new version.
    def test_doubt_of_other_nodes_holds_the_step(self) -> None:
        candidates = leases.list_candidates(self.states[0], 'p')
        old = evidence.Tally(count=50, timed=50)
        new = evidence.Tally(count=4, timed=4, slowed=4)
        for state in self.states:
            if state.options.me.name in candidates:
                self.report(state, old, new)
            self.assertLess(self.step(state), 0.1, state.options.me.name)

    # Guards against a bad version that gets half of the traffic unseen, as its
    # servers were down during its trial.
    def test_version_that_has_served_few_requests_gets_no_more(self) -> None:
        self.check_shares(
            evidence.Tally(count=60),
            {evidence.Tally(count=1): 0.08, evidence.Tally(count=6): 0.5},
        )

    # Guards against a slow version that gets half of the traffic unseen, as
    # restarted nodes have no usual times to compare its answers with.
    def test_version_whose_times_are_unknown_gets_no_more(self) -> None:
        self.check_shares(
            evidence.Tally(count=60, timed=60),
            {
                evidence.Tally(count=12, timed=1): 0.08,
                evidence.Tally(count=12, timed=6): 0.5,
            },
        )

    # Guards against a good version that misses its deadline because the nodes
    # that take the steps were restarted during its rollout.
    def test_restarted_candidate_learns_the_time_of_the_rollout(self) -> None:
        for state in self.states:
            state.rollouts.by_pool['p'].began = DURATION_MS // 2
        candidates = leases.list_candidates(self.states[0], 'p')
        for state in self.states:
            if state.options.me.name in candidates:
                self.assertLess(self.step(state), 0.1)
                message = messages.Scores(
                    pool='p',
                    number=40,
                    node='other',
                    incarnation=1,
                    scores=(),
                    elapsed_ms=DURATION_MS // 2,
                )
                now = samples.instant(DURATION_MS // 2)
                reports.handle_scores(state, message, now)
                self.assertEqual(0.5, self.step(state))

    def test_candidates_step_where_there_is_no_doubt(self) -> None:
        shares = [self.step(state) for state in self.states]
        candidates = leases.list_candidates(self.states[0], 'p')
        self.assertEqual(len(candidates), shares.count(0.5))


class _Request:
    """Request fields that the choice of a version reads."""

    def __init__(self, call: typing.Any) -> None:
        self.call = call
        self.failed_version = ''
