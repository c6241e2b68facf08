"""A deployment in virtual time: nodes, servers, cloud and callers."""

from __future__ import annotations

import collections
import functools
import itertools
import random

import msgspec

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge.decisions import configuration
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import reducer
from teaselbridge.decisions import state as states
from teaselbridge.experiment import callers
from teaselbridge.experiment import nodes
from teaselbridge.experiment import platform
from teaselbridge.experiment import scenario as scenarios
from teaselbridge.experiment import schedule
from teaselbridge.experiment import servers
from teaselbridge.peers import messages
from teaselbridge.standins import cloud
from teaselbridge.tables import model
from teaselbridge.workload import trace

EPOCH = callers.EPOCH
TICK_MS = 50.0
HOSTS_MS = 1_000.0
HOSTS_LAG_MS = 1_000.0
WATCH_MS = 100.0
PEER_MS = 1.0
REPORT_MS = 100.0
BOOT_MS = 3_000.0
LOAD_MS = 4_000.0
WARM_MS = 6_000.0
OUTLIVE_MS = 45_000.0
HOUR_MS = 3_600_000.0


class World:
    """Runs a scenario.

    :param scenario: what to run.
    """

    def __init__(self, *, scenario: scenarios.Scenario) -> None:
        self.scenario = scenario
        self.time = schedule.Schedule()
        self.random = random.Random(scenario.seed)
        self.keyvalue = platform.KeyValue(time=self.time)
        self.prices = cloud.usual_prices(scenarios.ZONES)
        self.figures = servers.Figures()
        self.servers: dict[str, servers.Server] = {}
        self.nodes: dict[str, nodes.Node] = {}
        self.records: list[effects.Record] = []
        self.record_times: list[float] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[effects.Counter] = (
            collections.Counter()
        )
        self.whole_in_window = 0
        self.cost = 0.0
        self.refused_zones: set[str] = set()
        self._billed: dict[str, float] = {}
        self._seen: set[str] = set()
        self._numbers = itertools.count(1)
        self._tickets = itertools.count(1)
        self._listed: collections.deque[
            tuple[float, tuple[events.HostRow, ...]]
        ] = collections.deque()
        self.callers = callers.Callers(
            time=self.time,
            generator=self.random,
            nodes=self.nodes,
            post=self.post,
            seconds=int(scenario.seconds) + 1,
        )
        self._begin()

    def post(self, node: nodes.Node, event: events.Event) -> None:
        """Let a node take in an event."""
        if not node.alive:
            return
        for effect in reducer.reduce(node.state, event, self._instant()):
            self._perform(node, effect)

    def run(self) -> None:
        """Send the trace and run until all has an outcome."""
        plan = self.scenario
        arrivals = trace.make(
            seed=plan.seed, rate=plan.rate, seconds=plan.seconds, mix=plan.mix
        )
        start = self.time.now
        for arrival in arrivals:
            self.time.later(
                arrival.at_ms, functools.partial(self.callers.send, arrival)
            )
        for fault in plan.faults:
            self.time.later(
                fault.at_s * clock.SECOND,
                functools.partial(self._inject, fault),
            )
        span = plan.seconds * clock.SECOND
        self.time.advance(start + span)
        self.whole_in_window = sum(
            tally.whole for tally in self.callers.tallies.values()
        )
        self._bill_all()
        self.time.advance(start + span + OUTLIVE_MS)

    def live_nodes(self) -> list[nodes.Node]:
        """List the nodes that live."""
        return [node for node in self.nodes.values() if node.alive]

    def _begin(self) -> None:
        first = model.Configuration(
            generation=1,
            writer='first',
            writers=('first',),
            tables=scenarios.tables(self.scenario),
        )
        self.keyvalue.put(configuration.KEY, msgspec.json.encode(first))
        for number in range(self.scenario.engines):
            self._launch('engines', 'v1', _zone(number), loaded=True)
        for number in range(self.scenario.services):
            self._launch('services', 's1', _zone(number), loaded=True)
        for number in range(self.scenario.nodes):
            self._start_node(number)
        self.time.every(HOSTS_MS / 4, 0, self._list)
        self.time.advance(WARM_MS)

    def _start_node(self, number: int) -> None:
        name = f'node-{number}'
        me = messages.Member(
            name=name,
            incarnation=EPOCH + round(self.time.now),
            status=messages.Status.ALIVE,
            peers=name,
            callers=name,
            admin=name,
            zone=_zone(number),
            region='dar-coast',
        )
        options = states.Options(
            me=me,
            seeds=('node-0', 'node-1'),
            seed=self.scenario.seed * 1_000 + number,
            policy=self.scenario.policy_function,
        )
        node = nodes.Node(name=name, state=states.State(options=options))
        node.state.capacity.planner = self.scenario.planner_function
        self.nodes[name] = node
        offset = TICK_MS * number / max(1, self.scenario.nodes)
        self.time.every(
            TICK_MS, offset, lambda: self.post(node, events.Ticked())
        )
        self.time.every(HOSTS_MS, offset, lambda: self._tell_hosts(node))
        self.time.every(WATCH_MS, offset, lambda: self._tell_tables(node))

    def _launch(
        self, pool: str, version: str, zone: str, *, loaded: bool
    ) -> servers.Server:
        host = f'{pool}-{next(self._numbers)}'
        row = events.HostRow(
            host=host, address=host, zone=zone, pool=pool, version=version
        )
        return self._add(row, version if loaded else '')

    def _add(self, row: events.HostRow, version: str) -> servers.Server:
        engine = row.pool == 'engines'
        server = servers.Server(
            row=row,
            version=version,
            slots=scenarios.SLOTS,
            time=self.time,
            figures=self.figures,
            seen=self._seen,
            bad_versions=self.scenario.bad_versions,
            cache_blocks=self.scenario.cache_blocks if engine else 0,
            seed=self.random.randrange(1 << 30),
        )
        self.servers[row.host] = server
        self._billed[row.host] = self.time.now
        return server

    def _instant(self) -> clock.Instant:
        now = round(self.time.now)
        return clock.Instant(now, EPOCH + now)

    def _list(self) -> None:
        rows = tuple(server.row for server in self.servers.values())
        self._listed.append((self.time.now, rows))
        while len(self._listed) > 1 and (
            self.time.now - self._listed[1][0] >= HOSTS_LAG_MS
        ):
            self._listed.popleft()

    def _tell_hosts(self, node: nodes.Node) -> None:
        if self._listed:
            self.post(node, events.HostsRead(self._listed[0][1]))

    def _tell_tables(self, node: nodes.Node) -> None:
        if node.watching and not self.keyvalue.down:
            self.post(node, self.keyvalue.watched())

    def _perform(self, node: nodes.Node, effect: effects.Effect) -> None:
        match effect:
            case effects.StartAttempt():
                self._attempt(node, effect)
            case effects.CancelAttempt():
                found = node.running.pop(effect.handle, None)
                if found is not None:
                    found[0].cancel(found[1])
            case effects.SendPeer():
                self._deliver(node, effect)
            case effects.Wake():
                self.time.later(
                    effect.delay_ms, lambda: self.post(node, events.Woke())
                )
            case effects.Count():
                self.counts[effect.counter] += effect.amount
            case effects.Record():
                self.records.append(effect)
                self.record_times.append(self.time.now)
            case effects.ReportLoad():
                for target in effect.hosts:
                    self._report(node, target.host)
            case effects.Watch():
                node.watching = effect.on
            case effects.Stop():
                self._end_node(node)
            case call if isinstance(call, effects.KeyCall):
                self.keyvalue.perform(
                    effect, lambda event: self.post(node, event)
                )
            case (
                effects.StartHost()
                | effects.StopHost()
                | effects.OrderServer()
                | effects.ReadPrices()
            ):
                self._perform_order(node, effect)
            case _:
                self.callers.tell(effect)

    def _attempt(self, node: nodes.Node, effect: effects.StartAttempt) -> None:
        server = self.servers.get(effect.host)
        handle = effect.call.handle
        if server is None:
            fault = calls.Fault(calls.FaultKind.CONNECT, calls.Ran.NO, '')
            failed = events.AttemptFailed(handle, effect.attempt, fault)
            self.time.later(1, lambda: self.post(node, failed))
            return
        if not effect.call.route.idempotent:
            self.runs[effect.call.key.id] += 1
        wait = self._move_cache(server, effect)
        running = server.start(
            effect, lambda event: self.post(node, event), wait
        )
        node.running[handle] = (server, running)

    def _move_cache(
        self, server: servers.Server, effect: effects.StartAttempt
    ) -> float:
        """Move a prompt's KV cache, and give the milliseconds it takes."""
        if effect.source is None:
            return 0.0
        source = self.servers.get(effect.source.host)
        if source is None:
            return 0.0
        self.counts[effects.Counter.CACHES_MOVED] += 1
        text = effect.call.body.decode() + ''.join(effect.sent)
        return server.take(text, source)

    def _deliver(self, node: nodes.Node, effect: effects.SendPeer) -> None:
        target = self.nodes.get(effect.address)
        if target is None:
            return
        event = events.PeerSpoke(node.name, effect.message)
        self.time.later(PEER_MS, lambda: self.post(target, event))

    def _report(self, node: nodes.Node, host: str) -> None:
        server = self.servers.get(host)
        event: events.Event = events.LoadMissing(host)
        if server is not None:
            event = server.report()
        self.time.later(REPORT_MS, lambda: self.post(node, event))

    def _perform_order(
        self,
        node: nodes.Node,
        effect: effects.StartHost
        | effects.StopHost
        | effects.OrderServer
        | effects.ReadPrices,
    ) -> None:
        match effect:
            case effects.StartHost():
                self._start_host(node, effect)
            case effects.StopHost():
                self._end_server(effect.host)
            case effects.OrderServer():
                self.time.later(
                    LOAD_MS, lambda: self._load(effect.host, effect.version)
                )
            case effects.ReadPrices():
                event = events.PricesRead(self.prices)
                self.time.later(5, lambda: self.post(node, event))

    def _start_host(self, node: nodes.Node, effect: effects.StartHost) -> None:
        if effect.reclaimable and effect.zone in self.refused_zones:
            refused = events.HostStarted(effect.token, None)
            self.time.later(50, lambda: self.post(node, refused))
            return

        def boot() -> None:
            row = events.HostRow(
                host=f'{effect.pool}-{next(self._numbers)}',
                address='',
                zone=effect.zone,
                pool=effect.pool,
                version=effect.version,
                host_class=effect.host_class,
                reclaimable=effect.reclaimable,
            )
            row = msgspec.structs.replace(row, address=row.host)
            loaded = effect.pool != 'engines'
            self._add(row, effect.version if loaded else '')
            started = events.HostStarted(effect.token, row.host)
            self.post(node, started)

        self.time.later(BOOT_MS, boot)

    def _load(self, host: str, version: str) -> None:
        server = self.servers.get(host)
        if server is not None and server.version != version:
            server.version = version
            server.started = self.time.now

    def _end_server(self, host: str) -> None:
        server = self.servers.pop(host, None)
        if server is None:
            return
        self._bill(server)
        server.kill()

    def _bill(self, server: servers.Server) -> None:
        row = server.row
        span = self.time.now - self._billed[row.host]
        self._billed[row.host] = self.time.now
        for price in self.prices:
            same = price.zone == row.zone
            if same and price.reclaimable == row.reclaimable:
                self.cost += price.hourly * span / HOUR_MS

    def _bill_all(self) -> None:
        for server in self.servers.values():
            if server.row.pool == 'engines':
                self._bill(server)

    def _end_node(self, node: nodes.Node) -> None:
        """A node is gone; callers that it still held go elsewhere."""
        node.alive = False
        self.callers.lose(node)

    def _inject(self, fault: scenarios.Fault) -> None:
        notice = fault.notice_s * clock.SECOND
        match fault.kind:
            case 'kill-half':
                for server in self._half():
                    self._end_server(server.row.host)
            case 'silence-half':
                for server in self._half():
                    server.silence()
            case 'reclaim-zone':
                self._reclaim(fault.target, notice)
            case 'drain-node':
                node = self.live_nodes()[0]
                by = round(self.time.now + notice)
                self.post(node, events.DrainAsked(by))
            case 'kill-node':
                self._end_node(self.live_nodes()[0])
            case 'keyvalue-down' | 'keyvalue-up':
                self.keyvalue.down = fault.kind == 'keyvalue-down'
            case 'refuse-zone':
                self.refused_zones.add(fault.target)
            case 'move':
                self._move(fault.target, notice)

    def _half(self) -> list[servers.Server]:
        engines = [
            server
            for server in self.servers.values()
            if server.row.pool == 'engines'
        ]
        return engines[: len(engines) // 2]

    def _reclaim(self, zone: str, notice: float) -> None:
        hosts = tuple(
            server.row.host
            for server in self.servers.values()
            if server.row.zone == zone
            and server.row.reclaimable
            and server.row.pool == 'engines'
        )
        event = events.ReclaimNoticed(hosts, round(notice))
        for node in self.live_nodes():
            self.post(node, event)
        for host in hosts:
            self.servers[host].leaving = True
            self.time.later(notice, functools.partial(self._end_server, host))

    def _move(self, version: str, span: float) -> None:
        node = self.live_nodes()[-1]
        move_by = EPOCH + round(self.time.now + span)
        wanted = scenarios.tables(self.scenario, version, move_by)
        ticket = next(self._tickets)
        base = node.state.index.generation
        self.post(
            node, events.ApplyAsked(ticket, base, wanted, f'move-{ticket}')
        )


def _zone(number: int) -> str:
    return scenarios.ZONES[number % len(scenarios.ZONES)]
