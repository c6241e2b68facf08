"""Tests of what a node reports of its choices of servers."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import relays
from teaselbridge.decisions import state as states
from tests.decisions import samples
from tests.decisions.spreading import test_explanation


def list_spans(found: list[effects.Effect], span: effects.Span) -> list[int]:
    """Return the durations of a kind that effects export."""
    return [
        effect.elapsed_ms
        for effect in found
        if isinstance(effect, effects.ObserveLatency) and effect.span is span
    ]


def list_attempts(found: list[effects.Effect]) -> list[str]:
    """Return the log lines of attempts."""
    return [
        effect.detail
        for effect in found
        if isinstance(effect, effects.RecordEntry)
        and effect.mark is effects.Mark.ATTEMPT
    ]


class TestReports(testtools.TestCase):
    """Metrics and log fields of a choice."""

    def _send(self, state: states.State) -> list[effects.Effect]:
        return test_explanation.send(state, test_explanation.QUESTION)

    def test_age_at_selection(self) -> None:
        """Uneven load could not be told from old updates without it."""
        found = self._send(test_explanation.make_state())
        self.assertEqual([700], list_spans(found, effects.Span.LOAD_AGE))
        (detail,) = list_attempts(found)
        self.assertIn('load of other nodes 700 ms old', detail)

    def test_single_node_reports_no_age(self) -> None:
        """A node alone knows all load itself."""
        state = test_explanation.make_state()
        state.active.names = frozenset({'n'})
        found = self._send(state)
        self.assertEqual([], list_spans(found, effects.Span.LOAD_AGE))
        (detail,) = list_attempts(found)
        self.assertNotIn('load of other nodes', detail)

    def test_predicted_and_observed_wait(self) -> None:
        """Both are of the same attempts, so that they can be compared."""
        state = test_explanation.make_state()
        self._send(state)
        (request,) = state.requests.values()
        predicted_ms = round(request.expected_first_byte_ms)
        self.assertGreater(predicted_ms, 0)
        event = events.HeadReceived(
            request.handle, request.attempt, calls.Head(200, ())
        )
        later = samples.instant(test_explanation.NOW.mono + 180)
        found = relays.handle_head_received(state, request, event, later)
        self.assertEqual(
            [predicted_ms], list_spans(found, effects.Span.PREDICTED)
        )
        self.assertEqual([180], list_spans(found, effects.Span.OBSERVED))
