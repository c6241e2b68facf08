"""Simulated deployment: nodes, backend servers, cloud and callers."""

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

EPOCH_MS = callers.EPOCH_MS
# Interval of the nodes' timer events.
TICK_INTERVAL_MS = 50.0
# Interval at which nodes read the host list, and age of the list.
HOST_LIST_INTERVAL_MS = 1_000.0
HOST_LIST_LAG_MS = 1_000.0
# Interval at which nodes that watch the configuration receive it.
WATCH_INTERVAL_MS = 100.0
# One-way network latency between nodes.
PEER_LATENCY_MS = 1.0
# Latency of a load report.
LOAD_REPORT_LATENCY_MS = 100.0
# Time to start a host.
HOST_BOOT_MS = 3_000.0
# Time to load a version on an engine.
VERSION_LOAD_MS = 4_000.0
# Time between the start of the nodes and the start of the trace.
WARM_UP_MS = 6_000.0
# Time after the end of the trace in which open requests can finish; longer
# than the longest deadline of the trace.
COOL_DOWN_MS = 45_000.0
MS_PER_HOUR = 3_600_000.0


class Simulation:
    """A simulated deployment that runs a scenario.

    :param scenario: parameters of the run.
    """

    def __init__(self, *, scenario: scenarios.Scenario) -> None:
        self.scenario = scenario
        self.time = schedule.EventQueue()
        self.random = random.Random(scenario.seed)
        self.keyvalue = platform.SimulatedStore(time=self.time)
        self.prices = cloud.make_default_prices(scenarios.ZONES)
        self.totals = servers.ServerTotals()
        self.servers: dict[str, servers.SimulatedServer] = {}
        self.nodes: dict[str, nodes.SimulatedNode] = {}
        self.records: list[effects.RecordEntry] = []
        self.record_times: list[float] = []
        # Attempts of non-idempotent requests, by id of the request.
        self.attempts_by_request: collections.Counter[str] = (
            collections.Counter()
        )
        self.counts: collections.Counter[effects.Counter] = (
            collections.Counter()
        )
        self.complete_in_trace = 0
        self.cost = 0.0
        self.refused_zones: set[str] = set()
        # Virtual milliseconds up to which each host is charged.
        self._billed_until: dict[str, float] = {}
        self._computed_blocks: set[str] = set()
        self._host_numbers = itertools.count(1)
        self._tickets = itertools.count(1)
        # Snapshots of the host list; the first is the one that nodes read.
        self._host_lists: collections.deque[
            tuple[float, tuple[events.HostRow, ...]]
        ] = collections.deque()
        self.callers = callers.SimulatedCallers(
            time=self.time,
            generator=self.random,
            nodes=self.nodes,
            post=self.post_event,
            seconds=int(scenario.seconds) + 1,
        )
        self._set_up()

    def post_event(
        self, node: nodes.SimulatedNode, event: events.Event
    ) -> None:
        """Pass an event to a node's reducer and apply the effects."""
        if not node.alive:
            return
        for effect in reducer.reduce(node.state, event, self._get_instant()):
            self._apply_effect(node, effect)

    def run(self) -> None:
        """Send the trace and run until all requests have an outcome."""
        plan = self.scenario
        arrivals = trace.generate_trace(
            seed=plan.seed, rate=plan.rate, seconds=plan.seconds, mix=plan.mix
        )
        start = self.time.now
        for arrival in arrivals:
            self.time.call_later(
                arrival.at_ms,
                functools.partial(self.callers.send_arrival, arrival),
            )
        for fault in plan.faults:
            self.time.call_later(
                fault.at_s * clock.SECOND_MS,
                functools.partial(self._inject_fault, fault),
            )
        span = plan.seconds * clock.SECOND_MS
        self.time.run_until(start + span)
        self.complete_in_trace = sum(
            tally.whole for tally in self.callers.tallies.values()
        )
        self._bill_engines()
        self.time.run_until(start + span + COOL_DOWN_MS)

    def get_live_nodes(self) -> list[nodes.SimulatedNode]:
        """Return the nodes that are alive."""
        return [node for node in self.nodes.values() if node.alive]

    def _set_up(self) -> None:
        """Start nodes and backend servers and run the warm-up."""
        first = model.Configuration(
            generation=1,
            writer='first',
            writers=('first',),
            tables=scenarios.tables(self.scenario),
        )
        self.keyvalue.put_unconditionally(
            configuration.CONFIGURATION_KEY, msgspec.json.encode(first)
        )
        for number in range(self.scenario.engines):
            self._launch_server(
                'engines', 'v1', _get_zone(number), loaded=True
            )
        for number in range(self.scenario.services):
            self._launch_server(
                'services', 's1', _get_zone(number), loaded=True
            )
        for number in range(self.scenario.nodes):
            self._start_node(number)
        self.time.call_every(HOST_LIST_INTERVAL_MS / 4, 0, self._list_hosts)
        self.time.run_until(WARM_UP_MS)

    def _start_node(self, number: int) -> None:
        name = f'node-{number}'
        me = messages.Member(
            name=name,
            incarnation=EPOCH_MS + round(self.time.now),
            status=messages.Status.ALIVE,
            peers=name,
            callers=name,
            admin=name,
            zone=_get_zone(number),
            region='dar-coast',
        )
        options = states.Options(
            me=me,
            seeds=('node-0', 'node-1'),
            seed=self.scenario.seed * 1_000 + number,
            policy=self.scenario.policy_function,
        )
        node = nodes.SimulatedNode(
            name=name, state=states.State(options=options)
        )
        node.state.capacity.planner = self.scenario.planner_function
        self.nodes[name] = node
        offset = TICK_INTERVAL_MS * number / max(1, self.scenario.nodes)
        self.time.call_every(
            TICK_INTERVAL_MS,
            offset,
            lambda: self.post_event(node, events.Ticked()),
        )
        self.time.call_every(
            HOST_LIST_INTERVAL_MS, offset, lambda: self._send_host_list(node)
        )
        self.time.call_every(
            WATCH_INTERVAL_MS, offset, lambda: self._send_configuration(node)
        )

    def _launch_server(
        self, pool: str, version: str, zone: str, *, loaded: bool
    ) -> servers.SimulatedServer:
        host = f'{pool}-{next(self._host_numbers)}'
        row = events.HostRow(
            host=host, address=host, zone=zone, pool=pool, version=version
        )
        return self._add_server(row, version if loaded else '')

    def _add_server(
        self, row: events.HostRow, version: str
    ) -> servers.SimulatedServer:
        engine = row.pool == 'engines'
        server = servers.SimulatedServer(
            row=row,
            version=version,
            slots=scenarios.SLOTS_PER_SERVER,
            time=self.time,
            figures=self.totals,
            computed_blocks=self._computed_blocks,
            bad_versions=self.scenario.bad_versions,
            cache_blocks=self.scenario.cache_blocks if engine else 0,
            seed=self.random.randrange(1 << 30),
        )
        self.servers[row.host] = server
        self._billed_until[row.host] = self.time.now
        return server

    def _get_instant(self) -> clock.Instant:
        now = round(self.time.now)
        return clock.Instant(now, EPOCH_MS + now)

    def _list_hosts(self) -> None:
        """Add a snapshot of the host list and drop outdated ones."""
        rows = tuple(server.row for server in self.servers.values())
        self._host_lists.append((self.time.now, rows))
        while len(self._host_lists) > 1 and (
            self.time.now - self._host_lists[1][0] >= HOST_LIST_LAG_MS
        ):
            self._host_lists.popleft()

    def _send_host_list(self, node: nodes.SimulatedNode) -> None:
        if self._host_lists:
            self.post_event(node, events.HostsRead(self._host_lists[0][1]))

    def _send_configuration(self, node: nodes.SimulatedNode) -> None:
        if node.is_watching and not self.keyvalue.is_down:
            self.post_event(node, self.keyvalue.get_watched_configuration())

    def _apply_effect(
        self, node: nodes.SimulatedNode, effect: effects.Effect
    ) -> None:
        match effect:
            case effects.StartAttempt():
                self._start_attempt(node, effect)
            case effects.CancelAttempt():
                entry = node.running.pop(effect.handle, None)
                if entry is not None:
                    entry[0].cancel_attempt(entry[1])
            case effects.SendPeer():
                self._deliver_message(node, effect)
            case effects.Wake():
                self.time.call_later(
                    effect.delay_ms,
                    lambda: self.post_event(node, events.DelayElapsed()),
                )
            case effects.Count():
                self.counts[effect.counter] += effect.amount
            case effects.RecordEntry():
                self.records.append(effect)
                self.record_times.append(self.time.now)
            case effects.QueryLoad():
                for target in effect.hosts:
                    self._report_load(node, target.host)
            case effects.WatchConfiguration():
                node.is_watching = effect.on
            case effects.ExitProcess():
                self._stop_node(node)
            case call if isinstance(call, effects.KeyCall):
                self.keyvalue.execute_call(
                    effect, lambda event: self.post_event(node, event)
                )
            case (
                effects.StartHost()
                | effects.StopHost()
                | effects.OrderServer()
                | effects.ReadPrices()
            ):
                self._apply_cloud_effect(node, effect)
            case _:
                self.callers.handle_effect(effect)

    def _start_attempt(
        self, node: nodes.SimulatedNode, effect: effects.StartAttempt
    ) -> None:
        server = self.servers.get(effect.host)
        handle = effect.call.handle
        if server is None:
            fault = calls.Fault(
                calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, ''
            )
            failed = events.AttemptFailed(handle, effect.attempt, fault)
            self.time.call_later(1, lambda: self.post_event(node, failed))
            return
        if not effect.call.route.idempotent:
            self.attempts_by_request[effect.call.key.id] += 1
        wait = self._move_cache(server, effect)
        running = server.start_attempt(
            effect, lambda event: self.post_event(node, event), wait
        )
        node.running[handle] = (server, running)

    def _move_cache(
        self, server: servers.SimulatedServer, effect: effects.StartAttempt
    ) -> float:
        """Copy a prompt's KV cache to a server.

        :return: duration in milliseconds, 0 without a source.
        """
        if effect.source is None:
            return 0.0
        source = self.servers.get(effect.source.host)
        if source is None:
            return 0.0
        self.counts[effects.Counter.CACHES_MOVED] += 1
        text = effect.call.body.decode() + ''.join(effect.sent)
        return server.copy_cache_from(text, source)

    def _deliver_message(
        self, node: nodes.SimulatedNode, effect: effects.SendPeer
    ) -> None:
        target = self.nodes.get(effect.address)
        if target is None:
            return
        event = events.PeerMessageReceived(node.name, effect.message)
        self.time.call_later(
            PEER_LATENCY_MS, lambda: self.post_event(target, event)
        )

    def _report_load(self, node: nodes.SimulatedNode, host: str) -> None:
        server = self.servers.get(host)
        event: events.Event = events.LoadMissing(host)
        if server is not None:
            event = server.get_load()
        self.time.call_later(
            LOAD_REPORT_LATENCY_MS, lambda: self.post_event(node, event)
        )

    def _apply_cloud_effect(
        self,
        node: nodes.SimulatedNode,
        effect: effects.StartHost
        | effects.StopHost
        | effects.OrderServer
        | effects.ReadPrices,
    ) -> None:
        match effect:
            case effects.StartHost():
                self._start_host(node, effect)
            case effects.StopHost():
                self._remove_server(effect.host)
            case effects.OrderServer():
                self.time.call_later(
                    VERSION_LOAD_MS,
                    lambda: self._load_version(effect.host, effect.version),
                )
            case effects.ReadPrices():
                event = events.PricesRead(self.prices)
                self.time.call_later(5, lambda: self.post_event(node, event))

    def _start_host(
        self, node: nodes.SimulatedNode, effect: effects.StartHost
    ) -> None:
        if effect.reclaimable and effect.zone in self.refused_zones:
            refused = events.HostStarted(effect.token, None)
            self.time.call_later(50, lambda: self.post_event(node, refused))
            return

        def finish_boot() -> None:
            row = events.HostRow(
                host=f'{effect.pool}-{next(self._host_numbers)}',
                address='',
                zone=effect.zone,
                pool=effect.pool,
                version=effect.version,
                host_class=effect.host_class,
                reclaimable=effect.reclaimable,
            )
            row = msgspec.structs.replace(row, address=row.host)
            loaded = effect.pool != 'engines'
            self._add_server(row, effect.version if loaded else '')
            started = events.HostStarted(effect.token, row.host)
            self.post_event(node, started)

        self.time.call_later(HOST_BOOT_MS, finish_boot)

    def _load_version(self, host: str, version: str) -> None:
        server = self.servers.get(host)
        if server is not None and server.version != version:
            server.version = version
            server.version_started_at = self.time.now

    def _remove_server(self, host: str) -> None:
        server = self.servers.pop(host, None)
        if server is None:
            return
        self._bill_server(server)
        server.kill()

    def _bill_server(self, server: servers.SimulatedServer) -> None:
        """Add the price of a host since it was last charged to the cost."""
        row = server.row
        span = self.time.now - self._billed_until[row.host]
        self._billed_until[row.host] = self.time.now
        for price in self.prices:
            is_same_zone = price.zone == row.zone
            if is_same_zone and price.reclaimable == row.reclaimable:
                self.cost += price.hourly * span / MS_PER_HOUR

    def _bill_engines(self) -> None:
        for server in self.servers.values():
            if server.row.pool == 'engines':
                self._bill_server(server)

    def _stop_node(self, node: nodes.SimulatedNode) -> None:
        """Stop a node and resend the open requests of its callers."""
        node.alive = False
        self.callers.resend_requests_of(node)

    def _inject_fault(self, fault: scenarios.Fault) -> None:
        notice_ms = fault.notice_s * clock.SECOND_MS
        match fault.kind:
            case 'kill-half':
                for server in self._get_half_of_engines():
                    self._remove_server(server.row.host)
            case 'silence-half':
                for server in self._get_half_of_engines():
                    server.stall_connections()
            case 'reclaim-zone':
                self._reclaim_zone(fault.target, notice_ms)
            case 'drain-node':
                node = self.get_live_nodes()[0]
                drain_deadline = round(self.time.now + notice_ms)
                self.post_event(node, events.DrainRequested(drain_deadline))
            case 'kill-node':
                self._stop_node(self.get_live_nodes()[0])
            case 'keyvalue-down' | 'keyvalue-up':
                self.keyvalue.is_down = fault.kind == 'keyvalue-down'
            case 'refuse-zone':
                self.refused_zones.add(fault.target)
            case 'move':
                self._start_rollout(fault.target, notice_ms)

    def _get_half_of_engines(self) -> list[servers.SimulatedServer]:
        """Return the older half of the engines."""
        engines = [
            server
            for server in self.servers.values()
            if server.row.pool == 'engines'
        ]
        return engines[: len(engines) // 2]

    def _reclaim_zone(self, zone: str, notice_ms: float) -> None:
        hosts = tuple(
            server.row.host
            for server in self.servers.values()
            if server.row.zone == zone
            and server.row.reclaimable
            and server.row.pool == 'engines'
        )
        event = events.ReclaimAnnounced(hosts, round(notice_ms))
        for node in self.get_live_nodes():
            self.post_event(node, event)
        for host in hosts:
            self.servers[host].leaving = True
            self.time.call_later(
                notice_ms, functools.partial(self._remove_server, host)
            )

    def _start_rollout(self, version: str, span: float) -> None:
        node = self.get_live_nodes()[-1]
        move_by = EPOCH_MS + round(self.time.now + span)
        wanted = scenarios.tables(self.scenario, version, move_by)
        ticket = next(self._tickets)
        base = node.state.index.generation
        self.post_event(
            node, events.ApplyRequested(ticket, base, wanted, f'move-{ticket}')
        )


def _get_zone(number: int) -> str:
    return scenarios.ZONES[number % len(scenarios.ZONES)]
