"""Ends of requests without the whole answer of a server, for the log.

One line and one counter tell who ended each of them, what the node itself had
cancelled before, and how much time was left.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from teaselbridge.decisions import calls
from teaselbridge.decisions import effects

if typing.TYPE_CHECKING:
    from teaselbridge import clock
    from teaselbridge.decisions import requests


class Cause(enum.Enum):
    """Who ended a request.

    ``SERVER`` and ``HELPER`` failed its last attempt, ``NODE`` decided to end
    it, ``STOPPING`` is a node that has to stop, and ``CUT`` the web server,
    when responses were still open at the end of a graceful shutdown.
    """

    SERVER = 'server'
    HELPER = 'helper'
    CALLER = 'caller'
    DEADLINE = 'deadline'
    NODE = 'node'
    STOPPING = 'stopping'
    CUT = 'cut'


class Sent(enum.Enum):
    """What its caller had got of it."""

    NOTHING = 'nothing'
    PART = 'part'
    REFUSAL = 'refusal'


_CAUSE_BY_REASON = {
    calls.Reason.DEADLINE: Cause.DEADLINE,
    calls.Reason.TIMEOUT: Cause.DEADLINE,
    calls.Reason.STOPPING: Cause.STOPPING,
    calls.Reason.SERVER_FAILED: Cause.SERVER,
    calls.Reason.OUTCOME_UNKNOWN: Cause.SERVER,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Cancellation:
    """Attempt of a request that this node cancelled.

    :param attempt: number of the attempt.
    :param at: monotonic milliseconds.
    :param detail: why it was cancelled.
    """

    attempt: int
    at: int
    detail: str


def note_cancellation(
    request: requests.Request, fault: calls.Fault, now: clock.Instant
) -> None:
    """Note that this node cancels the running attempt of a request."""
    request.cancellation = Cancellation(
        request.attempt, now.mono, fault.detail
    )


def get_refusal_cause(reason: calls.Reason) -> Cause:
    """Return who ends a request that is refused for a reason."""
    return _CAUSE_BY_REASON.get(reason, Cause.NODE)


def get_fault_cause(fault: calls.Fault) -> Cause:
    """Return who ends a request at whose server an attempt failed.

    Silence is what this node makes of a server that has sent nothing.
    """
    if fault.kind is calls.FaultKind.SILENT:
        return Cause.NODE
    return Cause.SERVER


def count(
    cause: Cause, sent: Sent, *, was_cancelled: bool = False
) -> effects.Count:
    """Count an end.

    :param was_cancelled: whether this node had cancelled an attempt.
    """
    label = f'{cause.value}:{sent.value}'
    if was_cancelled:
        label += ':cancelled'
    return effects.Count(effects.Counter.ENDED, label)


def describe(detail: str, cause: Cause, sent: Sent) -> str:
    """Describe an end for the log.

    :param detail: why the request ends.
    """
    return f'{detail}; ended by {cause.value}, {sent.value} sent'


def report(
    request: requests.Request,
    cause: Cause,
    sent: Sent,
    detail: str,
    now: clock.Instant,
) -> list[effects.Effect]:
    """Count an end and add it to the timeline.

    :param detail: why the request ends.
    """
    call = request.call
    cancellation = request.cancellation
    parts = [describe(detail, cause, sent), f'{request.attempt} attempts']
    if cancellation is not None:
        parts.append(
            f'attempt {cancellation.attempt} cancelled'
            f' {now.mono - cancellation.at} ms before'
            f' ({cancellation.detail})'
        )
    parts.append(f'{request.remaining_ms(now)} ms left')
    is_refused = sent is Sent.REFUSAL
    return [
        count(cause, sent, was_cancelled=cancellation is not None),
        effects.RecordEntry(
            mark=effects.Mark.REFUSED if is_refused else effects.Mark.ENDED,
            request=call.key.id,
            route=call.route.name,
            pool=call.route.pool,
            host=request.host,
            detail=', '.join(parts),
        ),
    ]
