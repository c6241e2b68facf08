"""Tests of servers that bear few refusals, over many nodes."""

from __future__ import annotations

import testtools

from teaselbridge.decisions.limits import terms
from tests.decisions import cluster

CONTACT_MS = 3_000
NAMED_AT = 2_000
REFUSALS = 2
USUAL_PER_S = 45
BURST = 2
GOAL_MS = 2_000


class TestBrittleServers(testtools.TestCase):
    """Servers that bear few refusals a second get no more of them."""

    def _run(self, nodes: int, count: int, burst: float) -> cluster.Cluster:
        """Run a burst over servers that are busy with the usual load."""
        servers = [
            cluster.Server(host=f's{number}', slots=6, queue=4, work_ms=400)
            for number in range(count)
        ]
        model = cluster.Cluster(nodes=nodes, servers=servers)
        usual = USUAL_PER_S * count / 4
        model.run(NAMED_AT, usual, goal_ms=GOAL_MS)
        for server in servers:
            server.terms = terms.Terms(refusals=REFUSALS)
        model.run(NAMED_AT + CONTACT_MS, usual, goal_ms=GOAL_MS)
        for server in servers:
            server.queue = 0
        model.run(model.now + 6_000, usual * burst, goal_ms=GOAL_MS)
        model.run(model.now + 3_000, usual, goal_ms=GOAL_MS)
        return model

    def _count_fallen(self, model: cluster.Cluster) -> int:
        since = NAMED_AT + CONTACT_MS
        return sum(
            server.max_refusals(since) > REFUSALS
            for server in model.servers.values()
        )

    def _check(self, model: cluster.Cluster) -> None:
        fallen = self._count_fallen(model)
        self.assertLessEqual(fallen, 2 + len(model.servers) / 10)
        late = [
            item
            for item in model.served
            if item.sent_at > NAMED_AT + CONTACT_MS
        ]
        capacity = len(model.servers) * 6 / 0.4
        self.assertGreater(len(late), 0.6 * capacity * 9)

    # Guards against servers that fall over, one after the other, as each node
    # has to find out for itself that they are full.
    def test_burst_on_six_nodes(self) -> None:
        self._check(self._run(6, 4, BURST))

    def test_burst_on_64_nodes(self) -> None:
        self._check(self._run(64, 8, BURST))
