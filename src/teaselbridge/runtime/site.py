"""Puts a node on the users' platform together, runs and stops it."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import signal
import socket
import typing

from teaselbridge import clock as clocks
from teaselbridge.decisions import bounds as bounds_module
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import leases
from teaselbridge.decisions import rates
from teaselbridge.decisions import state as states
from teaselbridge import errors
from teaselbridge.gateway import relay
from teaselbridge.peers import messages
from teaselbridge.peers import transport as transports
from teaselbridge.platform import directory
from teaselbridge.platform import documents
from teaselbridge.platform import duties as duties_module
from teaselbridge.platform import store as stores
from teaselbridge.ports import keyvalue
from teaselbridge.runtime import attempts as attempts_module
from teaselbridge.runtime import keys
from teaselbridge.runtime import links
from teaselbridge.runtime import listening
from teaselbridge.runtime import loop as loops
from teaselbridge.runtime import outlets as outlets_module
from teaselbridge.runtime import watching
from teaselbridge.runtime import web
from teaselbridge.settings import load
from teaselbridge.telemetry import metrics
from teaselbridge.telemetry import timeline

if typing.TYPE_CHECKING:
    from teaselbridge.settings import model

# From the signal until the process must be gone: exit with a margin.
STOP_MARGIN_MS = 1_300
# Callers keep addresses for up to three times the time that they are told.
ADDRESS_TTL_MS = 1_000
LISTED_MS = 3 * ADDRESS_TTL_MS
# Callers reuse connections up to their limit; the node never closes first.
KEEP_ALIVE_S = 90
# The platform looks at who acted within three seconds; a duty's call takes
# at most 0.9 s.
LEASE = leases.Times(ttl_ms=3_000, renew_ms=700, margin_ms=1_200, look_ms=700)
# Connections stand within milliseconds; a server that is gone says nothing.
RUNNER_CONNECT_MS = 400
# The store answers in milliseconds; where it does not, callers are told.
FIRST_READ_MS = 300
# Backend servers close idle connections after some seconds.
RUNNER_KEEP_ALIVE_MS = 3_000


class Site:
    """One node on the users' platform, all of it.

    :param settings: checked settings.
    :param path: file that they came from, read again when it changes.
    :param listeners: sockets that listen already, by address.
    """

    def __init__(
        self,
        *,
        settings: model.Settings,
        path: str,
        listeners: dict[str, socket.socket] | None = None,
    ) -> None:
        assert settings.site is not None
        self._listeners = listeners or {}
        self._settings = settings
        self._path = path
        self._clock = clocks.Clock()
        self._meter = metrics.Meter()
        self._loop = loops.Loop(
            state=states.State(options=_options(settings, self._clock.now())),
            clock=self._clock,
            meter=self._meter,
            timeline=timeline.Timeline(
                node=settings.node.name,
                most=settings.limits.timeline_events,
            ),
        )
        self._tasks = loops.Tasks()
        self._stopped = asyncio.Event()
        self._store = stores.Store(
            address=settings.site.store, meter=self._meter
        )
        self._duties = duties_module.Duties(
            address=settings.site.cloud, node=settings.node.name
        )
        self._transport = transports.Transport(
            name=settings.node.name,
            address=settings.listen.peers,
            meter=self._meter,
            keys=settings.peer_keys,
        )
        self._attempts = attempts_module.Attempts(
            loop=self._loop,
            tasks=self._tasks,
            connect_ms=RUNNER_CONNECT_MS,
            keep_alive_ms=RUNNER_KEEP_ALIVE_MS,
        )
        self._watching = watching.Watching(
            store=self._store,
            loop=self._loop,
            name=settings.node.name,
            peers=settings.listen.peers,
        )
        keys.Keys(store=self._store, loop=self._loop, tasks=self._tasks)
        links.connect(self._transport, self._loop)
        # Every node here follows the store, chosen to watch or not.
        self._loop.handle(effects.Watch, lambda _: None)
        self._loop.handle(effects.UseConfiguration, lambda _: None)
        self._loop.handle(effects.ConfirmConfiguration, self._confirm)
        self._loop.handle(effects.Stop, lambda _: self._stopped.set())
        self._loop.handle(effects.ReportUsage, self._report_usage)
        self._loop.handle(effects.OrderServers, self._order_servers)
        self._loop.handle(effects.TellMove, self._tell_move)
        self._callers = self._web(
            relay.Relay(
                loop=self._loop,
                outlets=outlets_module.Outlets(loop=self._loop),
            ),
            settings.listen.callers,
        )
        self._entrances = [
            self._web(app, address)
            for address in listening.entrances(settings, settings.site)
            for app in [self._directory()]
        ]

    @property
    def settings(self) -> model.Settings:
        """Settings in force."""
        return self._settings

    @property
    def loop(self) -> loops.Loop:
        """Runs the decisions."""
        return self._loop

    async def start(self) -> None:
        """Listen and begin to work.

        :raises OSError: an address is not free.
        """
        for listener in (self._callers, *self._entrances):
            listener.bind()
        self._transport.bind()
        self._loop.record(
            effects.Record(
                mark=effects.Mark.NODE_STARTED,
                host=self._settings.node.name,
                detail=f'process {os.getpid()}',
            )
        )
        self._tasks.start(links.follow(self._transport, self._loop))
        self._tasks.start(self._watching.follow())
        self._tasks.start(self._watching.enter())
        self._tasks.start(self._loop.tick())
        # Callers who wait already are better served a little later than
        # refused by a node that knows nothing yet.
        await self._watching.wait_first(FIRST_READ_MS)
        for listener in (self._callers, *self._entrances):
            await listener.start()

    async def run(self) -> None:
        """Run until a graceful stop has ended."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._stopped.wait()
        await self.stop()

    def drain(self) -> None:
        """Begin a graceful stop."""
        site = self._settings.site
        assert site is not None
        grace_ms = round(clocks.SECOND * site.bounds.grace_s)
        span = max(0, grace_ms - STOP_MARGIN_MS)
        self._loop.post(events.DrainAsked(self._loop.now().mono + span))

    def reload(self) -> None:
        """Read the settings file again; addresses stay as they are."""
        try:
            found = load.load(self._path)
        except errors.DocumentError as error:
            self._record(effects.Mark.SETTINGS_CHANGED, f'refused: {error}')
            return
        if found.site is None:
            self._record(effects.Mark.SETTINGS_CHANGED, 'refused: no site')
            return
        state = self._loop.state
        state.options = dataclasses.replace(
            state.options, bounds=_bounds(found.site)
        )
        self._settings = found
        self._record(effects.Mark.SETTINGS_CHANGED, 'in force')

    async def stop(self) -> None:
        """Let open responses end, then close everything."""
        await self._callers.stop()
        for listener in self._entrances:
            await listener.stop()
        self._record(effects.Mark.NODE_STOPPED, '')
        await self._close()

    async def abort(self) -> None:
        """End without a word to anyone, as a killed process does."""
        await self._tasks.stop()
        for listener in (self._callers, *self._entrances):
            await listener.kill()
        await self._close()

    async def _close(self) -> None:
        await self._tasks.stop()
        await self._transport.close()
        await self._attempts.close()
        await self._store.close()
        await self._duties.close()

    def _record(self, mark: effects.Mark, detail: str) -> None:
        name = self._settings.node.name
        self._loop.record(effects.Record(mark=mark, host=name, detail=detail))

    def _confirm(self, effect: effects.ConfirmConfiguration) -> None:
        self._tasks.start(self._watching.confirm())

    def _report_usage(self, effect: effects.ReportUsage) -> None:
        self._tasks.start(self._send_usage(effect))

    async def _send_usage(self, effect: effects.ReportUsage) -> None:
        accepted = False
        if self._loop.now().mono < effect.until:
            accepted = await self._duties.report_usage(effect)
        self._loop.post(events.UsageReported(effect.window, accepted))

    def _order_servers(self, effect: effects.OrderServers) -> None:
        self._tasks.start(self._send_order(effect))

    async def _send_order(self, effect: effects.OrderServers) -> None:
        accepted = None
        if self._loop.now().mono < effect.until:
            accepted = await self._duties.order_servers(effect)
        self._loop.post(
            events.ServersOrdered(
                effect.pool,
                effect.zone,
                effect.reclaimable,
                effect.count,
                accepted,
            )
        )

    def _tell_move(self, effect: effects.TellMove) -> None:
        self._tasks.start(self._write_move(effect))

    async def _write_move(self, effect: effects.TellMove) -> None:
        key = documents.rollout_status_key(effect.pool)
        data = documents.encode_rollout_status(effect.state, effect.version)
        purpose = keyvalue.Purpose.MOVE
        written = False
        try:
            known = await self._store.get(key, purpose)
            swap = await self._store.swap(key, data, known.revision, purpose)
            written = swap.swapped
        except keyvalue.KeyValueError as error:
            self._loop.post(events.StoreAnswered(False, error.detail))
        self._loop.post(
            events.MoveTold(
                pool=effect.pool, number=effect.number, written=written
            )
        )

    def _directory(self) -> typing.Any:
        return directory.Directory(loop=self._loop, meter=self._meter)

    def _web(self, app: typing.Any, address: str) -> web.Web:
        return web.Web(
            app=app,
            address=address,
            listener=self._listeners.get(address),
            request_ms=self._settings.limits.request_ms,
            keep_alive_s=KEEP_ALIVE_S,
            graceful_s=1,
        )


def _bounds(site: model.Site) -> bounds_module.Bounds:
    """Take over what the platform demands, in the program's words."""
    found = site.bounds
    return bounds_module.Bounds(
        revoke_ms=found.revoke_ms if found.strict_keys else 0,
        retry_share=found.retry_share,
        retry_extra=found.retry_extra,
        first_start=found.first_start,
        tolerance=rates.Tolerance(
            span_ms=round(clocks.SECOND * found.rate_window_s),
            excess=found.rate_excess,
            slack=found.rate_slack,
        ),
        usage_window_ms=round(clocks.SECOND * found.usage_window_s),
        duties=duties_module.known(found.duties) if site.cloud else (),
    )


def _options(settings: model.Settings, now: clocks.Instant) -> states.Options:
    assert settings.site is not None
    me = messages.Member(
        name=settings.node.name,
        incarnation=now.wall,
        status=messages.Status.ALIVE,
        peers=settings.listen.peers,
        callers=settings.listen.callers,
        admin=settings.listen.admin,
        zone=settings.node.zone,
        region=settings.node.region,
        draining=True,
    )
    return states.Options(
        me=me,
        seeds=settings.seeds,
        queue=settings.limits.queue,
        address_ttl_ms=ADDRESS_TTL_MS,
        listed_ms=LISTED_MS,
        seed=now.wall,
        lease=LEASE,
        bounds=_bounds(settings.site),
    )
