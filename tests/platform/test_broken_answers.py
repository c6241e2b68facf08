"""Tests of answers that stop after any of their bytes.

The bytes are handed to the connection without a socket, so that each place in
each kind of answer is tried.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

import msgspec
import testtools

from teaselbridge.decisions import events
from teaselbridge.platform import connections
from teaselbridge.platform import runners
from tests.platform import broken
from tests.platform import test_connections
from tests.platform import test_runners

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.decisions import effects

REQUEST = 'r'
SEED = 42
MAX_PIECE_BYTES = 40
FORWARDED = msgspec.structs.replace(test_runners.EFFECT, origin='front-1')
STREAMED = msgspec.structs.replace(
    test_runners.EFFECT,
    call=dataclasses.replace(test_runners.EFFECT.call, stream=True),
)


class FakeTransport(asyncio.Transport):
    """Transport that goes nowhere."""

    def __init__(self) -> None:
        super().__init__()
        self._is_closing = False

    def write(self, data: typing.Any) -> None:
        pass

    def is_closing(self) -> bool:
        return self._is_closing

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self._is_closing = True


class FakePool(connections.Pool):
    """Pool whose only connection goes nowhere.

    :param is_kept: whether the connection has served a request before.
    """

    def __init__(self, *, is_kept: bool) -> None:
        super().__init__()
        self.connection = connections.Connection(self, 'server:1', True)
        self.connection.connection_made(FakeTransport())
        if is_kept:
            self.send('', b'', test_connections.Receiver())
            self.connection.data_received(test_connections.OK)

    def add_idle(self, connection: connections.Connection) -> None:
        """Keep nothing."""

    def send(
        self,
        address: str,
        request: bytes,
        receiver: connections.Receiver,
        *,
        is_head: bool = False,
        new_connection: bool = False,
        on_sent: collections.abc.Callable[[], None] | None = None,
    ) -> connections.Exchange:
        """Send a request."""
        exchange = connections.Exchange(receiver, on_sent)
        self.connection.start(exchange, receiver, request, is_head)
        return exchange

    def receive(
        self,
        pieces: collections.abc.Iterable[bytes],
        ending: broken.Ending,
    ) -> None:
        """Receive some bytes, and then the end of the connection."""
        connection = self.connection
        for piece in pieces:
            connection.data_received(piece)
        match ending:
            case broken.Ending.CLOSED:
                connection.eof_received()
                connection.connection_lost(None)
            case broken.Ending.RESET:
                connection.connection_lost(ConnectionResetError())
            case broken.Ending.ABORTED:
                connection.close()
                connection.connection_lost(None)


def list_cases(
    answers: collections.abc.Iterable[broken.Answer],
) -> collections.abc.Iterator[tuple[broken.Answer, int, broken.Ending]]:
    """List each number of bytes of each answer, with each ending."""
    for answer in answers:
        for count in range(len(answer.data) + 1):
            for ending in broken.Ending:
                yield answer, count, ending


def split(data: bytes, source: random.Random) -> list[bytes]:
    """Split bytes into pieces of random sizes."""
    pieces = []
    while data:
        size = source.randint(1, MAX_PIECE_BYTES)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


class TestCase(testtools.TestCase):
    """Base of the tests."""

    def run_in_loop(self, work: collections.abc.Callable[[], None]) -> None:
        """Call a function within an event loop."""

        async def run() -> None:
            work()

        asyncio.run(run())


class TestConnections(TestCase):
    """An answer ends once, and as complete only if it is."""

    def _check(
        self,
        answer: broken.Answer,
        count: int,
        ending: broken.Ending,
        pieces: list[bytes],
        is_kept: bool,
    ) -> None:
        receiver = test_connections.Receiver()
        pool = FakePool(is_kept=is_kept)
        pool.send('', b'', receiver)
        pool.receive(pieces, ending)
        where = f'{answer.name}, {count} bytes, {ending.value}, {is_kept=}'
        is_whole = answer.is_whole(count, ending)
        self.assertEqual(
            'end' if is_whole else 'error', receiver.calls[-1], where
        )
        last = {'end', 'error'}.intersection(receiver.calls[:-1])
        self.assertEqual(set(), last, where)
        if is_whole:
            assert receiver.head is not None
            self.assertEqual(answer.status, receiver.head.status, where)
            self.assertEqual(answer.get_content(count), receiver.body, where)
        if count < len(answer.start):
            self.assertIsNone(receiver.head, where)

    # Guards against a head or a body that stops in the middle and is taken
    # for a whole answer.
    def test_each_prefix(self) -> None:
        def check() -> None:
            for answer, count, ending in list_cases(
                broken.build_answers(REQUEST)
            ):
                pieces = [answer.data[:count]] if count else []
                self._check(answer, count, ending, pieces, bool(count % 2))

        self.run_in_loop(check)

    # A gateway may refuse such lines (RFC 9112, 5.2).
    def test_folded_lines_are_refused(self) -> None:
        def check() -> None:
            for more in (('X-One: 1', ' 2'), ('Content-Length:', '\t1')):
                answer = broken.build_answer(
                    200, broken.Framing.NONE, request=REQUEST, more=more
                )
                for _, count, ending in list_cases([answer]):
                    receiver = test_connections.Receiver()
                    pool = FakePool(is_kept=False)
                    pool.send('', b'', receiver)
                    pool.receive([answer.data[:count]], ending)
                    self.assertEqual(['error'], receiver.calls)

        self.run_in_loop(check)

    def test_chunks_without_carriage_returns_are_refused(self) -> None:
        def check() -> None:
            answer = broken.build_answer(
                200, broken.Framing.CHUNKS, request=REQUEST
            )
            body = broken.encode_chunks(broken.CONTENT, end=b'\n')
            answer = dataclasses.replace(answer, body=body)
            for _, count, ending in list_cases([answer]):
                receiver = test_connections.Receiver()
                pool = FakePool(is_kept=False)
                pool.send('', b'', receiver)
                pool.receive([answer.data[:count]], ending)
                self.assertEqual('error', receiver.calls[-1])

        self.run_in_loop(check)

    def test_pieces_of_random_sizes(self) -> None:
        def check() -> None:
            source = random.Random(SEED)
            answers = list(broken.build_answers(REQUEST))
            for _ in range(10_000):
                answer = source.choice(answers)
                count = source.randint(0, len(answer.data))
                ending = source.choice(list(broken.Ending))
                pieces = split(answer.data[:count], source)
                self._check(
                    answer, count, ending, pieces, source.random() < 0.5
                )

        self.run_in_loop(check)


class TestAttempts(TestCase):
    """The reducer learns of whole events, and of an end only if it is one."""

    def _relay(
        self,
        effect: effects.RelayAttempt,
        pieces: list[bytes],
        ending: broken.Ending,
    ) -> list[events.Event]:
        found: list[events.Event] = []
        pool = FakePool(is_kept=False)
        runners.Attempt(effect, found.append, lambda _: None).start(pool)
        pool.receive(pieces, ending)
        return [
            event
            for event in found
            if not isinstance(event, test_runners.TERMS)
        ]

    def _check_answers(self, effect: effects.RelayAttempt) -> None:
        for answer, count, ending in list_cases(
            broken.build_answers(effect.call.key.id)
        ):
            pieces = [answer.data[:count]] if count else []
            (event,) = self._relay(effect, pieces, ending)
            where = f'{answer.name}, {count} bytes, {ending.value}'
            if not answer.is_whole(count, ending):
                self.assertIsInstance(event, events.AttemptFailed, where)
                continue
            assert isinstance(event, events.AnswerReceived), where
            self.assertEqual(answer.get_content(count), event.answer.body)
            self.assertEqual(answer.status, event.answer.status)

    def test_answers_of_servers(self) -> None:
        self.run_in_loop(lambda: self._check_answers(test_runners.EFFECT))

    def test_answers_of_helpers(self) -> None:
        self.run_in_loop(lambda: self._check_answers(FORWARDED))

    def _check_stream(
        self,
        effect: effects.RelayAttempt,
        answer: broken.Answer,
        count: int,
        ending: broken.Ending,
        pieces: list[bytes],
    ) -> None:
        where = f'{answer.name}, {count} bytes, {ending.value}'
        *found, last = self._relay(effect, pieces, ending)
        received = b''.join(
            event.data
            for event in found
            if isinstance(event, events.StreamEventsReceived)
        )
        ends = [
            b''.join(broken.EVENTS[:number])
            for number in range(len(broken.EVENTS) + 1)
        ]
        self.assertIn(received, ends, where)
        is_whole = answer.is_whole(count, ending)
        if not answer.has_end and count >= len(answer.start):
            is_whole = is_whole and answer.get_content(count) in ends
        if not is_whole:
            self.assertIsInstance(last, events.AttemptFailed, where)
            return
        assert isinstance(last, events.RelayEnded), where
        self.assertEqual(answer.has_end, last.is_framed, where)
        self.assertEqual(answer.get_content(count), received, where)

    # Guards against a stream that ends as complete in the middle of its head
    # or of an event.
    def test_each_prefix_of_streams(self) -> None:
        def check() -> None:
            for effect in (
                STREAMED,
                msgspec.structs.replace(STREAMED, origin='front-1'),
            ):
                for answer, count, ending in list_cases(
                    broken.build_streams(effect.call.key.id)
                ):
                    pieces = [answer.data[:count]] if count else []
                    self._check_stream(effect, answer, count, ending, pieces)

        self.run_in_loop(check)

    def test_streams_in_pieces_of_random_sizes(self) -> None:
        def check() -> None:
            source = random.Random(SEED)
            streams = list(broken.build_streams(STREAMED.call.key.id))
            for _ in range(5_000):
                answer = source.choice(streams)
                count = source.randint(0, len(answer.data))
                ending = source.choice(list(broken.Ending))
                pieces = split(answer.data[:count], source)
                self._check_stream(STREAMED, answer, count, ending, pieces)

        self.run_in_loop(check)
