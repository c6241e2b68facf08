"""Base class of all errors of this package, and the document error."""

from __future__ import annotations

import dataclasses


class TeaselbridgeError(Exception):
    """Base class of every error that this package raises.

    Errors with fields are data classes that are not frozen, since the
    interpreter sets the traceback of an exception while it propagates.
    """


@dataclasses.dataclass(eq=False)
class DocumentError(TeaselbridgeError):
    """A document that does not match its schema.

    :param source: file or address that the document came from.
    :param path: JSON path of the mismatch.
    :param expected: description of what was expected there.
    """

    source: str
    path: str
    expected: str

    def __str__(self) -> str:
        return f'{self.source}: at {self.path}: {self.expected}'
