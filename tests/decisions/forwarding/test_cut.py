"""Tests of nodes that lose their links to all backend servers."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import bounds
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions.forwarding import links
from teaselbridge.decisions.limits import terms
from teaselbridge.decisions import reducer
from teaselbridge.tables import model as model_tables
from tests.decisions import cluster
from tests.decisions import samples

CONTACT_MS = 3_000
CUT_AT = 2_000
CUT_MS = 12_000
CHANGE_INTERVAL_MS = 200


def build_change(generation: int, mono: int) -> events.ConfigurationRead:
    """Return a configuration that the store delivers.

    :param mono: monotonic milliseconds at which it was asked for.
    """
    route = model_tables.Route(
        name='r',
        match=model_tables.Match(path='/r/', host='h'),
        pool='p',
        goal_ms=400 + generation,
    )
    pool = model_tables.Pool(
        name='p', kind=model_tables.Kind.RELAYED, versions=(), zones=()
    )
    tables = model_tables.Tables(
        routes=(route,),
        pools=(pool,),
        workspaces=(model_tables.Workspace(name='w', key='k'),),
    )
    configuration = model_tables.Configuration(
        generation=generation, tables=tables
    )
    return events.ConfigurationRead(configuration=configuration, sent=mono)


class TestCut(testtools.TestCase):
    """Callers of a node without links are served as well as others."""

    def _run(
        self, nodes: int, cut: set[str], per_s: float = 30
    ) -> cluster.Cluster:
        servers = [cluster.Server(host=f's{number}') for number in range(4)]
        model = cluster.Cluster(nodes=nodes, servers=servers)
        model.run(CUT_AT, per_s)
        model.can_serve = lambda node, host: node not in cut
        model.run(CUT_AT + CUT_MS, per_s)
        model.can_serve = lambda node, host: True
        model.run(CUT_AT + CUT_MS + 4_000, per_s)
        return model

    def _check_served(
        self, model: cluster.Cluster, cut: set[str], since: int, until: int
    ) -> None:
        """Check that callers of the nodes are served as well as others."""
        others = set(model.nodes) - cut
        served, sent = model.count_served(cut, since, until)
        others_served, others_sent = model.count_served(others, since, until)
        self.assertGreater(sent, 10)
        least = 2 / 3 * others_served / max(1, others_sent)
        self.assertGreaterEqual(served / sent, least)

    # Guards against two of six nodes that serve nobody while their links to
    # all servers are gone.
    def test_two_of_six_nodes(self) -> None:
        cut = {'n0', 'n1'}
        model = self._run(6, cut)
        end = CUT_AT + CUT_MS
        self._check_served(model, cut, CUT_AT + CONTACT_MS, end)
        self._check_served(model, cut, end + 1_000, end + 3_500)

    # The same for a whole zone, so that no node of it can help.
    def test_all_nodes_of_a_zone(self) -> None:
        zone = cluster.ZONES[0]
        model = cluster.Cluster(nodes=8, servers=[])
        cut = {item.name for item in model.members if item.zone == zone}
        model = self._run(8, cut)
        self._check_served(model, cut, CUT_AT + CONTACT_MS, CUT_AT + CUT_MS)

    def test_two_of_64_nodes(self) -> None:
        cut = {'n0', 'n1'}
        model = self._run(64, cut, per_s=200)
        self._check_served(model, cut, CUT_AT + CONTACT_MS, CUT_AT + CUT_MS)

    # Guards against requests that wait where nobody reaches a server, and
    # against nodes that do not come back.
    def test_all_nodes(self) -> None:
        model = cluster.Cluster(nodes=4, servers=[])
        model = self._run(4, set(model.nodes))
        end = CUT_AT + CUT_MS
        served, sent = model.count_served(
            set(model.nodes), end + 1_000, end + 3_500
        )
        self.assertGreater(served, 0.95 * sent)
        for node in model.nodes.values():
            self.assertEqual([], node.state.links.cut_pools)

    # Guards against a change of the configuration that makes nodes forget the
    # cut, or lose the requests that are forwarded meanwhile.
    def test_two_of_six_nodes_while_the_configuration_changes(self) -> None:
        cut = {'n0', 'n1'}
        servers = [cluster.Server(host=f's{number}') for number in range(4)]
        model = cluster.Cluster(nodes=6, servers=servers)
        model.run(CUT_AT, 30)
        model.can_serve = lambda node, host: node not in cut
        for generation in range(1, 1 + CUT_MS // CHANGE_INTERVAL_MS):
            model.post(model.nodes, build_change(generation, model.now))
            model.run(model.now + CHANGE_INTERVAL_MS, 30)
        generations = {
            node.state.index.configuration.generation
            for node in model.nodes.values()
        }
        self.assertEqual({generation}, generations)
        self._check_served(model, cut, CUT_AT + CONTACT_MS, model.now - 500)

    # Guards against a cut that is taken from failures of servers.
    def test_failed_servers_are_no_cut(self) -> None:
        servers = [cluster.Server(host=f's{number}') for number in range(4)]
        model = cluster.Cluster(nodes=4, servers=servers)
        model.run(CUT_AT, 30)
        model.can_serve = lambda node, host: host == 's0'
        model.run(CUT_AT + 6_000, 30)
        for node in model.nodes.values():
            self.assertEqual([], node.state.links.cut_pools)

    # Guards against a node that keeps the share of a server that it does not
    # reach, and against forwarding in a circle.
    def test_limited_servers_and_a_cut_node(self) -> None:
        servers = [
            cluster.Server(host=f's{number}', terms=terms.Terms(rate=4.0))
            for number in range(4)
        ]
        model = cluster.Cluster(nodes=6, servers=servers)
        model.run(CUT_AT, 12)
        model.can_serve = lambda node, host: node != 'n0'
        model.run(CUT_AT + CUT_MS, 12)
        for server in servers:
            got = server.max_arrivals(CUT_AT + CONTACT_MS)
            self.assertLessEqual(got, 1.5 * 4 * 4 + 5)
        self._check_served(model, {'n0'}, CUT_AT + CONTACT_MS, CUT_AT + CUT_MS)


class TestProbes(testtools.TestCase):
    """Servers are probed seldom while one of them is reached."""

    # Guards against overloaded servers that many connections make slower.
    def test_reached_pool_is_not_probed_again_at_once(self) -> None:
        state = samples.state(bounds.Bounds())
        now = samples.instant(0)
        state.servers.add(samples.row('s'), samples.VERSION, now)
        (probe,) = links.probe_pool(state, 'p', now)
        assert isinstance(probe, effects.ProbeLink)
        connected = events.LinkProbed('s', 'p', True)
        reducer.reduce(state, connected, samples.instant(2))
        for mono in (300, 900):
            again = links.probe_pool(state, 'p', samples.instant(mono))
            self.assertEqual([], again)
        again = links.probe_pool(state, 'p', samples.instant(1_002))
        self.assertEqual(1, len(again))
