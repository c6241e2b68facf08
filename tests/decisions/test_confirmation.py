"""Tests of how confirmations of the configuration are sought."""

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

STRICT = bounds.Bounds(revoke_ms=5_000)
CONFIRM = effects.ConfirmConfiguration()


def node(*peers: str, zone: str = 'z') -> states.State:
    """Make a node that was confirmed at 0, with peers by name."""
    state = samples.state(STRICT)
    state.configured = True
    freshness.confirm(state, 0)
    for name in peers:
        me = state.membership.me
        member = dataclasses.replace(
            me, name=name, peers=f'at-{name}', zone=zone
        )
        state.membership.peers[name] = members.Peer(member)
    return state


def seek(state: states.State, mono: int) -> list[effects.Effect]:
    """Let the time pass."""
    return confirmation.tick(state, samples.instant(mono))


class TestReader(testtools.TestCase):
    """The first node of a group asks the store."""

    def test_asks_a_few_times_a_second(self) -> None:
        state = node('o', 'p')
        self.assertEqual([], seek(state, 300))
        self.assertEqual([CONFIRM], seek(state, 400))
        self.assertEqual([], seek(state, 450))
        freshness.confirm(state, 400)
        self.assertEqual([CONFIRM], seek(state, 800))

    def test_goes_on_asking_a_store_that_is_away(self) -> None:
        state = node()
        asked = [mono for mono in range(0, 2_000, 50) if seek(state, mono)]
        self.assertEqual([400, 800, 1_200, 1_600], asked)

    def test_each_zone_of_a_large_fleet_has_one(self) -> None:
        elsewhere = [f'a{number}' for number in range(40)]
        state = node(*elsewhere, zone='other')
        self.assertEqual([CONFIRM], seek(state, 400))


class TestOthers(testtools.TestCase):
    """The others ask that node first."""

    def asked(self, state: states.State, mono: int) -> list[str]:
        """Tell which peers are asked."""
        return [
            item.address
            for item in seek(state, mono)
            if isinstance(item, effects.SendPeer)
        ]

    def test_ask_the_reader(self) -> None:
        state = node('a', 'p')
        self.assertEqual([], self.asked(state, 450))
        self.assertEqual(['at-a'], self.asked(state, 500))
        self.assertEqual([], self.asked(state, 600))
        self.assertEqual(['at-a'], self.asked(state, 750))

    def test_ask_the_store_where_the_reader_knows_nothing_newer(self) -> None:
        state = node('a')
        self.assertNotIn(CONFIRM, seek(state, 1_150))
        self.assertEqual([CONFIRM], seek(state, 1_200))
        self.assertEqual([], seek(state, 1_500))

    def test_dead_reader_is_followed_by_the_next(self) -> None:
        state = node('a')
        state.membership.peers['a'].member = dataclasses.replace(
            state.membership.peers['a'].member, status=messages.Status.DEAD
        )
        self.assertEqual([CONFIRM], seek(state, 400))


class TestNotSought(testtools.TestCase):
    """Where no key has to end, nobody asks."""

    def test_before_the_first_configuration(self) -> None:
        state = node()
        state.configured = False
        self.assertEqual([], seek(state, 5_000))

    def test_keys_that_outlive_the_store(self) -> None:
        state = samples.state(bounds.Bounds(revoke_ms=0))
        state.configured = True
        self.assertEqual([], seek(state, 5_000))
