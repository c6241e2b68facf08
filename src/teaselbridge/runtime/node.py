"""Assembles, runs and gracefully stops a node on the simulated services."""

from __future__ import annotations

import asyncio
import functools
import os
import signal
import typing

from teaselbridge.admin import app as admin_app
from teaselbridge import clock as clocks
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import state as states
from teaselbridge.gateway import app as gateway_app
from teaselbridge.peers import messages
from teaselbridge.peers import transport as transports
from teaselbridge.protocols import cloud as clouds
from teaselbridge.protocols import etcd
from teaselbridge.runtime import attempts as attempts_module
from teaselbridge.runtime import certificates
from teaselbridge.runtime import keys
from teaselbridge.runtime import links
from teaselbridge.runtime import loop as loops
from teaselbridge.runtime import orders
from teaselbridge.runtime import outlets as outlets_module
from teaselbridge.runtime import supervision
from teaselbridge.runtime import surroundings
from teaselbridge.runtime import web
from teaselbridge.telemetry import metrics
from teaselbridge.telemetry import timeline

if typing.TYPE_CHECKING:
    from teaselbridge.settings import model

CLOSE_DELAY_MS = 300
CERTIFICATE_CHECK_INTERVAL_MS = 1_000


class Node:
    """Node that uses etcd and the simulated cloud API.

    :param settings: validated settings.
    """

    def __init__(self, *, settings: model.Settings) -> None:
        self._settings = settings
        platform = settings.platform
        assert platform is not None
        clock = clocks.Clock()
        options = _build_options(settings, clock.now())
        self._meter = metrics.Meter()
        self._loop = loops.Loop(
            state=states.State(options=options),
            clock=clock,
            meter=self._meter,
            timeline=timeline.Timeline(
                node=settings.node.name,
                most=settings.limits.timeline_events,
            ),
        )
        self._tasks = loops.Tasks()
        self._stopped = asyncio.Event()
        self._store = etcd.EtcdClient(
            base=platform.keyvalue, meter=self._meter
        )
        self._hosts = clouds.HostListClient(base=platform.hosts)
        self._cloud = clouds.CloudClient(base=platform.cloud)
        self._transport = transports.Transport(
            name=settings.node.name,
            address=settings.listen.peers,
            meter=self._meter,
            keys=settings.peer_keys,
        )
        self._attempts = attempts_module.AttemptExecutor(
            loop=self._loop, tasks=self._tasks
        )
        orders.OrderExecutor(
            cloud=self._cloud,
            clients=self._attempts.clients,
            clock=clock,
            loop=self._loop,
            tasks=self._tasks,
        )
        outlets = outlets_module.OutputQueues(loop=self._loop)
        keys.KeyValueExecutor(
            store=self._store, loop=self._loop, tasks=self._tasks
        )
        keys.ConfigurationWatch(
            store=self._store, loop=self._loop, tasks=self._tasks
        )
        links.connect(self._transport, self._loop)
        self._loop.handle(effects.ExitProcess, lambda _: self._stopped.set())
        self._loop.handle(
            effects.EndConnections, lambda _: self._end_connections()
        )
        self._loop.handle(effects.ActivateConfiguration, lambda _: None)
        self._caller_listener = web.HttpListener(
            app=self._build_gateway_app(outlets),
            address=settings.listen.callers,
            tls=settings.tls,
            request_ms=settings.limits.request_ms,
        )
        self._admin_listener = web.HttpListener(
            app=self._build_admin_app(),
            address=settings.listen.admin,
            tls=settings.tls,
        )

    @property
    def loop(self) -> loops.Loop:
        """Loop that feeds events to the reducer."""
        return self._loop

    @property
    def meter(self) -> metrics.Meter:
        """Metrics of the process."""
        return self._meter

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        :raises OSError: an address is in use or not available.
        """
        self._caller_listener.bind()
        self._admin_listener.bind()
        self._transport.bind()
        self._loop.record(
            effects.RecordEntry(
                mark=effects.Mark.NODE_STARTED,
                host=self._settings.node.name,
                detail=f'process {os.getpid()}',
            )
        )
        for name, work in (
            (
                'receive_messages',
                functools.partial(
                    links.receive_messages, self._transport, self._loop
                ),
            ),
            (
                'follow_hosts',
                functools.partial(
                    surroundings.follow_hosts, self._hosts, self._loop
                ),
            ),
            (
                'follow_notices',
                functools.partial(
                    surroundings.follow_notices, self._cloud, self._loop
                ),
            ),
            ('run_ticks', self._loop.run_ticks),
            ('watch_certificate', self._watch_certificate),
        ):
            self._tasks.start(supervision.run_forever(self._loop, name, work))
        await self._caller_listener.start()
        await self._admin_listener.start()

    async def run(self) -> None:
        """Run until a graceful shutdown has ended."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.drain)
        await self.start()
        await self._stopped.wait()
        await self.stop()

    def drain(self) -> None:
        """Begin a graceful shutdown."""
        drain_by = self._loop.now().mono + self._settings.limits.drain_ms
        self._loop.post(events.DrainRequested(drain_by))

    async def stop(self) -> None:
        """Wait until open responses have ended, then close everything."""
        await self._caller_listener.stop()
        await self._admin_listener.stop()
        await asyncio.sleep(clocks.seconds(CLOSE_DELAY_MS))
        await self._close()
        self._loop.record(
            effects.RecordEntry(
                mark=effects.Mark.NODE_STOPPED,
                host=self._settings.node.name,
            )
        )

    def _end_connections(self) -> None:
        for listener in (self._caller_listener, self._admin_listener):
            listener.end_connections()

    async def abort(self) -> None:
        """Close everything without notifying peers, as if the process died."""
        await self._tasks.stop()
        await self._caller_listener.abort()
        await self._admin_listener.abort()
        await self._close()

    async def _close(self) -> None:
        await self._tasks.stop()
        await self._transport.close()
        await self._attempts.close()
        await self._store.close()
        await self._hosts.close()
        await self._cloud.close()

    async def _watch_certificate(self) -> None:
        """Reload the certificate when its files change."""
        if self._settings.tls is None:
            return
        files = certificates.CertificateFiles(tls=self._settings.tls)
        while True:
            await asyncio.sleep(clocks.seconds(CERTIFICATE_CHECK_INTERVAL_MS))
            if not files.has_changed():
                continue
            error = (
                self._caller_listener.reload_tls()
                or self._admin_listener.reload_tls()
            )
            mark = effects.Mark.CERTIFICATE_USED
            if error:
                mark = effects.Mark.CERTIFICATE_REFUSED
            self._loop.record(effects.RecordEntry(mark=mark, detail=error))

    def _build_gateway_app(
        self, outlets: outlets_module.OutputQueues
    ) -> typing.Any:
        scheme = 'http' if self._settings.tls is None else 'https'
        return gateway_app.GatewayApplication(
            loop=self._loop,
            outlets=outlets,
            body_bytes=self._settings.limits.body_bytes,
            scheme=scheme,
        ).build()

    def _build_admin_app(self) -> typing.Any:
        return admin_app.AdminApplication(
            loop=self._loop,
            meter=self._meter,
            operator_key=self._settings.operator_key,
            drain_ms=self._settings.limits.drain_ms,
        ).build()


def _build_options(
    settings: model.Settings, now: clocks.Instant
) -> states.Options:
    me = messages.Member(
        name=settings.node.name,
        incarnation=now.wall,
        status=messages.Status.ALIVE,
        peers=settings.listen.peers,
        callers=settings.listen.callers,
        admin=settings.listen.admin,
        zone=settings.node.zone,
        region=settings.node.region,
    )
    return states.Options(
        me=me,
        seeds=settings.seeds,
        queue=settings.limits.queue,
        address_ttl_ms=settings.limits.address_ttl_ms,
        address_list_max_age_ms=settings.limits.address_ttl_ms,
        seed=now.wall,
    )
