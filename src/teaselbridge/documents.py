"""Strict decoding of plain documents into frozen data classes."""

from __future__ import annotations

import dataclasses
import difflib
import re
import typing

import msgspec

from teaselbridge import errors

T = typing.TypeVar('T')
_PATH = re.compile(r'^(?P<text>.*) - at `(?P<path>[^`]+)`$', re.DOTALL)


def convert(document: object, kind: type[T], source: str) -> T:
    """Decode a plain document and refuse unknown keys.

    :param document: result of a JSON parser.
    :param kind: data class to build.
    :param source: file or address, for the error.
    :return: the decoded value.
    :raises errors.DocumentError: with the path and the expectation.
    """
    unknown = _find_unknown(document, kind, '$')
    if unknown is not None:
        raise errors.DocumentError(source, unknown.path, unknown.expected)
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise _explain(error, source) from error


def decode(data: bytes, kind: type[T], source: str) -> T:
    """Decode JSON bytes into a data class, unknown keys allowed.

    :param data: JSON text.
    :param kind: type to build.
    :param source: address of the sender, for the error.
    :return: the decoded value.
    :raises errors.DocumentError: malformed JSON or wrong shape.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise _explain(error, source) from error
    except msgspec.DecodeError as error:
        raise errors.DocumentError(source, '$', str(error)) from error


def encode(value: object) -> bytes:
    """Encode a data class or plain value as JSON.

    :param value: what to encode.
    :return: JSON text.
    """
    return msgspec.json.encode(value)


@dataclasses.dataclass(frozen=True)
class _Unknown:
    path: str
    expected: str


def _explain(
    error: msgspec.ValidationError, source: str
) -> errors.DocumentError:
    found = _PATH.match(str(error))
    if found is None:
        return errors.DocumentError(source, '$', str(error))
    return errors.DocumentError(source, found['path'], found['text'])


def _find_unknown(
    document: object, kind: object, path: str
) -> _Unknown | None:
    if typing.get_origin(kind) is tuple and isinstance(document, list):
        return _find_in_list(document, typing.get_args(kind)[0], path)
    if not isinstance(kind, type) or not dataclasses.is_dataclass(kind):
        return None
    if not isinstance(document, dict):
        return None
    return _find_in_object(document, kind, path)


def _find_in_list(
    document: list[object], kind: object, path: str
) -> _Unknown | None:
    for index, item in enumerate(document):
        found = _find_unknown(item, kind, f'{path}[{index}]')
        if found is not None:
            return found
    return None


def _find_in_object(
    document: dict[str, object], kind: type, path: str
) -> _Unknown | None:
    hints = typing.get_type_hints(kind)
    for key, value in document.items():
        if key not in hints:
            return _Unknown(f'{path}.{key}', _suggest(key, list(hints)))
        found = _find_unknown(value, hints[key], f'{path}.{key}')
        if found is not None:
            return found
    return None


def _suggest(key: str, known: list[str]) -> str:
    near = difflib.get_close_matches(key, known, n=1)
    if near:
        return f'unknown key, did you mean `{near[0]}`?'
    return 'unknown key, expected one of ' + ', '.join(sorted(known))
