"""Tests of the rate of requests to cold servers, over many nodes."""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.decisions import events
from teaselbridge.tables import join
from teaselbridge.tables import model as tables
from tests.decisions import cluster
from tests.decisions import samples

PER_S = 6.6
# Requests that a cold server tolerates in any one second.
TOLERATED = 1.5 * PER_S + 5
COLD_AT = 2_000
COLD_MS = 6_000


def build_configuration(per_s: float) -> tables.Configuration:
    """Return tables with a pool whose cold servers tolerate some requests."""
    pool = tables.Pool(
        name='p',
        kind=tables.Kind.RELAYED,
        versions=(),
        zones=(),
        cold_per_s=per_s,
    )
    return tables.Configuration(tables=tables.Tables(pools=(pool,)))


def build_row(host: str, cold_ms: int) -> events.HostRow:
    """Return the entry of a server."""
    row = samples.row(host)
    values = {name: getattr(row, name) for name in row.__struct_fields__}
    return events.HostRow(**{**values, 'cold_ms': cold_ms})


class TestColdServers(testtools.TestCase):
    """All nodes together keep to what cold servers tolerate."""

    def _build(
        self, nodes: int, servers: int, per_s: float = PER_S
    ) -> cluster.Cluster:
        model = cluster.Cluster(
            nodes=nodes,
            servers=[
                cluster.Server(host=f's{number}') for number in range(servers)
            ],
        )
        index = join.Index(configuration=build_configuration(per_s))
        for node in model.nodes.values():
            node.state.index = index
        return model

    def _chill(self, model: cluster.Cluster, hosts: list[str]) -> None:
        """Post that some servers are cold to all nodes."""
        rows = {host: build_row(host, COLD_MS) for host in hosts}
        model.post(list(model.nodes), events.ServersChanged(rows=rows))

    def _count(
        self, model: cluster.Cluster, host: str, since: int, until: int
    ) -> int:
        times = [at for at, _ in model.servers[host].arrivals]
        return sum(since <= at < until for at in times)

    def _check(self, nodes: int, per_s: float) -> None:
        model = self._build(nodes, 4)
        model.run(COLD_AT, per_s)
        rows = {host: build_row(host, 0) for host in model.servers}
        model.post(list(model.nodes), events.ServersChanged(rows=rows))
        self._chill(model, ['s0'])
        model.run(COLD_AT + COLD_MS, per_s)
        cold = model.servers['s0']
        # Requests that were on their way as it turned cold.
        since = COLD_AT + cluster.LINK_MS + cluster.STEP_MS
        most = max(
            self._count(model, 's0', at, at + 1_000)
            for at in range(since, COLD_AT + COLD_MS - 1_000, 50)
        )
        self.assertLessEqual(most, TOLERATED)
        self.assertGreater(
            self._count(model, 's0', since, since + COLD_MS), 0, cold
        )

    # Guards against a server that crashes since each node sends it a part of
    # a burst as it comes back empty.
    def test_six_nodes_keep_to_the_rate(self) -> None:
        self._check(6, 200)

    def test_63_nodes_keep_to_the_rate(self) -> None:
        self._check(63, 300)

    # Guards against a server that stays limited after it has warmed up.
    def test_warm_server_takes_any_rate(self) -> None:
        model = self._build(6, 1)
        model.run(COLD_AT, 100)
        model.post(
            list(model.nodes),
            events.ServersChanged(rows={'s0': build_row('s0', 0)}),
        )
        self._chill(model, ['s0'])
        until = COLD_AT + COLD_MS + 1_000
        model.run(until, 100)
        model.run(until + 1_000, 100)
        arrived = self._count(model, 's0', until, until + 1_000)
        self.assertGreater(arrived, TOLERATED)

    # Guards against a change for pools whose cold servers bear any rate.
    def test_pool_without_a_rate_is_not_limited(self) -> None:
        model = self._build(6, 1, per_s=0.0)
        model.post(
            list(model.nodes),
            events.ServersChanged(rows={'s0': build_row('s0', COLD_MS)}),
        )
        for node in model.nodes.values():
            self.assertTrue(node.state.limits.is_empty)

    # Guards against nodes that share the rate with one that is gone, and
    # against a rate that is passed as its part is given away.
    def test_lost_sender(self) -> None:
        model = self._build(6, 2)
        model.run(COLD_AT, 200)
        self._chill(model, ['s0'])
        model.run(COLD_AT + 1_500, 200)
        senders = [name for at, name in model.servers['s0'].arrivals]
        model.nodes[senders[-1]].is_up = False
        model.run(COLD_AT + COLD_MS, 200)
        since = COLD_AT + cluster.LINK_MS + cluster.STEP_MS
        most = max(
            self._count(model, 's0', at, at + 1_000)
            for at in range(since, COLD_AT + COLD_MS - 1_000, 50)
        )
        self.assertLessEqual(most, TOLERATED)


class TestEntries(testtools.TestCase):
    """Entries say whether a server is cold, at any time of its life."""

    def setUp(self) -> None:
        super().setUp()
        self.model = cluster.Cluster(
            nodes=1, servers=[cluster.Server(host='s0')]
        )
        (self.node,) = self.model.nodes.values()
        self.node.state.index = join.Index(
            configuration=build_configuration(PER_S)
        )

    def _post(self, cold_ms: int) -> None:
        rows = {'s0': build_row('s0', cold_ms)}
        self.model.post(['n0'], events.ServersChanged(rows=rows))

    # Guards against a server that is known being taken for warm for ever.
    def test_known_server_turns_cold(self) -> None:
        self._post(0)
        self.assertEqual({}, self.node.state.limits.cold_rates)
        self._post(3_000)
        self.assertIn('s0', self.node.state.limits.cold_rates)

    def test_server_turns_warm_before_its_time(self) -> None:
        self._post(3_000)
        self._post(0)
        self.assertEqual({}, self.node.state.limits.cold_rates)

    # Guards against a rate stated in answers that a cold rate hides.
    def test_lower_rate_holds(self) -> None:
        self._post(3_000)
        limits = self.node.state.limits
        limits.cold_rates = {'s0': 2.0}
        self.assertEqual(2.0, limits.get_rate('s0'))

    def test_settings_bound_the_rate(self) -> None:
        state = self.node.state
        assert state.options.bounds is not None
        state.options = dataclasses.replace(
            state.options,
            bounds=dataclasses.replace(
                state.options.bounds, cold_excess=1.0, cold_slack=4.0
            ),
        )
        self._post(3_000)
        rate = state.limits.cold_rates['s0']
        self.assertAlmostEqual((PER_S + 4 - 3) / 2, rate)
