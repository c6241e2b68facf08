"""Completions whose last token came without the end of the stream."""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.decisions import arrival
from teaselbridge.decisions import attempts
from teaselbridge.decisions import calls
from teaselbridge.decisions import drain
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import requests
from teaselbridge.decisions import state as states
from tests.decisions import samples

TOKENS = ('a', 'b')


class TestLastToken(testtools.TestCase):
    """A completion with all its tokens is ended, not continued."""

    def _make_call(self, resumed: tuple[str, ...]) -> calls.Call:
        return dataclasses.replace(
            samples.call(1), max_tokens=len(TOKENS), resumed=resumed
        )

    def _list_ends(self, out: list[effects.Effect]) -> list[tuple[str, int]]:
        return [
            (item.finish, item.completion_tokens)
            for item in out
            if isinstance(item, effects.SendEnd)
        ]

    # Guards against a caller that gets a refusal for an answer it has whole,
    # when its node dies between the last token and the end.
    def test_caller_that_has_all_tokens_gets_the_end(self) -> None:
        state = samples.state()
        arrived = events.CallArrived(self._make_call(TOKENS))
        out = arrival.handle_call_arrived(state, arrived, samples.instant(0))
        self.assertEqual([('length', 2)], self._list_ends(out))
        self.assertEqual({}, state.requests)

    def _run_to_the_last_token(self, state: states.State) -> calls.Call:
        """Run a request on the engine ``a`` until its last token."""
        call = self._make_call(())
        request = requests.Request(call=call, now=samples.instant(0))
        request.phase = requests.Phase.RUNNING
        request.attempt = 1
        request.host = 'a'
        state.requests[call.handle] = request
        for token in TOKENS:
            received = events.TokenReceived(call.handle, 1, token)
            attempts.token(state, received, samples.instant(10))
        return call

    # Guards against one token too many, from another engine, when an engine
    # dies between the last token and the end.
    def test_engine_lost_after_the_last_token_ends_the_completion(
        self,
    ) -> None:
        state = samples.state()
        call = self._run_to_the_last_token(state)
        fault = calls.Fault(
            calls.FaultKind.CUT, calls.RunStatus.UNKNOWN, 'broken off'
        )
        failed = events.AttemptFailed(call.handle, 1, fault)
        out = attempts.handle_attempt_failed(
            state, failed, samples.instant(20)
        )
        self.assertEqual([('length', 2)], self._list_ends(out))
        self.assertEqual({}, state.requests)

    # Guards against one token too many, from another engine, when the cloud
    # takes back the host between the last token and the end.
    def test_engine_reclaimed_after_the_last_token(self) -> None:
        state = samples.state()
        for host in 'ab':
            state.servers.add(
                samples.row(host), samples.VERSION, samples.instant(0)
            )
        call = self._run_to_the_last_token(state)
        server = state.servers.get('a')
        assert server is not None
        server.reclaimed_at = 20
        request = state.requests[call.handle]
        out = attempts.tick(state, request, samples.instant(20))
        self.assertEqual([('length', 2)], self._list_ends(out))
        self.assertEqual({}, state.requests)

    # Guards against one token too many when no other node takes over a
    # completion that lacks only its end.
    def test_nobody_takes_over_after_the_last_token(self) -> None:
        state = samples.state()
        call = self._run_to_the_last_token(state)
        drain.handle_drain_requested(
            state, events.DrainRequested(100), samples.instant(10)
        )
        request = state.requests[call.handle]
        request.phase = requests.Phase.HANDING_OVER
        out = drain.tick(state, samples.instant(20))
        self.assertEqual([('length', 2)], self._list_ends(out))
        self.assertEqual({}, state.requests)
