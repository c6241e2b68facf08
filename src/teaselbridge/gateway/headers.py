"""What callers say in headers."""

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

    :param text: as the caller wrote it, or as it was made here.
    :param time: wall milliseconds in it, 0 where it has none.
    :param first: whether it was surely never sent before.
    """

    text: str
    time: int
    first: bool


def request_id(headers: collections.abc.Mapping[str, str]) -> RequestId | None:
    """Read the id of a request, or make one.

    :return: none for an id that is too long.
    """
    text = headers.get(IDEMPOTENCY_KEY) or headers.get(REQUEST_ID) or ''
    text = text.strip().strip('"')
    if not text:
        text = str(uuid_utils.uuid7())
    if len(text) > ID_MOST or not text.isprintable():
        return None
    return RequestId(text, time_of(text), is_first(headers))


def is_first(headers: collections.abc.Mapping[str, str]) -> bool:
    """Tell whether a request was surely never sent before.

    That is so where the caller says so, and where it gave no id.
    """
    if headers.get(ATTEMPT) == FIRST_ATTEMPT:
        return True
    return IDEMPOTENCY_KEY not in headers and REQUEST_ID not in headers


def time_of(text: str) -> int:
    """Read the time of a UUID of version 7 (RFC 9562).

    :return: wall milliseconds, 0 for any other id.
    """
    try:
        found = uuid.UUID(text)
    except ValueError:
        return 0
    if found.version != UUID_VERSION:
        return 0
    return found.int >> UUID_TIME_SHIFT


def bearer(headers: collections.abc.Mapping[str, str]) -> str:
    """Read the bearer key, empty where there is none."""
    text = headers.get(AUTHORIZATION, '')
    if not text.lower().startswith(BEARER):
        return ''
    return text[len(BEARER) :].strip()


def deadline_ms(
    headers: collections.abc.Mapping[str, str], most: int
) -> int | None:
    """Read how many milliseconds the caller waits.

    :param most: the route's own limit, also the default.
    :return: none for what is no positive number.
    """
    text = headers.get(DEADLINE)
    if text is None:
        return most
    try:
        wanted = int(text)
    except ValueError:
        return None
    return min(wanted, most) if wanted > 0 else None
