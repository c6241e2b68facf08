"""Assembles, runs and gracefully stops a node on the deployment platform."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import os
import signal
import socket
import typing

from teaselbridge import clock as clocks
from teaselbridge.decisions import bounds as bounds_module
from teaselbridge.decisions import effects
from teaselbridge.decisions import events
from teaselbridge.decisions import leases
from teaselbridge.decisions.sharing import rates
from teaselbridge.decisions import state as states
from teaselbridge import errors
from teaselbridge.gateway import bodies
from teaselbridge.gateway import relay
from teaselbridge.peers import messages
from teaselbridge.peers import transport as transports
from teaselbridge.platform import directory
from teaselbridge.platform import documents
from teaselbridge.platform import duties as duties_module
from teaselbridge.platform import store as stores
from teaselbridge.ports import keyvalue
from teaselbridge.runtime import keys
from teaselbridge.runtime import links
from teaselbridge.runtime import listening
from teaselbridge.runtime import loop as loops
from teaselbridge.runtime import outlets as outlets_module
from teaselbridge.runtime import parts
from teaselbridge.runtime import relaying
from teaselbridge.runtime import signals
from teaselbridge.runtime import supervision
from teaselbridge.runtime import watching
from teaselbridge.runtime import web
from teaselbridge.settings import load
from teaselbridge.telemetry import metrics
from teaselbridge.telemetry import timeline

if typing.TYPE_CHECKING:
    from teaselbridge.settings import model

# The platform kills the process at the end of the grace period. Draining ends
# this long before, with an answer to each request that is still held. A busy
# node needs more, but takes no more than a part of the grace period.
STOP_MARGIN_MS = 600
MAX_STOP_MARGIN_SHARE = 0.15
# Interval at which a stopping node looks whether its event loop is late.
LAG_CHECK_INTERVAL_MS = 50
# Name of callbacks and short tasks in the records of errors.
BACKGROUND_WORK = 'background'
# Part of the margin in which these answers may reach their callers. The rest
# is for the end of the process.
ANSWERING_SHARE = 0.5
# How long responses may take to reach their callers in any case.
MIN_GRACEFUL_S = 0.2
# Time for the last messages and calls of a node that stops.
LAST_MESSAGES_S = 0.1
MAX_TASK_END_S = 0.1
# Callers cache the address list for up to three times the TTL that it states.
ADDRESS_TTL_MS = 1_000
ADDRESS_LIST_MAX_AGE_MS = 3 * ADDRESS_TTL_MS
# Longer than callers keep idle connections: if the node closed one first, a
# caller could send a request on it at the same time and lose it.
CALLER_KEEP_ALIVE_TIMEOUT_S = 90
# The platform checks which nodes acted within three seconds; a call for a
# duty takes at most 0.9 s, which the margin covers.
LEASE_TIMES = leases.LeaseTimes(
    ttl_ms=3_000, renew_interval_ms=700, margin_ms=1_200, check_interval_ms=700
)
# Opening a connection takes milliseconds. A server that is gone sends no
# refusal, so an attempt at it ends only at this timeout.
SERVER_CONNECT_TIMEOUT_MS = 400
# The store normally answers in milliseconds. If it does not, the node starts
# without the configuration and tells callers so.
FIRST_READ_TIMEOUT_MS = 300
# Shorter than the idle timeout of backend servers, which is some seconds.
SERVER_KEEP_ALIVE_TIMEOUT_MS = 3_000


class SiteNode:
    """Node that uses the store and the duty API of the deployment platform.

    :param settings: validated settings.
    :param path: settings file, read again on `reload`.
    :param listeners: sockets that are already listening, by address.
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
            state=states.State(
                options=_build_options(settings, self._clock.now())
            ),
            clock=self._clock,
            meter=self._meter,
            timeline=timeline.Timeline(
                node=settings.node.name,
                most=settings.limits.timeline_events,
            ),
        )
        self._tasks = loops.Tasks()
        self._stopped = asyncio.Event()
        self._stop_margin_ms = STOP_MARGIN_MS
        self._store = stores.StoreClient(
            address=settings.site.store,
            meter=self._meter,
            on_era=self._handle_store_era,
        )
        self._duties = duties_module.DutyClient(
            address=settings.site.cloud, node=settings.node.name
        )
        self._transport = transports.Transport(
            name=settings.node.name,
            address=settings.listen.peers,
            meter=self._meter,
            keys=settings.peer_keys,
        )
        self._attempts = relaying.RelayExecutor(
            loop=self._loop,
            tasks=self._tasks,
            meter=self._meter,
            connect_timeout_ms=SERVER_CONNECT_TIMEOUT_MS,
            keep_alive_ms=SERVER_KEEP_ALIVE_TIMEOUT_MS,
        )
        self._store_watch = watching.StoreWatch(
            store=self._store,
            loop=self._loop,
            name=settings.node.name,
            peers=settings.listen.peers,
        )
        keys.KeyValueExecutor(
            store=self._store, loop=self._loop, tasks=self._tasks
        )
        links.connect(self._transport, self._loop)
        # Every node follows the store itself, so the choice of nodes that
        # watch the configuration has no effect here.
        self._loop.handle(effects.WatchConfiguration, lambda _: None)
        self._loop.handle(effects.ActivateConfiguration, lambda _: None)
        self._loop.handle(
            effects.ConfirmConfiguration, self._start_confirmation
        )
        self._loop.handle(effects.ExitProcess, lambda _: self._stopped.set())
        self._loop.handle(effects.ReportUsage, self._start_usage_report)
        self._loop.handle(effects.OrderServers, self._start_server_order)
        self._loop.handle(effects.ReportMove, self._start_move_report)
        self._loop.handle(effects.StorePart, self._start_part_write)
        self._request_listeners = self._build_request_listeners()
        self._auxiliary_listeners = [
            self._build_listener(app, address)
            for address in listening.list_auxiliary_addresses(
                settings, settings.site
            )
            for app in [self._build_directory_app()]
        ]

    @property
    def settings(self) -> model.Settings:
        """Settings that were loaded last."""
        return self._settings

    @property
    def loop(self) -> loops.Loop:
        """Loop that feeds events to the reducer."""
        return self._loop

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        :raises OSError: an address is in use or not available.
        """
        for listener in (*self._request_listeners, *self._auxiliary_listeners):
            listener.bind()
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
            ('follow_changes', self._store_watch.follow_changes),
            ('maintain_own_entry', self._store_watch.maintain_own_entry),
            ('run_ticks', self._loop.run_ticks),
        ):
            self._tasks.start(supervision.run_forever(self._loop, name, work))
        # Requests that already wait in the backlog are served a little later
        # rather than refused for lack of a configuration.
        await self._store_watch.wait_for_first_read(FIRST_READ_TIMEOUT_MS)
        for listener in (*self._request_listeners, *self._auxiliary_listeners):
            await listener.start()

    async def run(self) -> None:
        """Run until a graceful shutdown has ended."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._handle_loop_error)
        signals.handle_stop(self._clock, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._stopped.wait()
        await self.stop()

    def drain(self, since: int | None = None) -> None:
        """Begin a graceful shutdown within the grace period.

        A repeated request changes nothing: the grace period has begun.

        :param since: when the grace period began, in monotonic milliseconds;
            now if none.
        """
        site = self._settings.site
        assert site is not None
        if self._loop.state.drain is not None:
            return
        now = self._loop.now().mono
        began = now if since is None else since
        grace_ms = round(clocks.SECOND_MS * site.bounds.grace_s)
        self._request_drain(began, grace_ms, now - began)
        self._tasks.start(self._follow_lag(began, grace_ms))

    def _request_drain(
        self, began: int, grace_ms: int, own_lag_ms: int
    ) -> None:
        """Let the drain end as early as the event loop is late.

        :param began: when the grace period began, in monotonic milliseconds.
        :param own_lag_ms: delay of the caller by the event loop.
        """
        lag_ms = max(own_lag_ms, self._loop.lag_ms)
        margin_ms = _get_stop_margin_ms(grace_ms, lag_ms)
        drain = self._loop.state.drain
        if drain is not None and margin_ms <= self._stop_margin_ms:
            return
        self._stop_margin_ms = margin_ms
        self._loop.post(
            events.DrainRequested(
                by=began + max(0, grace_ms - margin_ms),
                since=began,
                earliest_stop=began
                + max(0, grace_ms - _get_max_stop_margin_ms(grace_ms)),
            )
        )

    async def _follow_lag(self, began: int, grace_ms: int) -> None:
        """Stop earlier if the event loop becomes late during the drain."""
        while True:
            due = self._loop.now().mono + LAG_CHECK_INTERVAL_MS
            await asyncio.sleep(clocks.seconds(LAG_CHECK_INTERVAL_MS))
            lag_ms = max(0, self._loop.now().mono - due)
            self._request_drain(began, grace_ms, lag_ms)

    def reload(self) -> None:
        """Read the settings file again and apply its bounds.

        Invalid settings are refused. Addresses change only with a restart.
        """
        try:
            new_settings = load.load(self._path)
        except errors.DocumentError as error:
            self._record(effects.Mark.SETTINGS_CHANGED, f'refused: {error}')
            return
        if new_settings.site is None:
            self._record(
                effects.Mark.SETTINGS_CHANGED, 'refused: no section "site"'
            )
            return
        state = self._loop.state
        state.options = dataclasses.replace(
            state.options, bounds=_build_bounds(new_settings.site)
        )
        self._settings = new_settings
        self._record(effects.Mark.SETTINGS_CHANGED, 'in force')

    async def stop(self) -> None:
        """Wait until open responses have ended, then close everything.

        Tasks that do not end in time are left to the end of the process.
        """
        graceful_s = self._get_graceful_s()
        opened = self._describe_open()
        await asyncio.gather(
            asyncio.sleep(LAST_MESSAGES_S),
            *(item.stop(graceful_s) for item in self._request_listeners),
            *(item.stop() for item in self._auxiliary_listeners),
        )
        running = await self._close(MAX_TASK_END_S)
        detail = f'at first {opened}; at last {self._describe_open()}'
        if running:
            detail += f'; {running} tasks have not ended'
        self._record(effects.Mark.NODE_STOPPED, detail)

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
    ) -> None:
        """Record an error that ended a callback or a background task.

        A listener without a free descriptor is none, and tries again.
        """
        if 'socket' in context:
            loop.default_exception_handler(context)
            return
        error = context.get('exception') or RuntimeError(context['message'])
        self._loop.record_error(BACKGROUND_WORK, error)

    def _describe_open(self) -> str:
        """Describe what callers and other nodes have not got yet."""
        found = [item.count_open() for item in self._request_listeners]
        return (
            f'{len(self._loop.state.requests)} held,'
            f' {sum(item.count for item in found)} connections open,'
            f' {sum(item.unsent_bytes for item in found)} bytes unsent'
        )

    def _get_graceful_s(self) -> float:
        """Return how long open responses may take, in seconds.

        A request may have come after the last one that the drain waited for.
        """
        drain = self._loop.state.drain
        if drain is None:
            return MIN_GRACEFUL_S
        answering_ms = round(ANSWERING_SHARE * self._stop_margin_ms)
        end = drain.stop_deadline + answering_ms
        left_ms = end - self._loop.now().mono
        return max(MIN_GRACEFUL_S, clocks.seconds(left_ms))

    async def abort(self) -> None:
        """Close everything without notifying peers, as if the process died."""
        await self._tasks.stop()
        for listener in (*self._request_listeners, *self._auxiliary_listeners):
            await listener.abort()
        await self._close()

    async def _close(self, wait_s: float | None = None) -> int:
        """Close everything but the listeners.

        :param wait_s: how long to wait for the end of tasks, in seconds; for
            ever if none.
        :return: number of tasks that have not ended.
        """
        running = await self._tasks.stop(wait_s)
        await self._transport.close()
        await self._attempts.close()
        await self._store.close()
        await self._duties.close()
        return running

    def _record(self, mark: effects.Mark, detail: str) -> None:
        name = self._settings.node.name
        self._loop.record(
            effects.RecordEntry(mark=mark, host=name, detail=detail)
        )

    def _handle_store_era(self, era: int, restored: bool) -> None:
        self._loop.post(events.StoreEraSeen(era, restored))
        if restored:
            self._store_watch.handle_restore()

    def _start_confirmation(
        self, effect: effects.ConfirmConfiguration
    ) -> None:
        self._tasks.start(self._store_watch.confirm_configuration())

    def _start_usage_report(self, effect: effects.ReportUsage) -> None:
        self._tasks.start(self._send_usage_report(effect))

    async def _send_usage_report(self, effect: effects.ReportUsage) -> None:
        accepted = False
        if self._loop.now().mono < effect.until:
            accepted = await self._duties.report_usage(effect)
        self._loop.post(events.UsageReportAnswered(effect.window, accepted))

    def _start_server_order(self, effect: effects.OrderServers) -> None:
        self._tasks.start(self._send_server_order(effect))

    async def _send_server_order(self, effect: effects.OrderServers) -> None:
        accepted = None
        if self._loop.now().mono < effect.until:
            accepted = await self._duties.order_servers(effect)
        self._loop.post(
            events.ServerOrderAnswered(
                effect.pool,
                effect.zone,
                effect.reclaimable,
                effect.count,
                accepted,
            )
        )

    def _start_move_report(self, effect: effects.ReportMove) -> None:
        self._tasks.start(self._write_move_status(effect))

    async def _write_move_status(self, effect: effects.ReportMove) -> None:
        key = documents.build_rollout_status_key(effect.pool)
        data = documents.encode_rollout_status(effect.state, effect.version)
        purpose = keyvalue.Purpose.MOVE
        written = False
        try:
            known = await self._store.get(key, purpose)
            swap = await self._store.compare_and_swap(
                key, data, known.revision, purpose
            )
            written = swap.swapped
        except keyvalue.KeyValueError as error:
            self._loop.post(events.StoreCallEnded(False, error.detail))
        self._loop.post(
            events.MoveStatusWritten(
                pool=effect.pool, number=effect.number, is_written=written
            )
        )

    def _start_part_write(self, effect: effects.StorePart) -> None:
        self._tasks.start(self._write_part(effect))

    async def _write_part(self, effect: effects.StorePart) -> None:
        failure = await parts.write(self._store, effect)
        if failure:
            detail = f'part {effect.record.part} is not stored: {failure}'
            self._loop.record(
                effects.RecordEntry(
                    mark=effects.Mark.PART_ACCUSED, detail=detail
                )
            )

    def _build_directory_app(self) -> typing.Any:
        return directory.NodeEndpoints(
            loop=self._loop,
            meter=self._meter,
            operator_key=self._settings.operator_key,
        )

    def _build_request_listeners(self) -> list[web.HttpListener]:
        """Build the listeners for callers and for other nodes."""
        listen = self._settings.listen
        outlets = outlets_module.OutputQueues(loop=self._loop)
        budget = bodies.BodyBudget()
        addresses = {False: listen.callers, True: listen.forwarding}
        return [
            self._build_listener(
                relay.IngressApplication(
                    loop=self._loop,
                    outlets=outlets,
                    budget=budget,
                    is_forwarded=is_forwarded,
                ),
                address,
            )
            for is_forwarded, address in addresses.items()
            if address
        ]

    def _build_listener(
        self, app: typing.Any, address: str
    ) -> web.HttpListener:
        return web.HttpListener(
            app=app,
            address=address,
            listener=self._listeners.get(address),
            request_ms=self._settings.limits.request_ms,
            keep_alive_s=CALLER_KEEP_ALIVE_TIMEOUT_S,
            graceful_s=MIN_GRACEFUL_S,
        )


def _get_stop_margin_ms(grace_ms: int, lag_ms: int) -> int:
    """Return how long before the end of the grace period a node stops.

    The moment to stop may come as late as the loop is, and so may the answers
    after it.

    :param lag_ms: recent delay of the loop.
    """
    most = _get_max_stop_margin_ms(grace_ms)
    return min(STOP_MARGIN_MS + 2 * lag_ms, most)


def _get_max_stop_margin_ms(grace_ms: int) -> int:
    return max(STOP_MARGIN_MS, round(MAX_STOP_MARGIN_SHARE * grace_ms))


def _build_bounds(site: model.Site) -> bounds_module.Bounds:
    """Convert the bounds of the settings to those of the reducer."""
    site_bounds = site.bounds
    return bounds_module.Bounds(
        revoke_ms=site_bounds.revoke_ms if site_bounds.strict_keys else 0,
        retry_share=site_bounds.retry_share,
        retry_extra=site_bounds.retry_extra,
        first_start=site_bounds.first_start,
        tolerance=rates.Tolerance(
            span_ms=round(clocks.SECOND_MS * site_bounds.rate_window_s),
            excess=site_bounds.rate_excess,
            slack=site_bounds.rate_slack,
        ),
        usage_window_ms=round(clocks.SECOND_MS * site_bounds.usage_window_s),
        duties=duties_module.known(site_bounds.duties) if site.cloud else (),
        cold_excess=site_bounds.cold_excess,
        cold_slack=site_bounds.cold_slack,
    )


def _build_options(
    settings: model.Settings, now: clocks.Instant
) -> states.Options:
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
        cores=settings.limits.cores,
        forwarding=settings.listen.forwarding,
        takes_usage_counts=True,
    )
    return states.Options(
        me=me,
        seeds=settings.seeds,
        queue=settings.limits.queue,
        address_ttl_ms=ADDRESS_TTL_MS,
        address_list_max_age_ms=ADDRESS_LIST_MAX_AGE_MS,
        seed=now.wall,
        lease=LEASE_TIMES,
        bounds=_build_bounds(settings.site),
    )
