"""Tests of requests whose servers are silent for a while."""

from __future__ import annotations

import dataclasses
import typing

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import dispatch
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import freshness
from teaselbridge.decisions import members
from teaselbridge.decisions import reducer
from teaselbridge.decisions import requests
from teaselbridge.peers import messages
from teaselbridge.tables import join
from teaselbridge.tables import model
from tests.decisions import samples

HANDLE = 1
HEAD = calls.Head(200, ())
TICK_MS = 50
# Longer than any time after which a server counts as silent.
SILENCE_MS = 2_000
# Longest time for which two servers may work on one request.
MAX_TWICE_MS = 400
DEADLINE = 12_000
REFUSED = calls.Fault(
    calls.FaultKind.BUSY, calls.RunStatus.NOT_RUN, 'status 503, not run'
)
CUT = calls.Fault(calls.FaultKind.CUT, calls.RunStatus.UNKNOWN, 'closed')
UNCONNECTED = calls.Fault(
    calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, 'timeout'
)
# Time after which a connection that is not accepted counts as failed.
CONNECT_MS = 400
ANSWER = calls.Answer(200, (), b'answer')
FAILED = calls.Answer(500, (), b'failed')
FINAL = (effects.SendFinish, effects.SendRefusal, effects.SendAnswer)


class SilenceTestCase(testtools.TestCase):
    """A node with some engines and one request, driven by events."""

    def setUp(self) -> None:
        super().setUp()
        self.start_node()

    def start_node(self) -> None:
        """Start a node that knows three engines."""
        self.state = samples.state(
            bounds.Bounds(revoke_ms=60_000, retry_extra=150, retry_share=0.2)
        )
        workspace = model.Workspace(name='w', key='k')
        self.state.index = join.Index(
            configuration=model.Configuration(
                tables=model.Tables(workspaces=(workspace,))
            )
        )
        self.now = 10
        for host in ('a', 'b', 'c'):
            row = samples.row(host)
            self.state.servers.add(row, 'v', samples.instant(0))
        freshness.record_confirmation(self.state, 0)
        self.out: list[effects.Effect] = []

    def post(self, event: events.Event) -> list[effects.Effect]:
        """Handle an event and return its effects, which are kept too."""
        out = reducer.reduce(self.state, event, samples.instant(self.now))
        self.out += out
        return out

    def wait(self, span_ms: int = SILENCE_MS) -> list[effects.Effect]:
        """Let time pass in which no event comes but ticks."""
        out = []
        for _ in range(0, span_ms, TICK_MS):
            self.now += TICK_MS
            out += self.post(events.Ticked())
        return out

    def wait_for_attempt(
        self, *, is_sent: bool = True
    ) -> effects.RelayAttempt | None:
        """Wait for the next attempt, for `SILENCE_MS` at the most.

        :param is_sent: whether its server accepts the connection at once.
        """
        for _ in range(0, SILENCE_MS, TICK_MS):
            for item in self.wait(TICK_MS):
                if isinstance(item, effects.RelayAttempt):
                    if is_sent:
                        self.send_request(item)
                    return item
        return None

    def send_request(
        self, attempt: effects.RelayAttempt
    ) -> list[effects.Effect]:
        """Send the request of an attempt, whose connection is open."""
        return self.post(events.AttemptSent(HANDLE, attempt.attempt))

    def arrive(self, **route: object) -> effects.RelayAttempt:
        """Send the request to the node and return its attempt."""
        fields = {'streaming': True, 'resumable': True, 'attempts': 2, **route}
        call = dataclasses.replace(
            samples.relayed(HANDLE, deadline=DEADLINE, **fields),
            stream=True,
            credential='k',
        )
        out = self.post(events.CallArrived(call))
        (attempt,) = get_attempts(out)
        return attempt

    def head(self, attempt: effects.RelayAttempt) -> list[effects.Effect]:
        """Let the server of an attempt begin a stream."""
        event = events.HeadReceived(HANDLE, attempt.attempt, HEAD)
        return self.post(event)

    def send(
        self, attempt: effects.RelayAttempt, number: int
    ) -> list[effects.Effect]:
        """Let the server of an attempt send an event of the stream."""
        event = events.StreamEventsReceived(
            handle=HANDLE,
            attempt=attempt.attempt,
            data=b'data: %d\n\n' % number,
            first=number,
            last=number,
            count=1,
        )
        return self.post(event)

    def fail(
        self, attempt: effects.RelayAttempt, fault: calls.Fault
    ) -> list[effects.Effect]:
        """Let an attempt fail."""
        event = events.AttemptFailed(HANDLE, attempt.attempt, fault)
        return self.post(event)

    def end(self, attempt: effects.RelayAttempt) -> list[effects.Effect]:
        """Let the server of an attempt end the stream."""
        return self.post(events.RelayEnded(HANDLE, attempt.attempt, True))

    def begin(self, **route: object) -> effects.RelayAttempt:
        """Start a stream of which the caller has event 1."""
        attempt = self.arrive(**route)
        self.head(attempt)
        self.send(attempt, 1)
        return attempt

    def spend_budget(self) -> None:
        """Take all retries from the budget."""
        while self.state.budgets.try_spend(samples.ROUTE):
            pass

    def earn_retry(self) -> None:
        """Add one retry to the budget, by first attempts."""
        while not self.state.budgets.has_retry(samples.ROUTE):
            self.state.budgets.add_attempt(samples.ROUTE)

    def check_goes_on(self, attempt: effects.RelayAttempt) -> None:
        """Check that an attempt still serves the caller, to the end."""
        self.assertEqual([], get_cancelled(self.out, attempt))
        sent = effects.SendEvents(HANDLE, b'data: 2\n\n')
        self.assertIn(sent, self.send(attempt, 2))
        self.assertIn(effects.SendFinish(HANDLE, True), self.end(attempt))
        self.check_idle()

    def check_idle(self) -> None:
        """Check that nothing is held or counted any more."""
        self.assertEqual({}, self.state.requests)
        for server in self.state.servers.all:
            self.assertEqual(0, server.inflight, server.host)
            self.assertEqual(0, server.prefill, server.host)
            self.assertEqual(0, server.profile.tokens, server.host)


def get_attempts(out: list[effects.Effect]) -> list[effects.RelayAttempt]:
    """Return the attempts that were started."""
    return [item for item in out if isinstance(item, effects.RelayAttempt)]


def get_cancelled(
    out: list[effects.Effect], *attempts: effects.RelayAttempt
) -> list[effects.Effect]:
    """Return the effects that cancel some attempts."""
    numbers = [item.attempt for item in attempts]
    return [
        item
        for item in out
        if isinstance(item, effects.CancelAttempt) and item.attempt in numbers
    ]


class TestNoReplacement(SilenceTestCase):
    """A silent server is not given up while no other one can go on.

    Each test guards against a stream that is broken off for want of a
    replacement while its own server is sound.
    """

    def _check_kept(self, prepare: typing.Callable[[], object]) -> None:
        first = self.begin()
        prepare()
        self.assertEqual([], get_attempts(self.wait()))
        self.check_goes_on(first)

    def _fill(self) -> None:
        for server in self.state.servers.all:
            server.inflight += server.slots

    def test_no_slot_is_free(self) -> None:
        first = self.begin()
        self._fill()
        self.wait()
        for server in self.state.servers.all:
            server.inflight -= server.slots
        self.check_goes_on(first)

    def test_no_server_takes_requests(self) -> None:
        def prepare() -> None:
            for server in self.state.servers.all:
                server.backoff_until = DEADLINE

        self._check_kept(prepare)

    def test_keys_are_not_confirmed(self) -> None:
        def prepare() -> None:
            self.state.freshness.confirmed_at = None

        self._check_kept(prepare)

    def test_key_was_revoked(self) -> None:
        def prepare() -> None:
            self.state.index = join.Index(configuration=model.Configuration())

        self._check_kept(prepare)

    def test_retry_budget_is_spent(self) -> None:
        self._check_kept(self.spend_budget)

    def test_no_other_node_reaches_a_server(self) -> None:
        self._check_kept(self._cut)

    def _cut(self) -> None:
        self.state.links.get('p').is_cut = True

    def test_too_little_time_is_left(self) -> None:
        first = self.begin()
        self.now = DEADLINE - 40
        self.assertEqual([], get_attempts(self.post(events.Ticked())))
        self.check_goes_on(first)

    def test_run_may_not_be_repeated(self) -> None:
        for route in ({'idempotent': False}, {'attempts': 1}):
            first = self.begin(**route)
            self.assertEqual([], get_attempts(self.wait()))
            self.check_goes_on(first)


class TestStalls(SilenceTestCase):
    """A server is not silent for what the node itself has not read."""

    def _tick_late(self, heard_until: int) -> list[effects.Effect]:
        self.now += SILENCE_MS
        return self.post(events.Ticked(heard_until))

    # Guards against sound servers that are given up by a node that stood
    # still.
    def test_stall_is_no_silence(self) -> None:
        for begin in (self.arrive, self.begin):
            begin()
            found = get_attempts(self._tick_late(self.now + TICK_MS))
            self.assertEqual([], found)
            self.post(events.CallerDisconnected(HANDLE))

    def test_silence_while_all_was_read(self) -> None:
        self.begin()
        found = get_attempts(self._tick_late(self.now + SILENCE_MS))
        self.assertEqual(1, len(found))

    # Guards against sound servers that are given up, as the request was sent
    # to them only after the node had stood still.
    def test_stall_before_a_request_is_sent(self) -> None:
        self.wait(TICK_MS)
        first = self.arrive()
        found = get_attempts(self._tick_late(self.now + SILENCE_MS))
        self.assertEqual([], found)
        self.assertEqual(0, self.state.servers.get(first.host).lag_ms)
        self.assertIsNotNone(self.wait_for_attempt())

    def test_stall_after_a_request_is_sent(self) -> None:
        self.wait(TICK_MS)
        self.arrive()
        self.wait(TICK_MS)
        found = get_attempts(self._tick_late(self.now + SILENCE_MS))
        self.assertEqual(1, len(found))

    # Guards against peers that are suspected by a node that stood still.
    def test_stall_loses_no_peer(self) -> None:
        me = self.state.membership.me
        member = dataclasses.replace(me, name='x', peers='at-x')
        peer = members.Peer(member)
        self.state.membership.peers['x'] = peer
        self.wait(10 * TICK_MS)
        self.assertTrue(self.state.membership.probes)
        self._tick_late(self.now)
        self.assertIs(messages.Status.ALIVE, peer.member.status)
        self._tick_late(self.now + SILENCE_MS)
        self.assertIs(messages.Status.SUSPECT, peer.member.status)


class TestTwoAttempts(SilenceTestCase):
    """Two servers work on one request until one of them goes on."""

    def _switch(
        self, *, begun: bool = True, **route: object
    ) -> tuple[effects.RelayAttempt, effects.RelayAttempt]:
        """Return the attempt at a silent server, and the one that follows."""
        first = self.begin(**route) if begun else self.arrive(**route)
        second = self.wait_for_attempt()
        assert second is not None
        self.assertNotEqual(first.host, second.host)
        self.assertEqual([], get_cancelled(self.out, first))
        self.assertEqual(DEADLINE - self.now, second.remaining_ms)
        return first, second

    # Guards against a stream that is broken off as all other servers are
    # full, while its own server would go on.
    def test_next_server_refuses(self) -> None:
        first, second = self._switch()
        self.assertEqual([], get_finals(self.fail(second, REFUSED)))
        for _ in range(8):
            other = self.wait_for_attempt()
            if other is not None:
                self.fail(other, REFUSED)
        self.check_goes_on(first)

    # The same where the other server fails.
    def test_next_server_fails(self) -> None:
        first, second = self._switch()
        event = events.AnswerReceived(HANDLE, second.attempt, FAILED)
        self.assertEqual([], get_finals(self.post(event)))
        self.assertEqual([], get_attempts(self.wait()))
        self.check_goes_on(first)

    # Guards against a slow answer that is replaced by an error.
    def test_next_server_fails_before_the_first_byte(self) -> None:
        for fault in (REFUSED, CUT):
            first, second = self._switch(begun=False)
            self.assertEqual([], get_finals(self.fail(second, fault)))
            self.head(first)
            self.send(first, 1)
            self.check_goes_on(first)
            self.out.clear()

    def test_silent_server_sends_first(self) -> None:
        first, second = self._switch()
        out = self.send(first, 2)
        self.assertIn(effects.CancelAttempt(HANDLE, second.attempt), out)
        # Guards against events of two servers in one stream.
        self.assertEqual([], get_sent(self.send(second, 2)))
        self.assertEqual([], get_sent(self.head(second)))
        self.assertEqual(1, len(get_sent(self.send(first, 3))))
        self.assertIn(effects.SendFinish(HANDLE, True), self.end(first))
        self.check_idle()

    def test_next_server_sends_first(self) -> None:
        first, second = self._switch()
        self.assertEqual('1', second.last_event)
        self.head(second)
        out = self.send(second, 2)
        self.assertIn(effects.CancelAttempt(HANDLE, first.attempt), out)
        self.assertEqual([], get_sent(self.send(first, 2)))
        self.assertIn(effects.SendFinish(HANDLE, True), self.end(second))
        self.check_idle()

    # Guards against a sound server that is given up for a head that no event
    # follows.
    def test_next_server_sends_a_head_alone(self) -> None:
        first, second = self._switch()
        self.head(second)
        self.fail(second, CUT)
        self.check_goes_on(first)

    # Guards against events that come twice.
    def test_next_server_repeats_events(self) -> None:
        first, second = self._switch()
        self.head(second)
        self.assertEqual([], get_sent(self.send(second, 1)))
        self.assertEqual(1, len(get_cancelled(self.out, second)))
        self.check_goes_on(first)

    # Guards against a third run where one of two attempts is left.
    def test_silent_server_fails(self) -> None:
        first, second = self._switch()
        out = self.fail(first, CUT)
        self.assertEqual([], get_attempts(out) + get_finals(out))
        self.head(second)
        self.send(second, 2)
        self.assertIn(effects.SendFinish(HANDLE, True), self.end(second))
        self.check_idle()

    # Guards against a request on which two servers work for long.
    # Guards against two servers at work for longer than is allowed, at a
    # node whose ticks come late.
    def test_late_ticks(self) -> None:
        first = self.begin()
        for _ in range(8):
            self.now += MAX_TWICE_MS + TICK_MS
            out = self.post(events.Ticked())
            for second in get_attempts(out):
                self.assertEqual([], get_cancelled(out, first))
                out = self.send_request(second)
                self.assertEqual(1, len(get_cancelled(out, first)))
                return
        raise AssertionError('no second attempt')

    def test_both_are_silent(self) -> None:
        first, second = self._switch()
        began = self.now
        while not get_cancelled(self.out, first):
            self.wait(TICK_MS)
        self.assertLess(self.now - began, MAX_TWICE_MS)
        self.assertEqual([], get_cancelled(self.out, second))

    def test_caller_leaves(self) -> None:
        first, second = self._switch()
        out = self.post(events.CallerDisconnected(HANDLE))
        self.assertEqual(2, len(get_cancelled(out, first, second)))
        self.check_idle()

    def test_deadline(self) -> None:
        first, second = self._switch()
        self.now = DEADLINE
        out = self.post(events.Ticked())
        self.assertEqual(2, len(get_cancelled(out, first, second)))
        self.check_idle()

    # Guards against more runs than the route allows.
    def test_attempts_of_the_route(self) -> None:
        first, second = self._switch()
        self.send(first, 2)
        self.assertEqual([], get_attempts(self.wait()))
        self.send(first, 3)
        self.end(first)
        self.assertEqual(2, len(get_attempts(self.out)))

    # Guards against refused attempts beyond the budget for retries.
    def test_each_attempt_takes_from_the_budget(self) -> None:
        self.begin()
        self.spend_budget()
        self.earn_retry()
        second = self.wait_for_attempt()
        assert second is not None
        self.fail(second, REFUSED)
        self.assertIsNone(self.wait_for_attempt())


class TestConnecting(SilenceTestCase):
    """A silent server is kept until the request was sent to another one."""

    def _begin(self, *, begun: bool) -> effects.RelayAttempt:
        if begun:
            return self.begin()
        return self.arrive(streaming=False, resumable=False)

    def _check_connect_fails(self, *, begun: bool, tick_ms: int) -> None:
        first = self._begin(begun=begun)
        out: list[effects.Effect] = []
        while not get_attempts(out):
            self.now += tick_ms
            out = self.post(events.Ticked())
        (second,) = get_attempts(out)
        out += self.wait(CONNECT_MS)
        self.assertEqual([], get_cancelled(out, first, second))
        self.assertEqual([], get_finals(self.fail(second, UNCONNECTED)))
        if begun:
            self.check_goes_on(first)
            return
        answered = events.AnswerReceived(HANDLE, first.attempt, ANSWER)
        sent = effects.SendAnswer(HANDLE, ANSWER, False)
        self.assertIn(sent, self.post(answered))
        self.check_idle()

    # Guards against a slow answer that is replaced by an error, and a stream
    # that begins anew, as the next server accepts no connection.
    def test_next_server_accepts_no_connection(self) -> None:
        for begun in (False, True):
            self._check_connect_fails(begun=begun, tick_ms=TICK_MS)

    # Guards against a stream that is broken off, as an attempt that was never
    # sent counts as one of its runs.
    def test_unsent_attempt_is_no_run(self) -> None:
        first = self.begin()
        second = self.wait_for_attempt(is_sent=False)
        assert second is not None
        self.send(first, 2)
        self.earn_retry()
        out = self.fail(first, CUT) + self.wait(10 * TICK_MS)
        (third,) = get_attempts(out)
        self.assertEqual('2', third.last_event)
        self.assertEqual([], get_finals(out))

    # Guards against servers that are given up for one that accepts no
    # connection, at a node whose ticks come late.
    def test_late_ticks(self) -> None:
        for begun in (False, True):
            self._check_connect_fails(begun=begun, tick_ms=MAX_TWICE_MS)


class TestLateLoop(SilenceTestCase):
    """Two attempts at a node whose event loop turns seldom.

    In each turn it handles what came from the servers, then timers.
    """

    def start_node(self) -> None:
        """Start a node whose timers are not set."""
        super().start_node()
        self.turn_ms = 0
        self.wakes: list[int] = []

    def _turn(self, *received: events.Event) -> list[effects.Effect]:
        self.now += self.turn_ms
        out = [item for event in received for item in self.post(event)]
        due = [at for at in self.wakes if at <= self.now]
        for event in (*[events.DelayElapsed()] * len(due), events.Ticked()):
            out += self.post(event)
        self.wakes = [at for at in self.wakes if at > self.now]
        self.wakes += [
            self.now + item.delay_ms
            for item in out
            if isinstance(item, effects.Wake)
        ]
        return out

    def _switch(
        self, turn_ms: int
    ) -> tuple[effects.RelayAttempt, effects.RelayAttempt]:
        """Return the attempt at a silent server, and the one that follows.

        The request of the second one was sent in the last turn.
        """
        first = self.begin()
        self.turn_ms = turn_ms
        return first, self._send_second(first)

    def _send_second(
        self, first: effects.RelayAttempt
    ) -> effects.RelayAttempt:
        self.earn_retry()
        for _ in range(SILENCE_MS):
            out = self._turn()
            self.assertEqual([], get_cancelled(out, first))
            for second in get_attempts(out):
                self._turn(events.AttemptSent(HANDLE, second.attempt))
                return second
        raise AssertionError('no second attempt')

    def _measure_overlap(self, first: effects.RelayAttempt) -> int:
        """Return how long a silent server is kept from now on."""
        sent_at = self.now
        while not get_cancelled(self.out, first):
            self.assertLess(self.now, DEADLINE)
            self._turn()
        return self.now - sent_at

    # Guards against a stream that is given up by a slow node although the
    # next server refuses its rest at once.
    def test_next_server_refuses_at_once(self) -> None:
        for turn_ms in range(TICK_MS, MAX_TWICE_MS - TICK_MS, TICK_MS):
            first, second = self._switch(turn_ms)
            self._turn(events.AttemptFailed(HANDLE, second.attempt, REFUSED))
            self.check_goes_on(first)
            self.start_node()

    # Guards against two servers at work for longer than is allowed.
    def test_both_are_silent(self) -> None:
        for turn_ms in range(10, 2 * MAX_TWICE_MS, 10):
            first, second = self._switch(turn_ms)
            overlap_ms = self._measure_overlap(first)
            self.assertLessEqual(overlap_ms, MAX_TWICE_MS - TICK_MS, turn_ms)
            self.assertEqual([], get_cancelled(self.out, second))
            self.start_node()

    # Guards against sound servers that are given up at once as the node stood
    # still some time before.
    def test_stall_long_before(self) -> None:
        for stall_ms in (400, 1_000, 4_000):
            self.start_node()
            self.wait(TICK_MS)
            self.now += stall_ms
            self.post(events.Ticked())
            self.wait(2_000)
            first, second = self._switch(TICK_MS)
            self._turn(events.AttemptFailed(HANDLE, second.attempt, REFUSED))
            self.check_goes_on(first)

    # The same where one turn of several is late.
    def test_one_turn_was_late(self) -> None:
        first = self.begin()
        self.turn_ms = MAX_TWICE_MS
        self._turn()
        self.turn_ms = TICK_MS
        self._send_second(first)
        self.turn_ms = MAX_TWICE_MS - TICK_MS
        overlap_ms = self._measure_overlap(first)
        self.assertLessEqual(overlap_ms, MAX_TWICE_MS - TICK_MS)


class TestGivenUp(SilenceTestCase):
    """A stream that this node itself gave up is kept until its deadline."""

    def _give_up(self) -> effects.RelayAttempt:
        """Return the attempt that is left when a silent server is given up."""
        first = self.begin()
        second = self.wait_for_attempt()
        assert second is not None
        while not get_cancelled(self.out, first):
            self.wait(TICK_MS)
        return second

    def _check_ended_by(self, attempt: effects.RelayAttempt) -> None:
        self.assertEqual([], get_finals(self.out))
        self.head(attempt)
        self.send(attempt, 2)
        self.assertIn(effects.SendFinish(HANDLE, True), self.end(attempt))
        self.check_idle()

    # Guards against a begun stream that is broken off after a few refusals.
    def test_many_refusals(self) -> None:
        attempt: effects.RelayAttempt | None = self._give_up()
        for _ in range(8):
            if attempt is not None:
                self.fail(attempt, REFUSED)
                self.earn_retry()
            attempt = self.wait_for_attempt()
        assert attempt is not None
        self._check_ended_by(attempt)

    # Guards against one that is broken off while no retry is allowed.
    def test_budget_is_spent_for_a_while(self) -> None:
        attempt = self._give_up()
        self.spend_budget()
        self.fail(attempt, REFUSED)
        self.assertIsNone(self.wait_for_attempt())
        self.earn_retry()
        retried = self.wait_for_attempt()
        assert retried is not None
        self._check_ended_by(retried)

    # Guards against one that is broken off while keys are not confirmed, and
    # against a run with such a key.
    def test_keys_are_not_confirmed_for_a_while(self) -> None:
        attempt = self._give_up()
        self.state.freshness.confirmed_at = None
        self.fail(attempt, REFUSED)
        self.assertIsNone(self.wait_for_attempt())
        freshness.record_confirmation(self.state, self.now)
        retried = self.wait_for_attempt()
        assert retried is not None
        self._check_ended_by(retried)

    # Guards against one that is broken off when the other server fails, and
    # against a run on a third server where two are allowed.
    def test_next_server_fails_late(self) -> None:
        attempt = self._give_up()
        event = events.AnswerReceived(HANDLE, attempt.attempt, FAILED)
        self.post(event)
        retried = self.wait_for_attempt()
        assert retried is not None
        hosts = {item.host for item in get_attempts(self.out)}
        self.assertEqual(2, len(hosts))
        self._check_ended_by(retried)

    # Guards against a caller that waits for a stream that its server ended.
    def test_next_server_breaks_off(self) -> None:
        attempt = self._give_up()
        self.head(attempt)
        self.send(attempt, 2)
        out = self.fail(attempt, CUT)
        self.assertIn(effects.SendFinish(HANDLE, False), out)
        self.check_idle()

    def test_end_by_the_deadline(self) -> None:
        attempt: effects.RelayAttempt | None = self._give_up()
        while HANDLE in self.state.requests:
            if attempt is not None:
                self.fail(attempt, REFUSED)
            attempt = self.wait_for_attempt()
        self.assertIn(effects.SendFinish(HANDLE, False), self.out)
        self.check_idle()

    # Guards against a begun stream that makes room for a new request.
    def test_queue_is_full(self) -> None:
        attempt = self._give_up()
        for server in self.state.servers.all:
            server.backoff_until = DEADLINE
        self.fail(attempt, REFUSED)
        self.wait(TICK_MS)
        self.assertIn(HANDLE, self.state.queue)
        self.state.options = dataclasses.replace(self.state.options, queue=1)
        urgent = samples.relayed(2, deadline=DEADLINE, priority=-1)
        out = self.post(events.CallArrived(urgent))
        self.assertEqual(2, get_finals(out)[0].handle)
        self.assertIn(HANDLE, self.state.requests)


class TestNoWayOn(SilenceTestCase):
    """A stream that was given up ends at once where it never can go on."""

    def _give_up(self) -> effects.RelayAttempt:
        """Return the second attempt of a stream, after the overlap."""
        self.earn_retry()
        self.begin()
        second = self.wait_for_attempt()
        assert second is not None
        self.wait(5 * TICK_MS)
        return second

    def _check_ends(self) -> None:
        self.earn_retry()
        out = self.wait(500)
        self.assertEqual([], get_attempts(out))
        self.assertIn(effects.SendFinish(HANDLE, False), out)
        self.check_idle()

    # Guards against a caller that waits until its deadline for servers that
    # have left.
    def test_servers_that_had_it_leave(self) -> None:
        second = self._give_up()
        self.fail(second, CUT)
        for host in {item.host for item in get_attempts(self.out)}:
            server = self.state.servers.get(host)
            assert server is not None
            server.leaving = True
        self._check_ends()

    # Guards against a caller that waits until its deadline for a key that
    # is not valid again.
    def test_key_was_revoked(self) -> None:
        second = self._give_up()
        self.fail(second, REFUSED)
        self.state.index = join.Index(configuration=model.Configuration())
        self._check_ends()

    # Guards against a third server that runs a request of two attempts.
    def test_server_that_refused_did_not_run_it(self) -> None:
        self.earn_retry()
        self.fail(self.arrive(), REFUSED)
        first = self.wait_for_attempt()
        assert first is not None
        self.head(first)
        self.send(first, 1)
        self.earn_retry()
        second = self.wait_for_attempt()
        assert second is not None
        self.wait(5 * TICK_MS)
        for attempt in (first, second):
            server = self.state.servers.get(attempt.host)
            assert server is not None
            server.inflight += server.slots
        self.fail(second, CUT)
        self.earn_retry()
        self.assertEqual([], get_attempts(self.wait()))

    # Guards against new requests that wait behind streams that cannot go on.
    def test_others_are_sent_meanwhile(self) -> None:
        known = list(self.state.servers.all)
        for server in known:
            server.slots = 100
        for number in range(2, 2 + 2 * dispatch.MAX_SET_ASIDE):
            call = samples.relayed(
                number, deadline=DEADLINE, streaming=True, resumable=True
            )
            call = dataclasses.replace(call, stream=True, credential='k')
            self.post(events.CallArrived(call))
            request = self.state.requests[number]
            requests.cancel_attempt(self.state, request)
            request.streaming = request.has_stopped_run = True
            request.possible_runs = request.call.route.attempts
            request.run_hosts.add(request.host)
            requests.enqueue(self.state, request)
        for server in known:
            server.backoff_until = DEADLINE
        free = samples.row('free')
        self.state.servers.add(free, 'v', samples.instant(self.now))
        self.wait(2 * TICK_MS)
        self.assertEqual('free', self.arrive().host)


class TestEnds(SilenceTestCase):
    """The end of a stream is judged by the attempt that it belongs to."""

    # Guards against a whole stream that is broken off as another server has
    # sent its head meanwhile.
    def test_silent_server_ends_without_a_length(self) -> None:
        first = self.begin()
        second = self.wait_for_attempt()
        assert second is not None
        self.head(second)
        out = self.post(events.RelayEnded(HANDLE, first.attempt, False))
        self.assertIn(effects.SendFinish(HANDLE, True), out)
        self.check_idle()


class TestHelpers(SilenceTestCase):
    """A forwarded stream goes on while its helper passes on events."""

    def setUp(self) -> None:
        super().setUp()
        self.state.links.get('p').is_cut = True
        for name in ('x', 'y'):
            member = dataclasses.replace(
                self.state.membership.me, name=name, forwarding=f'at-{name}'
            )
            self.state.membership.peers[name] = members.Peer(member)

    def _suspect(self, *names: str) -> None:
        for name in names:
            peer = self.state.membership.peers[name]
            peer.member = dataclasses.replace(
                peer.member, status=messages.Status.SUSPECT
            )

    # Guards against a sound stream that is given up as the messages between
    # nodes are late.
    def test_suspected_helper_sends_events(self) -> None:
        first = self.begin()
        self._suspect('x', 'y')
        for number in range(2, 8):
            self.wait(4 * TICK_MS)
            sent = get_sent(self.send(first, number))
            self.assertEqual(1, len(sent))
        self.assertEqual([], get_cancelled(self.out, first))

    # Guards against a stream that is broken off as no other node is there.
    def test_no_other_helper(self) -> None:
        first = self.begin()
        self._suspect('x', 'y')
        self.assertEqual([], get_attempts(self.wait()))
        self.check_goes_on(first)

    def test_other_helper_refuses(self) -> None:
        first = self.begin()
        self._suspect(first.host)
        second = self.wait_for_attempt()
        assert second is not None
        self.fail(second, REFUSED)
        self.check_goes_on(first)


class TestStoppedHelpers(SilenceTestCase):
    """A stream goes on elsewhere after the node that relayed it stopped."""

    def setUp(self) -> None:
        super().setUp()
        self.state.links.get('p').is_cut = True
        for name in ('x', 'y', 'z'):
            self._change(self.state.membership.me, name, f'at-{name}')

    def _change(
        self, member: messages.Member, name: str, address: str, **more: bool
    ) -> None:
        member = dataclasses.replace(
            member, name=name, forwarding=address, **more
        )
        self.state.membership.peers[name] = members.Peer(member)

    def _stop_helper(self, **route: object) -> effects.RelayAttempt | None:
        """Return the attempt after the one that a stopping helper ended."""
        first = self.begin(**route)
        member = self.state.membership.peers[first.host].member
        self._change(member, first.host, member.forwarding, draining=True)
        return next(iter(get_attempts(self.fail(first, CUT))), None)

    # Guards against a stream that is broken off, or waits in vain until its
    # deadline, as the other nodes cannot take it at once.
    def test_other_helpers_refuse_for_a_while(self) -> None:
        attempt = self._stop_helper()
        for _ in range(8):
            assert attempt is not None
            out = self.fail(attempt, REFUSED)
            attempt = next(iter(get_attempts(out)), None)
            attempt = attempt or self.wait_for_attempt()
            self.earn_retry()
        assert attempt is not None
        self.assertEqual([], get_finals(self.out))
        self.assertEqual('1', attempt.last_event)
        self.check_goes_on(attempt)

    # Guards against a second run of a request that may run once.
    def test_run_may_not_be_repeated(self) -> None:
        self.assertIsNone(self._stop_helper(idempotent=False))
        self.assertEqual([], get_attempts(self.wait()))
        self.assertIn(effects.SendFinish(HANDLE, False), self.out)
        self.check_idle()

    # Guards against a caller that waits although a third server would have
    # to run a request of two attempts.
    def test_two_helpers_stop(self) -> None:
        second = self._stop_helper()
        assert second is not None
        self.head(second)
        self.send(second, 2)
        out = self.fail(second, CUT) + self.wait(10 * TICK_MS)
        self.assertEqual([], get_attempts(out))
        self.assertIn(effects.SendFinish(HANDLE, False), out)
        self.check_idle()


def get_finals(out: list[effects.Effect]) -> list[typing.Any]:
    """Return the effects that end a request."""
    return [item for item in out if isinstance(item, FINAL)]


def get_sent(out: list[effects.Effect]) -> list[effects.Effect]:
    """Return the effects that send a caller a part of a stream."""
    kinds = (effects.SendEvents, effects.SendHead)
    return [item for item in out if isinstance(item, kinds)]
