"""Tests of prompt parts that crash the engines that answer them.

No two requests are alike: what recurs is the part.
"""

from __future__ import annotations

import dataclasses
import itertools
import typing

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import gossip
from teaselbridge.decisions import poison
from teaselbridge.decisions import reducer
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions import suspects
from teaselbridge.peers import messages
from teaselbridge.platform import documents
from tests.decisions import samples

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import servers
    from teaselbridge.decisions import state as states

CLEAR = suspects.Standing.CLEAR
SUSPECT = suspects.Standing.SUSPECT
REFUSED = suspects.Standing.REFUSED
CUT = calls.Fault(
    calls.FaultKind.CUT, calls.RunStatus.UNKNOWN, 'closed', answered_ms=40
)


class SuspectsTestCase(testtools.TestCase):
    """A node with engines that crash."""

    def setUp(self) -> None:
        super().setUp()
        self.state = samples.state(bounds.Bounds())
        self.handles = itertools.count(1)
        self.names = itertools.count(1)
        self.now = samples.instant(10_000)

    def prompt(self, *parts: str) -> calls.Call:
        """Return a request whose last part is like no other one's."""
        handle = next(self.handles)
        return samples.relayed(
            handle,
            parts=tuple(
                calls.PromptPart(part, 100)
                for part in (*parts, f'own{handle}')
            ),
            deadline=10**9,
            streaming=True,
            idempotent=True,
            attempts=2,
        )

    def add_server(self) -> servers.Server:
        """Add an engine."""
        row = samples.row(f'h{next(self.names)}')
        return self.state.servers.add(row, 'v', self.now)

    def crash(
        self, *broken: calls.Call, waiting: tuple[calls.Call, ...] = ()
    ) -> str:
        """Crash an engine and return its name.

        :param broken: requests whose answers had just begun there.
        :param waiting: other requests there.
        """
        server = self.add_server()
        idle = calls.Fault(CUT.kind, CUT.ran, CUT.detail)
        for call in broken:
            poison.suspect(self.state, call, server, CUT, self.now)
        for call in waiting:
            poison.suspect(self.state, call, server, idle, self.now)
        event = events.ServerChecked(server.host, is_gone=True)
        reducer.reduce(self.state, event, self.now)
        return server.host

    def answer(self, *parts: str) -> None:
        """Answer a prompt soundly."""
        call = self.prompt(*parts)
        suspects.record_sound_answer(self.state, call, self.now)

    def standing(self, part: str) -> suspects.Standing:
        """Return the standing of a part."""
        return self.state.parts.get_standing(part)

    def is_refused(self, *parts: str) -> bool:
        """Return whether a new prompt is refused."""
        refusal = relay_checks.check(self.state, self.prompt(*parts), self.now)
        return refusal is not None


class TestAccusations(SuspectsTestCase):
    """Which part is blamed for crashes."""

    # Guards against a part that fells one engine after the other, since no
    # two of the requests that hold it are alike.
    def test_part_is_refused_after_two_crashes(self) -> None:
        self.answer('head', 'subject')
        self.crash(self.prompt('head', 'bad'))
        self.assertIs(SUSPECT, self.standing('bad'))
        self.crash(self.prompt('head', 'bad'))
        self.assertIs(REFUSED, self.standing('bad'))
        self.assertFalse(self.is_refused('head', 'subject'))

    # Guards against a part of most prompts that is blamed for its company.
    def test_shared_part_is_cleared_by_sound_answers(self) -> None:
        for _ in range(3):
            self.crash(self.prompt('head', 'bad'))
        self.answer('head')
        self.assertIs(CLEAR, self.standing('head'))
        self.assertIs(REFUSED, self.standing('bad'))
        self.assertFalse(self.is_refused('head', 'subject'))

    def test_bad_part_may_be_the_first(self) -> None:
        self.crash(self.prompt('bad', 'subject'))
        self.answer('head', 'subject')
        self.crash(self.prompt('bad', 'other'))
        self.assertIs(REFUSED, self.standing('bad'))
        self.assertFalse(self.is_refused('head', 'subject'))

    def test_two_bad_parts_are_both_refused(self) -> None:
        self.answer('head')
        for part in ('bad', 'worse', 'bad', 'worse'):
            self.crash(self.prompt('head', part))
        self.assertIs(REFUSED, self.standing('bad'))
        self.assertIs(REFUSED, self.standing('worse'))

    # Guards against a search without an end where nothing tells two parts
    # apart, and against the loss of sound requests with one of them.
    def test_parts_that_crash_together_are_refused_together(self) -> None:
        for _ in range(suspects.MAX_TRIED_CRASHES):
            self.assertFalse(self.is_refused('head', 'bad'))
            self.crash(self.prompt('head', 'bad'))
        self.assertTrue(self.is_refused('head', 'bad'))
        self.assertFalse(self.is_refused('head', 'subject'))
        self.answer('head', 'subject')
        self.assertIs(REFUSED, self.standing('bad'))
        self.assertIs(CLEAR, self.standing('head'))

    def test_pair_is_told_apart_by_a_crash_of_one(self) -> None:
        for _ in range(suspects.MAX_TRIED_CRASHES):
            self.crash(self.prompt('bad', 'company'))
        self.crash(self.prompt('bad'))
        self.assertIs(REFUSED, self.standing('bad'))
        self.assertFalse(self.is_refused('company'))

    # Guards against sound requests that are refused because they began on
    # engines that another request crashed.
    def test_bystander_is_explained_by_the_bad_part(self) -> None:
        self.answer('head')
        bystander = ('head', 'rare')
        self.crash(self.prompt('head', 'bad'), self.prompt(*bystander))
        self.crash(self.prompt('head', 'bad'), self.prompt(*bystander))
        self.crash(self.prompt('head', 'bad'))
        self.assertIs(REFUSED, self.standing('bad'))
        self.assertIs(SUSPECT, self.standing('rare'))

    def test_request_without_an_answer_is_not_blamed(self) -> None:
        for _ in range(3):
            self.crash(
                self.prompt('head', 'bad'),
                waiting=(self.prompt('head', 'rare'),),
            )
        self.assertIs(CLEAR, self.standing('rare'))

    # Guards against a plain request that goes unnoticed beside an answer that
    # was under way.
    def test_plain_request_is_blamed_beside_a_begun_answer(self) -> None:
        call = dataclasses.replace(
            samples.relayed(next(self.handles)), fingerprint='body'
        )
        self.crash(self.prompt('head', 'bad'), waiting=(call,))
        self.assertTrue(self.state.poison.is_suspect('body'))

    # Guards against a refusal by a server that clears a part it did not run.
    def test_client_error_is_no_sound_answer(self) -> None:
        self.crash(self.prompt('bad'))
        for status, standing in ((400, SUSPECT), (200, CLEAR)):
            call = self.prompt('bad')
            request = requests.Request(call=call, now=self.now)
            answer = calls.Answer(status, (), b'')
            relays.answer(self.state, request, answer, self.now)
            self.assertIs(standing, self.standing('bad'))

    def test_last_part_is_not_blamed(self) -> None:
        call = self.prompt('bad')
        self.crash(call)
        self.assertIs(CLEAR, self.standing(call.parts[-1].id))

    # Guards against garbled or reset answers that count as crashes.
    def test_server_that_still_listens_did_not_crash(self) -> None:
        for _ in range(3):
            server = self.add_server()
            effects_out = poison.suspect(
                self.state, self.prompt('head', 'bad'), server, CUT, self.now
            )
            (check,) = effects_out
            assert isinstance(check, effects.CheckServer)
            event = events.ServerChecked(server.host, is_gone=False)
            reducer.reduce(self.state, event, self.now)
        self.assertIs(CLEAR, self.standing('bad'))

    def end_unframed(self, *parts: str, is_gone: bool) -> None:
        """End an answer with its connection, and check the server."""
        server = self.add_server()
        call = self.prompt(*parts)
        poison.suspect_end(self.state, call, server, 40, self.now)
        event = events.ServerChecked(server.host, is_gone=is_gone)
        reducer.reduce(self.state, event, self.now)

    # Guards against a crash that looks like the end of an answer that does
    # not state its end.
    def test_end_without_a_stated_end_may_be_a_crash(self) -> None:
        for _ in range(2):
            self.end_unframed('bad', is_gone=True)
        self.assertIs(REFUSED, self.standing('bad'))

    def test_end_without_a_stated_end_is_sound_if_the_server_is_there(
        self,
    ) -> None:
        self.crash(self.prompt('head', 'bad'))
        self.end_unframed('head', is_gone=False)
        self.assertIs(CLEAR, self.standing('head'))
        self.assertIs(SUSPECT, self.standing('bad'))

    # Guards against requests that try one dead server after the other.
    def test_gone_server_gets_no_requests(self) -> None:
        host = self.crash(self.prompt('bad'))
        alive = self.add_server()
        self.assertEqual([alive], self.state.servers.usable('p', self.now))
        self.assertIsNotNone(self.state.servers.get(host))

    def test_fault_that_comes_after_the_check_counts(self) -> None:
        server = self.add_server()
        poison.suspect(self.state, self.prompt('x'), server, CUT, self.now)
        event = events.ServerChecked(server.host, is_gone=True)
        reducer.reduce(self.state, event, self.now)
        poison.suspect(self.state, self.prompt('bad'), server, CUT, self.now)
        self.assertIs(SUSPECT, self.standing('bad'))

    # Guards against broken-off requests that are kept forever where no server
    # turns out to be gone.
    def test_old_interruptions_are_forgotten(self) -> None:
        server = self.add_server()
        for _ in range(20):
            poison.suspect(self.state, self.prompt('x'), server, CUT, self.now)
            self.now = self.now.plus(1_000)
        self.assertLessEqual(
            len(self.state.poison._interrupted),
            poison.CRASH_CONFIRM_TIMEOUT_MS // 1_000 + 1,
        )

    def test_leaving_server_is_not_a_crash(self) -> None:
        server = self.add_server()
        server.leaving = True
        found = poison.suspect(
            self.state, self.prompt('bad'), server, CUT, self.now
        )
        self.assertEqual([], found)

    def test_records_are_bounded_and_refused_parts_stay(self) -> None:
        for _ in range(2):
            self.crash(self.prompt('bad'))
        for number in range(suspects.MAX_RECORDS + 10):
            record = messages.PartCrashes(
                part=f'part{number}', hosts=('h',), until=self.now.wall + 1
            )
            self.state.parts.merge(record)
        self.assertEqual(suspects.MAX_RECORDS, len(self.state.parts.records))
        self.assertIs(REFUSED, self.standing('bad'))

    # Guards against an error for a record that is dropped as it comes.
    def test_record_without_room_is_dropped(self) -> None:
        for number in range(suspects.MAX_RECORDS):
            self.crash(self.prompt(f'part{number}'))
        record = messages.PartCrashes(
            part='x', hosts=('h',), cleared=('h',), until=self.now.wall + 1
        )
        self.assertEqual(
            [], suspects.merge_record(self.state, record, self.now)
        )


class TestRefusal(SuspectsTestCase):
    """What becomes of requests with an accused part."""

    def convict(self, crashes: int = 4) -> None:
        """Crash engines by the bad part until it is refused."""
        self.answer('head')
        for _ in range(crashes):
            self.crash(self.prompt('head', 'bad'))

    def test_new_request_is_refused_truthfully(self) -> None:
        self.convict()
        refusal = relay_checks.check(
            self.state, self.prompt('head', 'bad'), self.now
        )
        assert refusal is not None
        self.assertIs(calls.Reason.POISON, refusal.reason)
        self.assertIs(calls.RunStatus.NOT_RUN, refusal.ran)
        self.assertGreater(refusal.retry_after_ms, 10_000)

    def test_waiting_request_is_refused(self) -> None:
        call = self.prompt('head', 'bad')
        request = requests.Request(call=call, now=self.now)
        self.convict()
        refusal = relay_checks.check_waiting_request(
            self.state, request, self.now
        )
        assert refusal is not None
        self.assertIs(calls.RunStatus.NOT_RUN, refusal.ran)

    def test_retry_is_refused_and_may_have_run(self) -> None:
        call = self.prompt('head', 'bad')
        request = requests.Request(call=call, now=self.now)
        request.may_have_run = True
        self.convict()
        refusal = relay_checks.check_waiting_request(
            self.state, request, self.now
        )
        assert refusal is not None
        self.assertIs(calls.RunStatus.UNKNOWN, refusal.ran)

    # Guards against a refusal that ends while such requests still come.
    def test_part_stays_refused_while_requests_come(self) -> None:
        self.convict()
        step = suspects.RECORD_TTL_MS * 2 // 3
        for _ in range(3):
            self.now = self.now.plus(step)
            reducer.reduce(self.state, events.Ticked(), self.now)
            self.assertTrue(self.is_refused('head', 'bad'))
        self.now = self.now.plus(suspects.RECORD_TTL_MS + 1)
        reducer.reduce(self.state, events.Ticked(), self.now)
        self.assertFalse(self.is_refused('head', 'bad'))

    def test_one_request_is_tried_at_a_time(self) -> None:
        self.answer('head')
        self.crash(self.prompt('head', 'bad'))
        free = [self.add_server(), self.add_server()]
        first = self.start('head', 'bad', server=free[0])
        self.assertEqual([], self.filter(free, 'head', 'bad'))
        self.assertEqual(free, self.filter(free, 'head', 'subject'))
        del self.state.requests[first.handle]
        self.assertEqual(free, self.filter(free, 'head', 'bad'))

    def test_two_suspects_are_tried_on_different_servers(self) -> None:
        self.answer('head')
        self.crash(self.prompt('head', 'bad'), self.prompt('head', 'rare'))
        free = [self.add_server(), self.add_server()]
        self.start('head', 'bad', server=free[0])
        self.assertEqual(free[1:], self.filter(free, 'head', 'rare'))

    def start(self, *parts: str, server: servers.Server) -> requests.Request:
        """Run a request on a server."""
        call = self.prompt(*parts)
        request = requests.Request(call=call, now=self.now)
        request.phase = requests.Phase.RUNNING
        request.host = server.host
        self.state.requests[call.handle] = request
        return request

    def filter(
        self, free: list[servers.Server], *parts: str
    ) -> list[servers.Server]:
        """Return the servers on which a new request may be tried."""
        request = requests.Request(call=self.prompt(*parts), now=self.now)
        return suspects.filter_for_trial(self.state, request, free)


class TestRecord(testtools.TestCase):
    """Merging of the records of one part."""

    def test_withdrawn_accusations_are_bounded(self) -> None:
        hosts = tuple(f'h{number:03}' for number in range(100))
        record = messages.PartCrashes(
            part='x', hosts=hosts, cleared=hosts[:90], until=1
        )
        merged = record.merge(record)
        self.assertEqual(messages.MAX_PART_HOSTS, len(merged.hosts))
        self.assertEqual(record.accused, merged.accused)
        self.assertEqual(merged, merged.merge(record))


class TestStore(SuspectsTestCase):
    """Records of refused parts that outlast all nodes."""

    def list_stored(self) -> list[messages.PartCrashes]:
        """Return the records that are to be kept in the store."""
        return [
            effect.record
            for effect in suspects.tick(self.state, self.now)
            if isinstance(effect, effects.StorePart)
        ]

    # Guards against a part that crashes engines anew after the loss of all
    # nodes.
    def test_refused_part_is_stored_and_read_again(self) -> None:
        self.crash(self.prompt('bad'))
        self.assertEqual([], self.list_stored())
        self.crash(self.prompt('bad'))
        (record,) = self.list_stored()
        self.assertEqual([], self.list_stored())
        entry = documents.decode_part(documents.encode_part(record))
        started = samples.state(bounds.Bounds())
        reducer.reduce(started, entry, self.now)
        self.assertEqual(['bad'], started.parts.refused)

    def test_withdrawal_is_stored_too(self) -> None:
        for _ in range(2):
            self.crash(self.prompt('rare'))
        self.list_stored()
        self.answer('rare')
        (record,) = self.list_stored()
        self.assertEqual(frozenset(), record.accused)

    def test_stored_record_yields_to_recent_sound_answers(self) -> None:
        for _ in range(4):
            self.crash(self.prompt('rare'))
        (record,) = self.list_stored()
        other = samples.state(bounds.Bounds())
        call = self.prompt('rare')
        suspects.record_sound_answer(other, call, self.now)
        entry = documents.decode_part(documents.encode_part(record))
        reducer.reduce(other, entry, self.now)
        self.assertEqual([], other.parts.refused)

    def test_operator_lifts_a_refusal(self) -> None:
        for _ in range(4):
            self.crash(self.prompt('bad'))
        entry = documents.decode_part(b'{"part": "bad", "lifted": true}')
        reducer.reduce(self.state, entry, self.now)
        self.assertIs(CLEAR, self.standing('bad'))

    def test_key_holds_any_part(self) -> None:
        key = documents.build_part_key('x' * 5_000)
        self.assertLess(len(key), 200)


class TestGossip(SuspectsTestCase):
    """What the nodes tell each other."""

    def tell(self, other: states.State) -> None:
        """Send all that this node knows to another one."""
        told = gossip.build_full_state(self.state)
        gossip.merge_updates(other, told, '', self.now)

    # Guards against a node that starts and does not know which part is
    # refused.
    def test_node_that_starts_learns_refused_parts(self) -> None:
        self.answer('head')
        for _ in range(4):
            self.crash(self.prompt('head', 'bad'))
        started = samples.state(bounds.Bounds())
        self.tell(started)
        self.assertEqual(['bad'], started.parts.refused)

    def test_crashes_at_different_nodes_add_up(self) -> None:
        other = samples.state(bounds.Bounds())
        self.answer('head')
        self.crash(self.prompt('head', 'bad'))
        record = messages.PartCrashes(
            part='bad', hosts=('elsewhere',), until=self.now.wall + 60_000
        )
        update = messages.Gossip(parts=(record,))
        gossip.merge_updates(other, update, '', self.now)
        self.assertIs(SUSPECT, other.parts.get_standing('bad'))
        self.tell(other)
        self.assertIs(REFUSED, other.parts.get_standing('bad'))

    # Guards against a part that is blamed by a node that knows no sound
    # answers to it yet.
    def test_node_with_sound_answers_clears_the_part(self) -> None:
        for _ in range(4):
            self.crash(self.prompt('head', 'bad'))
        self.assertIs(SUSPECT, self.standing('head'))
        other = samples.state(bounds.Bounds())
        call = self.prompt('head', 'subject')
        suspects.record_sound_answer(other, call, self.now)
        self.tell(other)
        self.assertIs(CLEAR, other.parts.get_standing('head'))
        told = gossip.build_full_state(other)
        gossip.merge_updates(self.state, told, '', self.now)
        self.assertIs(CLEAR, self.standing('head'))
        self.assertIs(REFUSED, self.standing('bad'))

    def test_record_merges_in_any_order(self) -> None:
        host = self.crash(self.prompt('rare'))
        accusation = self.state.parts.get('rare')
        self.answer('rare')
        withdrawal = self.state.parts.get('rare')
        for order in ((accusation, withdrawal), (withdrawal, accusation)):
            other = samples.state(bounds.Bounds())
            for record in order:
                other.parts.merge(record)
            self.assertIs(CLEAR, other.parts.get_standing('rare'), host)
