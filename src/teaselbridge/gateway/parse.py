"""From an HTTP request to a checked call."""

from __future__ import annotations

import dataclasses
import typing

import msgspec
import xxhash

from teaselbridge.backends import service
from teaselbridge.decisions import calls
from teaselbridge.decisions import placement
from teaselbridge import errors
from teaselbridge.gateway import headers as names
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    import collections.abc

    from teaselbridge.tables import join

Refuser: typing.TypeAlias = (
    'collections.abc.Callable[[calls.Reason, str], RefusedError]'
)

MAX_TOKENS = 1_024
PRIVATE_HEADERS = frozenset(
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
    """A request does not pass the checks.

    :param refusal: what the caller is told.
    :param request: id of the request, where it was read.
    """

    refusal: calls.Refusal
    request: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Raw:
    """An HTTP request, read whole.

    :param handle: number of the request within this process.
    :param method: HTTP method.
    :param path: path without query.
    :param query: query without question mark.
    :param headers: with names in lower case.
    :param body: content.
    :param now: monotonic milliseconds.
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
class _Completion:
    """The part of a completion request that is looked at here."""

    model: str
    messages: tuple[_Message, ...] = ()
    prompt: str = ''
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] = MAX_TOKENS
    stream: bool = False
    resume_tokens: tuple[str, ...] = ()

    @property
    def text(self) -> str:
        """All of the prompt."""
        parts = [f'{item.role}:{item.content}' for item in self.messages]
        return '\n'.join(parts) or self.prompt


def completion(raw: Raw, index: join.Index) -> calls.Call:
    """Check a completion request.

    :raises RefusedError: what the caller is told.
    """
    workspace = workspace_of(raw.headers, index)
    request = _request_id(raw.headers)
    refuse = _refuser(request)
    body = _decode(raw.body, refuse)
    route = index.route_of_model(body.model)
    if route is None:
        detail = f'no route serves model `{body.model}`'
        raise refuse(calls.Reason.NO_ROUTE, detail)
    if not body.text:
        detail = 'neither `messages` nor `prompt` has text'
        raise refuse(calls.Reason.BAD_REQUEST, detail)
    if len(body.resume_tokens) >= body.max_tokens:
        detail = '`resume_tokens` has all of `max_tokens` already'
        raise refuse(calls.Reason.BAD_REQUEST, detail)
    return calls.Call(
        handle=raw.handle,
        key=calls.RequestKey(workspace.name, request.text),
        route=route,
        kind=model.Kind.ENGINE,
        deadline=raw.now + _deadline(raw.headers, route, refuse),
        id_time=request.time,
        path=raw.path,
        body=raw.body,
        stream=body.stream,
        max_tokens=body.max_tokens,
        prompt_size=len(body.text),
        prefix=placement.prefix_of(body.text),
        fingerprint=xxhash.xxh3_64_hexdigest(body.text.encode()),
        resumed=body.resume_tokens,
        first=request.first,
    )


def passed_through(raw: Raw, index: join.Index) -> calls.Call:
    """Check a request to a plain service.

    :raises RefusedError: what the caller is told.
    """
    workspace = workspace_of(raw.headers, index)
    request = _request_id(raw.headers)
    refuse = _refuser(request)
    route = index.route_of_path(raw.path)
    if route is None:
        detail = f'no route serves path `{raw.path}`'
        raise refuse(calls.Reason.NO_ROUTE, detail)
    if not route.idempotent and not request.time:
        detail = 'a non-idempotent request needs a UUID of version 7 as id'
        raise refuse(calls.Reason.ID_INVALID, detail)
    path = raw.path + ('?' + raw.query if raw.query else '')
    return calls.Call(
        handle=raw.handle,
        key=calls.RequestKey(workspace.name, request.text),
        route=route,
        kind=model.Kind.SERVICE,
        deadline=raw.now + _deadline(raw.headers, route, refuse),
        id_time=request.time,
        method=raw.method,
        path=path,
        headers=_passed_headers(raw.headers),
        body=raw.body,
        fingerprint=_service_fingerprint(raw) if route.idempotent else '',
        first=request.first,
    )


def workspace_of(
    headers: collections.abc.Mapping[str, str], index: join.Index
) -> model.Workspace:
    """Find out who calls.

    :raises RefusedError: the key belongs to nobody.
    """
    workspace = index.workspace_of_key(names.bearer(headers))
    if workspace is None:
        detail = 'the bearer key belongs to no workspace'
        raise refused(headers, calls.Reason.BAD_KEY, detail)
    return workspace


def refused(
    headers: collections.abc.Mapping[str, str],
    reason: calls.Reason,
    detail: str,
) -> RefusedError:
    """Build the error for a request whose id was not read."""
    request = names.RequestId('', 0, names.is_first(headers))
    return _refuser(request)(reason, detail)


def _refuser(request: names.RequestId) -> Refuser:
    """Build errors for a request that was not run by this sending of it."""
    ran = calls.Ran.NO if request.first else calls.Ran.UNKNOWN

    def refuse(reason: calls.Reason, detail: str) -> RefusedError:
        refusal = calls.Refusal(reason, ran, detail)
        return RefusedError(refusal, request.text)

    return refuse


def _request_id(
    headers: collections.abc.Mapping[str, str],
) -> names.RequestId:
    found = names.request_id(headers)
    if found is None:
        detail = f'an id has at most {names.ID_MOST} printable characters'
        raise refused(headers, calls.Reason.ID_INVALID, detail)
    return found


def _deadline(
    headers: collections.abc.Mapping[str, str],
    route: model.Route,
    refuse: Refuser,
) -> int:
    found = names.deadline_ms(headers, route.deadline_ms)
    if found is None:
        detail = f'{names.DEADLINE} is no positive number of milliseconds'
        raise refuse(calls.Reason.BAD_REQUEST, detail)
    return found


def _decode(body: bytes, refuse: Refuser) -> _Completion:
    try:
        return msgspec.json.decode(body, type=_Completion)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise refuse(calls.Reason.BAD_REQUEST, str(error)) from error


def _passed_headers(
    headers: collections.abc.Mapping[str, str],
) -> tuple[calls.Header, ...]:
    left_out = PRIVATE_HEADERS | service.HOP_BY_HOP
    return tuple(
        calls.Header(name, value)
        for name, value in headers.items()
        if name not in left_out
    )


def _service_fingerprint(raw: Raw) -> str:
    text = f'{raw.method} {raw.path}?{raw.query}\n'.encode()
    return xxhash.xxh3_64_hexdigest(text + raw.body)
