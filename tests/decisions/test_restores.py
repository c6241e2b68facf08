"""Tests of restores of the store from an older copy."""

from __future__ import annotations

import dataclasses

import msgspec
import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import effects
from teaselbridge.decisions import eras
from teaselbridge.decisions import events
from teaselbridge.decisions import evidence
from teaselbridge.decisions import freshness
from teaselbridge.decisions import knowledge
from teaselbridge.decisions import leases
from teaselbridge.decisions import moves
from teaselbridge.decisions import reducer
from teaselbridge.decisions import rollouts
from teaselbridge.decisions import tickets
from teaselbridge.decisions import usage
from teaselbridge.peers import messages
from teaselbridge.runtime import site
from teaselbridge.tables import model
from tests.decisions import samples

BOUNDS = bounds.Bounds(duties=(usage.DUTY,), usage_window_ms=5_000)
LEASE_TICKET = tickets.LeaseTicket(leases.DUTIES_LEASE)
USAGE_TICKET = tickets.UsageTicket()


class RestoreTestCase(testtools.TestCase):
    """A node on the deployment platform whose store is in its first era."""

    def setUp(self) -> None:
        super().setUp()
        self.state = samples.state(BOUNDS)
        self.state.options = dataclasses.replace(
            self.state.options, lease=site.LEASE_TIMES
        )
        self.send(events.StoreEraSeen(0, False))

    def send(self, event: events.Event, at: int = 0) -> list[effects.Effect]:
        """Pass an event to the node."""
        return reducer.reduce(self.state, event, samples.instant(at))

    def restore(self, at: int = 0) -> list[effects.Effect]:
        """Let the node see that the store was restored."""
        era = self.state.store_view.era + 1
        return self.send(events.StoreEraSeen(era, True), at)


class TestNumbers(testtools.TestCase):
    """Numbers grow with the revision, and faster with the era."""

    def test_order(self) -> None:
        numbers = [
            eras.compute_number(era, revision)
            for era in range(3)
            for revision in (0, 1, 2**39)
        ]
        self.assertEqual(sorted(set(numbers)), numbers)

    def test_numbers_are_exact_as_floating_point(self) -> None:
        number = eras.compute_number(8_000, 2**40 - 1)
        self.assertEqual(number, int(float(number)))


class TestLeases(RestoreTestCase):
    """A holder stops at once, and no fencing token comes back."""

    def _take(self, revision: int, at: int) -> leases.Lease:
        lease = self.state.leases.get(leases.DUTIES_LEASE)
        lease.next_action_at = 0
        leases.tick(self.state, samples.instant(at))
        self.send(events.KeyRead(LEASE_TICKET, None, 0), at)
        self.send(events.LeaseGranted(LEASE_TICKET, 5), at)
        self.send(events.KeySwapped(LEASE_TICKET, True, revision), at)
        return lease

    def test_lease_is_void_at_once(self) -> None:
        lease = self._take(100, 0)
        self.assertIs(leases.Phase.HELD, lease.phase)
        self.restore(10)
        held = leases.held(
            self.state, leases.DUTIES_LEASE, samples.instant(10)
        )
        self.assertIsNone(held)

    def test_answer_to_a_renewal_does_not_revive_it(self) -> None:
        lease = self._take(100, 0)
        lease.phase = leases.Phase.RENEWING
        self.restore(10)
        self.send(events.LeaseRenewed(LEASE_TICKET, True), 20)
        self.assertIs(leases.Phase.IDLE, lease.phase)

    def test_void_lease_is_not_revoked(self) -> None:
        self._take(100, 0)
        self.restore(10)
        self.assertEqual([], leases.revoke_all(self.state))

    def test_fencing_token_grows_though_the_revision_falls(self) -> None:
        before = self._take(100, 0).fence
        self.restore(10)
        after = self._take(60, 20).fence
        self.assertGreater(after, before)
        self.restore(30)
        self.assertGreater(self._take(60, 40).fence, after)

    def test_new_holder_waits_for_the_previous_one(self) -> None:
        self.state.options = dataclasses.replace(
            self.state.options,
            bounds=dataclasses.replace(BOUNDS, first_start=True),
            me=dataclasses.replace(
                self.state.options.me, incarnation=samples.instant(0).wall
            ),
        )
        self.restore(10)
        lease = self._take(60, 20)
        self.assertEqual(
            20 + self.state.options.lease.ttl_ms, lease.orders_from
        )

    def test_key_of_the_own_void_attempt_is_not_taken_for_the_lease(
        self,
    ) -> None:
        lease = self._take(100, 0)
        stored = leases.Holder(node='n', token=lease.token)
        self.restore(10)
        lease.next_action_at = 0
        leases.tick(self.state, samples.instant(20))
        value = msgspec.json.encode(stored)
        self.send(events.KeyRead(LEASE_TICKET, value, 100), 20)
        self.assertIs(leases.Phase.IDLE, lease.phase)


class TestConfiguration(RestoreTestCase):
    """The newest known configuration stays; the older one confirms nothing."""

    def _read(self, generation: int, sent: int) -> None:
        found = model.Configuration(generation=generation)
        event = events.ConfigurationRead(configuration=found, sent=sent)
        self.send(event, sent)

    def test_older_configuration_is_not_adopted(self) -> None:
        self._read(7, 0)
        self.restore(100)
        self._read(5, 200)
        self.assertEqual(7, self.state.index.generation)

    def test_reads_confirm_nothing_until_operators_wrote_again(self) -> None:
        self._read(7, 0)
        self.restore(1_000)
        self._read(7, 2_000)
        self.assertEqual(0, self.state.freshness.confirmed_at)
        ack = messages.Ack(
            sequence=1,
            member='other',
            gossip=messages.Gossip(generation=7),
            confirmed_ms=10,
        )
        freshness.record_peer_confirmation(self.state, ack, 2_000)
        self.assertEqual(0, self.state.freshness.confirmed_at)
        self._read(7, 1_000 + knowledge.MISSING_GRACE_MS)
        self.assertEqual(3_000, self.state.freshness.confirmed_at)


class TestServers(RestoreTestCase):
    """Entries that are missing stay; removed ones do not come back."""

    def _row(self, born: int = 1) -> events.HostRow:
        return events.HostRow(
            host=f'i@{born}',
            address='10.0.0.1:1',
            zone='z',
            pool='p',
            version='v',
            instance='i',
            born=born,
        )

    def _list(self, *rows: events.HostRow, at: int) -> None:
        self.send(
            events.ServersListed(
                rows={f'servers/{row.instance}': row for row in rows}
            ),
            at,
        )

    def _write(self, row: events.HostRow | None, at: int) -> None:
        self.send(events.ServersChanged(rows={'servers/i': row}), at)

    def _list_usable(self, at: int) -> list[str]:
        self.send(events.Ticked(), at)
        usable = self.state.servers.usable('p', samples.instant(at))
        return [server.host for server in usable]

    def test_missing_entry_has_a_grace(self) -> None:
        self._write(self._row(), at=0)
        self.restore(100)
        self._list(at=150)
        self.assertEqual(['i@1'], self._list_usable(2_000))
        self.assertEqual([], self._list_usable(2_200))

    def test_removed_entry_is_not_used_again(self) -> None:
        self._write(self._row(), at=0)
        self._write(None, at=50)
        self.restore(100)
        self._list(self._row(), at=150)
        self.assertEqual([], self._list_usable(5_000))

    def test_removed_entry_that_is_written_again_is_used(self) -> None:
        self._write(self._row(), at=0)
        self._write(None, at=50)
        self.restore(100)
        self._list(self._row(), at=150)
        self._write(self._row(), at=900)
        self.assertEqual(['i@1'], self._list_usable(900))

    def test_removed_entry_that_lasts_is_used(self) -> None:
        self._write(self._row(), at=0)
        self._write(None, at=50)
        self.restore(100)
        self._list(self._row(), at=150)
        held_until = 150 + knowledge.RESTORED_ENTRY_HOLD_MS
        self.assertEqual(['i@1'], self._list_usable(held_until))

    def test_removed_entry_of_the_same_era_is_used(self) -> None:
        self._write(self._row(), at=0)
        self._write(None, at=50)
        self._list(self._row(), at=150)
        self.assertEqual(['i@1'], self._list_usable(150))

    def test_earlier_lifetime_does_not_replace_a_later_one(self) -> None:
        self._write(self._row(2), at=0)
        self.restore(100)
        self._list(self._row(1), at=150)
        self.assertEqual(['i@2'], self._list_usable(200))

    def test_leaving_mark_stays(self) -> None:
        self._write(self._row(), at=0)
        notice = events.ServerNoticed(host='i@1', leaving=True)
        self.send(notice, 50)
        self.restore(100)
        self._list(self._row(), at=150)
        self.assertEqual([], self._list_usable(9_000))

    def test_removed_entries_are_bounded(self) -> None:
        for number in range(knowledge.MAX_REMOVED + 10):
            self._write(self._row(number), at=0)
            self._write(None, at=0)
        self.assertEqual(
            knowledge.MAX_REMOVED, len(self.state.store_view.removed)
        )


class TestUsage(RestoreTestCase):
    """No window is reported twice with different counts.

    Window 200 begins at 0 by the clocks of `samples`.
    """

    def setUp(self) -> None:
        super().setUp()
        self._hold(100)

    def _hold(self, fence: int) -> None:
        lease = self.state.leases.get(leases.DUTIES_LEASE)
        lease.phase = leases.Phase.HELD
        lease.until = 1_000_000
        lease.fence = fence

    def _start(self, stored: usage.Report | None, at: int) -> None:
        now = samples.instant(at)
        self.assertEqual(
            [effects.ReadKey(USAGE_TICKET, usage.REPORT_KEY)],
            usage.tick(self.state, now),
        )
        value = None if stored is None else msgspec.json.encode(stored)
        self.send(events.KeyRead(USAGE_TICKET, value, 5), at)

    def _report(self, at: int) -> effects.ReportUsage | None:
        """Run the next step, and return the report that it sends."""
        found = usage.tick(self.state, samples.instant(at))
        if found and isinstance(found[0], effects.SwapKey):
            found = self.send(events.KeySwapped(USAGE_TICKET, True, 9), at)
        if not found:
            return None
        (report,) = found
        assert isinstance(report, effects.ReportUsage)
        event = events.UsageReportAnswered(report.window, True)
        self.send(event, at)
        return report

    def _count(self, window: int) -> None:
        self.state.usage.count_request('me/1', window, 'w')

    def test_holder_repeats_its_own_last_report(self) -> None:
        self._count(199)
        self._start(usage.Report(window=198, counts={'w': 3}), 3_000)
        self._report(3_000)
        sent = self._report(3_000)
        assert sent is not None
        self.assertEqual(199, sent.window)
        self.restore(3_500)
        self._count(199)
        self._hold(200)
        self._start(usage.Report(window=197, counts={'w': 8}), 6_500)
        again = self._report(6_500)
        assert again is not None
        self.assertEqual(
            (sent.window, sent.counts), (again.window, again.counts)
        )

    def test_other_node_skips_what_may_have_been_reported(self) -> None:
        self.state.usage.fence = 99
        self.restore(3_500)
        self._hold(200)
        self._start(usage.Report(window=197, counts={'w': 8}), 6_500)
        self.assertIsNone(self._report(6_500))
        later = self._report(8_000)
        assert later is not None
        self.assertEqual(200, later.window)

    def test_report_of_an_earlier_era_is_not_repeated_after_a_start(
        self,
    ) -> None:
        state = samples.state(BOUNDS)
        self.state = state
        self.send(events.StoreEraSeen(3, False))
        self._hold(200)
        old = usage.Report(window=190, counts={'w': 8}, era=2)
        self._start(old, 6_500)
        first = state.usage.first_window
        self.assertGreaterEqual(first, state.options.me.incarnation // 5_000)
        self.assertIsNone(state.usage.report)

    def test_report_of_this_era_is_repeated(self) -> None:
        self.restore(100)
        self._hold(200)
        stored = usage.Report(window=198, counts={'w': 8}, era=1)
        self._start(stored, 3_200)
        again = self._report(3_200)
        assert again is not None
        self.assertEqual(198, again.window)

    def test_two_restores_in_a_row(self) -> None:
        self._count(199)
        self._start(usage.Report(window=198, counts={'w': 3}), 3_000)
        self._report(3_000)
        self._report(3_000)
        self.restore(3_500)
        self.restore(3_600)
        self._hold(200)
        self._start(usage.Report(window=197, counts={'w': 8}), 6_700)
        self.assertIsNone(self._report(6_700))
        later = self._report(8_000)
        assert later is not None
        self.assertEqual(200, later.window)


class TestRollouts(RestoreTestCase):
    """A rollout goes on when its order is read again."""

    def setUp(self) -> None:
        super().setUp()
        for version in ('v', 'v2'):
            for number in range(4):
                row = samples.row(f'{version}-{number}')
                self.state.servers.add(row, version, samples.instant(0))
        self._order(40)

    def _order(self, number: int, version: str = 'v2', at: int = 0) -> None:
        event = events.RolloutOrdered(
            pool='p', version=version, duration_ms=10_000, number=number
        )
        self.send(event, at)

    def _tick(self, begin: int, until: int) -> list[effects.ReportMove]:
        return [
            effect
            for now in range(begin, until, 100)
            for effect in rollouts.tick(self.state, samples.instant(now))
            if isinstance(effect, effects.ReportMove)
        ]

    def test_step_and_verdict_are_kept(self) -> None:
        self._tick(0, 5_500)
        known = self.state.moves.get('p')
        assert known is not None
        moves.add_fault(self.state, known, evidence.Fault('*', 'errors'))
        self.restore(5_600)
        number = eras.compute_number(1, 38)
        self._order(number, at=5_700)
        move = self.state.moves.get('p')
        assert move is not None
        self.assertEqual((number, known.share), (move.number, move.share))
        self.assertEqual(known.deadline, move.deadline)
        self.assertIsNotNone(self.state.moves.verdict(move))
        self._tick(5_700, 5_900)
        stopped = self.state.moves.get('p')
        assert stopped is not None
        self.assertIs(messages.Stage.UNDONE, stopped.stage)

    def test_final_state_is_reported_again(self) -> None:
        lease = self.state.leases.get(leases.DUTIES_LEASE)
        lease.phase = leases.Phase.HELD
        lease.until = 1_000_000
        for report in self._tick(0, 10_100):
            written = events.MoveStatusWritten(
                pool='p', number=report.number, is_written=True
            )
            self.send(written, 10_100)
        self._tick(10_100, 10_200)
        self.restore(10_300)
        lease.phase = leases.Phase.HELD
        lease.until = 1_000_000
        (again,) = self._tick(10_300, 10_400)
        self.assertIs(effects.MoveStatus.DONE, again.state)

    def test_order_of_another_version_begins_anew(self) -> None:
        self.restore(5_600)
        self._order(eras.compute_number(1, 38), version='v3', at=5_700)
        move = self.state.moves.get('p')
        assert move is not None
        self.assertEqual(('v3', 1), (move.new, move.sequence))
