"""Streams whose servers pause while no other server takes the rest."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import typing

from teaselbridge.standins import runner as runners
from tests.failures import base
from tests.failures import site
from tests.failures import test_site_broken_streams as raw

if typing.TYPE_CHECKING:
    import collections.abc

EVENTS = 6
# Event after which a server pauses.
PAUSED_AFTER = 3
PAUSE_S = 1.0
# More connections than a listener holds that accepts none.
FULL_BACKLOG = 8
STREAM = b''.join(runners.event(number) for number in range(1, EVENTS + 1))
HEAD = raw.head(200, raw.STREAM_TYPE, 'Transfer-Encoding: chunked')


class PausingEngine(raw.RawEngine):
    """Engine that pauses in each whole stream.

    :param answers: answers to continued streams, shared by all engines; what
        follows the last one is sound.
    :param delay_s: seconds before each of them.
    """

    def __init__(
        self,
        answers: collections.abc.Iterator[bytes],
        delay_s: float = 0.0,
    ) -> None:
        super().__init__(b'', b'')
        self._answers = answers
        self._delay_s = delay_s

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, then close the connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            request = await reader.readuntil(b'\r\n\r\n')
            (attempt,) = re.findall(rb'(?i)attempt-id: (\S+)', request)
            after = re.findall(rb'(?i)last-event-id: (\S+)', request)
            self.resumed_after += after
            first = 1 + int(after[0]) if after else 1
            answer = next(self._answers, b'') if after else b''
            if after:
                await asyncio.sleep(self._delay_s)
            if answer:
                writer.write(answer.replace(b'%s', attempt))
            else:
                await _send_stream(
                    reader, writer, attempt, first, is_paused=not after
                )
            await writer.drain()
        writer.close()


async def _send_stream(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    attempt: bytes,
    first: int,
    *,
    is_paused: bool,
) -> None:
    writer.write(HEAD.replace(b'%s', attempt))
    for number in range(first, EVENTS + 1):
        if reader.at_eof():
            return
        writer.write(raw.chunk(runners.event(number)))
        await writer.drain()
        if is_paused and number == PAUSED_AFTER:
            await asyncio.sleep(PAUSE_S)
    writer.write(raw.END_CHUNK)


@contextlib.contextmanager
def listen_full() -> collections.abc.Iterator[str]:
    """Yield an address at which connections are neither opened nor refused."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        host, port = listener.getsockname()
        for _ in range(FULL_BACKLOG):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex((host, port))
        yield f'{host}:{port}'


class TestPauses(base.TestCase):
    """A server that pauses is not given up before another one goes on."""

    def _check_whole(self, *engines: PausingEngine, **route: object) -> None:
        async def run() -> None:
            changed = {**site.ROUTES[0], **route}
            document = site.encode_configuration(
                1, routes=(changed, *site.ROUTES[1:])
            )
            async with site.run_deployment(configuration=document) as trial:
                async with raw.run_engines(trial, *engines):
                    _, body = await raw.read_stream(trial, '/stream/1')
                self.assertEqual((STREAM, True), raw.decode_chunks(body))

        self.run_coroutine(run())

    def _check_answers(self, *answers: bytes, delay_s: float = 0.0) -> None:
        for attempts in (2, 3):
            shared = iter(answers)
            engines = [PausingEngine(shared, delay_s) for _ in range(3)]
            self._check_whole(*engines, attempts=attempts)

    # Guards against a stream that is broken off as the servers that were
    # asked for its rest have no room, while its own server would go on.
    def test_rest_is_refused(self) -> None:
        self._check_answers(*[raw.USELESS_ANSWERS['refusal']] * 20)

    # The same where the other servers fail.
    def test_rest_fails(self) -> None:
        for name in ('failure', 'no answer', 'lower ids', 'half an event'):
            self._check_answers(*[raw.USELESS_ANSWERS[name]] * 20)

    # The same where a server refuses only after the first one was given up.
    def test_rest_is_refused_late(self) -> None:
        refusals = [raw.USELESS_ANSWERS['refusal']] * 2
        self._check_answers(*refusals, delay_s=0.5)

    # The same where it fails only then.
    def test_rest_fails_late(self) -> None:
        self._check_answers(raw.USELESS_ANSWERS['failure'], delay_s=0.5)

    def test_rest_comes_from_another_server(self) -> None:
        self._check_answers()

    # The same where the next server is slower than the first one's pause.
    def test_rest_is_slow(self) -> None:
        self._check_answers(delay_s=1.0)

    # Guards against a server that is given up for one that accepts no
    # connection.
    def test_next_server_hangs(self) -> None:
        engine = PausingEngine(iter(()))

        async def run() -> None:
            async with site.run_deployment() as trial:
                async with raw.run_engines(trial, engine):
                    call = asyncio.ensure_future(
                        raw.read_stream(trial, '/stream/1')
                    )
                    state = trial.nodes[0].loop.state
                    await site.until(
                        lambda: any(
                            item.last_event for item in state.requests.values()
                        )
                    )
                    with listen_full() as address:
                        await raw.register_engines(
                            trial, engine.address, address
                        )
                        _, body = await call
                    self.assertEqual((STREAM, True), raw.decode_chunks(body))
                    self.assertEqual([], engine.resumed_after)

        self.run_coroutine(run())
