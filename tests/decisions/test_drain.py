"""Tests of the graceful shutdown."""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.decisions import arrival
from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import drain
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import members
from teaselbridge.decisions import requests
from teaselbridge.decisions import state as states
from teaselbridge.tables import model
from tests.decisions import samples

LIST_MAX_AGE_MS = 3_000
STOP_AT = 7_000


def build_draining_state() -> states.State:
    """Return the state of a node on the platform that drains since 0."""
    state = samples.state(bounds.Bounds())
    state.options = dataclasses.replace(
        state.options, address_list_max_age_ms=LIST_MAX_AGE_MS
    )
    drain.handle_drain_requested(
        state, events.DrainRequested(STOP_AT), samples.instant(0)
    )
    return state


def list_refusals(out: list[effects.Effect]) -> list[calls.Refusal]:
    """Return the refusals among some effects."""
    return [
        item.refusal for item in out if isinstance(item, effects.SendRefusal)
    ]


class TestDrain(testtools.TestCase):
    """A node stays up for as long as callers may use its address.

    A node that stops as soon as it is idle would refuse the callers that
    still have it in their address list.
    """

    def test_idle_node_stays_while_callers_keep_its_address(self) -> None:
        state = samples.state()
        state.options = dataclasses.replace(
            state.options, address_ttl_ms=1_000, address_list_max_age_ms=3_000
        )
        drain.handle_drain_requested(
            state, events.DrainRequested(7_000), samples.instant(0)
        )
        stopped = [
            now
            for now in range(0, 5_000, 100)
            if effects.ExitProcess() in drain.tick(state, samples.instant(now))
        ]
        self.assertEqual([3_000], stopped)

    # Guards against requests on kept connections that cross their close.
    def test_connections_end_with_an_answer(self) -> None:
        state = samples.state()
        for number in range(2):
            out = drain.handle_drain_requested(
                state, events.DrainRequested(7_000), samples.instant(number)
            )
            self.assertEqual(not number, effects.EndConnections() in out)


class TestLateRequests(testtools.TestCase):
    """A request that may outlast its node is refused on arrival.

    It would be run, and its connection closed without an answer.
    """

    def _arrive(
        self, at: int, deadline: int, state: states.State | None = None
    ) -> list[calls.Refusal]:
        return list_refusals(
            arrival.handle_call_arrived(
                state or build_draining_state(),
                events.CallArrived(samples.relayed(deadline=deadline)),
                samples.instant(at),
            )
        )

    def test_deadline_is_after_the_stop(self) -> None:
        for at in (LIST_MAX_AGE_MS, 5_000, STOP_AT - 1, STOP_AT + 500):
            (refusal,) = self._arrive(at, STOP_AT + 1_000)
            self.assertIs(calls.Reason.STOPPING, refusal.reason)
            self.assertIs(calls.RunStatus.NOT_RUN, refusal.ran)

    def test_deadline_is_before_the_stop(self) -> None:
        self.assertEqual([], self._arrive(5_000, STOP_AT))

    # Guards against late requests that are accepted and broken off, as the
    # node becomes busy and stops earlier.
    def test_stop_may_come_earlier(self) -> None:
        earliest_stop = STOP_AT - 600
        state = samples.state(bounds.Bounds())
        for event in (
            events.DrainRequested(STOP_AT, 0, earliest_stop),
            events.DrainRequested(earliest_stop, 0, earliest_stop),
        ):
            drain.handle_drain_requested(state, event, samples.instant(0))
            self.assertEqual(1, len(self._arrive(5_000, STOP_AT, state)))
            self.assertEqual([], self._arrive(5_000, earliest_stop, state))

    def test_callers_may_still_have_the_address(self) -> None:
        self.assertEqual([], self._arrive(1_000, STOP_AT + 1_000))

    # Guards against late requests at a node that handles its signal late.
    def test_signal_was_handled_late(self) -> None:
        state = samples.state()
        state.options = dataclasses.replace(
            state.options, address_list_max_age_ms=LIST_MAX_AGE_MS
        )
        drain.handle_drain_requested(
            state,
            events.DrainRequested(STOP_AT, since=0),
            samples.instant(1_500),
        )
        refusals = self._arrive(LIST_MAX_AGE_MS, STOP_AT + 1_000, state)
        self.assertEqual(1, len(refusals))

    def test_other_nodes_stay(self) -> None:
        state = build_draining_state()
        other = dataclasses.replace(
            state.options.me, name='other', draining=False
        )
        state.membership.peers['other'] = members.Peer(other)
        (refusal,) = self._arrive(5_000, STOP_AT + 1_000, state)
        self.assertLess(refusal.retry_after_ms, 1_000)

    # Guards against callers that come back while no node takes requests.
    def test_all_nodes_are_stopping(self) -> None:
        (refusal,) = self._arrive(5_000, STOP_AT + 1_000)
        self.assertGreaterEqual(refusal.retry_after_ms, STOP_AT - 5_000)

    def test_second_signal_extends_nothing(self) -> None:
        state = build_draining_state()
        drain.handle_drain_requested(
            state,
            events.DrainRequested(STOP_AT + 4_000),
            samples.instant(4_000),
        )
        self.assertEqual(1, len(self._arrive(5_000, STOP_AT + 1_000, state)))


class TestLastAnswers(testtools.TestCase):
    """Requests that a node still holds when it must stop are answered."""

    def _stop(
        self, *, is_stopped: bool = False, **changes: object
    ) -> list[effects.Effect]:
        """Return the effects for a request when the node must stop."""
        state = build_draining_state()
        assert state.drain is not None
        state.drain.is_stopped = is_stopped
        request = requests.Request(
            call=samples.relayed(deadline=STOP_AT + 5_000),
            now=samples.instant(2_000),
        )
        for name, value in changes.items():
            setattr(request, name, value)
        state.requests[request.handle] = request
        early = drain.tick(state, samples.instant(STOP_AT - 1))
        self.assertEqual([], list_refusals(early))
        out = drain.tick(state, samples.instant(STOP_AT))
        self.assertEqual({}, state.requests)
        return out

    def test_waiting_request_was_not_run(self) -> None:
        (refusal,) = list_refusals(self._stop())
        self.assertIs(calls.Reason.STOPPING, refusal.reason)
        self.assertIs(calls.RunStatus.NOT_RUN, refusal.ran)

    def test_running_request_promises_nothing(self) -> None:
        running = {'phase': requests.Phase.RUNNING, 'attempt': 1}
        for changes in (running, {'may_have_run': True}):
            out = self._stop(**changes)
            (refusal,) = list_refusals(out)
            self.assertIs(calls.RunStatus.UNKNOWN, refusal.ran)
        self.assertIn(effects.CancelAttempt(1, 1), self._stop(**running))

    def test_begun_stream_does_not_look_complete(self) -> None:
        out = self._stop(phase=requests.Phase.RUNNING, streaming=True)
        self.assertIn(effects.SendFinish(1, False), out)

    # Guards against a request that comes on an open connection after an idle
    # node has begun to stop.
    def test_after_an_early_stop(self) -> None:
        self.assertEqual(1, len(list_refusals(self._stop(is_stopped=True))))


class TestReclaimedHost(testtools.TestCase):
    """A node whose host is taken back has no time after its deadline."""

    def _find_stop(self, *, is_final: bool) -> tuple[int, int]:
        """Return when a held request is refused, and the process exits."""
        state = samples.state()
        requested = events.DrainRequested(STOP_AT, is_final=is_final)
        drain.handle_drain_requested(state, requested, samples.instant(0))
        call = dataclasses.replace(
            samples.call(1), kind=model.Kind.SERVICE, deadline=STOP_AT + 5_000
        )
        request = requests.Request(call=call, now=samples.instant(0))
        request.phase = requests.Phase.RUNNING
        state.requests[call.handle] = request
        refused_at = exited_at = 0
        for now in range(0, STOP_AT + 5_000, 50):
            out = drain.tick(state, samples.instant(now))
            if list_refusals(out):
                refused_at = now
            if effects.ExitProcess() in out:
                exited_at = now
        return refused_at, exited_at

    # Guards against "not run" for a request that a peer may have adopted.
    def test_hand_over_is_in_doubt(self) -> None:
        state = samples.state()
        requested = events.DrainRequested(STOP_AT, is_final=True)
        drain.handle_drain_requested(state, requested, samples.instant(0))
        request = requests.Request(
            call=dataclasses.replace(samples.call(1), deadline=STOP_AT * 2),
            now=samples.instant(0),
        )
        request.phase = requests.Phase.HANDING_OVER
        request.due_at = STOP_AT + 1
        state.requests[request.handle] = request
        out = drain.tick(state, samples.instant(STOP_AT))
        (refusal,) = list_refusals(out)
        self.assertIs(calls.RunStatus.UNKNOWN, refusal.ran)

    # Guards against final answers after the host is gone.
    def test_last_answers(self) -> None:
        self.assertEqual((STOP_AT, STOP_AT), self._find_stop(is_final=True))
        later = STOP_AT + drain.LAST_WORK_MS
        self.assertEqual((later, later), self._find_stop(is_final=False))
