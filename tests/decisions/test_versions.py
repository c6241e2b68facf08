"""Tests of the version that serves a request during a rollout."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import dispatch
from teaselbridge.decisions import events
from teaselbridge.decisions import evidence
from teaselbridge.decisions import moves
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions import rollouts
from teaselbridge.decisions import servers
from teaselbridge.decisions import versions
from teaselbridge.tables import join
from teaselbridge.tables import model
from tests.decisions import samples

DURATION_MS = 12_000
CALLS = 1_000
# The platform allows a bad version a tenth of the requests; some more may
# get it by chance in a sample of 1,000.
MAX_SHARE = 0.11


def order(version: str, number: int = 40) -> events.RolloutOrdered:
    """Return an order of a rollout."""
    return events.RolloutOrdered(
        pool='p', version=version, duration_ms=DURATION_MS, number=number
    )


class VersionTestCase(testtools.TestCase):
    """A node on the deployment platform, and one pool."""

    def setUp(self) -> None:
        super().setUp()
        self.state = samples.state(bounds.Bounds(duties=('usage',)))
        pool = model.Pool(
            name='p', kind=model.Kind.RELAYED, versions=(), zones=()
        )
        tables = model.Tables(pools=(pool,))
        self.state.index = join.Index(
            configuration=model.Configuration(tables=tables)
        )

    def add(self, version: str, count: int) -> list[servers.Server]:
        """Add servers of a version."""
        return [
            self.state.servers.add(
                samples.row(f'{version}-{number}'), version, samples.instant(0)
            )
            for number in range(count)
        ]

    def order(self, version: str = 'v2', number: int = 40) -> None:
        """Read the order of a rollout."""
        rollouts.handle_rollout_ordered(
            self.state, order(version, number), samples.instant(0)
        )

    def reject(self, now: int = 100) -> None:
        """Find the new version faulty."""
        move = self.state.moves.get('p')
        assert move is not None
        moves.add_fault(self.state, move, evidence.Fault('*', 'errors'))
        rollouts.tick(self.state, samples.instant(now))

    def choose(self, number: int, failed_version: str = '') -> str:
        """Return the version that serves a request, none while it waits.

        :param failed_version: version that failed its last attempt.
        """
        now = samples.instant(500)
        request = requests.Request(call=samples.relayed(number), now=now)
        request.failed_version = failed_version
        server = dispatch.choose_server(self.state, request, now)
        return '' if server is None else server.version

    def count(self, version: str, failed_version: str = '') -> int:
        """Count the requests of a sample that a version serves."""
        return sum(
            self.choose(number, failed_version) == version
            for number in range(CALLS)
        )


class TestUnknownOldVersion(VersionTestCase):
    """A node that starts reads the order before the list of servers."""

    # Guards against a bad version that gets all requests after a restart.
    def test_share_holds_when_servers_are_listed_after_the_order(
        self,
    ) -> None:
        self.order()
        self.add('v', 4)
        self.add('v2', 4)
        self.assertLess(self.count('v2'), MAX_SHARE * CALLS)
        self.assertGreater(self.count('v'), (1 - MAX_SHARE) * CALLS)

    # Guards against a pool that nobody serves after a restart that follows
    # a rollback.
    def test_old_version_serves_after_a_reported_rollback(self) -> None:
        self.order()
        ended = events.RolloutEnded(pool='p', version='v2', done=False)
        rollouts.handle_rollout_ended(self.state, ended, samples.instant(10))
        self.add('v', 4)
        self.add('v2', 1)
        self.assertEqual(CALLS, self.count('v'))

    # Guards against a pool that nobody serves once a faulty version is found
    # by nodes that started during its rollout.
    def test_old_version_serves_after_a_verdict(self) -> None:
        self.order()
        self.add('v', 4)
        self.add('v2', 4)
        self.reject()
        self.assertEqual(CALLS, self.count('v'))

    # Guards against a rollout without an old version's outcomes to compare
    # the new one with.
    def test_outcomes_of_the_old_version_count(self) -> None:
        self.order()
        (old,) = self.add('v', 1)
        now = samples.instant(10)
        moves.record_outcome(
            self.state, old, 'r', now, failed=False, span=20.0
        )
        move = self.state.moves.get('p')
        assert move is not None
        seen = self.state.moves.get_outcomes('p', move.number)
        (score,) = seen.own_evidence.scores
        self.assertEqual(1, score.old.count)

    # Guards against a version that was taken back and serves again as the
    # old version of the next rollout.
    def test_rejected_version_does_not_count_as_old(self) -> None:
        self.add('v', 2)
        self.add('v2', 4)
        self.order()
        self.reject()
        self.add('v3', 4)
        self.order('v3', 41)
        self.assertEqual(0, self.count('v2'))
        self.assertLess(self.count('v3'), MAX_SHARE * CALLS)


class TestUnusableOldVersion(VersionTestCase):
    """The old version is known, but has no usable server for a moment."""

    def setUp(self) -> None:
        super().setUp()
        self.old = self.add('v', 4)
        self.add('v2', 4)
        self.order()

    # Guards against a new version that takes over all requests while the old
    # one's servers are ejected or pause.
    def test_ejected_servers_leave_the_share_as_it_is(self) -> None:
        for server in self.old:
            server.ejected_until = 10_000
        self.assertLess(self.count('v2'), MAX_SHARE * CALLS)

    def test_leaving_servers_leave_the_share_as_it_is(self) -> None:
        for server in self.old:
            server.leaving = True
        self.assertLess(self.count('v2'), MAX_SHARE * CALLS)

    # Guards against a new version that gets all requests that failed on the
    # old one.
    def test_retry_after_the_old_version_keeps_to_the_share(self) -> None:
        self.assertLess(self.count('v2', 'v'), MAX_SHARE * CALLS)

    def test_retry_after_the_new_version_goes_to_the_old_one(self) -> None:
        self.assertEqual(CALLS, self.count('v', 'v2'))

    # Guards against requests that wait for a full new version beside free
    # servers of the old one.
    def test_full_new_version_passes_its_share_on(self) -> None:
        for server in self.state.servers.in_pool('p'):
            if server.version == 'v2':
                server.inflight = server.other_requests = server.slots
        self.assertEqual(CALLS, self.count('v'))


class TestOutcomes(VersionTestCase):
    """Which failures count for or against a version."""

    # Guards against crashed servers of the old version that hide the failures
    # of the new one.
    def test_refused_connection_is_no_outcome_of_a_version(self) -> None:
        (old,) = self.add('v', 1)
        self.add('v2', 1)
        self.order()
        for kind, count in (
            (calls.FaultKind.CONNECT, 0),
            (calls.FaultKind.ERROR, 1),
        ):
            now = samples.instant(500)
            request = requests.Request(call=samples.relayed(1), now=now)
            request.host = old.host
            fault = calls.Fault(kind, calls.RunStatus.NOT_RUN, '')
            relays.handle_attempt_failed(self.state, request, fault, None, now)
            seen = self.state.moves.get_outcomes('p', 40)
            scores = seen.own_evidence.scores
            self.assertEqual(count, sum(item.old.failed for item in scores))


class TestHopelessRequest(VersionTestCase):
    """No server is left that may ever serve a waiting request."""

    def check(self, number: int = 1) -> calls.Refusal | None:
        """Check a waiting request."""
        now = samples.instant(500)
        request = requests.Request(call=samples.relayed(number), now=now)
        return relay_checks.check_waiting_request(self.state, request, now)

    # Guards against requests that are held to their deadline though only a
    # version that was taken back is left.
    def test_request_is_refused_at_once_without_an_old_server(self) -> None:
        old = self.add('v', 4)
        self.add('v2', 4)
        self.order()
        self.reject()
        self.assertIsNone(self.check())
        for server in old:
            server.leaving = True
        refusal = self.check()
        assert refusal is not None
        self.assertIs(calls.Reason.NO_SERVER, refusal.reason)
        self.assertIs(calls.RunStatus.NOT_RUN, refusal.ran)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_request_waits_for_an_old_server_that_is_ejected(self) -> None:
        for server in self.add('v', 4):
            server.ejected_until = 10_000
        self.add('v2', 4)
        self.order()
        self.reject()
        self.assertIsNone(self.check())

    # Guards against waits for an old version that asked for no requests,
    # beside a new one that takes some.
    def test_back_off_of_the_old_version_is_enough(self) -> None:
        for server in self.add('v', 4):
            server.backoff_until = 5_000
        self.add('v2', 4)
        self.order()
        self.reject()
        refusal = self.check()
        assert refusal is not None
        self.assertGreaterEqual(refusal.retry_after_ms, 4_000)

    def test_empty_pool_is_waited_for_before_servers_are_known(self) -> None:
        self.order()
        self.assertIsNone(self.check())

    # Guards against requests that are held to their deadline though their
    # pool has no server.
    def test_plain_request_is_refused_at_once_without_any_server(
        self,
    ) -> None:
        self.state.store_view.rows['servers/x'] = samples.row('x')
        self.assertIsNotNone(self.check())

    def test_stream_waits_for_the_first_server(self) -> None:
        self.state.store_view.rows['servers/x'] = samples.row('x')
        now = samples.instant(500)
        call = samples.relayed(1, streaming=True)
        request = requests.Request(call=call, now=now)
        self.assertIsNone(
            relay_checks.check_waiting_request(self.state, request, now)
        )


class TestEndedRollout(VersionTestCase):
    """Rollouts that have ended, and pools without an order."""

    # Guards against a pool that nobody serves: faults of a version whose
    # rollout is done must not stop it, as the old servers are gone.
    def test_done_version_goes_on_after_a_late_verdict(self) -> None:
        self.order()
        self.add('v2', 4)
        ended = events.RolloutEnded(pool='p', version='v2', done=True)
        rollouts.handle_rollout_ended(self.state, ended, samples.instant(10))
        self.reject()
        self.assertEqual(CALLS, self.count('v2'))

    # Guards against a node that reads the new servers before their order and
    # spreads its requests over all versions.
    def test_version_of_most_servers_serves_without_an_order(self) -> None:
        self.add('v', 4)
        self.add('v2', 2)
        self.assertEqual(CALLS, self.count('v'))

    def test_unusable_majority_does_not_pass_its_requests_on(self) -> None:
        for server in self.add('v', 4):
            server.ejected_until = 10_000
        self.add('v2', 2)
        self.assertEqual(0, self.count('v2'))


class TestChooseVersion(testtools.TestCase):
    """The weighted choice between permanently split versions."""

    def test_same_request_gets_the_same_version(self) -> None:
        shares = [
            model.Version(name='v', weight=1),
            model.Version(name='v2', weight=1),
        ]
        for number in range(20):
            first = versions.choose_version(shares, str(number))
            self.assertEqual(
                first, versions.choose_version(shares, str(number))
            )
