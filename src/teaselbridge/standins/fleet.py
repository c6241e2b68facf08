"""All simulated services of one deployment, in one process."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import typing

import litestar
import litestar.params

from teaselbridge import clock as clocks
from teaselbridge.decisions import events
from teaselbridge.protocols import cloud as cloud_port
from teaselbridge.standins import behaviour as behaviours
from teaselbridge.standins import cloud
from teaselbridge.standins import engine as engines
from teaselbridge.standins import hosting
from teaselbridge.standins import keyvalue
from teaselbridge.standins import service as services
from teaselbridge.tables import model

Document: typing.TypeAlias = dict[str, typing.Any]
Body: typing.TypeAlias = litestar.params.JSONBody[Document]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """Backend servers of one pool.

    :param pool: name of the pool.
    :param kind: kind of backend server, which decides the protocol.
    :param version: version that the servers run.
    :param zones: availability zones, assigned round-robin.
    :param count: number of servers.
    :param slots: slots of each server; only engines enforce them.
    :param token_ms: time between two tokens, for engines.
    :param prefill_ms: time for an uncached prompt token, for engines.
    :param work_ms: processing time of a request, for services.
    :param checks_fencing: whether engines refuse stale fencing tokens.
    """

    pool: str
    kind: model.Kind
    version: str
    zones: tuple[str, ...]
    count: int
    slots: int = 8
    token_ms: float = 4.0
    prefill_ms: float = 0.05
    work_ms: int = 20
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Spec:
    """Specification of the services to run, as the spec file has it.

    :param platform: ``ip:port`` of the key-value store; the cloud and the
        fault-injection interface use the next two ports.
    :param groups: groups of backend servers.
    :param entries: hosts of entry nodes, for the host list.
    :param bad_versions: injected faults by version.
    :param list_lag_ms: delay with which changes appear in the host list.
    :param start_ms: time that the start of an ordered host takes.
    :param weights_rate: throughput of the weight store, in megabytes per
        second.
    :param weights_size: size of a version's weights, in megabytes.
    """

    platform: str
    groups: tuple[Group, ...]
    entries: tuple[events.HostRow, ...] = ()
    bad_versions: dict[str, behaviours.Behaviour] = dataclasses.field(
        default_factory=dict
    )
    list_lag_ms: int = 1_500
    start_ms: int = 300
    weights_rate: float = 200.0
    weights_size: float = 100.0


@dataclasses.dataclass(slots=True)
class Backend:
    """One running backend server with its row in the host list."""

    row: events.HostRow
    hosted: hosting.HostedApp
    server: engines.Engine | services.Service


class Fleet:
    """Runner of the simulated services, with fault injection.

    :param spec: services to run.
    """

    def __init__(self, *, spec: Spec) -> None:
        self._spec = spec
        self._clock = clocks.Clock()
        self._host_numbers = itertools.count(1)
        self._backends: dict[str, Backend] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._computed_blocks: set[str] = set()
        self._ended_figures: collections.Counter[str] = collections.Counter()
        self.book = services.OrderRuns()
        self.store = keyvalue.Store(clock=self._clock)
        self.region = cloud.Region(
            clock=self._clock,
            list_lag_ms=spec.list_lag_ms,
            prices=cloud.make_default_prices(
                zone for group in spec.groups for zone in group.zones
            ),
        )
        self.weights = cloud.WeightStore(rate=spec.weights_rate)
        self._shared_services = [
            hosting.HostedApp(
                app=keyvalue.build(self.store), address=_get_address(spec, 0)
            ),
            hosting.HostedApp(
                app=cloud.build(
                    self.region, self._launch_ordered, self.release
                ),
                address=_get_address(spec, 1),
            ),
            hosting.HostedApp(
                app=self._build_control(), address=_get_address(spec, 2)
            ),
        ]

    @property
    def backends(self) -> dict[str, Backend]:
        """Running backend servers by host."""
        return self._backends

    @property
    def addresses(self) -> tuple[str, str, str]:
        """``ip:port`` of key-value store, cloud and fault injection."""
        first, second, third = self._shared_services
        return first.address, second.address, third.address

    async def start(self) -> None:
        """Start all backend servers and shared services."""
        for row in self._spec.entries:
            self.region.add(row)
        for group in self._spec.groups:
            for number in range(group.count):
                zone = group.zones[number % len(group.zones)]
                await self.launch(group, zone, group.version)
        await asyncio.gather(
            *(hosted.start() for hosted in self._shared_services)
        )

    async def stop(self) -> None:
        """Stop all backend servers and shared services."""
        for task in self._tasks:
            task.cancel()
        hosted = [backend.hosted for backend in self._backends.values()]
        hosted += self._shared_services
        await asyncio.gather(*(one.kill() for one in hosted))

    async def launch(
        self,
        group: Group,
        zone: str,
        version: str,
        *,
        reclaimable: bool = True,
        loaded: bool = True,
    ) -> events.HostRow:
        """Start a backend server on a new host.

        :param group: pool and parameters of the server.
        :param zone: availability zone.
        :param version: version assigned to the host.
        :param reclaimable: whether the cloud may reclaim the host.
        :param loaded: whether an engine has the version loaded already.
        :return: its row in the host list.
        """
        host = f'{group.pool}-{next(self._host_numbers)}'
        server: engines.Engine | services.Service
        if group.kind is model.Kind.ENGINE:
            running = version if loaded else ''
            server, app = self._build_engine(group, host, running)
        else:
            server, app = self._build_service(group, version)
        hosted = hosting.HostedApp(app=app, address='127.0.0.1:0')
        await hosted.start()
        row = events.HostRow(
            host=host,
            address=hosted.address,
            zone=zone,
            pool=group.pool,
            version=version,
            reclaimable=reclaimable,
        )
        self._backends[host] = Backend(row, hosted, server)
        self.region.add(row)
        return row

    async def release(self, host: str) -> None:
        """End a host that was given back; it must have no running requests."""
        await self.kill(host)

    async def _launch_ordered(
        self, order: cloud_port.HostOrder
    ) -> events.HostRow:
        group = next(
            group for group in self._spec.groups if group.pool == order.pool
        )
        await asyncio.sleep(clocks.seconds(self._spec.start_ms))
        return await self.launch(
            group,
            order.zone,
            order.version,
            reclaimable=order.reclaimable,
            loaded=False,
        )

    async def kill(self, host: str) -> None:
        """Kill a host without notice."""
        backend = self._backends.pop(host, None)
        if backend is None:
            return
        self._ended_figures.update(_get_figures(backend))
        await backend.hosted.kill()
        self.region.remove(host)

    def reclaim(self, host: str, notice_ms: int) -> None:
        """Reclaim a host after a notice period."""
        now = self._clock.now()
        self.region.announce_reclaim(host, now.wall + notice_ms)
        if host not in self._backends:
            return
        self.region.mark_leaving(host)
        self._backends[host].server.leaving = True
        self._start_task(self._kill_later(host, notice_ms))

    def silence(self, host: str) -> int:
        """Silence a host's connections that have a running request.

        :return: number of connections.
        """
        return self._backends[host].hosted.silence()

    def collect_figures(self) -> Document:
        """Return engine counts, cost, runs of orders and running hosts.

        The counts include engines on hosts that have ended.
        """
        totals = self._ended_figures.copy()
        for backend in self._backends.values():
            totals.update(_get_figures(backend))
        return {
            'engines': dict(totals),
            'cost': self.region.cost(),
            'orders': dict(self.book.runs),
            'hosts': [
                {
                    'host': host,
                    'pool': backend.row.pool,
                    'running': backend.server.running,
                }
                for host, backend in self._backends.items()
            ],
        }

    def _build_engine(
        self, group: Group, host: str, version: str
    ) -> tuple[engines.Engine, typing.Any]:
        async def load(_: str) -> None:
            await self.weights.load(self._spec.weights_size)

        server = engines.Engine(
            host=host,
            version=version,
            speed=engines.Speed(
                slots=group.slots,
                token_ms=group.token_ms,
                prefill_ms=group.prefill_ms,
            ),
            behaviours_by_version=self._spec.bad_versions,
            clock=self._clock,
            seed=len(self._backends),
            on_crash=lambda: self._start_task(self.kill(host)),
            checks_fencing=group.checks_fencing,
            load=load,
            computed_blocks=self._computed_blocks,
        )
        return server, engines.build(server)

    def _build_service(
        self, group: Group, version: str
    ) -> tuple[services.Service, typing.Any]:
        server = services.Service(
            version=version,
            slots=group.slots,
            work_ms=group.work_ms,
            book=self.book,
        )
        return server, services.build(server)

    async def _kill_later(self, host: str, notice_ms: int) -> None:
        await asyncio.sleep(clocks.seconds(notice_ms))
        await self.kill(host)

    def _start_task(self, work: typing.Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _build_control(self) -> litestar.Litestar:
        @litestar.post('/standin/reclaim', status_code=200)
        async def reclaim(data: Body) -> Document:
            self.reclaim(str(data['host']), int(data['notice_ms']))
            return {}

        @litestar.post('/standin/kill', status_code=200)
        async def kill(data: Body) -> Document:
            await self.kill(str(data['host']))
            return {}

        @litestar.post('/standin/silence', status_code=200)
        async def silence(data: Body) -> Document:
            return {'connections': self.silence(str(data['host']))}

        @litestar.post('/standin/refuse', status_code=200)
        async def refuse(data: Body) -> Document:
            self.region.refusals = cloud.Refusals(**data)
            return {}

        @litestar.get('/standin/figures')
        async def figures() -> Document:
            return self.collect_figures()

        return litestar.Litestar(
            route_handlers=[reclaim, kill, silence, refuse, figures],
            openapi_config=None,
            logging_config=None,
        )


def _get_figures(backend: Backend) -> dict[str, int]:
    if isinstance(backend.server, engines.Engine):
        return dataclasses.asdict(backend.server.figures)
    return {}


def _get_address(spec: Spec, offset: int) -> str:
    host, _, port = spec.platform.rpartition(':')
    if port == '0':
        return spec.platform
    return f'{host}:{int(port) + offset}'
