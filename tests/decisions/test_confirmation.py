"""Tests of the queries that confirm the configuration."""

from __future__ import annotations

import dataclasses
import typing

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import confirmation
from teaselbridge.decisions import effects
from teaselbridge.decisions import freshness
from teaselbridge.decisions import members
from teaselbridge.peers import messages
from tests.decisions import samples

if typing.TYPE_CHECKING:
    from teaselbridge.decisions import state as states

REVOKING_BOUNDS = bounds.Bounds(revoke_ms=5_000)
CONFIRM = effects.ConfirmConfiguration()


def node(*peers: str, zone: str = 'z') -> states.State:
    """Return the state of a node that was confirmed at 0 and has peers."""
    state = samples.state(REVOKING_BOUNDS)
    state.configured = True
    freshness.record_confirmation(state, 0)
    for name in peers:
        me = state.membership.me
        member = dataclasses.replace(
            me, name=name, peers=f'at-{name}', zone=zone
        )
        state.membership.peers[name] = members.Peer(member)
    return state


def tick_at(state: states.State, mono: int) -> list[effects.Effect]:
    """Run the tick at a moment."""
    return confirmation.tick(state, samples.instant(mono))


class TestReader(testtools.TestCase):
    """The reader of a group queries the store."""

    def test_asks_a_few_times_a_second(self) -> None:
        state = node('o', 'p')
        self.assertEqual([], tick_at(state, 300))
        self.assertEqual([CONFIRM], tick_at(state, 400))
        self.assertEqual([], tick_at(state, 450))
        freshness.record_confirmation(state, 400)
        self.assertEqual([CONFIRM], tick_at(state, 800))

    def test_keeps_querying_an_unreachable_store(self) -> None:
        state = node()
        queried = [
            mono for mono in range(0, 2_000, 50) if tick_at(state, mono)
        ]
        self.assertEqual([400, 800, 1_200, 1_600], queried)

    def test_each_zone_of_a_large_fleet_has_a_reader(self) -> None:
        peers_in_other_zone = [f'a{number}' for number in range(40)]
        state = node(*peers_in_other_zone, zone='other')
        self.assertEqual([CONFIRM], tick_at(state, 400))


class TestOthers(testtools.TestCase):
    """The other nodes query the reader first."""

    def queried(self, state: states.State, mono: int) -> list[str]:
        """Return the addresses of the peers that are queried."""
        return [
            item.address
            for item in tick_at(state, mono)
            if isinstance(item, effects.SendPeer)
        ]

    def test_ask_the_reader(self) -> None:
        state = node('a', 'p')
        self.assertEqual([], self.queried(state, 450))
        self.assertEqual(['at-a'], self.queried(state, 500))
        self.assertEqual([], self.queried(state, 600))
        self.assertEqual(['at-a'], self.queried(state, 750))

    def test_ask_the_store_without_a_newer_confirmation(self) -> None:
        state = node('a')
        self.assertNotIn(CONFIRM, tick_at(state, 1_150))
        self.assertEqual([CONFIRM], tick_at(state, 1_200))
        self.assertEqual([], tick_at(state, 1_500))

    def test_next_node_replaces_a_dead_reader(self) -> None:
        state = node('a')
        state.membership.peers['a'].member = dataclasses.replace(
            state.membership.peers['a'].member, status=messages.Status.DEAD
        )
        self.assertEqual([CONFIRM], tick_at(state, 400))


class TestNoConfirmationNeeded(testtools.TestCase):
    """No query is sent where keys need no confirmation."""

    def test_before_the_first_configuration(self) -> None:
        state = node()
        state.configured = False
        self.assertEqual([], tick_at(state, 5_000))

    def test_keys_without_a_revocation_limit(self) -> None:
        state = samples.state(bounds.Bounds(revoke_ms=0))
        state.configured = True
        self.assertEqual([], tick_at(state, 5_000))
