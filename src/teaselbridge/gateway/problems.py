"""Refusals as problem documents (RFC 9457)."""

from __future__ import annotations

import dataclasses

import litestar
import msgspec

from teaselbridge import clock
from teaselbridge.decisions import calls

MEDIA_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:teaselbridge:problem:'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Problem document that callers get for a refusal.

    :param type: URN that identifies the reason.
    :param title: reason in words.
    :param status: HTTP status.
    :param detail: explanation of this occurrence.
    :param instance: id of the request.
    :param ran: whether the request was run, ``no`` or ``unknown``.
    """

    type: str
    title: str
    status: int
    detail: str
    instance: str
    ran: str


def build_problem(refusal: calls.Refusal, request: str) -> Problem:
    """Build the problem document for a refusal.

    :param request: id of the request.
    """
    return Problem(
        type=TYPE_PREFIX + refusal.reason.value,
        title=refusal.reason.value.replace('-', ' '),
        status=calls.STATUS_BY_REASON[refusal.reason],
        detail=refusal.detail,
        instance=request,
        ran=refusal.ran.value,
    )


def build_response(
    refusal: calls.Refusal, request: str
) -> litestar.Response[bytes]:
    """Build the response for a refusal.

    :param request: id of the request.
    """
    problem = build_problem(refusal, request)
    headers = {'x-request-id': request}
    if refusal.retry_after_ms:
        rounded_up = -(-refusal.retry_after_ms // clock.SECOND_MS)
        headers['retry-after'] = str(rounded_up)
    return litestar.Response(
        msgspec.json.encode(problem),
        status_code=problem.status,
        media_type=MEDIA_TYPE,
        headers=headers,
    )
