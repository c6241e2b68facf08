"""Tests of a whole node on the deployment platform."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import socket
import tempfile
import time

import msgspec
import testtools
from testtools import matchers

from teaselbridge.decisions import effects
from teaselbridge.decisions import requests
from teaselbridge.runtime import outlets
from teaselbridge.runtime import site as sites
from teaselbridge.settings import model
from teaselbridge.telemetry import timeline
from tests.failures import base
from tests.failures import site


def _build_settings(
    *,
    grace_s: float,
    store: str = '127.0.0.1:1',
    duties: str = '127.0.0.1:2',
) -> model.Settings:
    settings = site.build_settings(0, store, duties)
    assert settings.site is not None
    bounds = dataclasses.replace(settings.site.bounds, grace_s=grace_s)
    return dataclasses.replace(
        settings, site=dataclasses.replace(settings.site, bounds=bounds)
    )


def _call_order(address: str) -> tuple[bytes, float]:
    """Send an order from a thread.

    :return: the answer, and when it came by the monotonic clock.
    """
    host, _, port = address.rpartition(':')
    headers = site.build_request_headers(site.WORKSPACE_KEY)
    lines = ['POST /orders/1 HTTP/1.1', 'Content-Length: 0']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall('\r\n'.join([*lines, '', '']).encode())
        answer = caller.recv(1 << 16)
        return answer, time.monotonic()


class TestReload(testtools.TestCase):
    """Settings are reloaded on request; invalid ones change nothing."""

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / 'settings'
        self.settings = site.build_settings(0, '127.0.0.1:1', '127.0.0.1:2')

    def reload(self, *contents: bytes) -> list[int]:
        """Return ``revoke_ms`` after a reload of each content of the file."""

        async def run() -> list[int]:
            node = sites.SiteNode(settings=self.settings, path=str(self.path))
            revoke_bounds = []
            for text in contents:
                self.path.write_bytes(text)
                node.reload()
                bounds = node.loop.state.options.bounds
                assert bounds is not None
                revoke_bounds.append(bounds.revoke_ms)
            await node.abort()
            return revoke_bounds

        return asyncio.run(run())

    def text(self, revoke_ms: int) -> bytes:
        """Return encoded settings with the given bound."""
        assert self.settings.site is not None
        bounds = model.Bounds(revoke_ms=revoke_ms)
        changed = dataclasses.replace(self.settings.site, bounds=bounds)
        settings = dataclasses.replace(self.settings, site=changed)
        return msgspec.json.encode(settings)

    def test_new_settings_are_in_force(self) -> None:
        revoke_bounds = self.reload(self.text(7_000), self.text(3_000))
        self.assertEqual([7_000, 3_000], revoke_bounds)

    def test_bad_settings_change_nothing(self) -> None:
        revoke_bounds = self.reload(self.text(7_000), b'{', b'{"node": 7}')
        self.assertEqual([7_000, 7_000, 7_000], revoke_bounds)


class TestStop(base.TestCase):
    """A graceful shutdown cuts no request."""

    # Guards against a stream that is cut as it began just before the node
    # closed its last connections.
    def test_stream_that_began_last_is_finished(self) -> None:
        async def run() -> None:
            async with site.run_deployment(grace_s=site.LONG_GRACE_S) as trial:
                for server in trial.list_servers('engines'):
                    server.events = 35
                    server.event_ms = 100.0
                (node,) = trial.nodes
                node.drain()
                call = asyncio.ensure_future(trial.call('/stream/x'))
                await site.until(lambda: node.loop.state.requests)
                await node.stop()
                response = await call
                self.assertEqual(35, response.text.count('data:'))

        self.run_coroutine(run())

    # Guards against a stream that is run and cut, as it was sent to a node
    # that had no time left for it.
    def test_late_stream_is_refused_by_the_last_nodes(self) -> None:
        async def run() -> None:
            async with site.run_deployment(2) as trial:
                for node in trial.nodes:
                    node.drain()
                for index, node in enumerate(trial.nodes):
                    state = node.loop.state
                    assert state.drain is not None
                    state.drain.since -= 3_000
                    await site.until(
                        lambda state=state: state.membership.nodes == 1
                    )
                    response = await trial.call('/stream/x', node=index)
                    self.assertEqual(503, response.status_code)
                    self.assertIn('node-stopping', response.text)
                    self.assertGreater(
                        float(response.headers['retry-after']), 1
                    )
                    attempt = site.get_attempt_id(response)
                    self.assertEqual(0, trial.count_runs(attempt))

        self.run_coroutine(run())

    # Guards against requests that are read and never answered, as the answer
    # before them closes their connection.
    def test_pipelined_requests_are_answered(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                for server in trial.list_servers('shop'):
                    server.work_ms = 300.0
                (node,) = trial.nodes
                node.drain()
                host, _, port = site.callers(node).rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                for path in ('/orders/1', '/stock/1', '/orders/2'):
                    headers = site.build_request_headers(site.WORKSPACE_KEY)
                    lines = [f'POST {path} HTTP/1.1', 'Content-Length: 0']
                    lines += [f'{key}: {headers[key]}' for key in headers]
                    writer.write('\r\n'.join([*lines, '', '']).encode())
                answers = await reader.read()
                writer.close()
                self.assertEqual(3, answers.count(b'HTTP/1.1 200 '))
                self.assertEqual(3, answers.count(b' ran attempt-'))
                self.assertEqual(1, answers.count(b'connection: close'))

        self.run_coroutine(run())

    # Guards against a caller that cannot tell whether its order was run.
    def test_order_at_the_end_of_the_grace_period_is_answered(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                for server in trial.list_servers('shop'):
                    server.work_ms = 10_000.0
                (node,) = trial.nodes
                call = asyncio.ensure_future(trial.call('/orders/1'))
                await site.until(lambda: node.loop.state.requests)
                node.drain()
                response = await call
                self.assertEqual(502, response.status_code)

        self.run_coroutine(run())


class TestSignals(base.TestCase):
    """The grace period counts from the signal, however late it is handled."""

    # Guards against a busy node that is killed while it holds requests.
    def test_signal_while_the_loop_is_blocked(self) -> None:
        async def run() -> None:
            async with site.run_deployment(0) as trial:
                for server in trial.list_servers('shop'):
                    server.work_ms = 10_000.0
                node = sites.SiteNode(
                    settings=site.build_settings(
                        0, trial.store_host.address, trial.duties_host.address
                    ),
                    path='unused',
                )
                trial.nodes.append(node)
                state = node.loop.state
                stopped = asyncio.ensure_future(node.run())
                await site.until(lambda: len(state.servers.all) == 4)
                call = asyncio.ensure_future(trial.call('/orders/1'))
                await site.until(lambda: state.requests)
                signalled = time.monotonic()
                signal.raise_signal(signal.SIGTERM)
                time.sleep(1.5)
                response = await call
                answered_s = time.monotonic() - signalled
                await stopped
                trial.nodes.remove(node)
                stopped_s = time.monotonic() - signalled
                self.assertEqual(502, response.status_code)
                self.assertLess(answered_s, site.GRACE_S)
                self.assertLess(stopped_s, site.GRACE_S)

        self.run_coroutine(run())

    # Guards against final answers that a busy node has no time to send.
    def test_busy_node_stops_earlier(self) -> None:
        async def run() -> None:
            settings = _build_settings(grace_s=8)
            spans = []
            for late_ms in (0, 200, 2_000):
                node = sites.SiteNode(settings=settings, path='unused')
                since = node.loop.now().mono - late_ms
                node.drain(since)
                drain = node.loop.state.drain
                assert drain is not None
                spans.append(drain.stop_deadline - since)
                await node.abort()
            usual, busy, very_busy = spans
            self.assertThat(usual, matchers.GreaterThan(7_000))
            self.assertThat(busy, matchers.LessThan(usual - 300))
            # Servers that are at work later excuse the end of a request.
            self.assertThat(very_busy, matchers.GreaterThan(8_000 * 5 // 6))

        self.run_coroutine(run())

    # Guards against a node that becomes busy after the signal, and whose final
    # answers come after the end of the grace period.
    def test_loop_is_blocked_after_the_signal(self) -> None:
        grace_s = 8.0

        async def run() -> None:
            async with site.run_deployment(0) as trial:
                for server in trial.list_servers('shop'):
                    server.work_ms = 30_000.0
                node = sites.SiteNode(
                    settings=_build_settings(
                        grace_s=grace_s,
                        store=trial.store_host.address,
                        duties=trial.duties_host.address,
                    ),
                    path='unused',
                )
                trial.nodes.append(node)
                state = node.loop.state
                stopped = asyncio.ensure_future(node.run())
                await site.until(lambda: len(state.servers.all) == 4)
                call = asyncio.ensure_future(
                    asyncio.to_thread(_call_order, site.callers(node))
                )
                await site.until(lambda: state.requests)
                signalled = time.monotonic()
                signal.raise_signal(signal.SIGTERM)
                for begin_s in (3.0, grace_s - 0.7):
                    left_s = signalled + begin_s - time.monotonic()
                    await asyncio.wait([stopped], timeout=max(0.0, left_s))
                    time.sleep(0.8)
                await stopped
                trial.nodes.remove(node)
                answer, answered_at = await call
                self.assertIn(b'HTTP/1.1 502', answer)
                self.assertLess(answered_at - signalled, grace_s)

        self.run_coroutine(run())

    # Guards against a node that takes the time since the first signal for a
    # delay of its loop, and ends requests that it has accepted.
    def test_repeated_signal_changes_nothing(self) -> None:
        async def run() -> None:
            node = sites.SiteNode(
                settings=_build_settings(grace_s=8), path='unused'
            )
            since = node.loop.now().mono
            deadlines = []
            for _ in range(2):
                node.drain(since)
                drain = node.loop.state.drain
                assert drain is not None
                deadlines.append(drain.stop_deadline)
                time.sleep(0.5)
            await node.abort()
            self.assertEqual(deadlines[0], deadlines[1])

        self.run_coroutine(run())

    # Guards against a process that is killed as a task of it does not end.
    def test_task_that_does_not_end(self) -> None:
        async def ignore_cancellation() -> None:
            began = time.monotonic()
            while time.monotonic() - began < 2 * site.GRACE_S:
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.sleep(0.05)

        async def run() -> None:
            async with site.run_deployment(0) as trial:
                node = sites.SiteNode(
                    settings=site.build_settings(
                        0, trial.store_host.address, trial.duties_host.address
                    ),
                    path='unused',
                )
                node.loop.handle(
                    effects.StorePart,
                    lambda _: node._tasks.start(ignore_cancellation()),
                )
                node.loop.execute(effects.StorePart(None, 0))  # type: ignore
                stopped = asyncio.ensure_future(node.run())
                await asyncio.sleep(0.5)
                signalled = time.monotonic()
                signal.raise_signal(signal.SIGTERM)
                await stopped
                self.assertLess(time.monotonic() - signalled, site.GRACE_S)

        self.run_coroutine(run())


class TestErrors(base.TestCase):
    """An error in the background is recorded, and the node goes on."""

    # Guards against errors that leave no line and are not counted.
    def test_background_task_fails(self) -> None:
        async def fail() -> None:
            raise ValueError('unexpected')

        async def run() -> None:
            async with site.run_deployment(0) as trial:
                node = sites.SiteNode(
                    settings=_build_settings(
                        grace_s=site.GRACE_S,
                        store=trial.store_host.address,
                        duties=trial.duties_host.address,
                    ),
                    path='unused',
                )
                trial.nodes.append(node)
                running = asyncio.ensure_future(node.run())
                await site.until(lambda: len(node.loop.state.servers.all) == 4)
                node._tasks.start(fail())
                asyncio.get_running_loop().call_soon(int, 'x')
                wanted = timeline.Filter(
                    mark=effects.Mark.INTERNAL_ERROR.value
                )
                await site.until(
                    lambda: list(node.loop.timeline.select(wanted))
                )
                (entry, *_) = node.loop.timeline.select(wanted)
                self.assertIn('background: ValueError', entry.detail)
                response = await trial.call('/stock/1')
                self.assertEqual(200, response.status_code)
                running.cancel()

        self.run_coroutine(run())

    # Guards against requests that end with an error that leaves no line.
    def test_request_fails(self) -> None:
        def fail(*arguments: object) -> None:
            raise ValueError('unexpected')

        async def run() -> None:
            async with site.run_deployment() as trial:
                (node,) = trial.nodes
                wanted = timeline.Filter(
                    mark=effects.Mark.INTERNAL_ERROR.value
                )
                self.patch(outlets.OutputQueues, 'submit_call', fail)
                response = await trial.call('/stock/1')
                self.assertEqual(500, response.status_code)
                (entry,) = node.loop.timeline.select(wanted)
                self.assertIn('serve: ValueError', entry.detail)

        self.run_coroutine(run())


class TestEnds(base.TestCase):
    """What the web server or a caller ends is recorded."""

    def _list_entries(
        self, node: sites.SiteNode, mark: effects.Mark
    ) -> list[timeline.Entry]:
        wanted = timeline.Filter(mark=mark.value)
        return list(node.loop.timeline.select(wanted))

    # Guards against responses that are cut without a line.
    def test_stream_at_the_end_of_the_shutdown(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                for server in trial.list_servers('engines'):
                    server.events = 100
                    server.event_ms = 100.0
                (node,) = trial.nodes
                call = asyncio.ensure_future(trial.call('/stream/x'))
                await site.until(
                    lambda: any(
                        item.streaming
                        for item in node.loop.state.requests.values()
                    )
                )
                await node.stop()
                await asyncio.wait([call])
                self.assertIsNotNone(call.exception())
                (entry,) = self._list_entries(node, effects.Mark.ENDED)
                self.assertIn('ended by cut, part sent', entry.detail)
                (entry,) = self._list_entries(node, effects.Mark.NODE_STOPPED)
                self.assertEqual(
                    'at first 1 held, 1 connections open, 0 bytes unsent;'
                    ' at last 0 held, 0 connections open, 0 bytes unsent',
                    entry.detail,
                )

        self.run_coroutine(run())

    def test_caller_that_leaves(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                for server in trial.list_servers('shop'):
                    server.work_ms = 10_000.0
                (node,) = trial.nodes
                call = asyncio.ensure_future(trial.call('/orders/1'))
                await site.until(
                    lambda: any(
                        item.phase is requests.Phase.RUNNING
                        for item in node.loop.state.requests.values()
                    )
                )
                call.cancel()
                await site.until(
                    lambda: self._list_entries(node, effects.Mark.ENDED)
                )
                (entry,) = self._list_entries(node, effects.Mark.ENDED)
                self.assertIn('ended by caller, nothing sent', entry.detail)

        self.run_coroutine(run())

    def test_caller_that_leaves_before_its_request_is_read(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                (node,) = trial.nodes
                host, _, port = site.callers(node).rpartition(':')
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n'
                    b'Teaselbridge-Attempt-Id: part\r\n'
                    b'Content-Length: 4\r\n\r\nbo'
                )
                await writer.drain()
                await asyncio.sleep(0.1)
                writer.close()
                await site.until(
                    lambda: self._list_entries(node, effects.Mark.ENDED)
                )
                (entry,) = self._list_entries(node, effects.Mark.ENDED)
                self.assertEqual('part', entry.request)
                self.assertIn('not read whole; ended by caller', entry.detail)

        self.run_coroutine(run())
