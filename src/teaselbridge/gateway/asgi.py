"""Helper functions and types for ASGI applications without a framework."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

    Message = dict[str, typing.Any]
    Receive = collections.abc.Callable[[], collections.abc.Awaitable[Message]]
    Send = collections.abc.Callable[[Message], collections.abc.Awaitable[None]]
    Headers = list[tuple[bytes, bytes]]
    Write = collections.abc.Callable[[bytes], bool]
    Abort = collections.abc.Callable[[], None]

# Extension of the scope whose ``write`` writes a part of a started response
# without a coroutine. It returns false where that is not possible now.
WRITE_EXTENSION = 'teaselbridge.write'
# Extension of the scope whose ``abort`` closes the connection at once and
# discards what was not sent.
ABORT_EXTENSION = 'teaselbridge.abort'
# Extension of the scope whose ``target`` is that of the request line.
TARGET_EXTENSION = 'teaselbridge.target'
# Extension of the scope whose ``is_followed`` tells whether another request of
# the connection waits for the answer to this one.
FOLLOWED_EXTENSION = 'teaselbridge.followed'


def get_target(scope: Message) -> bytes:
    """Return the target of a request as it was sent.

    The path and the query of the scope do not tell an empty query from none.
    """
    extension = scope.get('extensions', {}).get(TARGET_EXTENSION, {})
    target: bytes = extension.get('target', scope['raw_path'])
    return target


def get_write(scope: Message) -> Write | None:
    """Return the function of `WRITE_EXTENSION`, none where there is none."""
    extension = scope.get('extensions', {}).get(WRITE_EXTENSION, {})
    write: Write | None = extension.get('write')
    return write


def get_abort(scope: Message) -> Abort | None:
    """Return the function of `ABORT_EXTENSION`, none where there is none."""
    extension = scope.get('extensions', {}).get(ABORT_EXTENSION, {})
    abort: Abort | None = extension.get('abort')
    return abort


def is_followed(scope: Message) -> bool:
    """Return what the function of `FOLLOWED_EXTENSION` tells."""
    extension = scope.get('extensions', {}).get(FOLLOWED_EXTENSION, {})
    return 'is_followed' in extension and bool(extension['is_followed']())


async def send_start(send: Send, status: int, headers: Headers) -> None:
    """Send the status and the headers of a response."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )


async def send_body(send: Send, data: bytes, *, more: bool) -> None:
    """Send a part of the response body.

    :param more: whether another part follows.
    """
    await send({'type': 'http.response.body', 'body': data, 'more_body': more})


async def send_response(
    send: Send, status: int, headers: Headers, body: bytes
) -> None:
    """Send a complete response with its content length."""
    length = (b'content-length', str(len(body)).encode())
    await send_start(send, status, [*headers, length])
    await send_body(send, body, more=False)
