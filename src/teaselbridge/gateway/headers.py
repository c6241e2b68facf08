"""Parse the request headers of callers."""

from __future__ import annotations

import dataclasses
import typing
import uuid

import uuid_utils

if typing.TYPE_CHECKING:
    import collections.abc

REQUEST_ID = 'x-request-id'
IDEMPOTENCY_KEY = 'idempotency-key'
DEADLINE = 'x-deadline-ms'
ATTEMPT = 'x-request-attempt'
FIRST_ATTEMPT = '1'
AUTHORIZATION = 'authorization'
BEARER = 'bearer '
ID_MOST = 128
UUID_VERSION = 7
UUID_TIME_SHIFT = 80


@dataclasses.dataclass(frozen=True, slots=True)
class RequestId:
    """Id of a request.

    :param text: id that the caller sent or that this node generated.
    :param time: wall-clock milliseconds in the id, 0 if it has none.
    :param first: whether this is certainly the first attempt.
    """

    text: str
    time: int
    first: bool


def request_id(headers: collections.abc.Mapping[str, str]) -> RequestId | None:
    """Parse the id of a request, or generate one if there is none.

    :return: none for an id that is too long or not printable.
    """
    text = headers.get(IDEMPOTENCY_KEY) or headers.get(REQUEST_ID) or ''
    text = text.strip().strip('"')
    if not text:
        text = str(uuid_utils.uuid7())
    if len(text) > ID_MOST or not text.isprintable():
        return None
    return RequestId(text, time_of(text), is_first(headers))


def is_first(headers: collections.abc.Mapping[str, str]) -> bool:
    """Return whether this is certainly the first attempt of a request.

    It is if the caller says so, or if it sent no id.
    """
    if headers.get(ATTEMPT) == FIRST_ATTEMPT:
        return True
    return IDEMPOTENCY_KEY not in headers and REQUEST_ID not in headers


def time_of(text: str) -> int:
    """Return the time in a UUID of version 7 (RFC 9562).

    :return: wall-clock milliseconds, 0 for any other id.
    """
    try:
        found = uuid.UUID(text)
    except ValueError:
        return 0
    if found.version != UUID_VERSION:
        return 0
    return found.int >> UUID_TIME_SHIFT


def bearer(headers: collections.abc.Mapping[str, str]) -> str:
    """Return the bearer key, empty if there is none."""
    text = headers.get(AUTHORIZATION, '')
    if not text.lower().startswith(BEARER):
        return ''
    return text[len(BEARER) :].strip()


def deadline_ms(
    headers: collections.abc.Mapping[str, str], most: int
) -> int | None:
    """Return the time limit of the caller, in milliseconds.

    :param most: time limit of the route, the default and the maximum.
    :return: none for a value that is not a positive number.
    """
    text = headers.get(DEADLINE)
    if text is None:
        return most
    try:
        wanted = int(text)
    except ValueError:
        return None
    return min(wanted, most) if wanted > 0 else None
