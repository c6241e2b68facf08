"""Tests of the dispatch of waiting requests."""

from __future__ import annotations

import dataclasses

from teaselbridge.decisions import dispatch
from teaselbridge.decisions import effects
from teaselbridge.decisions import requests
from tests.decisions import samples
from tests.decisions import test_versions


class TestQueue(test_versions.VersionTestCase):
    """Requests that wait behind one that the free servers may not serve."""

    def setUp(self) -> None:
        super().setUp()
        for server in self.add('v', 2):
            server.inflight = server.other_requests = server.slots
        self.add('v2', 2)
        self.order()
        move = self.state.moves.get('p')
        assert move is not None
        self.state.moves.merge(
            dataclasses.replace(move, sequence=2, share=0.5)
        )

    def dispatch(self, count: int) -> list[int]:
        """Queue requests and return the handles of those that are sent."""
        now = samples.instant(10)
        for handle in range(1, count + 1):
            call = samples.relayed(handle)
            request = requests.Request(call=call, now=now)
            self.state.requests[handle] = request
            self.state.queue.push(call)
        return [
            effect.call.handle
            for effect in dispatch.dispatch_waiting_requests(self.state, now)
            if isinstance(effect, effects.RelayAttempt)
        ]

    # Guards against a full version of a rollout that holds up the requests
    # of the other one.
    def test_request_of_a_full_version_does_not_hold_up_others(self) -> None:
        sent = self.dispatch(8)
        expected = [
            handle for handle in range(1, 9) if self.choose(handle) == 'v2'
        ]
        self.assertTrue(0 < len(expected) < 8)
        self.assertEqual(expected, sent)
        self.assertEqual(8 - len(sent), len(self.state.queue))

    def test_full_pool_sets_nothing_aside(self) -> None:
        for server in self.state.servers.all:
            server.inflight = server.other_requests = server.slots
        self.assertEqual([], self.dispatch(4))
        self.assertEqual(4, len(self.state.queue))
