"""Tests of the queries that confirm the configuration."""

from __future__ import annotations

import dataclasses
import typing

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import confirmation
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import freshness
from teaselbridge.decisions import members
from teaselbridge.decisions import reducer
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
    state.loads.is_participant = True
    freshness.record_confirmation(state, 0)
    for name in peers:
        me = state.membership.me
        member = dataclasses.replace(
            me, name=name, peers=f'at-{name}', zone=zone
        )
        state.membership.peers[name] = members.Peer(member)
    return state


def tick_at(state: states.State, mono: int) -> list[effects.Effect]:
    """Run the tick at a moment; see `TestWatch` for when it watches."""
    return [
        effect
        for effect in confirmation.tick(state, samples.instant(mono))
        if not isinstance(effect, effects.WatchStore)
    ]


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

    def test_a_large_fleet_has_one_reader(self) -> None:
        peers = [f'p{number}' for number in range(100, 140)]
        state = node(*peers, zone='other')
        self.assertEqual([CONFIRM], tick_at(state, 400))
        state = node('a', *peers)
        self.assertNotIn(CONFIRM, tick_at(state, 1_150))

    def test_a_large_host_is_the_reader(self) -> None:
        state = node('o')
        peer = state.membership.peers['o']
        peer.member = dataclasses.replace(peer.member, cores=2.2)
        self.assertNotIn(CONFIRM, tick_at(state, 1_150))


class TestOthers(testtools.TestCase):
    """The other nodes query the reader first."""

    def queried(self, state: states.State, mono: int) -> list[str]:
        """Return the addresses of the peers that are queried."""
        return [
            item.address
            for item in tick_at(state, mono)
            if isinstance(item, effects.AskChanges)
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
        self.assertIn(CONFIRM, tick_at(state, 1_200))
        self.assertNotIn(CONFIRM, tick_at(state, 1_500))

    def test_next_node_replaces_a_dead_reader(self) -> None:
        state = node('a')
        state.membership.peers['a'].member = dataclasses.replace(
            state.membership.peers['a'].member, status=messages.Status.DEAD
        )
        self.assertEqual([CONFIRM], tick_at(state, 400))


class TestWatch(testtools.TestCase):
    """Readers watch the store, others only without a recent confirmation."""

    def watches(self, state: states.State, mono: int) -> list[bool]:
        """Return whether it starts or stops to watch."""
        return [
            effect.on
            for effect in confirmation.tick(state, samples.instant(mono))
            if isinstance(effect, effects.WatchStore)
        ]

    def test_reader_watches(self) -> None:
        state = node('o', 'p')
        for mono in (0, 100, 5_000):
            self.assertEqual([], self.watches(state, mono))
        self.assertTrue(state.store_view.is_watched)

    def test_others_stop_until_the_reader_falls_silent(self) -> None:
        state = node('a')
        self.assertEqual([False], self.watches(state, 100))
        self.assertEqual([], self.watches(state, 1_150))
        self.assertEqual([True], self.watches(state, 1_200))
        freshness.record_confirmation(state, 1_200)
        self.assertEqual([False], self.watches(state, 1_250))

    def test_node_without_callers_relies_on_the_reader_for_longer(
        self,
    ) -> None:
        state = node('a')
        state.loads.is_participant = False
        self.assertEqual([False], self.watches(state, 1_200))
        self.assertEqual([True], self.watches(state, 3_300))


class TestChanges(testtools.TestCase):
    """What a reader sends confirms the same configuration."""

    def send(self, state: states.State, **more: object) -> list[str]:
        """Let the reader answer at 900; return the names of the effects."""
        message = messages.ChangesSent(
            **{
                'era': 0,
                'revision': 9,
                'since': 5,
                'entries': (),
                'asked_at': 800,
                'confirmed_ms': 300,
                'generation': 0,
                **more,
            }  # type: ignore[arg-type]
        )
        event = events.PeerMessageReceived('a', message)
        found = reducer.reduce(state, event, samples.instant(900))
        return [type(effect).__name__ for effect in found]

    def test_confirmation_has_the_age_of_the_readers(self) -> None:
        state = node('a')
        self.assertEqual(['ApplyChanges'], self.send(state))
        self.assertEqual(500, state.freshness.confirmed_at)

    def test_newer_configuration_is_asked_for(self) -> None:
        state = node('a')
        found = self.send(state, generation=3)
        self.assertEqual(['SendPeer', 'ApplyChanges'], found)
        self.assertEqual(0, state.freshness.confirmed_at)

    def test_impossible_ages_confirm_nothing(self) -> None:
        for more in ({'confirmed_ms': -1}, {'asked_at': 10**9}):
            state = node('a')
            self.send(state, **more)
            self.assertEqual(0, state.freshness.confirmed_at)


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


class TestAgeOfChanges(testtools.TestCase):
    """A node asks the reader for changes whatever confirms its keys."""

    # Guards against a removed server that a node goes on using, as answers to
    # probes confirm its keys and it asks for no changes.
    def test_asks_while_keys_are_confirmed_by_probes(self) -> None:
        state = node('a')
        asked = []
        for mono in range(0, 3_000, 50):
            freshness.record_confirmation(state, mono)
            if any(
                isinstance(effect, effects.AskChanges)
                for effect in tick_at(state, mono)
            ):
                asked.append(mono)
                message = messages.ChangesSent(
                    era=1,
                    revision=1,
                    since=1,
                    entries=(),
                    asked_at=mono,
                    confirmed_ms=0,
                    generation=state.index.generation,
                )
                now = samples.instant(mono)
                confirmation.handle_changes_sent(state, message, 'a', now)
        self.assertGreaterEqual(len(asked), 5)
