"""Tests of nodes that lose their links to all backend servers."""

from __future__ import annotations

import testtools

from tests.decisions import cluster

CONTACT_MS = 3_000
CUT_AT = 2_000
CUT_MS = 12_000


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
