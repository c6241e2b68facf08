"""Decoding of JSON documents into frozen data classes, and encoding."""

from __future__ import annotations

import dataclasses
import difflib
import re
import typing

import msgspec

from teaselbridge import errors

T = typing.TypeVar('T')
# What the decoders raise for bytes that hold no document of the wanted type.
# Documents that are nested too deeply are among them.
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
_MESSAGE_WITH_PATH = re.compile(
    r'^(?P<text>.*) - at `(?P<path>[^`]+)`$', re.DOTALL
)


def convert(document: object, kind: type[T], source: str) -> T:
    """Convert a parsed JSON document and reject unknown keys.

    :param document: result of a JSON parser.
    :param kind: data class to build.
    :param source: file or address of the document, for the error.
    :return: the decoded value.
    :raises errors.DocumentError: unknown key or wrong type, with its path.
    """
    unknown = _find_unknown_key(document, kind, '$')
    if unknown is not None:
        raise errors.DocumentError(source, unknown.path, unknown.expected)
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise _build_error(error, source) from error


def decode(
    data: bytes | str, kind: type[T], source: str, *, strict: bool = True
) -> T:
    """Decode JSON text into a data class and ignore unknown keys.

    :param data: JSON text.
    :param kind: type to build.
    :param source: name or address of the sender, for the error.
    :param strict: whether numbers in strings are refused.
    :return: the decoded value.
    :raises errors.DocumentError: malformed or too deeply nested JSON, or a
        value of wrong type.
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=strict)
    except _DECODE_ERRORS as error:
        raise _build_error(error, source) from error


def decode_packed(data: bytes, kind: type[T], source: str) -> T:
    """Decode MessagePack into a data class and ignore unknown keys.

    :param data: MessagePack bytes.
    :param kind: type to build.
    :param source: name or address of the sender, for the error.
    :return: the decoded value.
    :raises errors.DocumentError: malformed or too deeply nested bytes, or a
        value of wrong type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _DECODE_ERRORS as error:
        raise _build_error(error, source) from error


def encode(value: object) -> bytes:
    """Encode a data class or plain value as JSON.

    :param value: value to encode.
    :return: JSON text.
    """
    return msgspec.json.encode(value)


@dataclasses.dataclass(frozen=True)
class _UnknownKey:
    path: str
    expected: str


def _build_error(error: Exception, source: str) -> errors.DocumentError:
    matched = _MESSAGE_WITH_PATH.match(str(error))
    if matched is None:
        return errors.DocumentError(source, '$', str(error))
    return errors.DocumentError(source, matched['path'], matched['text'])


def _find_unknown_key(
    document: object, kind: object, path: str
) -> _UnknownKey | None:
    if typing.get_origin(kind) is tuple and isinstance(document, list):
        return _find_in_list(document, typing.get_args(kind)[0], path)
    if not isinstance(kind, type) or not dataclasses.is_dataclass(kind):
        return None
    if not isinstance(document, dict):
        return None
    return _find_in_object(document, kind, path)


def _find_in_list(
    document: list[object], kind: object, path: str
) -> _UnknownKey | None:
    for index, item in enumerate(document):
        unknown = _find_unknown_key(item, kind, f'{path}[{index}]')
        if unknown is not None:
            return unknown
    return None


def _find_in_object(
    document: dict[str, object], kind: type, path: str
) -> _UnknownKey | None:
    hints = typing.get_type_hints(kind)
    for key, value in document.items():
        if key not in hints:
            return _UnknownKey(f'{path}.{key}', _suggest(key, list(hints)))
        unknown = _find_unknown_key(value, hints[key], f'{path}.{key}')
        if unknown is not None:
            return unknown
    return None


def _suggest(key: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(key, known, n=1)
    if matches:
        return f'unknown key, did you mean `{matches[0]}`?'
    return 'unknown key, expected one of ' + ', '.join(sorted(known))
