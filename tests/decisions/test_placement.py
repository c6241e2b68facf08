"""Tests of the placement policies."""

from __future__ import annotations

import random

import testtools

from teaselbridge.decisions import placement
from teaselbridge.decisions import servers
from tests.decisions import samples

SLOTS = 8


def view(prefix: int) -> placement.View:
    """Make a view of a request with a prompt."""
    call = samples.call(prefix)
    generator = random.Random(1)
    return placement.View(call, generator, placement.Rotation(), 'z')


def fleet(*inflight: int) -> list[servers.Server]:
    """Make servers with requests in flight."""
    return [
        servers.Server(
            row=samples.row(f'h{number}'),
            version=samples.VERSION,
            slots=SLOTS,
            inflight=count,
        )
        for number, count in enumerate(inflight)
    ]


class TestPrefixAware(testtools.TestCase):
    """Prompts stay at their server until it is nearly full."""

    def _home(self, prefix: int) -> int:
        """Give the place of the prompt's first server."""
        idle = fleet(0, 0, 0, 0)
        return idle.index(placement.prefix_aware(idle, view(prefix)))

    def test_stays_beside_idle_servers(self) -> None:
        home = self._home(7)
        loads = [0, 0, 0, 0]
        loads[home] = SLOTS // 2
        busy = fleet(*loads)
        self.assertIs(busy[home], placement.prefix_aware(busy, view(7)))
        self.assertIsNot(busy[home], placement.rendezvous(busy, view(7)))

    def test_leaves_a_full_server(self) -> None:
        home = self._home(7)
        loads = [0, 0, 0, 0]
        loads[home] = SLOTS
        busy = fleet(*loads)
        self.assertIsNot(busy[home], placement.prefix_aware(busy, view(7)))

    def test_lost_server_moves_its_prompts_alone(self) -> None:
        """Losing one server changes the place of no other's prompts."""
        whole = fleet(0, 0, 0, 0)
        rest = whole[1:]
        for prefix in range(1, 200):
            before = placement.prefix_aware(whole, view(prefix))
            after = placement.prefix_aware(rest, view(prefix))
            if before is not whole[0]:
                self.assertIs(before, after)
