"""Tests of what is recorded of requests that end without an answer."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import attempts
from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import drain
from teaselbridge.decisions import effects
from teaselbridge.decisions import ends
from teaselbridge.decisions import events
from teaselbridge.decisions import reducer
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import requests
from teaselbridge.decisions import state as states
from tests.decisions import samples

DEADLINE = 10_000
NOW = samples.instant(4_000)
CUT = calls.Fault(calls.FaultKind.CUT, calls.RunStatus.UNKNOWN, 'closed')
MARKS = (
    effects.Mark.ANSWERED,
    effects.Mark.REFUSED,
    effects.Mark.ENDED,
)


def build(**changes: object) -> tuple[states.State, requests.Request]:
    """Return a node with a request that runs at a server.

    :param changes: attributes of the request.
    """
    state = samples.state(bounds.Bounds())
    call = samples.relayed(deadline=DEADLINE, streaming=True, idempotent=False)
    request = requests.Request(call=call, now=samples.instant(0))
    request.phase = requests.Phase.RUNNING
    request.attempt = 1
    for name, value in changes.items():
        setattr(request, name, value)
    state.requests[call.handle] = request
    return state, request


class TestEnds(testtools.TestCase):
    """Each end without a whole answer leaves one line and one count."""

    def _check(
        self,
        out: list[effects.Effect],
        label: str,
        mark: effects.Mark,
        *parts: str,
    ) -> None:
        counted = [
            item.label
            for item in out
            if isinstance(item, effects.Count)
            and item.counter is effects.Counter.ENDED
        ]
        self.assertEqual([label], counted)
        (entry,) = [
            item
            for item in out
            if isinstance(item, effects.RecordEntry) and item.mark in MARKS
        ]
        self.assertIs(mark, entry.mark)
        self.assertEqual('attempt-1', entry.request)
        for part in parts:
            self.assertIn(part, entry.detail)

    def _fail(
        self,
        state: states.State,
        request: requests.Request,
        fault: calls.Fault = CUT,
    ) -> list[effects.Effect]:
        event = events.AttemptFailed(request.handle, request.attempt, fault)
        return attempts.handle_attempt_failed(state, event, NOW)

    def test_server_broke_off(self) -> None:
        self._check(
            self._fail(*build(streaming=True)),
            'server:part',
            effects.Mark.ENDED,
            'closed; ended by server, part sent, 1 attempts, 6000 ms left',
        )

    def test_server_failed_before_an_answer(self) -> None:
        self._check(
            self._fail(*build()),
            'server:refusal',
            effects.Mark.REFUSED,
            'backend-server-failed, ran unknown: closed; ended by server',
        )

    def test_helper_is_lost(self) -> None:
        self._check(
            self._fail(*build(streaming=True, helper='other')),
            'helper:part',
            effects.Mark.ENDED,
        )

    def test_attempt_was_cancelled_before(self) -> None:
        state, request = build(streaming=True, attempt=2)
        request.cancellation = ends.Cancellation(
            1, NOW.mono - 700, 'no data within 600 ms'
        )
        self._check(
            self._fail(state, request),
            'server:part:cancelled',
            effects.Mark.ENDED,
            'attempt 1 cancelled 700 ms before (no data within 600 ms)',
        )

    def test_silence_is_a_decision_of_the_node(self) -> None:
        silent = calls.Fault(
            calls.FaultKind.SILENT, calls.RunStatus.UNKNOWN, 'no data'
        )
        state, request = build(streaming=True)
        ends.note_cancellation(request, silent, NOW)
        self._check(
            self._fail(state, request, silent),
            'node:part:cancelled',
            effects.Mark.ENDED,
        )

    def test_bad_event_names_the_cancelled_attempt(self) -> None:
        state, _ = build(
            streaming=True, last_event=2, numbered_attempt=1, attempt=2
        )
        event = events.StreamEventsReceived(
            handle=1,
            attempt=2,
            data=b'data: x\n\n',
            first=None,
            last=None,
            count=1,
        )
        self._check(
            attempts.handle_relay_progress(state, event, NOW),
            'server:part:cancelled',
            effects.Mark.ENDED,
            'attempt 2 cancelled 0 ms before',
        )

    def test_deadline(self) -> None:
        state, request = build(streaming=True)
        self._check(
            attempts.tick(state, request, samples.instant(DEADLINE)),
            'deadline:part',
            effects.Mark.ENDED,
            'ended by deadline, part sent, 1 attempts, 0 ms left',
        )
        state, request = build()
        self._check(
            attempts.tick(state, request, samples.instant(DEADLINE)),
            'deadline:refusal',
            effects.Mark.REFUSED,
        )

    def test_decision_of_the_node(self) -> None:
        state, request = build(phase=requests.Phase.QUEUED, streaming=True)
        refusal = relay_checks.build_refusal(
            state, calls.Reason.NO_SERVER, 'none'
        )
        self._check(
            requests.refuse(state, request, refusal, NOW),
            'node:part',
            effects.Mark.ENDED,
            'no-backend-server, ran no: none; ended by node',
        )

    def test_node_stops(self) -> None:
        for changes, label, mark in (
            ({'streaming': True}, 'stopping:part', effects.Mark.ENDED),
            ({}, 'stopping:refusal', effects.Mark.REFUSED),
            (
                {'phase': requests.Phase.QUEUED},
                'stopping:refusal',
                effects.Mark.REFUSED,
            ),
        ):
            state, _ = build(**changes)
            event = events.DrainRequested(NOW.mono)
            drain.handle_drain_requested(state, event, samples.instant(0))
            self._check(drain.tick(state, NOW), label, mark)

    def test_closed_connection(self) -> None:
        for is_cut, streaming, label in (
            (False, False, 'caller:nothing'),
            (False, True, 'caller:part'),
            (True, False, 'cut:nothing'),
            (True, True, 'cut:part'),
        ):
            state, _ = build(streaming=streaming)
            event = events.CallerDisconnected(1, is_cut)
            self._check(
                reducer.reduce(state, event, NOW),
                label,
                effects.Mark.ENDED,
                'disconnected while running',
            )

    # Guards against ends that are recorded twice, as the output of each
    # request is closed after its answer.
    def test_close_after_the_end(self) -> None:
        state = samples.state(bounds.Bounds())
        event = events.CallerDisconnected(1)
        self.assertEqual([], reducer.reduce(state, event, NOW))
