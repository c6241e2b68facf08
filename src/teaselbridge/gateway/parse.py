"""Parse and check HTTP requests of callers."""

from __future__ import annotations

import dataclasses
import typing

import msgspec
import xxhash

from teaselbridge.backends import service
from teaselbridge.decisions import calls
from teaselbridge.decisions import placement
from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.gateway import headers as names
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.tables import join

ErrorBuilder: typing.TypeAlias = (
    'collections.abc.Callable[[calls.Reason, str], RefusedError]'
)

# Default of `max_tokens` in a completion request.
DEFAULT_MAX_TOKENS = 1_024
# Headers for the gateway, which a plain service does not get.
GATEWAY_HEADERS = frozenset(
    {
        'authorization',
        'content-length',
        'host',
        'idempotency-key',
        'x-deadline-ms',
        'x-request-attempt',
        'x-request-id',
    }
)


@dataclasses.dataclass(eq=False)
class RefusedError(errors.TeaselbridgeError):
    """A request fails the checks.

    :param refusal: refusal to send to the caller.
    :param request: id of the request, empty if it was not parsed.
    """

    refusal: calls.Refusal
    request: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RawRequest:
    """An HTTP request with its complete body.

    :param handle: number of the request within this process.
    :param method: HTTP method.
    :param path: path without the query.
    :param query: query without the question mark.
    :param headers: headers with names in lower case.
    :param body: request body.
    :param now: time of arrival, in monotonic milliseconds.
    """

    handle: int
    method: str
    path: str
    query: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    now: int


@dataclasses.dataclass(frozen=True)
class _Message:
    role: str = ''
    content: str = ''


@dataclasses.dataclass(frozen=True)
class _CompletionRequest:
    """Fields of a completion request that the gateway reads."""

    model: str
    messages: tuple[_Message, ...] = ()
    prompt: str = ''
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False
    resume_tokens: tuple[str, ...] = ()

    @property
    def text(self) -> str:
        """Text of the whole prompt."""
        parts = [f'{item.role}:{item.content}' for item in self.messages]
        return '\n'.join(parts) or self.prompt


def parse_completion(raw: RawRequest, index: join.Index) -> calls.Call:
    """Parse and check a completion request.

    :raises RefusedError: the request fails a check.
    """
    workspace = find_workspace(raw.headers, index)
    request = _parse_request_id(raw.headers)
    build_error = _make_error_builder(request)
    body = _decode_completion(raw.body, build_error)
    route = index.find_route_by_model(body.model)
    if route is None:
        detail = f'no route serves model `{body.model}`'
        raise build_error(calls.Reason.NO_ROUTE, detail)
    if not body.text:
        detail = 'neither `messages` nor `prompt` has text'
        raise build_error(calls.Reason.BAD_REQUEST, detail)
    if len(body.resume_tokens) > body.max_tokens:
        detail = '`resume_tokens` has more than `max_tokens`'
        raise build_error(calls.Reason.BAD_REQUEST, detail)
    return calls.Call(
        handle=raw.handle,
        key=calls.RequestKey(workspace.name, request.text),
        route=route,
        kind=model.Kind.ENGINE,
        deadline=raw.now + _parse_deadline(raw.headers, route, build_error),
        id_time=request.time_ms,
        path=raw.path,
        body=raw.body,
        stream=body.stream,
        max_tokens=body.max_tokens,
        prompt_size=len(body.text),
        prefix=placement.hash_prefix(body.text),
        fingerprint=xxhash.xxh3_64_hexdigest(body.text.encode()),
        resumed=body.resume_tokens,
        first=request.first,
    )


def parse_service_request(raw: RawRequest, index: join.Index) -> calls.Call:
    """Parse and check a request to a plain service.

    :raises RefusedError: the request fails a check.
    """
    workspace = find_workspace(raw.headers, index)
    request = _parse_request_id(raw.headers)
    build_error = _make_error_builder(request)
    route = index.find_route_by_path(raw.path)
    if route is None:
        detail = f'no route serves path `{raw.path}`'
        raise build_error(calls.Reason.NO_ROUTE, detail)
    if not route.idempotent and not request.time_ms:
        detail = 'a non-idempotent request needs a UUID of version 7 as id'
        raise build_error(calls.Reason.ID_INVALID, detail)
    path = raw.path + ('?' + raw.query if raw.query else '')
    return calls.Call(
        handle=raw.handle,
        key=calls.RequestKey(workspace.name, request.text),
        route=route,
        kind=model.Kind.SERVICE,
        deadline=raw.now + _parse_deadline(raw.headers, route, build_error),
        id_time=request.time_ms,
        method=raw.method,
        path=path,
        headers=_select_forwarded_headers(raw.headers),
        body=raw.body,
        fingerprint=_hash_service_request(raw) if route.idempotent else '',
        first=request.first,
    )


def find_workspace(
    headers: collections.abc.Mapping[str, str], index: join.Index
) -> model.Workspace:
    """Return the workspace that the bearer key belongs to.

    :raises RefusedError: the key belongs to no workspace.
    """
    workspace = index.find_workspace_by_key(names.parse_bearer_key(headers))
    if workspace is None:
        detail = 'the bearer key belongs to no workspace'
        raise refused(headers, calls.Reason.BAD_KEY, detail)
    return workspace


def refused(
    headers: collections.abc.Mapping[str, str],
    reason: calls.Reason,
    detail: str,
) -> RefusedError:
    """Build the error for a request whose id was not parsed."""
    request = names.RequestId('', 0, names.is_first_attempt(headers))
    return _make_error_builder(request)(reason, detail)


def _make_error_builder(request: names.RequestId) -> ErrorBuilder:
    """Return a function that builds the errors of a request.

    The errors are for a request that is refused before it runs. An earlier
    attempt may have run it, so the errors say that it did not run only if
    this is the first attempt.
    """
    ran = calls.RunStatus.NOT_RUN if request.first else calls.RunStatus.UNKNOWN

    def build_error(reason: calls.Reason, detail: str) -> RefusedError:
        refusal = calls.Refusal(reason, ran, detail)
        return RefusedError(refusal, request.text)

    return build_error


def _parse_request_id(
    headers: collections.abc.Mapping[str, str],
) -> names.RequestId:
    found = names.parse_request_id(headers)
    if found is None:
        detail = (
            f'an id has at most {names.MAX_ID_LENGTH} printable characters'
        )
        raise refused(headers, calls.Reason.ID_INVALID, detail)
    return found


def _parse_deadline(
    headers: collections.abc.Mapping[str, str],
    route: model.Route,
    build_error: ErrorBuilder,
) -> int:
    found = names.deadline_ms(headers, route.deadline_ms)
    if found is None:
        detail = (
            f'{names.DEADLINE_HEADER} is no positive number of milliseconds'
        )
        raise build_error(calls.Reason.BAD_REQUEST, detail)
    return found


def _decode_completion(
    body: bytes, build_error: ErrorBuilder
) -> _CompletionRequest:
    try:
        # The engine's request is built from the whole body, which may hold
        # more than the known fields.
        documents.decode(body, dict, 'body')
        return documents.decode(body, _CompletionRequest, 'body')
    except errors.DocumentError as error:
        raise build_error(calls.Reason.BAD_REQUEST, str(error)) from error


def _select_forwarded_headers(
    headers: collections.abc.Mapping[str, str],
) -> tuple[calls.Header, ...]:
    excluded = GATEWAY_HEADERS | service.UNFORWARDED_HEADERS
    return tuple(
        calls.Header(name, value)
        for name, value in headers.items()
        if name not in excluded
    )


def _hash_service_request(raw: RawRequest) -> str:
    text = f'{raw.method} {raw.path}?{raw.query}\n'.encode()
    return xxhash.xxh3_64_hexdigest(text + raw.body)
