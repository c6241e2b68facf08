"""Streams that break off, and what the next server answers, byte by byte."""

from __future__ import annotations

import asyncio
import contextlib
import re
import typing

import msgspec

from tests.failures import base
from tests.failures import site

if typing.TYPE_CHECKING:
    import collections.abc

EVENTS = b'id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n'
LAST_EVENT = b'id: 3\ndata: piece 3\n\n'
STREAM_TYPE = 'text/event-stream'
END_CHUNK = b'0\r\n\r\n'


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def head(status: int, kind: str, *lines: str) -> bytes:
    """Return the head of an answer; ``%s`` stands for the request's id."""
    fields = (
        f'HTTP/1.1 {status} Any',
        'Teaselbridge-Attempt-Id: %s',
        'Teaselbridge-Reply-Stamp: stamp',
        f'Content-Type: {kind}',
        *lines,
    )
    return '\r\n'.join((*fields, '', '')).encode()


def plain(status: int, kind: str, body: bytes, *lines: str) -> bytes:
    """Return an answer with a length."""
    return head(status, kind, f'Content-Length: {len(body)}', *lines) + body


def chunked(status: int, kind: str, body: bytes) -> bytes:
    """Return an answer in chunks, with its end."""
    pieces = chunk(body) if body else b''
    return (
        head(status, kind, 'Transfer-Encoding: chunked') + pieces + END_CHUNK
    )


BROKEN_STREAM = head(200, STREAM_TYPE, 'Transfer-Encoding: chunked') + chunk(
    EVENTS
)
ERROR = b'{"error": "no such run"}'
# Answers that continue no stream.
USELESS_ANSWERS = {
    'not found': plain(404, 'application/json', ERROR),
    'conflict': plain(409, 'text/plain', b'data: no\n\n'),
    'event stream with a failure': chunked(422, STREAM_TYPE, LAST_EVENT),
    'redirection': plain(302, 'text/plain', b'', 'Location: /x'),
    'failure': plain(500, 'application/json', ERROR),
    'timeout': plain(504, 'text/plain', b'late'),
    'refusal': plain(503, 'text/plain', b'', 'Teaselbridge-Not-Run: 1'),
    'another type': plain(200, 'application/json', ERROR),
    'another type with a separator': plain(200, 'text/plain', b'oops\n\n'),
    'lower ids': chunked(200, STREAM_TYPE, EVENTS + LAST_EVENT),
    'the same id': chunked(
        200, STREAM_TYPE, b'id: 2\ndata: piece 2\n\n' + LAST_EVENT
    ),
    'no ids': chunked(200, STREAM_TYPE, b'data: piece 1\n\n'),
    'half an event': chunked(200, STREAM_TYPE, b'id: 3\ndata: pie'),
    'nothing, without an end': head(200, STREAM_TYPE),
    'no answer': b'',
    'no response at all': b'\x00\x01\x02',
}


class RawEngine:
    """Engine that breaks off a stream, or continues one, by given bytes.

    :param first: answer to a request for a whole stream.
    :param second: answer to one that continues a stream.
    :ivar resumed_after: numbers after which streams were to be continued.
    """

    def __init__(self, first: bytes, second: bytes) -> None:
        self._first = first
        self._second = second
        self.resumed_after: list[bytes] = []
        self.address = ''

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, then close the connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            request = await reader.readuntil(b'\r\n\r\n')
            (attempt,) = re.findall(rb'(?i)attempt-id: (\S+)', request)
            after = re.findall(rb'(?i)last-event-id: (\S+)', request)
            self.resumed_after += after
            answer = self._second if after else self._first
            writer.write(answer.replace(b'%s', attempt))
            await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def run_engines(
    trial: site.Trial, *engines: RawEngine
) -> collections.abc.AsyncIterator[None]:
    """Let some engines be the only ones of the pool."""
    servers = []
    for engine in engines:
        server = await asyncio.start_server(engine.handle, '127.0.0.1', 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        engine.address = f'{host}:{port}'
    await register_engines(trial, *(engine.address for engine in engines))
    try:
        yield
    finally:
        for server in servers:
            server.close()


async def register_engines(trial: site.Trial, *addresses: str) -> None:
    """Replace the engines of a deployment, and wait until all nodes know."""
    for number, address in enumerate(addresses):
        entry = {
            'service': 'engines',
            'address': address,
            'zone': 'zone-a',
            'version': 'v1',
            'state': 'ready',
            'slots': 64,
            'born': 1,
        }
        await trial.store.put(
            f'servers/raw-{number}', msgspec.json.encode(entry)
        )
    for known in trial.list_servers('engines'):
        await trial.store.remove(known.key)
    for node in trial.nodes:
        state = node.loop.state
        await site.until(
            lambda state=state: (
                set(addresses)
                == {
                    item.row.address
                    for item in state.servers.all
                    if item.row.pool == 'engines'
                }
            )
        )


async def read_stream(trial: site.Trial, path: str) -> tuple[bytes, bytes]:
    """Return the head and the undecoded body that a caller gets."""
    host, port = site.callers(trial.nodes[0]).split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = site.build_request_headers(site.WORKSPACE_KEY)
    lines = [f'POST {path} HTTP/1.1', 'Content-Length: 0', 'Connection: close']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    writer.write('\r\n'.join((*lines, '', '')).encode())
    received = b''
    async with asyncio.timeout(site.TIMEOUT_S):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                received += data
    writer.close()
    start, _, body = received.partition(b'\r\n\r\n')
    return start, body


def decode_chunks(body: bytes) -> tuple[bytes, bool]:
    """Return the data of chunks, and whether their end came."""
    data = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            return data, rest == b'\r\n'
        data += rest[:length]
        body = rest[length + 2 :]
    return data, False


class TestBrokenStreams(base.TestCase):
    """A caller gets events only, and an end only of a whole stream."""

    def _relay(
        self, *engines: RawEngine, **route: object
    ) -> tuple[bytes, bool]:
        """Return the events that a caller gets, and whether they end."""
        found: list[tuple[bytes, bool]] = []

        async def run() -> None:
            changed = {**site.ROUTES[0], **route}
            document = site.encode_configuration(
                1, routes=(changed, *site.ROUTES[1:])
            )
            async with site.run_deployment(configuration=document) as trial:
                async with run_engines(trial, *engines):
                    start, body = await read_stream(trial, '/stream/1')
                self.assertTrue(start.startswith(b'HTTP/1.1 200 '), start)
                found.append(decode_chunks(body))

        self.run_coroutine(run())
        return found[0]

    # Guards against an error's text or head in the middle of a stream, and
    # against a broken stream that looks complete.
    def test_useless_second_answer(self) -> None:
        for name, answer in USELESS_ANSWERS.items():
            engines = [RawEngine(BROKEN_STREAM, answer) for _ in range(2)]
            data, is_whole = self._relay(*engines)
            self.assertEqual((EVENTS, False), (data, is_whole), name)
            resumed = [item.resumed_after for item in engines]
            self.assertIn([b'2'], resumed, name)

    def test_third_server_continues(self) -> None:
        for name in ('not found', 'another type', 'nothing, without an end'):
            answers = iter(
                (
                    USELESS_ANSWERS[name],
                    chunked(200, STREAM_TYPE, LAST_EVENT),
                )
            )
            engines = [_Sequence(BROKEN_STREAM, answers) for _ in range(3)]
            data, is_whole = self._relay(*engines, attempts=3)
            self.assertEqual((EVENTS + LAST_EVENT, True), (data, is_whole))

    def test_rest_of_a_stream(self) -> None:
        for rest in (LAST_EVENT, b': note\n\n' + LAST_EVENT, b''):
            answer = chunked(200, STREAM_TYPE, rest)
            engines = [RawEngine(BROKEN_STREAM, answer) for _ in range(2)]
            data, is_whole = self._relay(*engines)
            self.assertEqual((EVENTS + rest, True), (data, is_whole))

    # Guards against events that come twice, as the next server cannot be
    # told after which one to go on.
    def test_events_without_ids(self) -> None:
        events = b'data: piece 1\n\ndata: piece 2\n\n'
        broken = head(200, STREAM_TYPE, 'Transfer-Encoding: chunked') + chunk(
            events
        )
        engines = [RawEngine(broken, b'') for _ in range(2)]
        self.assertEqual((events, False), self._relay(*engines))

    def test_whole_answer_of_another_type(self) -> None:
        async def run() -> None:
            async with site.run_deployment() as trial:
                answer = plain(200, 'application/json', ERROR)
                async with run_engines(trial, RawEngine(answer, b'')):
                    response = await trial.call('/stream/1')
                self.assertEqual(ERROR, response.content)
                self.assertEqual(
                    'stamp', response.headers['teaselbridge-reply-stamp']
                )

        self.run_coroutine(run())


class _Sequence(RawEngine):
    """Engine that shares the answers to continued streams with others."""

    def __init__(
        self, first: bytes, answers: collections.abc.Iterator[bytes]
    ) -> None:
        super().__init__(first, b'')
        self._answers = answers

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, then close the connection."""
        request = await reader.readuntil(b'\r\n\r\n')
        (attempt,) = re.findall(rb'(?i)attempt-id: (\S+)', request)
        answer = self._first
        if b'last-event-id' in request.lower():
            answer = next(self._answers)
        writer.write(answer.replace(b'%s', attempt))
        await writer.drain()
        writer.close()
