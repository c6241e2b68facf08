"""Tests of the addresses that callers are told, with hosts of unequal size."""

from __future__ import annotations

import collections
import dataclasses
import typing

import msgspec
import testtools

from teaselbridge.decisions import active
from teaselbridge.decisions import bounds
from teaselbridge.decisions import carrying
from teaselbridge.decisions import events
from teaselbridge.decisions import reducer
from teaselbridge.decisions import state as states
from teaselbridge.gateway import addresses
from teaselbridge.peers import messages
from tests.decisions import cluster
from tests.decisions import samples

ZONES = ('a', 'b', 'c', 'd')
# Processor cores of the hosts of two fleets, and the requests per second that
# all of their callers send.
FLEETS: dict[str, tuple[list[float], float]] = {
    'short of room': ([2.15] * 8 + [0.52] * 55, 299),
    'uneven': ([2.15] * 8 + [1.29] * 18 + [0.39] * 50, 241),
}
CALLERS = 200


def build_members(cores: typing.Iterable[float]) -> list[messages.Member]:
    """Return nodes with some numbers of cores, spread over the zones."""
    return [
        dataclasses.replace(cluster.build_member(number), cores=item)
        for number, item in enumerate(cores)
    ]


def build_state(
    members: list[messages.Member], number: int = 0
) -> states.State:
    """Return the state of one of the nodes, which knows the others."""
    me = members[number]
    state = samples.state(bounds.Bounds())
    state.options = dataclasses.replace(state.options, me=me)
    state.membership.me = me
    others = tuple(item for item in members if item is not me)
    told = messages.SyncSent(gossip=messages.Gossip(members=others))
    event = events.PeerMessageReceived('n1', told)
    reducer.reduce(state, event, samples.instant(0))
    active.tick(state, samples.instant(0))
    return state


def report_load(state: states.State, name: str, per_s: float) -> None:
    """Let a node report the requests that arrive at it."""
    update = messages.Loads(
        node=name,
        incarnation=1,
        wall=samples.instant(0).wall,
        servers=(),
        arrivals_per_s=per_s,
    )
    event = events.PeerMessageReceived(name, update)
    reducer.reduce(state, event, samples.instant(0))


def list_names(
    state: states.State, zone: str, mono: int, caller: str
) -> set[str]:
    """Return the nodes that a caller is told."""
    found = addresses.list_addresses(
        state, zone, samples.instant(mono), caller
    )
    return {item.node for item in found.addresses}


def compute_rates(state: states.State, per_s: float) -> dict[str, float]:
    """Return the requests per second at each node.

    Each caller picks one of its addresses at random for each request.
    """
    rates: dict[str, float] = collections.defaultdict(float)
    for zone in ZONES:
        for number in range(CALLERS):
            names = list_names(state, zone, 0, f'10.0.0.{number}')
            for name in names:
                rates[name] += per_s / len(ZONES) / CALLERS / len(names)
    return rates


class TestShares(testtools.TestCase):
    """Hosts get callers in proportion to what they can carry."""

    def test_shares_follow_cores(self) -> None:
        """Guards against small hosts with as many callers as large ones."""
        for name, (cores, per_s) in FLEETS.items():
            members = build_members(cores)
            rates = compute_rates(build_state(members), per_s)
            by_size = collections.defaultdict(list)
            for member in members:
                by_size[member.cores].append(rates[member.name])
            means = {
                size: sum(found) / len(found)
                for size, found in by_size.items()
            }
            small = min(means)
            for size, mean in means.items():
                wanted = (size - carrying.IDLE_CORES) / (
                    small - carrying.IDLE_CORES
                )
                found = mean / means[small]
                self.assertBetween(0.7 * wanted, found, 1.35 * wanted, name)

    def test_no_host_gets_more_than_it_can_carry(self) -> None:
        for name, (cores, per_s) in FLEETS.items():
            members = build_members(cores)
            rates = compute_rates(build_state(members), per_s)
            for member in members:
                capacity = carrying.compute_capacity(member)
                self.assertLess(rates[member.name], 0.5 * capacity, name)

    def test_equal_hosts_are_all_listed(self) -> None:
        for cores in (0.0, 0.52, 2.15):
            state = build_state(build_members([cores] * 63))
            self.assertLen(16, list_names(state, 'a', 0, '10.0.0.1'))

    def test_small_fleet_is_listed_as_a_whole(self) -> None:
        state = build_state(build_members([2.15] + [0.52] * 8))
        self.assertLen(9, list_names(state, 'a', 0, '10.0.0.1'))

    def test_hosts_of_unknown_size_are_listed(self) -> None:
        """Guards against nodes of an older build that get no callers."""
        members = build_members([2.15] * 8 + [0.52] * 40 + [0.0] * 15)
        state = build_state(members)
        for number in range(20):
            found = list_names(state, 'a', 0, f'10.0.0.{number}')
            unknown = {
                item.name
                for item in members
                if item.zone == 'a' and not item.cores
            }
            self.assertLessEqual(unknown, found)

    def test_busy_host_is_listed_for_fewer_callers(self) -> None:
        cores, per_s = FLEETS['short of room']
        state = build_state(build_members(cores))
        before = compute_rates(state, per_s)
        report_load(state, 'n20', 45)
        report_load(state, 'n24', 5)
        after = compute_rates(state, per_s)
        self.assertLess(after['n20'], 0.5 * before['n20'])
        self.assertGreaterEqual(after['n24'], before['n24'])
        self.assertGreater(after['n20'], 0)

    def assertLen(self, count: int, found: set[str]) -> None:  # noqa: N802
        """Assert the size of a set."""
        self.assertEqual(count, len(found), found)

    def assertBetween(  # noqa: N802
        self, least: float, found: float, most: float, text: str
    ) -> None:
        """Assert that a value is within bounds."""
        self.assertLessEqual(least, found, text)
        self.assertLessEqual(found, most, text)


class TestStability(testtools.TestCase):
    """A caller's list seldom changes, whichever node it asks."""

    def setUp(self) -> None:
        super().setUp()
        cores, _ = FLEETS['short of room']
        self.members = build_members(cores)
        self.state = build_state(self.members)

    def test_list_hardly_changes(self) -> None:
        """Guards against connections that are abandoned without need."""
        dropped = 0
        for number in range(10):
            lists = [
                list_names(self.state, 'a', mono, f'10.0.0.{number}')
                for mono in range(0, 120_000, 2_000)
            ]
            dropped += sum(
                len(before - after)
                for before, after in zip(lists, lists[1:], strict=False)
            )
        self.assertLessEqual(dropped / 10 / 59, 0.1)

    def test_all_nodes_give_the_same_list(self) -> None:
        views = {
            frozenset(
                list_names(
                    build_state(self.members, number), 'a', 0, '10.0.0.1'
                )
            )
            for number in (0, 1, 30, 62)
        }
        self.assertEqual(1, len(views))

    def test_callers_with_a_shared_address(self) -> None:
        """Guards against the same few small nodes for all callers."""
        listed = collections.Counter(
            name
            for mono in range(0, 2_000, 20)
            for name in list_names(self.state, 'a', mono, '127.0.0.1')
        )
        names = {item.name for item in self.members if item.zone == 'a'}
        self.assertEqual(names, set(listed))
        again = list_names(self.state, 'a', 2_300, '127.0.0.1')
        self.assertEqual(list_names(self.state, 'a', 300, '127.0.0.1'), again)


class TestFailures(testtools.TestCase):
    """Lists without some of the nodes, or without their load."""

    def setUp(self) -> None:
        super().setUp()
        cores, _ = FLEETS['short of room']
        self.members = build_members(cores)
        self.state = build_state(self.members)

    def _kill(self, names: typing.Iterable[str]) -> None:
        for name in names:
            peer = self.state.membership.peers[name]
            peer.member = dataclasses.replace(
                peer.member, status=messages.Status.SUSPECT
            )

    def test_half_of_the_hosts_are_lost(self) -> None:
        """Guards against a list of lost hosts, or of too few others."""
        lost = {f'n{number}' for number in range(1, 63, 2)}
        lost |= {f'n{number}' for number in range(2, 8)}
        self._kill(lost)
        for zone in ZONES:
            for number in range(50):
                found = list_names(self.state, zone, 0, f'10.0.0.{number}')
                self.assertEqual(set(), found & lost)
                self.assertGreaterEqual(len(found), addresses.MIN_LISTED)

    def test_loss_of_a_host_moves_nothing_else(self) -> None:
        before = list_names(self.state, 'a', 0, '10.0.0.1')
        lost = max(before)
        self._kill([lost])
        after = list_names(self.state, 'a', 0, '10.0.0.1')
        self.assertEqual({lost}, before - after)

    def test_load_that_is_reported_late_does_not_count(self) -> None:
        before = list_names(self.state, 'a', 2_000, '10.0.0.1')
        for member in self.members[1:]:
            report_load(self.state, member.name, 45)
        self.assertEqual(
            before, list_names(self.state, 'a', 2_000, '10.0.0.1')
        )

    def test_update_of_an_older_build_reports_no_load(self) -> None:
        update = messages.Loads(
            node='n1', incarnation=1, wall=0, servers=(), arrivals_per_s=9
        )
        older = dataclasses.asdict(update)
        del older['arrivals_per_s']
        found = msgspec.msgpack.decode(
            msgspec.msgpack.encode(older), type=messages.Loads
        )
        event = events.PeerMessageReceived('n1', found)
        reducer.reduce(self.state, event, samples.instant(0))
        self.assertIsNone(
            carrying.get_load(self.state, 'n1', samples.instant(0))
        )
