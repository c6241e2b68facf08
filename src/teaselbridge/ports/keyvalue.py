"""Interface to the key-value store, which adapters implement."""

from __future__ import annotations

import dataclasses
import enum
import typing

from teaselbridge import errors

if typing.TYPE_CHECKING:
    import collections.abc


class Purpose(enum.Enum):
    """Purpose of a call, by which the metrics count calls."""

    CONFIGURATION = 'configuration'
    LEDGER = 'ledger'
    LEASE = 'lease'
    MOVE = 'move'
    MEMBERS = 'members'
    SERVERS = 'servers'
    USAGE = 'usage'


@dataclasses.dataclass(eq=False)
class KeyValueError(errors.TeaselbridgeError):
    """Failure of a call to the key-value store.

    :param in_doubt: whether a write may have taken effect nevertheless.
    :param detail: description of the failure.
    """

    in_doubt: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Content and revision of a key.

    :param data: content, none where the key does not exist.
    :param revision: modification revision, 0 where the key does not exist.
    """

    data: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SwapResult:
    """Result of a compare-and-swap.

    :param swapped: whether the new value was written.
    :param revision: revision of the write, if it was made.
    """

    swapped: bool
    revision: int


class KeyOperations(typing.Protocol):
    """Operations on single keys; each may raise :class:`KeyValueError`."""

    async def get(self, key: str, purpose: Purpose) -> Value:
        """Read one key."""

    async def compare_and_swap(
        self,
        key: str,
        data: bytes,
        revision: int,
        purpose: Purpose,
        lease: int = 0,
    ) -> SwapResult:
        """Write one key if its modification revision is the given one."""

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its number."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it was still valid."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, which deletes its keys."""


class KeyValueStore(KeyOperations, typing.Protocol):
    """Operations on single keys and watches of a key."""

    def watch(
        self, key: str, revision: int, purpose: Purpose
    ) -> collections.abc.AsyncIterator[Value]:
        """Watch a key from a revision on.

        A progress notification yields a value without data.
        """
