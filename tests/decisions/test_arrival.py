"""Tests of what happens when a request arrives."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import arrival
from teaselbridge.decisions import bounds
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import reducer
from teaselbridge.decisions import requests
from teaselbridge.decisions import state as states
from teaselbridge.tables import join
from teaselbridge.tables import model
from tests.decisions import samples

RATE = model.Rate(per_s=50_000, burst=50_000, in_tokens=True)
POOL = model.Pool(name='p', kind=model.Kind.RELAYED, versions=(), zones=('z',))


class TestTurns(testtools.TestCase):
    """Load pattern: a cluster of requests just beyond a workspace's rate."""

    def make(self) -> states.State:
        """Make a node with a server and a workspace with a rate."""
        state = samples.state(bounds.Bounds(revoke_ms=0, first_start=True))
        tables = model.Tables(
            pools=(POOL,),
            workspaces=(model.Workspace(name='w', key='k', rate=RATE),),
        )
        state.index = join.Index(
            configuration=model.Configuration(tables=tables)
        )
        state.configured = True
        server = state.servers.add(samples.row('h'), 'v', samples.instant(0))
        server.slots = 64
        return state

    def send(self, state: states.State, count: int, goal_ms: int) -> None:
        """Let requests arrive at once."""
        for handle in range(count):
            call = samples.relayed(handle, tokens_in=5_000, goal_ms=goal_ms)
            arrival.arrive(state, events.CallArrived(call), samples.instant(0))

    def test_request_waits_for_its_turn(self) -> None:
        state = self.make()
        self.send(state, 11, 1_000)
        last = state.requests[10]
        self.assertEqual(requests.Phase.BACKOFF, last.phase)
        self.assertEqual(100, last.due)
        early = reducer.reduce(state, events.Ticked(), samples.instant(50))
        self.assertEqual(10, self.sent(early))
        late = reducer.reduce(state, events.Ticked(), samples.instant(100))
        self.assertEqual(1, self.sent(late))

    def test_request_without_time_to_wait_is_refused(self) -> None:
        state = self.make()
        self.send(state, 11, 150)
        self.assertEqual(10, len(state.requests))

    def sent(self, found: list[effects.Effect]) -> int:
        """Count the attempts among effects."""
        return sum(isinstance(item, effects.RelayAttempt) for item in found)
