"""Simulated backend server of the deployment platform.

It writes HTTP to sockets directly, so that it can also cut a response short,
send an unrequested second response, or send nothing. It records all requests
that it ran.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import time
import typing
import urllib.parse

import h11
import msgspec

from teaselbridge import clock as clocks
from teaselbridge.standins import ports

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.standins import store as stores

READ_BYTES = 65_536
Headers: typing.TypeAlias = list[tuple[str, str]]


class Fault(enum.Enum):
    """Fault injected into one request.

    ``NOT_RUN`` refuses the request before it runs. All others take effect
    after the run is recorded: ``LOST`` closes the connection, ``SILENT``
    sends nothing, ``CUT`` and ``CUT_IN_EVENT`` break the response off, and
    ``EXTRA`` sends a second response, ``EXTRA_UNNAMED`` one without an id.
    Those of `ENDLESS_BYTES` send bytes without end. ``UNFRAMED`` ends the
    response with its connection, ``UNFRAMED_CUT`` does so inside an event or
    resets it.
    """

    NONE = 'none'
    NOT_RUN = 'not-run'
    ERROR = 'error'
    CUT = 'cut'
    CUT_IN_EVENT = 'cut-in-event'
    LOST = 'lost'
    SILENT = 'silent'
    EXTRA = 'extra'
    EXTRA_UNNAMED = 'extra-unnamed'
    UNFRAMED = 'unframed'
    UNFRAMED_CUT = 'unframed-cut'
    ENDLESS_NOISE = 'endless-noise'
    ENDLESS_HEADER = 'endless-header'
    ENDLESS_HEADERS = 'endless-headers'
    ENDLESS_INTERIM = 'endless-interim'
    ENDLESS_BODY = 'endless-body'
    ENDLESS_SURPLUS = 'endless-surplus'
    ENDLESS_CHUNK_SIZE = 'endless-chunk-size'
    ENDLESS_CHUNK_EXTENSION = 'endless-chunk-extension'
    ENDLESS_TRAILERS = 'endless-trailers'
    ENDLESS_EVENT = 'endless-event'


_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Teaselbridge-Attempt-Id: %s\r\nTeaselbridge-Reply-Stamp: x\r\n'
)
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# First bytes and those that are repeated, by fault.
ENDLESS_BYTES = {
    Fault.ENDLESS_NOISE: (b'', b'\x00noise'),
    Fault.ENDLESS_HEADER: (_HEAD + b'X-Long: ', b'x'),
    Fault.ENDLESS_HEADERS: (_HEAD, b'X-Next: y\r\n'),
    Fault.ENDLESS_INTERIM: (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    Fault.ENDLESS_BODY: (_HEAD + b'\r\n', b'x'),
    Fault.ENDLESS_SURPLUS: (_HEAD + b'Content-Length: 2\r\n\r\nok', b'x'),
    Fault.ENDLESS_CHUNK_SIZE: (_CHUNKED, b'0'),
    Fault.ENDLESS_CHUNK_EXTENSION: (_CHUNKED + b'2;', b'x'),
    Fault.ENDLESS_TRAILERS: (_CHUNKED + b'2\r\nok\r\n0\r\n', b'X: y\r\n'),
    Fault.ENDLESS_EVENT: (_CHUNKED + b'ffffffff\r\ndata: ', b'x'),
}
ENDLESS_WRITE_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One request that a server ran.

    :param attempt: attempt id from the request header.
    :param method: HTTP method.
    :param target: request target as received.
    :param headers: all received headers, names in lower case.
    :param body: request body.
    """

    attempt: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def get_number(self, name: str, default: float) -> float:
        """Return a number from the query of the target."""
        query = urllib.parse.urlsplit(self.target).query
        (text,) = urllib.parse.parse_qs(query).get(name, [''])
        return float(text) if text else default


class BackendServer:
    """One simulated backend server.

    The queries ``work-ms``, ``events`` and ``event-ms`` of a request replace
    its attributes of these names.

    :param instance: instance id.
    :param pool: service that it belongs to.
    :param zone: availability zone.
    :param reclaimable: whether the cloud may reclaim its host.

    Attributes:

    * ``is_leaving``: whether all its answers say that it is leaving.
    * ``retry_after``: seconds stated in its refusals of all requests, empty
      where it refuses none.
    * ``refused_count``: number of requests that it refused so.
    * ``limit``: requests a second that it names in its answers, empty for
      none.
    * ``arrivals``: times of all requests that reached it, in seconds of the
      monotonic clock.
    * ``crashing_part``: id of a prompt part; the server crashes as it begins
      a stream whose prompt has it. Empty for none.
    * ``has_crashed``: whether it did.
    """

    def __init__(
        self,
        *,
        instance: str,
        pool: str,
        zone: str,
        reclaimable: bool = False,
    ) -> None:
        self.instance = instance
        self.pool = pool
        self.zone = zone
        self.reclaimable = reclaimable
        self.address = f'127.0.0.1:{ports.find_free_port()}'
        self.born = 1
        self.version = 'v1'
        self.events = 3
        self.event_ms = 5.0
        self.work_ms = 2.0
        self.runs: list[Run] = []
        self.cancelled_count = 0
        self.faults: collections.deque[Fault] = collections.deque()
        self.is_leaving = False
        self.retry_after = ''
        self.refused_count = 0
        self.limit = ''
        self.arrivals: list[float] = []
        self.crashing_part = ''
        self.has_crashed = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def key(self) -> str:
        """Key of the server's entry in the key-value store."""
        return f'servers/{self.instance}'

    def entry(self, state: str = 'ready', **more: object) -> bytes:
        """Return the server's encoded entry for the key-value store.

        :param more: fields that are added or replaced.
        """
        return msgspec.json.encode(
            {
                'service': self.pool,
                'address': self.address,
                'zone': self.zone,
                'version': self.version,
                'slots': 64,
                'state': state,
                'born': self.born,
                'spot': self.reclaimable,
                **more,
            }
        )

    async def register(
        self, store: stores.Store, state: str = 'ready', **more: object
    ) -> None:
        """Write the server's entry to the key-value store."""
        await store.put(self.key, self.entry(state, **more))

    async def start(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._handle_connection, host, int(port)
        )

    async def kill(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _crash(self) -> None:
        """Stop listening and reset all connections, as a dead process does."""
        self.has_crashed = True
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def count(self, attempt: str) -> int:
        """Return how often this server ran an attempt."""
        return sum(run.attempt == attempt for run in self.runs)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve_requests(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()
        except ConnectionError:
            # The peer closed the connection during a response.
            self.cancelled_count += 1
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            run = await _read_request(connection, reader)
            if run is None:
                return
            if not await self._answer_request(run, connection, reader, writer):
                writer.transport.abort()
                return
            connection.start_next_cycle()

    async def _answer_request(
        self,
        run: Run,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request, with the next injected fault if there is one.

        :return: whether the connection stays open.
        """
        fault = self.faults.popleft() if self.faults else Fault.NONE
        headers = self._build_headers(run)
        self.arrivals.append(time.monotonic())
        if self.retry_after:
            self.refused_count += 1
            refused = [
                *headers,
                ('Teaselbridge-Not-Run', '1'),
                ('Retry-After', self.retry_after),
            ]
            return await _send_response(connection, writer, 503, refused, b'')
        expected = run.headers.get('teaselbridge-expect-instance')
        if expected not in (None, self.instance):
            return await _send_response(connection, writer, 421, headers, b'')
        if fault is Fault.NOT_RUN:
            refused = [*headers, ('Teaselbridge-Not-Run', '1')]
            return await _send_response(connection, writer, 503, refused, b'')
        self.runs.append(run)
        if fault is Fault.LOST:
            return False
        if fault is Fault.SILENT:
            await asyncio.Event().wait()
        if fault in ENDLESS_BYTES:
            await _write_endlessly(writer, fault, run.attempt)
        if fault is Fault.ERROR:
            return await _send_response(
                connection, writer, 500, headers, b'failed'
            )
        if run.target.startswith('/stream/'):
            return await self._send_stream(
                run, connection, reader, writer, fault
            )
        work_ms = run.get_number('work-ms', self.work_ms)
        await asyncio.sleep(work_ms / clocks.SECOND_MS)
        body = f'{self.instance} ran {run.attempt}'.encode()
        if fault is Fault.CUT:
            head = h11.Response(
                status_code=200,
                headers=[*headers, ('Content-Length', str(len(body)))],
            )
            writer.write(connection.send(head) or b'')
            writer.write(body[:5])
            await writer.drain()
            return False
        sent = await _send_response(connection, writer, 200, headers, body)
        if fault in (Fault.EXTRA, Fault.EXTRA_UNNAMED):
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n')
            if fault is Fault.EXTRA:
                writer.write(b'Teaselbridge-Attempt-Id: other\r\n')
            writer.write(b'\r\nextra')
            await writer.drain()
        return sent

    async def _send_stream(
        self,
        run: Run,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: Fault,
    ) -> bool:
        first = 1 + int(run.headers.get('last-event-id') or 0)
        headers = self._build_headers(run)
        head = h11.Response(
            status_code=200,
            headers=[*headers, ('Content-Type', 'text/event-stream')],
        )
        if fault in (Fault.UNFRAMED, Fault.UNFRAMED_CUT):
            await self._send_unframed(run, writer, fault, first)
            return False
        writer.write(connection.send(head) or b'')
        if self.crashing_part and self.crashing_part in _list_parts(run):
            await writer.drain()
            await asyncio.sleep(self.event_ms / clocks.SECOND_MS)
            self._crash()
            return False
        event_ms = run.get_number('event-ms', self.event_ms)
        last = int(run.get_number('events', self.events))
        for number in range(first, last + 1):
            data = event(number)
            if fault is Fault.CUT_IN_EVENT and number == first + 1:
                writer.write(connection.send(h11.Data(data=data[:6])) or b'')
                await writer.drain()
                return False
            writer.write(connection.send(h11.Data(data=data)) or b'')
            await writer.drain()
            await asyncio.sleep(event_ms / clocks.SECOND_MS)
            if reader.at_eof():
                self.cancelled_count += 1
                return False
        writer.write(connection.send(h11.EndOfMessage()) or b'')
        await writer.drain()
        return True

    async def _send_unframed(
        self, run: Run, writer: asyncio.StreamWriter, fault: Fault, first: int
    ) -> None:
        """Send a stream that ends with its connection, then close it."""
        writer.write(_HEAD.replace(b'%s', run.attempt.encode()) + b'\r\n')
        for number in range(first, self.events + 1):
            data = event(number)
            if fault is Fault.UNFRAMED_CUT and number > first:
                writer.write(data[:6])
                break
            writer.write(data)
        await writer.drain()
        writer.write_eof()
        await asyncio.sleep(self.event_ms / clocks.SECOND_MS)

    def _build_headers(self, run: Run) -> Headers:
        headers = [
            ('Teaselbridge-Attempt-Id', run.attempt),
            ('Teaselbridge-Reply-Stamp', f'{self.instance}.{run.attempt}'),
            ('Teaselbridge-Runner-Load', '1,0,64'),
        ]
        if self.is_leaving:
            headers.append(('Server-Leaving', '1'))
        if self.limit:
            headers.append(('Server-Limit', self.limit))
        return headers


def event(number: int) -> bytes:
    """Return an encoded stream event, the same on all servers.

    :param number: event id, from 1.
    """
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


async def _write_endlessly(
    writer: asyncio.StreamWriter, fault: Fault, attempt: str
) -> typing.NoReturn:
    """Send bytes until the peer closes the connection.

    :raises ConnectionError: the peer closed it.
    """
    begin, repeated = ENDLESS_BYTES[fault]
    writer.write(begin.replace(b'%s', attempt.encode()))
    block = repeated * (ENDLESS_WRITE_BYTES // len(repeated))
    while True:
        writer.write(block)
        await writer.drain()
        await asyncio.sleep(0)


def _list_parts(run: Run) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    entries = run.headers.get('teaselbridge-prompt-prefix', '').split(',')
    return [entry.partition(':')[0] for entry in entries]


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Run | None:
    head: h11.Request | None = None
    body = b''
    while True:
        parsed = connection.next_event()
        if parsed is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(parsed, h11.Request):
            head = parsed
        elif isinstance(parsed, h11.Data):
            body += parsed.data
        elif isinstance(parsed, h11.EndOfMessage):
            assert head is not None
            return _decode_request(head, body)
        else:
            return None


def _decode_request(head: h11.Request, body: bytes) -> Run:
    headers = {
        name.decode('latin-1'): value.decode('latin-1')
        for name, value in head.headers
    }
    return Run(
        attempt=headers.get('teaselbridge-attempt-id', ''),
        method=head.method.decode('latin-1'),
        target=head.target.decode('latin-1'),
        headers=headers,
        body=body,
    )


async def _send_response(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    headers: Headers,
    body: bytes,
) -> bool:
    length = ('Content-Length', str(len(body)))
    head = h11.Response(status_code=status, headers=[*headers, length])
    writer.write(connection.send(head) or b'')
    writer.write(connection.send(h11.Data(data=body)) or b'')
    writer.write(connection.send(h11.EndOfMessage()) or b'')
    await writer.drain()
    return True
