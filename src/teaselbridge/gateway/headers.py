"""Parse the request headers of callers."""

from __future__ import annotations

import dataclasses
import typing
import uuid

import uuid_utils

if typing.TYPE_CHECKING:
    import collections.abc

REQUEST_ID_HEADER = 'x-request-id'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
DEADLINE_HEADER = 'x-deadline-ms'
ATTEMPT_HEADER = 'x-request-attempt'
FIRST_ATTEMPT = '1'
AUTHORIZATION_HEADER = 'authorization'
BEARER_PREFIX = 'bearer '
MAX_ID_LENGTH = 128
UUID_VERSION = 7
UUID_TIME_SHIFT = 80


@dataclasses.dataclass(frozen=True, slots=True)
class RequestId:
    """Id of a request.

    :param text: id that the caller sent or that this node generated.
    :param time_ms: wall-clock milliseconds in the id, 0 if it has none.
    :param first: whether this is certainly the first attempt.
    """

    text: str
    time_ms: int
    first: bool


def parse_request_id(
    headers: collections.abc.Mapping[str, str],
) -> RequestId | None:
    """Parse the id of a request, or generate one if there is none.

    :return: none for an id that is too long or not printable.
    """
    text = (
        headers.get(IDEMPOTENCY_KEY_HEADER)
        or headers.get(REQUEST_ID_HEADER)
        or ''
    )
    text = text.strip().strip('"')
    if not text:
        text = str(uuid_utils.uuid7())
    if len(text) > MAX_ID_LENGTH or not text.isprintable():
        return None
    return RequestId(text, parse_uuid_time(text), is_first_attempt(headers))


def is_first_attempt(headers: collections.abc.Mapping[str, str]) -> bool:
    """Return whether this is certainly the first attempt of a request.

    It is if the caller says so, or if it sent no id.
    """
    if headers.get(ATTEMPT_HEADER) == FIRST_ATTEMPT:
        return True
    return (
        IDEMPOTENCY_KEY_HEADER not in headers
        and REQUEST_ID_HEADER not in headers
    )


def parse_uuid_time(text: str) -> int:
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


def parse_bearer_key(headers: collections.abc.Mapping[str, str]) -> str:
    """Return the bearer key, empty if there is none."""
    text = headers.get(AUTHORIZATION_HEADER, '')
    if not text.lower().startswith(BEARER_PREFIX):
        return ''
    return text[len(BEARER_PREFIX) :].strip()


def deadline_ms(
    headers: collections.abc.Mapping[str, str], most: int
) -> int | None:
    """Return the time limit of the caller, in milliseconds.

    :param most: time limit of the route, the default and the maximum.
    :return: none for a value that is not a positive number.
    """
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return most
    try:
        wanted = int(text)
    except ValueError:
        return None
    return min(wanted, most) if wanted > 0 else None
