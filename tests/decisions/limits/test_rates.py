"""Tests of the rates that backend servers name, over many nodes."""

from __future__ import annotations

import testtools

from teaselbridge.decisions.limits import terms
from tests.decisions import cluster

CONTACT_MS = 3_000
SPAN_MS = 4_000
NAMED_AT = 2_000
RATES = (0.2, 1.0, 7.5)


def count_allowed(rate: float) -> float:
    """Return how many requests may reach a server in 4 s."""
    return 1.5 * rate * SPAN_MS / 1_000 + 5


def build_servers(rates: tuple[float, ...]) -> list[cluster.Server]:
    """Return a server for each rate, and one that names none."""
    servers = [cluster.Server(host=f'limited-{rate:g}') for rate in rates]
    return [*servers, cluster.Server(host='other')]


class TestNamedRates(testtools.TestCase):
    """All nodes together keep to the rate that a server names."""

    def _check_kept(
        self, model: cluster.Cluster, rates: tuple[float, ...]
    ) -> None:
        for rate in rates:
            server = model.servers[f'limited-{rate:g}']
            got = server.max_arrivals(NAMED_AT + CONTACT_MS)
            self.assertLessEqual(got, count_allowed(rate), rate)
            self.assertGreater(got, 0, rate)

    def _run(
        self,
        nodes: int,
        per_s: float,
        seconds: int,
        rates: tuple[float, ...] = RATES,
    ) -> cluster.Cluster:
        model = cluster.Cluster(nodes=nodes, servers=build_servers(rates))
        model.run(NAMED_AT, per_s)
        for rate in rates:
            server = model.servers[f'limited-{rate:g}']
            server.terms = terms.Terms(rate=rate)
        model.run(NAMED_AT + seconds * 1_000, per_s)
        return model

    # Guards against a server getting more than the rate that it named, from
    # six nodes that each know of it.
    def test_six_nodes_keep_to_low_rates(self) -> None:
        self._check_kept(self._run(6, 60, 30), RATES)

    # The same with so many nodes that one request of each is too many.
    def test_64_nodes_keep_to_low_rates(self) -> None:
        self._check_kept(self._run(64, 60, 12), RATES)

    def test_64_nodes_keep_to_a_high_rate(self) -> None:
        self._check_kept(self._run(64, 1_700, 8, (500.0,)), (500.0,))
