"""Tests of the placement policies."""

from __future__ import annotations

import random

import testtools

from teaselbridge.decisions import placement
from teaselbridge.decisions import servers
from tests.decisions import samples

SLOTS = 8


def make_view(prefix: int) -> placement.PolicyInput:
    """Return the view of a request with a prompt."""
    call = samples.call(prefix)
    generator = random.Random(1)
    return placement.PolicyInput(call, generator, placement.Rotation(), 'z')


def make_servers(*inflight: int) -> list[servers.Server]:
    """Return servers with the given numbers of requests in flight."""
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
    """Prompts stay on their preferred server until it is nearly full."""

    def _preferred_index(self, prefix: int) -> int:
        """Return the index of the preferred server of a prompt."""
        idle = make_servers(0, 0, 0, 0)
        return idle.index(placement.prefix_aware(idle, make_view(prefix)))

    def test_stays_although_other_servers_are_idle(self) -> None:
        preferred = self._preferred_index(7)
        loads = [0, 0, 0, 0]
        loads[preferred] = SLOTS // 2
        busy = make_servers(*loads)
        self.assertIs(
            busy[preferred], placement.prefix_aware(busy, make_view(7))
        )
        self.assertIsNot(
            busy[preferred], placement.rendezvous(busy, make_view(7))
        )

    def test_leaves_a_full_server(self) -> None:
        preferred = self._preferred_index(7)
        loads = [0, 0, 0, 0]
        loads[preferred] = SLOTS
        busy = make_servers(*loads)
        self.assertIsNot(
            busy[preferred], placement.prefix_aware(busy, make_view(7))
        )

    def test_losing_a_server_moves_only_its_prompts(self) -> None:
        """Losing one server does not move the prompts of the others."""
        whole = make_servers(0, 0, 0, 0)
        rest = whole[1:]
        for prefix in range(1, 200):
            before = placement.prefix_aware(whole, make_view(prefix))
            after = placement.prefix_aware(rest, make_view(prefix))
            if before is not whole[0]:
                self.assertIs(before, after)
