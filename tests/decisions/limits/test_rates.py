"""Tests of the rates that backend servers name, over many nodes."""

from __future__ import annotations

import testtools

from teaselbridge.decisions import calls
from teaselbridge.decisions import events
from teaselbridge.decisions.limits import terms
from teaselbridge.peers import messages
from teaselbridge.tables import join
from teaselbridge.tables import model as model_tables
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
            late = [at for at, _ in server.arrivals if at > NAMED_AT]
            self.assertGreater(len(late), 0, rate)

    def _run(
        self,
        nodes: int,
        per_s: float,
        seconds: int,
        rates: tuple[float, ...] = RATES,
    ) -> cluster.Cluster:
        model = cluster.Cluster(nodes=nodes, servers=build_servers(rates))
        self._name_rates(model, rates, seconds, per_s)
        return model

    def _name_rates(
        self,
        model: cluster.Cluster,
        rates: tuple[float, ...],
        seconds: int,
        per_s: float = 60,
    ) -> None:
        model.run(NAMED_AT, per_s)
        for rate in rates:
            server = model.servers[f'limited-{rate:g}']
            server.terms = terms.Terms(rate=rate)
        model.run(NAMED_AT + seconds * 1_000, per_s)

    # Guards against a server getting more than the rate that it named, from
    # six nodes that each know of it.
    def test_six_nodes_keep_to_low_rates(self) -> None:
        self._check_kept(self._run(6, 60, 30), RATES)

    # The same with so many nodes that one request of each is too many.
    def test_64_nodes_keep_to_low_rates(self) -> None:
        self._check_kept(self._run(64, 60, 12), RATES)

    def test_64_nodes_keep_to_a_high_rate(self) -> None:
        self._check_kept(self._run(64, 1_700, 8, (500.0,)), (500.0,))

    # Guards against limits that hold only while all messages arrive.
    def test_lost_messages(self) -> None:
        servers = build_servers(RATES)
        model = cluster.Cluster(nodes=6, servers=servers, loss=0.3)
        self._name_rates(model, RATES, seconds=20)
        self._check_kept(model, RATES)

    # Guards against a limit that the nodes left do not share anew.
    def test_lost_sender(self) -> None:
        model = cluster.Cluster(nodes=6, servers=build_servers((1.0,)))
        self._name_rates(model, (1.0,), seconds=6)
        server = model.servers['limited-1']
        for name in {name for at, name in server.arrivals if at > 4_000}:
            model.nodes[name].is_up = False
            break
        model.run(28_000, 60)
        self._check_kept(model, (1.0,))
        last = [at for at, _ in server.arrivals if at > 20_000]
        self.assertGreater(len(last), 4)

    # Guards against a restarted node that sends without knowing the limit.
    def test_restarted_node_learns_the_limit(self) -> None:
        model = cluster.Cluster(nodes=6, servers=build_servers((1.0,)))
        self._name_rates(model, (1.0,), seconds=6)
        for name in list(model.nodes):
            model.restart(name)
            model.run(model.now + 2_000, 60)
        known = [
            node.state.limits.terms.get('limited-1').rate
            for node in model.nodes.values()
        ]
        self.assertEqual([1.0] * 6, known)
        self._check_kept(model, (1.0,))

    # Guards against a limit on two sides of a partition between nodes that
    # each side takes for its own.
    def test_partition_between_nodes(self) -> None:
        model = cluster.Cluster(nodes=6, servers=build_servers((1.0,)))
        self._name_rates(model, (1.0,), seconds=6)
        sides = {name: name in ('n0', 'n1', 'n2') for name in model.nodes}
        model.can_reach = lambda one, other: sides[one] is sides[other]
        model.run(model.now + 10_000, 60)
        model.can_reach = lambda one, other: True
        model.run(model.now + 8_000, 60)
        self._check_kept(model, (1.0,))

    # Guards against servers that stay limited after they named no rate.
    def test_servers_limited_one_after_the_other(self) -> None:
        servers = [cluster.Server(host=f's{number}') for number in range(4)]
        model = cluster.Cluster(nodes=6, servers=servers)
        for server in servers:
            model.run(model.now + 2_000, 60)
            named_at = model.now
            server.terms = terms.Terms(rate=1.0)
            model.run(named_at + 9_000, 60)
            server.terms = cluster.UNRESTRICTED
            got = server.max_arrivals(named_at + CONTACT_MS)
            self.assertLessEqual(got, count_allowed(1.0), server.host)
            model.run(model.now + 6_000, 60)
            late = [at for at, _ in server.arrivals if at > model.now - 2_000]
            self.assertGreater(len(late), 15, server.host)

    def test_server_that_takes_no_requests_gets_a_few(self) -> None:
        model = self._run(6, 60, 30, (0.0,))
        late = [
            at
            for at, _ in model.servers['limited-0'].arrivals
            if at >= NAMED_AT + CONTACT_MS
        ]
        self.assertTrue(1 <= len(late) <= 8, late)


class TestMeanwhile(testtools.TestCase):
    """A limit that is named while nodes or versions come and go."""

    RATE = 1.0

    def _build(self) -> cluster.Cluster:
        servers = build_servers((self.RATE,))
        return cluster.Cluster(nodes=12, servers=servers)

    def _name_rate(self, model: cluster.Cluster) -> cluster.Server:
        server = model.servers['limited-1']
        server.terms = terms.Terms(rate=self.RATE)
        return server

    def _check(self, server: cluster.Server, since: int, until: int) -> None:
        """Check that the server gets what it takes, and no more."""
        got = server.max_arrivals(NAMED_AT + CONTACT_MS)
        self.assertLessEqual(got, count_allowed(self.RATE))
        count = sum(since <= at < until for at, _ in server.arrivals)
        fair = self.RATE * (until - since) / 1_000
        self.assertGreater(count, fair / 2)

    # Guards against nodes that count lost ones among the senders for good,
    # and against those left that each take the whole rate.
    def test_zone_is_lost(self) -> None:
        model = self._build()
        model.run(NAMED_AT, 60)
        server = self._name_rate(model)
        model.run(NAMED_AT + 6_000, 60)
        for member in model.members:
            if member.zone == 'a':
                model.nodes[member.name].is_up = False
        model.run(NAMED_AT + 30_000, 60)
        self._check(server, NAMED_AT + 20_000, NAMED_AT + 30_000)

    # The same for nodes that stop one after the other.
    def test_nodes_drain(self) -> None:
        model = self._build()
        model.run(NAMED_AT, 60)
        server = self._name_rate(model)
        for name in list(model.nodes)[:6]:
            model.run(model.now + 2_000, 60)
            drained = events.DrainRequested(model.now + 2_000)
            model.post((name,), drained)
        model.run(model.now + 2_500, 60)
        self.assertEqual(6, sum(node.is_up for node in model.nodes.values()))
        model.run(model.now + 20_000, 60)
        self._check(server, model.now - 10_000, model.now)

    # Guards against shares of traffic that a rollout sends to a server of
    # the new version beside its limit.
    def test_rollout(self) -> None:
        servers = [
            cluster.Server(host='limited-1', version='v2'),
            cluster.Server(host='free-new', version='v2'),
            cluster.Server(host='old-1'),
            cluster.Server(host='old-2'),
        ]
        model = cluster.Cluster(nodes=12, servers=servers)
        pool = model_tables.Pool(
            name='p', kind=model_tables.Kind.RELAYED, versions=(), zones=()
        )
        configuration = model_tables.Configuration(
            tables=model_tables.Tables(pools=(pool,))
        )
        for node in model.nodes.values():
            node.state.index = join.Index(configuration=configuration)
        model.run(1_000, 60)
        ordered = events.RolloutOrdered(
            pool='p', version='v2', duration_ms=20_000, number=40
        )
        model.post(model.nodes, ordered)
        model.run(NAMED_AT, 60)
        server = self._name_rate(model)
        model.run(24_000, 60)
        moves = {
            node.state.moves.get('p').stage for node in model.nodes.values()
        }
        self.assertEqual({messages.Stage.DONE}, moves)
        self._check(server, 14_000, 24_000)


class TestCallers(testtools.TestCase):
    """Callers of a pool whose servers all name a rate."""

    def _run(self, rate: float, per_s: float) -> cluster.Cluster:
        servers = [
            cluster.Server(host=f's{number}', terms=terms.Terms(rate=rate))
            for number in range(4)
        ]
        model = cluster.Cluster(nodes=6, servers=servers)
        model.run(4_000, per_s)
        model.served.clear()
        model.refused.clear()
        model.run(14_000, per_s)
        return model

    # Guards against requests that wait for a rate until their deadline.
    def test_what_the_rates_leave_no_time_for_is_refused_at_once(self) -> None:
        model = self._run(rate=2.0, per_s=60)
        self.assertGreaterEqual(len(model.served), 60)
        self.assertGreater(len(model.refused), 400)
        for refusal in model.refused:
            self.assertIs(calls.RunStatus.NOT_RUN, refusal.ran)
            self.assertIn('limit the rate', refusal.detail)
            self.assertGreaterEqual(refusal.retry_after_ms, 150)
        for node in model.nodes.values():
            self.assertLess(len(node.state.queue), 10)

    def test_enough_rate_serves_all(self) -> None:
        model = self._run(rate=30.0, per_s=40)
        self.assertGreater(len(model.served), 380)
        self.assertLess(len(model.refused), 8)

    # Guards against urgent requests that wait behind others for a rate.
    def test_urgent_requests_come_first(self) -> None:
        model = self._run(rate=2.0, per_s=60)
        for name in model.nodes:
            for priority in (9, 0):
                for _ in range(4):
                    model.send_request(name, priority=priority)
        before = len(model.served)
        model.run(model.now + 400)
        priorities = [
            item.call.route.priority for item in model.served[before:]
        ]
        self.assertGreater(len(priorities), 0)
        self.assertNotIn(9, priorities)


class TestStatements(testtools.TestCase):
    """Statements are ordered by when they were asked for and heard."""

    LIMITED = terms.Terms(rate=1.0)
    FREE = terms.Terms()

    def _merge(self, *stated: tuple[terms.Terms, int, int]) -> terms.Terms:
        known = terms.StatedTerms()
        for said, asked_at, heard_at in stated:
            statement = terms.Statement(
                terms=said, asked_at=asked_at, heard_at=heard_at
            )
            known.merge('h', statement)
        return known.get('h')

    def test_later_answer_counts(self) -> None:
        found = self._merge((self.LIMITED, 0, 10), (self.FREE, 10, 20))
        self.assertEqual(self.FREE, found)

    def test_earlier_answer_does_not_count(self) -> None:
        found = self._merge((self.LIMITED, 20, 30), (self.FREE, 0, 10))
        self.assertEqual(self.LIMITED, found)

    def test_stricter_of_answers_that_overtook_each_other(self) -> None:
        found = self._merge((self.LIMITED, 0, 10), (self.FREE, 5, 20))
        self.assertEqual(self.LIMITED, found)
        higher = terms.Terms(rate=9.0)
        found = self._merge((self.LIMITED, 0, 10), (higher, 5, 20))
        self.assertEqual(self.LIMITED, found)

    def test_server_without_terms_is_not_remembered(self) -> None:
        known = terms.StatedTerms()
        statement = terms.Statement(terms=self.FREE, asked_at=0, heard_at=1)
        self.assertFalse(known.merge('h', statement))
        self.assertIsNone(known.get_statement('h'))
