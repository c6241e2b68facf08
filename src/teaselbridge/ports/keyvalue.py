"""Port of the key-value service: what the rest may ask of it."""

from __future__ import annotations

import dataclasses
import enum
import typing

from teaselbridge import errors

if typing.TYPE_CHECKING:
    import collections.abc


class Purpose(enum.Enum):
    """What a call is made for; calls are counted by it."""

    CONFIGURATION = 'configuration'
    LEDGER = 'ledger'
    LEASE = 'lease'
    MOVE = 'move'
    MEMBERS = 'members'
    SERVERS = 'servers'
    USAGE = 'usage'


@dataclasses.dataclass(eq=False)
class KeyValueError(errors.TeaselbridgeError):
    """A call to the key-value service got no usable answer.

    :param in_doubt: whether a write may have taken effect all the same.
    :param detail: what went wrong.
    """

    in_doubt: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Content of a key.

    :param data: content, none where the key does not exist.
    :param revision: modification revision, 0 where it does not exist.
    """

    data: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Swap:
    """Result of a compare-and-swap.

    :param swapped: whether the new value stands.
    :param revision: revision of the write, where it stands.
    """

    swapped: bool
    revision: int


class Cells(typing.Protocol):
    """Single-key operations; each may raise :class:`KeyValueError`."""

    async def get(self, key: str, purpose: Purpose) -> Value:
        """Read one key."""

    async def swap(
        self,
        key: str,
        data: bytes,
        revision: int,
        purpose: Purpose,
        lease: int = 0,
    ) -> Swap:
        """Write one key if its modification revision is the given one."""

    async def grant(self, ttl_ms: int) -> int:
        """Grant a lease and give its number."""

    async def keep(self, lease: int) -> bool:
        """Renew a lease; tell whether it still stood."""

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""


class KeyValue(Cells, typing.Protocol):
    """Single-key operations, and to follow a key."""

    def watch(
        self, key: str, revision: int, purpose: Purpose
    ) -> collections.abc.AsyncIterator[Value]:
        """Follow a key from a revision on; progress gives no value."""
