"""Base of all typed errors, and the document check behind many of them."""

from __future__ import annotations

import dataclasses


class TeaselbridgeError(Exception):
    """Base of every error that this package raises.

    Errors with fields are data classes that are not frozen, since the
    interpreter sets a traceback on an error that it passes on.
    """


@dataclasses.dataclass(eq=False)
class DocumentError(TeaselbridgeError):
    """A document does not have the expected shape.

    :param source: file or address that the document came from.
    :param path: place in the document, as a JSON path.
    :param expected: what was expected there.
    """

    source: str
    path: str
    expected: str

    def __str__(self) -> str:
        return f'{self.source}: at {self.path}: {self.expected}'
