"""What went wrong at a backend server, and whether it may have run."""

from __future__ import annotations

import asyncio
import dataclasses

import httpx

from teaselbridge import clock
from teaselbridge.decisions import calls
from teaselbridge import errors

PROBE_MS = 250
RAN_HEADER = 'x-request-ran'
BUSY = frozenset({429, 503})


class BackendError(errors.TeaselbridgeError):
    """A backend server gave no usable answer."""


class StreamCutError(BackendError):
    """A stream ended without an explicit end."""


@dataclasses.dataclass(eq=False)
class MalformedError(BackendError):
    """A stream holds what is not part of the protocol."""

    detail: str


@dataclasses.dataclass(eq=False)
class StatusError(BackendError):
    """A backend server refused.

    :param status: HTTP status.
    :param ran: whether it says that it may have run the request.
    """

    status: int
    ran: calls.Ran


def ran_of(response: httpx.Response) -> calls.Ran:
    """Read whether a refusing server says that it did not run a request."""
    if response.headers.get(RAN_HEADER) == calls.Ran.NO.value:
        return calls.Ran.NO
    return calls.Ran.UNKNOWN


async def check_status(response: httpx.Response) -> None:
    """Refuse an answer that is no success.

    :raises StatusError: with the status.
    """
    if response.status_code == httpx.codes.OK:
        return
    await response.aread()
    raise StatusError(response.status_code, ran_of(response))


async def explain(error: Exception, address: str) -> calls.Fault:
    """Classify what ended an attempt.

    A connection that broke off is followed by a probe, to tell a server
    that died from a kept connection that was closed.

    :param error: what was raised.
    :param address: ``ip:port`` of the server.
    """
    unknown = calls.Ran.UNKNOWN
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            return calls.Fault(
                calls.FaultKind.CONNECT, calls.Ran.NO, repr(error)
            )
        case httpx.PoolTimeout():
            return calls.Fault(
                calls.FaultKind.BUSY, calls.Ran.NO, 'no free connection'
            )
        case TimeoutError() | httpx.TimeoutException():
            return calls.Fault(calls.FaultKind.SILENT, unknown, 'no progress')
        case StatusError():
            kind = calls.FaultKind.ERROR
            if error.status in BUSY:
                kind = calls.FaultKind.BUSY
            detail = f'status {error.status}'
            return calls.Fault(kind, error.ran, detail)
        case MalformedError():
            return calls.Fault(calls.FaultKind.ERROR, unknown, error.detail)
    if await is_dead(address):
        return calls.Fault(calls.FaultKind.RESET, unknown, repr(error))
    return calls.Fault(calls.FaultKind.CUT, unknown, repr(error))


async def is_dead(address: str) -> bool:
    """Tell whether nothing accepts connections at an address."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(clock.seconds(PROBE_MS)):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return True
    writer.close()
    return False
