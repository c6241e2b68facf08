"""Tests of the active nodes, at 3, 30 and 300 nodes."""

from __future__ import annotations

import collections
import dataclasses

import testtools

from teaselbridge.decisions import active
from teaselbridge.decisions import bounds
from teaselbridge.decisions import confirmation
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import leases
from teaselbridge.decisions import loads
from teaselbridge.decisions import reducer
from teaselbridge.decisions.sharing import rotation
from teaselbridge.decisions import state as states
from teaselbridge.decisions import usage
from teaselbridge.gateway import addresses
from teaselbridge.peers import messages
from teaselbridge.tables import model
from tests.decisions import samples

SIZES = (3, 30, 300)
ZONES = ('a', 'b', 'c', 'd', 'e', 'f')
MAX_MESSAGES_PER_SECOND = 200
MAX_IDLE_MESSAGES_PER_SECOND = 10


def member(number: int, **more: object) -> messages.Member:
    """Return a node; they are spread over the zones in turn."""
    known = messages.Member(
        name=f'n{number}',
        incarnation=1,
        status=messages.Status.ALIVE,
        peers=f'10.0.{number // 250}.{number % 250}:1',
        callers=f'10.0.{number // 250}.{number % 250}:2',
        admin='',
        zone=ZONES[number % len(ZONES)],
        region='r',
    )
    return dataclasses.replace(known, **more)  # type: ignore[arg-type]


def build_state(count: int, me: int = 0) -> states.State:
    """Return the state of a node that knows all others."""
    state = samples.state(bounds.Bounds(duties=('usage',)))
    state.options = dataclasses.replace(state.options, me=member(me))
    state.membership.me = member(me)
    others = tuple(member(number) for number in range(count) if number != me)
    told = messages.SyncSent(gossip=messages.Gossip(members=others))
    event = events.PeerMessageReceived('n1', told)
    reducer.reduce(state, event, samples.instant(0))
    active.tick(state, samples.instant(0))
    return state


def find_idle(count: int) -> int:
    """Return a node that is not active, and no candidate for the duties."""
    state = build_state(count)
    taken = {
        *active.list_names(state),
        *leases.list_candidates(state, leases.DUTIES_LEASE),
    }
    return next(n for n in range(count) if f'n{n}' not in taken)


def find_active(count: int) -> int:
    """Return an active node."""
    names = active.list_names(build_state(count))
    return next(n for n in range(count) if f'n{n}' in names)


class TestChoice(testtools.TestCase):
    """All nodes choose the same few of each zone."""

    def test_small_fleets_are_active_as_a_whole(self) -> None:
        for count in (1, 3, 9, active.MIN_NODES):
            nodes = [member(number) for number in range(count)]
            self.assertEqual(count, len(active.choose_nodes(nodes)))

    def test_each_zone_has_some(self) -> None:
        for count in (30, 300):
            nodes = [member(number) for number in range(count)]
            zones = collections.Counter(
                item.zone for item in active.choose_nodes(nodes)
            )
            self.assertEqual(set(ZONES), set(zones))
            self.assertGreaterEqual(min(zones.values()), active.MIN_ZONE_NODES)

    def test_large_fleets_have_a_fraction(self) -> None:
        for count in (300, 900):
            nodes = [member(number) for number in range(count)]
            wanted = max(
                active.MIN_NODES, count // active.NODES_PER_ACTIVE_NODE
            )
            chosen = len(active.choose_nodes(nodes))
            self.assertLessEqual(chosen, wanted + len(ZONES))

    def test_all_nodes_agree(self) -> None:
        for count in SIZES:
            views = {
                active.list_names(build_state(count, me))
                for me in (0, 1, count - 1)
            }
            self.assertEqual(1, len(views))

    def test_a_loss_is_made_up_for_by_one_node(self) -> None:
        nodes = [member(number) for number in range(300)]
        before = {item.name for item in active.choose_nodes(nodes)}
        lost = min(before)
        rest = [item for item in nodes if item.name != lost]
        after = {item.name for item in active.choose_nodes(rest)}
        self.assertEqual({lost}, before - after)
        self.assertEqual(1, len(after - before))

    def test_loss_of_half_leaves_some_in_each_zone(self) -> None:
        nodes = [member(number) for number in range(300)]
        zones = collections.Counter(
            item.zone
            for number, item in enumerate(active.choose_nodes(nodes))
            if number % 2
        )
        self.assertGreaterEqual(min(zones[zone] for zone in ZONES), 3)

    def test_large_hosts_come_first(self) -> None:
        nodes = [
            member(number, cores=2.2 if number < 18 else 0.5)
            for number in range(195)
        ]
        chosen = {item.name for item in active.choose_nodes(nodes)}
        self.assertEqual(
            set(), {f'n{number}' for number in range(18)} - chosen
        )

    def test_parts_of_a_core_count(self) -> None:
        """Guards against hosts of 0.39 cores before those of 0.52."""
        nodes = [
            member(number, cores=0.52 if number < 60 else 0.39)
            for number in range(120)
        ]
        chosen = active.choose_nodes(nodes)
        self.assertEqual(
            60, sum(item.cores == 0.52 for item in chosen), len(chosen)
        )

    def test_nodes_that_take_no_callers_are_not_chosen(self) -> None:
        state = build_state(300)
        leaving = sorted(active.list_names(state) - {'n0'})[:2]
        for name, more in zip(
            leaving,
            ({'draining': True}, {'status': messages.Status.SUSPECT}),
            strict=True,
        ):
            peer = state.membership.peers[name]
            peer.member = dataclasses.replace(peer.member, **more)
        active.tick(state, samples.instant(active.REFRESH_INTERVAL_MS))
        self.assertEqual(set(), active.list_names(state) & set(leaving))


class TestAddresses(testtools.TestCase):
    """Callers are told of active nodes, of their own zone if possible."""

    def _list(self, state: states.State, zone: str) -> list[addresses.Address]:
        now = samples.instant(0)
        return list(addresses.list_addresses(state, zone, now).addresses)

    def test_large_fleet(self) -> None:
        state = build_state(300)
        listed = self._list(state, 'b')
        self.assertEqual({'b'}, {item.zone for item in listed})
        self.assertEqual(
            set(), {item.node for item in listed} - active.list_names(state)
        )

    def test_zone_without_nodes(self) -> None:
        state = build_state(300)
        zones = {item.zone for item in self._list(state, 'elsewhere')}
        self.assertEqual(set(ZONES), zones)

    def test_small_fleet_lists_all(self) -> None:
        self.assertEqual(9, len(self._list(build_state(9), 'b')))


class TestExchange(testtools.TestCase):
    """Messages a node do not grow with the number of nodes."""

    def _count_updates(self, state: states.State, seconds: int = 4) -> float:
        found = [
            effect
            for now in range(0, seconds * 1_000, 50)
            for effect in self._tick(state, now)
            if isinstance(effect, effects.SendPeer)
            and isinstance(effect.message, messages.Loads)
        ]
        return len(found) / seconds

    def _tick(self, state: states.State, now: int) -> list[effects.Effect]:
        instant = samples.instant(now)
        active.tick(state, instant)
        return loads.tick(state, instant)

    def test_messages_are_bounded(self) -> None:
        for count in (*SIZES, 900):
            state = build_state(count, find_active(count))
            sent = self._count_updates(state)
            self.assertGreater(sent, 0)
            self.assertLessEqual(sent, MAX_MESSAGES_PER_SECOND, count)

    def test_idle_node_sends_no_updates(self) -> None:
        state = build_state(300, find_idle(300))
        self.assertEqual(0, self._count_updates(state))

    def test_idle_node_reports_new_usage_to_the_duty_candidates(self) -> None:
        state = build_state(300, find_idle(300))
        candidates = {
            state.membership.peers[name].member.peers
            for name in leases.list_candidates(state, leases.DUTIES_LEASE)
        }
        self.assertEqual([], self._tick(state, 0))
        usage.count_request(state, 'w', samples.instant(100))
        told = self._tick(state, 1_000)
        self.assertEqual(candidates, {effect.address for effect in told})
        self.assertEqual([], self._tick(state, 2_000))

    # Guards against updates to nodes that only report their usage. Receivers
    # get updates by turns, so that all updates of a period are checked.
    def test_reporting_node_is_not_told_of_loads(self) -> None:
        state = build_state(300, find_active(300))
        sender = member(find_idle(300))
        told = {}
        for takes_part, since in ((False, 0), (True, 1_000)):
            update = messages.Loads(
                node=sender.name,
                incarnation=1,
                wall=0,
                servers=(),
                takes_part=takes_part,
            )
            event = events.PeerMessageReceived(sender.name, update)
            reducer.reduce(state, event, samples.instant(since))
            told[takes_part] = {
                effect.address
                for now in range(since, since + 1_000, 250)
                for effect in self._tick(state, now)
                if isinstance(effect, effects.SendPeer)
            }
        self.assertNotIn(sender.peers, told[False])
        self.assertIn(sender.peers, told[True])

    # Guards against receivers that hear nothing for many intervals, as with
    # a random choice.
    def test_each_receiver_gets_one_update_a_period(self) -> None:
        state = build_state(300, find_active(300))
        self._tick(state, 0)
        counts = collections.Counter(
            effect.address
            for now in range(250, 6_250, 250)
            for effect in self._tick(state, now)
            if isinstance(effect, effects.SendPeer)
        )
        period_ms = rotation.get_period_ms(len(counts))
        self.assertGreater(len(counts), rotation.MAX_UPDATE_PEERS)
        self.assertGreaterEqual(min(counts.values()), 6_000 // period_ms)
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 1)


class TestLimits(testtools.TestCase):
    """Nodes that are not active admit few requests of a workspace."""

    RATE = model.Rate(per_s=10, burst=100)

    def _admit(self, state: states.State, now: int) -> int:
        return sum(
            state.rates.admit(
                samples.relayed(number), self.RATE, samples.instant(now)
            )
            == 0
            for number in range(300)
        )

    def test_idle_nodes_share_a_small_reserve(self) -> None:
        """Even if all requests of a workspace go to idle nodes."""
        state = build_state(300, find_idle(300))
        loads.tick(state, samples.instant(0))
        idle = 300 - active.count_nodes(state)
        self._admit(state, 1_000)
        admitted = sum(
            self._admit(state, now) for now in range(2_000, 602_000, 1_000)
        )
        reserve = loads.IDLE_RATE_FRACTION * self.RATE.per_s * 600
        self.assertLessEqual((admitted - 1) * idle, reserve + idle)

    def test_active_nodes_leave_the_reserve(self) -> None:
        state = build_state(300, find_active(300))
        loads.tick(state, samples.instant(0))
        self._admit(state, 60_000)
        admitted = sum(
            self._admit(state, now) for now in range(61_000, 661_000, 1_000)
        )
        most = (1 - loads.IDLE_RATE_FRACTION) * self.RATE.per_s * 600
        self.assertLessEqual(admitted, most + 10)

    def test_small_fleet_uses_the_whole_rate(self) -> None:
        state = build_state(9)
        loads.tick(state, samples.instant(0))
        self._admit(state, 60_000)
        admitted = sum(
            self._admit(state, now) for now in range(61_000, 661_000, 1_000)
        )
        self.assertGreater(admitted, 0.97 * self.RATE.per_s * 600)

    def test_outage_of_the_store_does_not_empty_the_buckets(self) -> None:
        state = build_state(9)
        loads.tick(state, samples.instant(0))
        self._admit(state, 1_000)
        before = self._admit(state, 11_000)
        self.assertGreater(before, 10)
        state.membership.me = dataclasses.replace(
            state.membership.me, draining=True
        )
        for now in range(11_000, 21_000, 50):
            active.tick(state, samples.instant(now))
            loads.tick(state, samples.instant(now))
        state.membership.me = member(0)
        for now in range(21_000, 21_500, 50):
            active.tick(state, samples.instant(now))
            loads.tick(state, samples.instant(now))
        self.assertGreaterEqual(self._admit(state, 21_500), before)

    def test_retry_allowance_is_divided_among_the_active(self) -> None:
        state = build_state(300)
        route = samples.relayed().route
        count = 0
        while state.budgets.try_spend(route):
            count += 1
        total = count * active.count_nodes(state)
        self.assertLessEqual(total, max(50, active.count_nodes(state)))


class TestIdleNode(testtools.TestCase):
    """A node without callers makes few calls."""

    def test_store_is_queried_only_when_keys_are_about_to_expire(self) -> None:
        state = build_state(300, find_idle(300))
        state.configured = True
        loads.tick(state, samples.instant(0))
        state.freshness.confirmed_at = 0
        asked = [
            now
            for now in range(0, 3_500, 50)
            if effects.ConfirmConfiguration()
            in confirmation.tick(state, samples.instant(now))
        ]
        self.assertEqual([3_300], asked)

    def test_duties_are_held_by_idle_nodes(self) -> None:
        state = build_state(300)
        names = leases.list_candidates(state, leases.DUTIES_LEASE)
        self.assertEqual(set(), set(names) & active.list_names(state))
