"""Tests of streams of which the caller has a part already."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import attempts
from teaselbridge.decisions import bounds
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import relay_checks
from teaselbridge.decisions import requests
from teaselbridge.decisions import state as states
from tests.decisions import samples

ANSWER = calls.Answer(404, (), b'no such run')
NOW = samples.instant(100)


class TestBegunStreams(testtools.TestCase):
    """Nothing but events follows the start of a stream.

    An answer or a refusal would become a part of it.
    """

    def _begin(
        self, *, helper: str = '', idempotent: bool = False
    ) -> tuple[states.State, requests.Request]:
        """Return a node with a stream of which event 2 was passed on."""
        state = samples.state(bounds.Bounds())
        call = samples.relayed(
            streaming=True, resumable=idempotent, idempotent=idempotent
        )
        request = requests.Request(call=call, now=samples.instant(0))
        request.phase = requests.Phase.RUNNING
        request.attempt = 2
        request.streaming = True
        request.last_event = 2
        request.numbered_attempt = 1
        request.helper = helper
        state.requests[call.handle] = request
        return state, request

    def _check_broken(self, out: list[effects.Effect]) -> None:
        self.assertIn(effects.SendFinish(1, False), out)
        for effect in out:
            self.assertNotIsInstance(
                effect, (effects.SendAnswer, effects.SendRefusal)
            )

    def test_answer_of_a_server_or_a_helper(self) -> None:
        for helper in ('', 'other'):
            state, _ = self._begin(helper=helper)
            event = events.AnswerReceived(1, 2, ANSWER)
            self._check_broken(attempts.answer(state, event, NOW))

    def test_refusal_of_this_node(self) -> None:
        state, request = self._begin()
        refusal = relay_checks.build_refusal(
            state, calls.Reason.NO_SERVER, 'none'
        )
        self._check_broken(requests.refuse(state, request, refusal, NOW))

    def test_end_without_an_event(self) -> None:
        for helper in ('', 'other'):
            for is_framed in (False, True):
                state, _ = self._begin(helper=helper)
                out = attempts.handle_relay_progress(
                    state, events.RelayEnded(1, 2, is_framed), NOW
                )
                self.assertIn(effects.SendFinish(1, is_framed), out)

    def _check_event(self, data: bytes, *, is_passed: bool) -> None:
        for helper in ('', 'other'):
            state, _ = self._begin(helper=helper)
            out = attempts.handle_relay_progress(
                state,
                events.StreamEventsReceived(
                    handle=1,
                    attempt=2,
                    data=data,
                    first=None,
                    last=None,
                    count=1,
                ),
                NOW,
            )
            if is_passed:
                self.assertIn(effects.SendEvents(1, data), out)
            else:
                self._check_broken(out)

    def test_event_without_a_number(self) -> None:
        self._check_event(b'data: piece 1\n\n', is_passed=False)
        self._check_event(b'event: x\ndata: piece 1\n\n', is_passed=False)
        self._check_event(b'event: x\r\ndata: 1\r\n\r\n', is_passed=False)

    def test_comment(self) -> None:
        self._check_event(b': note\n\n', is_passed=True)

    def test_stream_without_numbers_is_not_continued(self) -> None:
        for helper in ('', 'other'):
            state, request = self._begin(helper=helper, idempotent=True)
            request.has_unnumbered = True
            fault = calls.Fault(
                calls.FaultKind.CUT, calls.RunStatus.UNKNOWN, 'cut'
            )
            out = attempts.handle_attempt_failed(
                state, events.AttemptFailed(1, 2, fault), NOW
            )
            self._check_broken(out)
