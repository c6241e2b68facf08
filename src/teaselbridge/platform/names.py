"""Names of the deployment platform's HTTP headers, and header helpers."""

from __future__ import annotations

ATTEMPT_ID = b'teaselbridge-attempt-id'
DEADLINE_MS = b'teaselbridge-deadline-ms'
PROMPT_PREFIX = b'teaselbridge-prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
WORKSPACE = b'teaselbridge-tenant'
EXPECT_INSTANCE = b'teaselbridge-expect-instance'
LOAD = b'teaselbridge-runner-load'
NOT_RUN = b'teaselbridge-not-run'
RETRY_AFTER = b'retry-after'
CONTENT_TYPE = b'content-type'
# Set to 1 in all answers of a backend server that is leaving.
SERVER_LEAVING = b'server-leaving'
# Requests a second that a backend server takes from all nodes together.
SERVER_LIMIT = b'server-limit'
# Refusals a second, for want of room, beyond which a backend server fails.
SERVER_BRITTLE = b'server-brittle'
# Number of times that the store was restored from an older copy.
STORE_ERA = 'Store-Era'
# Two numbers: tokens of the prompt and the maximum of output tokens.
TOKEN_COUNTS = b'teaselbridge-token-count'
# Output tokens that the caller expects.
LENGTH_HINT = b'teaselbridge-length-hint'
# Rank among the requests of a backend server; 0 is served first.
URGENCY = b'teaselbridge-request-urgency'
CREDENTIAL = b'teaselbridge-credential'
# ``ip:port`` of the backend server to copy the prompt's KV cache from.
CACHE_SOURCE = b'kv-fetch'
DUTY_HOLDER = 'Teaselbridge-Duty-Holder'
FENCING_TOKEN = 'Teaselbridge-Fence-Token'

# Headers of requests that one node forwards to another one.
FORWARDED_BY = b'teaselbridge-forwarded-by'
IS_COUNTED = b'teaselbridge-is-counted'

# Headers that only this system may set; those of callers are not forwarded.
SYSTEM_HEADERS = frozenset(
    {
        CACHE_SOURCE,
        CREDENTIAL,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        FORWARDED_BY,
        IS_COUNTED,
        LAST_EVENT_ID,
        URGENCY,
        WORKSPACE,
        b'kv-from',
        b'teaselbridge-expect-version',
        b'teaselbridge-hold',
        b'teaselbridge-kv-backup',
        b'teaselbridge-pin-ms',
    }
)

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)

Headers = list[tuple[bytes, bytes]]


def remove_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those for a single connection.

    Besides the fixed list, these are the ones that ``Connection`` names.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b'connection':
            dropped.update(part.strip().lower() for part in value.split(b','))
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]


def list_values(headers: Headers, name: bytes) -> list[str]:
    """Return all values of a header, which may be sent repeatedly.

    :param name: name of the header in lower case.
    """
    return [
        value.decode('latin-1').strip()
        for key, value in headers
        if key.lower() == name
    ]


def first(headers: Headers, name: bytes) -> str:
    """Return the first value of a header, empty where there is none.

    :param name: name of the header in lower case.
    """
    return next(iter(list_values(headers, name)), '')
