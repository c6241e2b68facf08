"""Classification of failed attempts at backend servers.

Each fault says whether the server may have run the request.
"""

from __future__ import annotations

import asyncio
import dataclasses

import httpx

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge import errors

PROBE_TIMEOUT_MS = 250
RAN_HEADER = 'x-request-ran'
BUSY_STATUSES = frozenset({429, 503})


class BackendError(errors.TeaselbridgeError):
    """A backend server returned no usable response."""


class StreamCutError(BackendError):
    """A stream ended without its end marker."""


@dataclasses.dataclass(eq=False)
class MalformedError(BackendError):
    """A stream contains data that does not follow the protocol.

    :param detail: error of the decoder.
    """

    detail: str


@dataclasses.dataclass(eq=False)
class StatusError(BackendError):
    """A backend server refused a request.

    :param status: HTTP status.
    :param ran: whether the server may have run the request.
    """

    status: int
    ran: calls.RunStatus


def read_ran_header(response: httpx.Response) -> calls.RunStatus:
    """Return whether a server that refused a request may have run it.

    It did not run only if the response states so in a header.
    """
    if response.headers.get(RAN_HEADER) == calls.RunStatus.NOT_RUN.value:
        return calls.RunStatus.NOT_RUN
    return calls.RunStatus.UNKNOWN


async def check_status(response: httpx.Response) -> None:
    """Check that the status of a response is 200.

    :raises StatusError: the response has another status.
    """
    if response.status_code == httpx.codes.OK:
        return
    await response.aread()
    raise StatusError(response.status_code, read_ran_header(response))


async def classify_error(error: Exception, address: str) -> calls.Fault:
    """Classify the error that ended an attempt.

    After a broken connection, the server is probed with a new one, to
    distinguish a server that died from one that closed a pooled
    connection.

    :param error: exception that the attempt raised.
    :param address: ``ip:port`` of the server.
    :return: kind of the fault, and whether the request may have run.
    """
    unknown = calls.RunStatus.UNKNOWN
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            return calls.Fault(
                calls.FaultKind.CONNECT, calls.RunStatus.NOT_RUN, repr(error)
            )
        case httpx.PoolTimeout():
            return calls.Fault(
                calls.FaultKind.BUSY,
                calls.RunStatus.NOT_RUN,
                'no free connection',
            )
        case TimeoutError() | httpx.TimeoutException():
            return calls.Fault(calls.FaultKind.SILENT, unknown, 'no progress')
        case StatusError():
            kind = calls.FaultKind.ERROR
            if error.status in BUSY_STATUSES:
                kind = calls.FaultKind.BUSY
            detail = f'status {error.status}'
            return calls.Fault(kind, error.ran, detail)
        case MalformedError():
            return calls.Fault(calls.FaultKind.ERROR, unknown, error.detail)
    if await is_unreachable(address):
        return calls.Fault(calls.FaultKind.RESET, unknown, repr(error))
    return calls.Fault(calls.FaultKind.CUT, unknown, repr(error))


async def is_unreachable(address: str) -> bool:
    """Return whether a new connection to an address fails or times out."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(clock.seconds(PROBE_TIMEOUT_MS)):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return True
    writer.close()
    return False
