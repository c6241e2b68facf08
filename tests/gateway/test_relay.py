"""Tests of the responses to callers on the deployment platform."""

from __future__ import annotations

import asyncio

import testtools

from teaselbridge import clock
from teaselbridge.decisions import effects
from teaselbridge.gateway import asgi
from teaselbridge.gateway import bodies
from teaselbridge.gateway import relay
from teaselbridge.runtime import loop as loops
from teaselbridge.runtime import outlets
from teaselbridge.telemetry import metrics
from teaselbridge.telemetry import timeline
from tests.decisions import samples

PIECES = 1_000


class Piece(bytes):
    """Event that counts how many bytes are copied to append to it."""

    copied = 0

    def __add__(self, other: object) -> Piece:
        joined = Piece(super().__add__(other))  # type: ignore[operator]
        Piece.copied += len(joined)
        return joined


class TestBacklog(testtools.TestCase):
    """What waited for a slow caller is sent in one go."""

    # Guards against an event loop that stands still for seconds, as a backlog
    # is copied once for each of its events.
    def test_backlog_is_joined_once(self) -> None:
        loop = loops.Loop(
            state=samples.state(),
            clock=clock.Clock(),
            meter=metrics.Meter(),
            timeline=timeline.Timeline(node='n', most=100),
        )
        app = relay.IngressApplication(
            loop=loop,
            outlets=outlets.OutputQueues(loop=loop),
            budget=bodies.BodyBudget(),
        )
        sent: list[bytes] = []

        async def send(message: asgi.Message) -> None:
            sent.append(message['body'])

        async def run() -> None:
            queue = outlets.OutputQueue()
            for _ in range(PIECES):
                queue.put_nowait(effects.SendEvents(1, Piece(b'x')))
            queue.put_nowait(effects.SendFinish(1, False))
            call = samples.relayed()
            await app._send_output(call, queue, {}, send)

        Piece.copied = 0
        asyncio.run(run())
        self.assertEqual([b'x' * PIECES], sent)
        self.assertEqual(0, Piece.copied)
