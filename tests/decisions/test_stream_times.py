"""Tests of the times of streams as evidence about a new version."""

from __future__ import annotations

import itertools
import random

from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.decisions import moves
from teaselbridge.decisions import relays
from teaselbridge.decisions import requests
from teaselbridge.decisions import servers
from tests.decisions import samples
from tests.decisions import test_versions

STREAM_EVENTS = 12
HEAD = calls.Head(200, ())


class TestUsualTimes(test_versions.VersionTestCase):
    """Times before the rollout count where a node has few requests."""

    def record(self, server: servers.Server, span: float, mono: int) -> None:
        """Record an answer."""
        moves.record_outcome(
            self.state,
            server,
            'r',
            samples.instant(mono),
            failed=False,
            span=span,
        )

    def run_rollout(self, new_span: float, cold_ms: int = 0) -> bool:
        """Return whether a version is rejected after eight answers.

        :param cold_ms: how long its server is slow after its start.
        """
        (old,) = self.add('v', 1)
        for second in range(10):
            self.record(old, 50.0, 1_000 * second)
        (new,) = self.add('v2', 1)
        new.cold_until = cold_ms
        self.order()
        for second in range(10, 14):
            self.record(old, 50.0, 1_000 * second)
            self.record(new, new_span, 1_000 * second)
            self.record(new, new_span, 1_000 * second + 500)
        move = self.state.moves.get('p')
        assert move is not None
        return self.state.moves.verdict(move) is not None

    # Guards against a slow version that is not timed until the old one has
    # answered several times on each route at the node that tries it.
    def test_slow_version_is_found_at_its_first_answers(self) -> None:
        self.assertTrue(self.run_rollout(200.0))

    def test_equal_version_is_not_rejected(self) -> None:
        self.assertFalse(self.run_rollout(50.0))

    # Guards against a good version that is rejected while its servers are
    # still slow after their start.
    def test_servers_that_just_started_are_not_timed(self) -> None:
        self.assertFalse(self.run_rollout(200.0, cold_ms=20_000))


class TestStreamTimes(test_versions.VersionTestCase):
    """A version is compared by its own work, not by the queue before it."""

    def setUp(self) -> None:
        super().setUp()
        (self.old,) = self.add('v', 1)
        (self.new,) = self.add('v2', 1)
        self.order()
        self.handles = itertools.count(1)
        self.random = random.Random(1)
        self.mono = 0

    def stream(
        self, server: servers.Server, wait_ms: int, gap_ms: int
    ) -> None:
        """Run a stream to its end.

        :param wait_ms: time to the first event.
        :param gap_ms: time between two events.
        """
        call = samples.relayed(
            next(self.handles), deadline=10**9, streaming=True, idempotent=True
        )
        now = samples.instant(self.mono)
        request = requests.Request(call=call, now=now)
        request.phase = requests.Phase.RUNNING
        request.host = server.host
        request.started_at = now.mono
        self.state.requests[call.handle] = request
        now = now.plus(wait_ms)
        head = events.HeadReceived(call.handle, 1, HEAD)
        relays.handle_head_received(self.state, request, head, now)
        for number in range(STREAM_EVENTS):
            event = events.StreamEventsReceived(
                call.handle, 1, b'', number, number
            )
            relays.handle_stream_events_received(
                self.state, request, event, now
            )
            now = now.plus(gap_ms)
        ended = events.RelayEnded(call.handle, 1)
        relays.handle_stream_ended(self.state, request, ended, now)
        self.mono = now.mono

    def has_verdict(self, new_gap_ms: int, streams: int) -> bool:
        """Return whether the new version is rejected within some streams.

        Both versions wait for the same long and varying time.
        """
        for _ in range(10):
            self.stream(self.old, self.random.randint(200, 5_000), 20)
        for _ in range(streams):
            self.stream(self.old, self.random.randint(200, 5_000), 20)
            self.stream(self.new, self.random.randint(200, 5_000), new_gap_ms)
        move = self.state.moves.get('p')
        assert move is not None
        return self.state.moves.verdict(move) is not None

    # Guards against a version several times slower whose rollout is
    # completed, as long waits hide its speed.
    def test_slow_version_is_found_behind_long_waits(self) -> None:
        self.assertTrue(self.has_verdict(80, 20))

    def test_equal_version_is_not_rejected(self) -> None:
        self.assertFalse(self.has_verdict(20, 100))

    # Guards against a good version that is rejected because its servers have
    # read no prompts yet.
    def test_cold_caches_are_no_fault(self) -> None:
        for _ in range(10):
            self.stream(self.old, 100, 20)
        for _ in range(40):
            self.stream(self.old, 100, 20)
            self.stream(self.new, 400, 20)
        move = self.state.moves.get('p')
        assert move is not None
        self.assertIsNone(self.state.moves.verdict(move))
