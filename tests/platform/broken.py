"""Answers of backend servers that stop after any of their bytes."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import typing

if typing.TYPE_CHECKING:
    import collections.abc

STAMP = 'stamp'
CONTENT = b'abcdefghijklmnopq'
EVENTS = (
    b'id: 1\ndata: one\n\n',
    b': a comment\n\n',
    b'id: 2\r\ndata: two\r\n\r\n',
    b'id: 3\rdata: three\r\r',
)


class Ending(enum.Enum):
    """How a connection ends after the last byte that was received."""

    CLOSED = 'closed by the server'
    RESET = 'reset'
    ABORTED = 'aborted by the client'


@dataclasses.dataclass(frozen=True)
class Answer:
    """Bytes of one answer.

    :param name: what tells it from others.
    :param start: interim responses and the head.
    :param body: the body as it is sent.
    :param content: the body as it is meant.
    :param has_end: whether it states its end.
    """

    name: str
    status: int
    start: bytes
    body: bytes
    content: bytes
    has_end: bool

    @property
    def data(self) -> bytes:
        """All bytes of the answer."""
        return self.start + self.body

    def is_whole(self, count: int, ending: Ending) -> bool:
        """Return whether it is complete after some of its bytes.

        One without a stated end is whatever came before the server closed the
        connection.
        """
        if self.has_end:
            return count == len(self.data)
        return ending is Ending.CLOSED and count >= len(self.start)

    def get_content(self, count: int) -> bytes:
        """Return the body of an answer that is whole after some bytes."""
        if self.has_end:
            return self.content
        return self.content[: count - len(self.start)]


class Framing(enum.Enum):
    """How an answer tells where it ends."""

    LENGTH = 'length'
    EMPTY = 'length of 0'
    CHUNKS = 'chunks'
    CHUNKS_AND_MORE = 'chunks with extensions and trailers'
    NONE = 'none'


INTERIM_RESPONSES = {
    'no interim response': (),
    '100': ('HTTP/1.1 100 Continue', ''),
    '103, 100': (
        'HTTP/1.1 103 Early Hints',
        'Link: </style.css>; rel=preload',
        '',
        'HTTP/1.1 100 Continue',
        '',
    ),
}


def build_answer(
    status: int,
    framing: Framing,
    *,
    request: str,
    version: str = '1.1',
    interim: str = 'no interim response',
    line_end: str = '\r\n',
    kind: str = 'text/plain',
    content: bytes = CONTENT,
    more: tuple[str, ...] = (),
) -> Answer:
    """Build an answer.

    :param request: id of the request that it answers.
    :param interim: key of `INTERIM_RESPONSES`.
    :param line_end: end of the lines of the head.
    :param more: additional lines of the head.
    """
    lines = [
        *INTERIM_RESPONSES[interim],
        f'HTTP/{version} {status} Any',
        f'Teaselbridge-Attempt-Id: {request}',
        f'Content-Type: {kind}',
        'X-Empty:',
        *more,
        f'Teaselbridge-Reply-Stamp: {STAMP}',
    ]
    body = content
    match framing:
        case Framing.LENGTH:
            lines.append(f'Content-Length: {len(content)}')
        case Framing.EMPTY:
            lines.append('Content-Length: 0')
            body = content = b''
        case Framing.CHUNKS:
            lines.append('Transfer-Encoding: chunked')
            body = encode_chunks(content)
        case Framing.CHUNKS_AND_MORE:
            lines.append('Transfer-Encoding: chunked')
            body = encode_chunks(content, has_more=True)
        case Framing.NONE:
            lines.append('Connection: close')
    start = line_end.join((*lines, '', '')).encode()
    name = (
        f'{status}, {framing.value}, HTTP/{version}, {interim},'
        f' {line_end!r}, {kind}'
    )
    return Answer(
        name, status, start, body, content, framing is not Framing.NONE
    )


def encode_chunks(
    content: bytes, *, has_more: bool = False, end: bytes = b'\r\n'
) -> bytes:
    """Encode a body in three chunks.

    :param has_more: whether there are extensions and trailers.
    :param end: end of lines.
    """
    third = max(1, len(content) // 3)
    pieces = (content[:third], content[third : 2 * third])
    out = b''
    for piece in (*pieces, content[2 * third :]):
        extension = b';x="a;b";y=%d' % len(piece) if has_more else b''
        size = b'%03x' if has_more else b'%x'
        out += size % len(piece) + extension + end + piece + end
    last = b'000;z' if has_more else b'0'
    trailers = b'X-One: 1' + end + b'X-Two:' + end if has_more else b''
    return out + last + end + trailers + end


def build_answers(request: str) -> collections.abc.Iterator[Answer]:
    """Build answers of all kinds, without events."""
    for status, framing, version, interim, line_end in itertools.product(
        (200, 404, 503),
        Framing,
        ('1.0', '1.1'),
        INTERIM_RESPONSES,
        ('\r\n', '\n'),
    ):
        if version == '1.0' and (
            framing in (Framing.CHUNKS, Framing.CHUNKS_AND_MORE)
            or INTERIM_RESPONSES[interim]
        ):
            continue
        yield build_answer(
            status,
            framing,
            request=request,
            version=version,
            interim=interim,
            line_end=line_end,
        )


def build_streams(request: str) -> collections.abc.Iterator[Answer]:
    """Build event streams."""
    for framing in Framing:
        if framing is not Framing.EMPTY:
            yield build_answer(
                200,
                framing,
                request=request,
                kind='text/event-stream',
                content=b''.join(EVENTS),
            )
