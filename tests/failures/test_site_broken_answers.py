"""Answers of servers, and of helpers, that stop after any of their bytes."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random
import re
import socket
import struct
import typing

import h11
import msgspec

from teaselbridge.decisions import effects
from teaselbridge.decisions import servers
from tests.failures import base
from tests.failures import links as links_module
from tests.failures import site
from tests.platform import broken

if typing.TYPE_CHECKING:
    import collections.abc

SEED = 42
# Statuses that promise that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time in which sent bytes are received before a reset discards them.
RESET_DELAY_S = 0.002
CONCURRENT = 8
RANDOM_PLANS = 200
# The streams that end after an event.
STREAMS = tuple(itertools.accumulate(broken.EVENTS))


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a server does with one request.

    :param count: bytes of the answer that it sends.
    """

    answer: broken.Answer
    count: int
    ending: broken.Ending

    @property
    def name(self) -> str:
        """Description for messages."""
        return f'{self.answer.name}, {self.count} bytes, {self.ending.value}'

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return b'event-stream' in self.answer.start

    @property
    def is_whole(self) -> bool:
        """Whether the answer that is sent is complete.

        A stream without a length has to end after an event.
        """
        answer = self.answer
        if not answer.is_whole(self.count, self.ending):
            return False
        if answer.has_end or not self.is_stream:
            return True
        return answer.get_content(self.count) in STREAMS


Plans: typing.TypeAlias = list[tuple[str, Plan]]
Kind: typing.TypeAlias = (
    'collections.abc.Callable[[str], collections.abc.Iterator[broken.Answer]]'
)
# Answers by the path of the requests: connections are kept for the first and
# the third, but not for requests that run at most once.
KINDS: dict[str, Kind] = {
    '/stock/1': broken.build_answers,
    '/orders/1': broken.build_answers,
    '/stream/1': broken.build_streams,
    '/stream/once/1': broken.build_streams,
}
EACH_PREFIX = ('/stock/1', '/stream/1')


class PlannedServer:
    """Server that answers each request as planned for its attempt id.

    :ivar plans: plans by attempt id.
    :ivar served: attempt ids of the requests.
    :ivar kept_count: requests on connections that had served one before.
    """

    def __init__(self) -> None:
        self.plans: dict[str, Plan] = {}
        self.served: list[str] = []
        self.kept_count = 0
        self.address = ''

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        is_kept = False
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                (size,) = re.findall(rb'(?i)content-length: (\d+)', head)
                await reader.readexactly(int(size))
                (found,) = re.findall(rb'(?i)attempt-id: (\S+)', head)
                attempt = found.decode()
                self.kept_count += is_kept
                plan = self.plans[attempt]
                self.served.append(attempt)
                writer.write(plan.answer.data[: plan.count])
                await writer.drain()
                if plan.ending is broken.Ending.RESET:
                    await asyncio.sleep(RESET_DELAY_S)
                    reset(writer)
                    return
                is_kept = plan.answer.has_end and plan.is_whole
                if not is_kept:
                    break
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


@contextlib.asynccontextmanager
async def run_server(
    trial: site.Trial, *, is_helper: bool
) -> collections.abc.AsyncIterator[PlannedServer]:
    """Let a server get all that the first node sends.

    :param is_helper: whether it stands for the other nodes, and gets what is
        forwarded to them, instead of for all servers.
    """
    planned = PlannedServer()
    server = await asyncio.start_server(planned.handle, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    planned.address = f'{host}:{port}'
    loop = trial.nodes[0].loop
    if is_helper:
        links = links_module.Links(trial=trial, node=0)
        links.cut(links_module.Cut.REFUSE)
        while len(loop.state.links.cut_pools) < 2:
            await asyncio.gather(
                trial.call('/stock/1'), trial.call('/stream/1')
            )
    relay = loop.get_handler(effects.RelayAttempt)

    def redirect(effect: effects.RelayAttempt) -> None:
        if bool(effect.origin) is is_helper:
            effect = msgspec.structs.replace(effect, address=planned.address)
        relay(effect)

    loop.handle(effects.RelayAttempt, redirect)
    try:
        yield planned
    finally:
        server.close()


@dataclasses.dataclass(frozen=True)
class Received:
    """What a caller receives.

    :param status: status of the answer, none where there is no head.
    :param has_stamp: whether it bears the stamp of a server.
    :param is_complete: whether its stated end came.
    """

    status: int | None
    has_stamp: bool
    body: bytes
    is_complete: bool


async def call(trial: site.Trial, path: str, attempt: str) -> Received:
    """Send a request and return what a strict caller receives."""
    received, _ = await exchange(trial, path, attempt, '1.1')
    return parse(received)


async def exchange(
    trial: site.Trial, path: str, attempt: str, version: str
) -> tuple[bytes, bool]:
    """Send a request.

    :return: what is received until the connection ends, and whether it is
        reset.
    """
    host, port = site.callers(trial.nodes[0]).split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = site.build_request_headers(
        site.WORKSPACE_KEY, Teaselbridge_Attempt_Id=attempt
    )
    lines = [f'POST {path} HTTP/{version}', 'Content-Length: 0']
    lines += ['Connection: close']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    writer.write('\r\n'.join((*lines, '', '')).encode())
    received = b''
    is_reset = True
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65_536):
            received += data
        is_reset = False
    writer.close()
    return received, is_reset


def parse(received: bytes) -> Received:
    """Return what a caller reads from bytes and the end of a connection."""
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(method='POST', target='/', headers=[('Host', 'h')])
    parser.send(request)
    parser.send(h11.EndOfMessage())
    parser.receive_data(received)
    if received:
        parser.receive_data(b'')
    status, has_stamp, body = None, False, b''
    with contextlib.suppress(h11.RemoteProtocolError):
        while received:
            event = parser.next_event()
            match event:
                case h11.Response():
                    status = event.status_code
                    names = [name for name, _ in event.headers]
                    has_stamp = b'teaselbridge-reply-stamp' in names
                case h11.Data():
                    body += event.data
                case h11.EndOfMessage():
                    return Received(status, has_stamp, body, True)
                case _:
                    break
    return Received(status, has_stamp, body, False)


class TestCase(base.TestCase):
    """Base of the tests, with the table of what callers get.

    ==================================  =====================================
    the server's answer                 what the caller gets
    ==================================  =====================================
    whole, of any status                the same, with its stamp
    without a length, closed            the same, as far as it came
    stream without a length that is     the same, as far as it came
    closed after an event
    stops before the first event, or    502 without a stamp
    before the end of what is no
    stream; is reset
    stops after the first event         broken off after the last whole event
    stream without a length that is     broken off after the head
    closed after the head
    ==================================  =====================================
    """

    def check(self, plan: Plan, received: Received) -> str:
        """Check what a caller gets, and return it for the table."""
        where = f'{plan.name}: {received}'
        answer = plan.answer
        if plan.is_whole:
            self.assertTrue(received.is_complete, where)
            self.assertEqual(answer.status, received.status, where)
            self.assertEqual(
                answer.get_content(plan.count), received.body, where
            )
            self.assertTrue(received.has_stamp, where)
            return 'the whole answer'
        if not received.is_complete:
            if received.status is None:
                self.assertEqual(b'', received.body)
                return 'no answer'
            self.assertEqual(answer.status, received.status, where)
            self.assertTrue(plan.is_stream, where)
            self.assertIn(received.body, [b'', *STREAMS], where)
            return 'broken off'
        assert received.status is not None, where
        self.assertFalse(received.has_stamp, where)
        self.assertGreaterEqual(received.status, 500, where)
        self.assertNotIn(received.status, NOT_RUN_STATUSES, where)
        return str(received.status)

    async def run_plans(
        self,
        trial: site.Trial,
        server: PlannedServer,
        path: str,
        plans: Plans,
    ) -> collections.Counter[str]:
        """Send a request for each plan."""
        outcomes: collections.Counter[str] = collections.Counter()
        waiting = iter(plans)

        async def work() -> None:
            for attempt, plan in waiting:
                server.plans[attempt] = plan
                # Otherwise requests wait until servers are trusted again.
                for known in trial.nodes[0].loop.state.servers.all:
                    servers.clear_faults(known)
                received = await call(trial, path, attempt)
                self.assertIn(attempt, server.served, plan.name)
                outcomes[self.check(plan, received)] += 1

        async with asyncio.timeout(site.TIMEOUT_S):
            await asyncio.gather(*(work() for _ in range(CONCURRENT)))
        return outcomes


class TestBrokenAnswers(TestCase):
    """A caller gets a whole answer only where the server's was whole."""

    def _build_random_plans(self, kind: Kind, prefix: str) -> Plans:
        source = random.Random(SEED)
        plans = []
        for number in range(RANDOM_PLANS):
            attempt = f'{prefix}-{number}'
            answer = source.choice(list(kind(attempt)))
            count = source.choice(
                (len(answer.data), source.randint(0, len(answer.data)))
            )
            ending = broken.Ending.CLOSED
            if count < len(answer.data):
                ending = source.choice((ending, broken.Ending.RESET))
            plans.append((attempt, Plan(answer, count, ending)))
        return plans

    def _build_plans_of_each_prefix(self, kind: Kind, prefix: str) -> Plans:
        """Stop a success without a length, and one in chunks, at each byte."""
        plans = []
        names = [
            answer.name
            for answer in kind(prefix)
            if answer.name.startswith(('200, none', '200, chunks,'))
            and "HTTP/1.1, no interim response, '\\r" in answer.name
        ]
        for name in names:
            number = 0
            while True:
                attempt = f'{prefix}-{len(plans)}'
                (answer,) = [
                    item for item in kind(attempt) if item.name == name
                ]
                if number > len(answer.data):
                    break
                plan = Plan(answer, number, broken.Ending.CLOSED)
                plans.append((attempt, plan))
                number += 1
        return plans

    def _check_all(self, *, is_helper: bool) -> None:
        async def run() -> None:
            routes = [{**route, 'attempts': 1} for route in site.ROUTES]
            document = site.encode_configuration(1, routes=routes)
            async with (
                site.run_deployment(
                    1 + is_helper, configuration=document
                ) as trial,
                run_server(trial, is_helper=is_helper) as server,
            ):
                for path, kind in KINDS.items():
                    name = path.strip('/').replace('/', '-')
                    plans = self._build_random_plans(kind, f'random-{name}')
                    if path in EACH_PREFIX:
                        plans += self._build_plans_of_each_prefix(kind, name)
                    outcomes = await self.run_plans(trial, server, path, plans)
                    self.assertGreater(outcomes['the whole answer'], 0)
                    self.assertGreater(outcomes['502'], 0)
                self.assertGreater(server.kept_count, 0)

        self.run_coroutine(run())

    # Guards against a server that stops in the middle of its head or its
    # body, and a caller that gets a success that looks whole.
    def test_servers(self) -> None:
        self._check_all(is_helper=False)

    def test_helpers(self) -> None:
        self._check_all(is_helper=True)


class TestAnswersWithoutABody(base.TestCase):
    """Statuses that have no body are whole after their head."""

    # Guards against a stream that is run again, as its 204 looks cut.
    def test_stream_is_answered_204(self) -> None:
        async def run() -> None:
            async with (
                site.run_deployment() as trial,
                run_server(trial, is_helper=False) as server,
            ):
                for path in ('/stream/1', '/stream/once/1'):
                    answer = broken.build_answer(
                        204,
                        broken.Framing.NONE,
                        request=path,
                        kind='text/event-stream',
                        content=b'',
                    )
                    server.plans[path] = Plan(
                        answer, len(answer.data), broken.Ending.CLOSED
                    )
                    received = await call(trial, path, path)
                    self.assertEqual(204, received.status)
                    self.assertTrue(received.has_stamp)
                    self.assertTrue(received.is_complete)
                    self.assertEqual(1, server.served.count(path))
                for known in trial.nodes[0].loop.state.servers.all:
                    self.assertEqual(0, known.faults)

        self.run_coroutine(run())


class TestOldCallers(base.TestCase):
    """Callers that speak HTTP/1.0 can tell whole streams from broken ones."""

    # Guards against chunks for callers that know none, and against a broken
    # stream that looks complete as its connection was closed.
    def test_streams(self) -> None:
        async def run() -> None:
            async with (
                site.run_deployment() as trial,
                run_server(trial, is_helper=False) as server,
            ):
                resets = 0
                for number, framing in itertools.product(
                    range(len(STREAMS)), broken.Framing
                ):
                    attempt = f'{framing.value[:3]}-{number}'
                    answer = broken.build_answer(
                        200,
                        framing,
                        request=attempt,
                        kind='text/event-stream',
                        content=STREAMS[number],
                    )
                    for cut in (0, 1):
                        plan = Plan(
                            answer,
                            len(answer.data) - cut,
                            broken.Ending.CLOSED,
                        )
                        server.plans[attempt] = plan
                        found, is_reset = await exchange(
                            trial, '/stream/once/1', attempt, '1.0'
                        )
                        head, _, body = found.partition(b'\r\n\r\n')
                        where = f'{plan.name}: {found!r}, {is_reset=}'
                        self.assertNotIn(b'chunked', head, where)
                        if plan.is_whole:
                            self.assertFalse(is_reset, where)
                            self.assertEqual(answer.content, body, where)
                        elif is_reset:
                            # The reset may discard what was sent before.
                            self.assertIn(body, (b'', *STREAMS), where)
                            resets += 1
                        else:
                            self.assertIn(b'HTTP/1.1 502 ', head, where)
                self.assertGreater(resets, 0)

        self.run_coroutine(run())
