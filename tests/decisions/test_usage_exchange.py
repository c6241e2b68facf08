"""Tests of the exchange of usage counts, with a stand-in for the store."""

from __future__ import annotations

import collections
import dataclasses
import typing

import msgspec
import testtools

from teaselbridge.decisions import active
from teaselbridge.decisions import bounds
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import leases
from teaselbridge.decisions import loads
from teaselbridge.decisions import requests
from teaselbridge.decisions import state as states
from teaselbridge.decisions import usage
from teaselbridge.decisions import usage_exchange
from teaselbridge.peers import messages
from tests.decisions import cluster
from tests.decisions import samples

WINDOW_MS = 5_000
FIRST_WINDOW = samples.instant(0).wall // WINDOW_MS
DUE_MS = 10_000
STORE_MS = 5
LEASE = leases.LeaseTimes(
    ttl_ms=3_000, renew_interval_ms=700, margin_ms=1_200, check_interval_ms=700
)
SIZES = (6, 64, 195)


@dataclasses.dataclass(kw_only=True)
class Key:
    """Key of the store.

    :param lease: lease that it expires with, 0 for none.
    """

    value: bytes
    revision: int
    lease: int


class Cluster(cluster.Cluster):
    """Nodes with a store and a platform that takes usage reports.

    Attributes:

    * ``reports``: time and content of the reports, by window.
    """

    def __init__(self, **more: typing.Any) -> None:
        self._keys: dict[str, Key] = {}
        self._lease_ends: dict[int, int] = {}
        self._revision = 0
        self.reports: dict[int, list[tuple[int, dict[str, int]]]] = (
            collections.defaultdict(list)
        )
        super().__init__(duties=(usage.DUTY,), **more)

    def find_holder(self) -> str:
        """Return the node that holds the duties lease."""
        (name,) = [
            node.name
            for node in self.nodes.values()
            if node.is_up
            and leases.held(
                node.state, leases.DUTIES_LEASE, samples.instant(self.now)
            )
        ]
        return name

    def kill(self, names: typing.Iterable[str]) -> None:
        """Kill nodes."""
        for name in names:
            self.nodes[name].is_up = False

    def count(
        self, window: int, names: typing.Iterable[str] = ()
    ) -> collections.Counter[str]:
        """Return the requests that nodes have counted themselves.

        :param names: nodes, none for all.
        """
        total: collections.Counter[str] = collections.Counter()
        for name in names or self.nodes:
            state = self.nodes[name].state
            for item in state.usage.list_counts(
                usage.get_source(state), window
            ):
                if item.window == window:
                    total[item.workspace] += item.count
        return total

    def get_report(self, window: int) -> collections.Counter[str]:
        """Return the content of the report of a window.

        A successor repeats the last report, with the same content.
        """
        (_, counts), *repeated = self.reports[window]
        for _, other in repeated:
            assert other == counts, (window, other, counts)
        return collections.Counter(counts)

    def _build(self, me: messages.Member) -> states.State:
        state = super()._build(me)
        state.options = dataclasses.replace(state.options, lease=LEASE)
        return state

    def _perform(self, node: cluster.Node, effect: effects.Effect) -> None:
        answer = self._call_store(effect)
        if answer is not None:
            self._post_later(node, STORE_MS, answer)
        elif isinstance(effect, effects.ReportUsage):
            content = {item.workspace: item.count for item in effect.counts}
            self.reports[effect.window].append((self.now, content))
            accepted = events.UsageReportAnswered(effect.window, True)
            self._post_later(node, STORE_MS, accepted)
        else:
            super()._perform(node, effect)

    def _call_store(self, effect: effects.Effect) -> events.Event | None:
        match effect:
            case effects.ReadKey():
                key = self._get_key(effect.key)
                if key is None:
                    return events.KeyRead(effect.ticket, None, 0)
                return events.KeyRead(effect.ticket, key.value, key.revision)
            case effects.SwapKey():
                key = self._get_key(effect.key)
                if effect.revision != (0 if key is None else key.revision):
                    return events.KeySwapped(effect.ticket, False, 0)
                self._revision += 1
                self._keys[effect.key] = Key(
                    value=effect.value,
                    revision=self._revision,
                    lease=effect.lease,
                )
                return events.KeySwapped(effect.ticket, True, self._revision)
            case effects.GrantLease():
                number = len(self._lease_ends) + 1
                self._lease_ends[number] = self.now + LEASE.ttl_ms
                return events.LeaseGranted(effect.ticket, number)
            case effects.RenewLease():
                is_valid = self._lease_ends[effect.number] > self.now
                if is_valid:
                    self._lease_ends[effect.number] = self.now + LEASE.ttl_ms
                return events.LeaseRenewed(effect.ticket, is_valid)
            case effects.RevokeLease():
                self._lease_ends[effect.number] = self.now
        return None

    def _get_key(self, name: str) -> Key | None:
        key = self._keys.get(name)
        if key is None or (
            key.lease and self._lease_ends[key.lease] <= self.now
        ):
            return None
        return key


def build(nodes: int, **more: typing.Any) -> Cluster:
    """Return a cluster with plenty of servers."""
    servers = [cluster.Server(host=f's{number}') for number in range(4)]
    return Cluster(nodes=nodes, servers=servers, **more)


class TestReports(testtools.TestCase):
    """Reports are exact, but for the last moment of a killed host."""

    def _check(self, model: Cluster, windows: typing.Iterable[int]) -> None:
        for window in windows:
            with self.subTest(window=window):
                self.assertEqual(model.count(window), model.get_report(window))
                at, _ = model.reports[window][0]
                end = (window + 1 - FIRST_WINDOW) * WINDOW_MS
                self.assertLessEqual(at, end + DUE_MS)

    def test_counts_under_load(self) -> None:
        """Guards against counts that have not reached the holder in time."""
        for nodes in SIZES:
            model = build(nodes)
            model.run(18_500, per_s=200)
            self._check(model, range(FIRST_WINDOW + 1, FIRST_WINDOW + 3))
            ((at, _),) = model.reports[FIRST_WINDOW + 2]
            self.assertLessEqual(at, 15_000 + usage.SETTLE_DELAY_MS + 200)

    def test_lost_messages(self) -> None:
        """Guards against a lost message that is never repeated."""
        model = build(24, loss=0.2)
        model.run(29_000, per_s=200)
        self._check(model, range(FIRST_WINDOW + 1, FIRST_WINDOW + 4))

    def test_holder_and_others_killed_at_the_end_of_a_window(self) -> None:
        """Guards against a successor that lacks the counts of lost hosts."""
        for nodes in SIZES:
            model = build(nodes)
            window = FIRST_WINDOW + 2
            model.run(14_990 - usage_exchange.MAX_INTERVAL_MS, per_s=200)
            holder = model.find_holder()
            others = [name for name in model.nodes if name != holder]
            killed = [holder, *others[:: max(3, nodes // 8)]]
            before = model.count(window, killed)
            model.run(14_990, per_s=200)
            unsent = model.count(window, killed) - before
            model.kill(killed)
            model.run(28_500, per_s=200)
            self.assertNotEqual(holder, model.find_holder())
            missing = model.count(window) - model.get_report(window)
            self.assertEqual(collections.Counter(), missing - unsent)
            self.assertEqual(
                collections.Counter(),
                model.get_report(window) - model.count(window),
            )
            self._check(model, [window + 1])
            ((at, _),) = model.reports[window]
            self.assertLessEqual(at, 15_000 + DUE_MS)

    def test_half_of_the_hosts_killed(self) -> None:
        """Guards against counts that only the lost hosts had."""
        model = build(64)
        window = FIRST_WINDOW + 2
        model.run(13_800, per_s=200)
        holder = model.find_holder()
        killed = [holder, *[name for name in model.nodes if name != holder]]
        killed = killed[:32]
        before = model.count(window, killed)
        model.run(14_800, per_s=200)
        unsent = model.count(window, killed) - before
        model.kill(killed)
        model.run(34_000, per_s=200)
        missing = model.count(window) - model.get_report(window)
        self.assertEqual(collections.Counter(), missing - unsent)
        self._check(model, range(window + 1, window + 3))

    def test_hosts_that_stop_gracefully(self) -> None:
        """Guards against counts that end with a process."""
        model = build(24)
        model.run(12_000, per_s=200)
        holder = model.find_holder()
        others = [name for name in model.nodes if name != holder]
        stopping = [holder, *others[:5]]
        model.post(stopping, events.DrainRequested(by=14_950))
        model.run(24_500, per_s=200)
        running = [node.name for node in model.nodes.values() if node.is_up]
        self.assertEqual(set(), set(running) & set(stopping))
        self._check(model, range(FIRST_WINDOW + 1, FIRST_WINDOW + 4))

    def test_killed_host_that_restarts_at_once(self) -> None:
        """Guards against counts of the earlier run that are left out."""
        model = build(6)
        window = FIRST_WINDOW + 2
        model.run(13_000, per_s=200)
        holder = model.find_holder()
        name = min(name for name in model.nodes if name != holder)
        model.run(14_000, per_s=200)
        earlier = model.nodes[name].state
        before = model.count(window, [name])
        model.restart(name)
        model.run(24_000, per_s=200)
        expected = model.count(window) + before
        missing = expected - model.get_report(window)
        self.assertEqual(
            collections.Counter(), model.get_report(window) - expected
        )
        self.assertLessEqual(missing.total(), 20)
        self.assertIsNot(earlier, model.nodes[name].state)

    def test_host_that_is_cut_off(self) -> None:
        """Guards against a report that waits beyond the time it is due."""
        model = build(6)
        model.run(9_000, per_s=100)
        holder = model.find_holder()
        others = [name for name in model.nodes if name != holder]
        model.can_reach = lambda source, target: (
            not ({source, target} == {holder, others[0]})
        )
        model.run(34_000, per_s=100)
        for window in range(FIRST_WINDOW + 2, FIRST_WINDOW + 5):
            ((at, _),) = model.reports[window]
            end = (window + 1 - FIRST_WINDOW) * WINDOW_MS
            self.assertLessEqual(
                at, end + usage.MAX_SETTLE_DELAY_MS + 200, window
            )


class TestMessages(testtools.TestCase):
    """Messages are small, and sent only if there is something new."""

    def setUp(self) -> None:
        super().setUp()
        self.model = build(64)
        names = leases.list_candidates(
            self._find('n0'), leases.DUTIES_LEASE, usage_exchange.RECEIVERS
        )
        self.receivers = {f'peers-{name}' for name in names}
        self.name = next(
            name for name in self.model.nodes if name not in names
        )
        self.state = self._find(self.name)
        self.tick(0)

    def _find(self, name: str) -> states.State:
        state = self.model.nodes[name].state
        active.tick(state, samples.instant(0))
        return state

    def tick(self, mono: int) -> list[effects.SendPeer]:
        """Return the messages that the node sends."""
        out = usage_exchange.tick(self.state, samples.instant(mono))
        return [item for item in out if isinstance(item, effects.SendPeer)]

    def _get_source(self, effect: effects.SendPeer) -> messages.UsageSource:
        assert isinstance(effect.message, messages.UsageCounts)
        return effect.message.sources[0]

    def test_changes_go_to_the_candidates_and_their_successors(self) -> None:
        usage.count_request(self.state, 'w', samples.instant(600))
        told = self.tick(600)
        self.assertEqual(self.receivers, {item.address for item in told})
        self.assertEqual([], self.tick(1_200))
        usage.count_request(self.state, 'x', samples.instant(1_300))
        counts = self._get_source(self.tick(1_800)[0]).usage
        self.assertEqual(['x'], [item.workspace for item in counts])

    def test_final_counts_are_repeated(self) -> None:
        usage.count_request(self.state, 'w', samples.instant(600))
        self.tick(600)
        found = self._get_source(self.tick(5_300)[0])
        self.assertEqual(
            (FIRST_WINDOW, FIRST_WINDOW + 1), (found.since, found.settled)
        )
        self.assertEqual(
            (messages.Usage(window=FIRST_WINDOW, workspace='w', count=1),),
            found.usage,
        )

    def test_unanswered_request_keeps_its_window_open(self) -> None:
        """Guards against a final count before the last one is counted."""
        call = samples.relayed(1, streaming=False)
        request = requests.Request(call=call, now=samples.instant(4_000))
        request.started_at = 4_900
        self.state.requests[1] = request
        for number in (5_600, 9_000):
            found = usage_exchange.find_settled_window(
                self.state, samples.instant(number)
            )
            self.assertEqual(FIRST_WINDOW, found)
        request.began = True
        self.assertEqual(
            FIRST_WINDOW + 1,
            usage_exchange.find_settled_window(
                self.state, samples.instant(9_000)
            ),
        )

    def test_draining_node_sends_at_once(self) -> None:
        """Guards against counts that end with the process."""
        stop = events.DrainRequested(by=60_000)
        self.model.post([self.name], stop)
        usage.count_request(self.state, 'w', samples.instant(10))
        self.assertEqual(
            self.receivers, {item.address for item in self.tick(50)}
        )

    def test_asker_gets_all_counts_and_later_ones(self) -> None:
        usage.count_request(self.state, 'w', samples.instant(600))
        self.tick(600)
        other = next(
            f'peers-{name}'
            for name in self.model.nodes
            if name != self.name and f'peers-{name}' not in self.receivers
        )
        asked = messages.UsageAsked(
            node=other.removeprefix('peers-'), reply_to=other
        )
        (answer,) = usage_exchange.handle_usage_asked(
            self.state, asked, samples.instant(700)
        )
        assert isinstance(answer, effects.SendPeer)
        self.assertEqual(other, answer.address)
        self.assertEqual(1, len(self._get_source(answer).usage))
        usage.count_request(self.state, 'w', samples.instant(1_200))
        told = self.tick(1_200)
        self.assertIn(other, {item.address for item in told})

    def test_message_is_small(self) -> None:
        for number in range(16):
            usage.count_request(self.state, f'w{number}', samples.instant(600))
        encoded = msgspec.msgpack.encode(self.tick(600)[0].message)
        self.assertLess(len(encoded), 1_000)


class TestOlderBuild(testtools.TestCase):
    """Nodes of an older build get the counts in load updates."""

    def test_message_without_the_new_fields(self) -> None:
        member = dataclasses.asdict(
            cluster.Cluster(nodes=1, servers=[]).members[0]
        )
        del member['takes_usage_counts']
        found = msgspec.msgpack.decode(
            msgspec.msgpack.encode(member), type=messages.Member
        )
        self.assertFalse(found.takes_usage_counts)

    def test_counts_go_into_load_updates(self) -> None:
        """Guards against a holder of an older build without counts."""
        for is_new in (False, True):
            model = build(6)
            for node in model.nodes.values():
                for peer in node.state.membership.peers.values():
                    peer.member = dataclasses.replace(
                        peer.member, takes_usage_counts=is_new
                    )
            state = model.nodes['n0'].state
            usage.count_request(state, 'w', samples.instant(100))
            found = [
                effect.message
                for mono in range(100, 3_000, 50)
                for effect in loads.tick(state, samples.instant(mono))
                if isinstance(effect, effects.SendPeer)
                and isinstance(effect.message, messages.Loads)
            ]
            self.assertIs(not is_new, any(item.usage for item in found))
            told = usage_exchange.tick(state, samples.instant(3_000))
            self.assertIs(is_new, bool(told))

    def test_holder_does_not_wait_for_them(self) -> None:
        state = samples.state(bounds.Bounds(duties=(usage.DUTY,)))
        self.assertEqual([], usage.list_missing(state, 200))
