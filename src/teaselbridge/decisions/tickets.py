"""What a call to the key-value service was made for."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BucketTicket:
    """A read or write of one bucket of the ledger.

    :param key: key of the bucket.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class WatchTicket:
    """A read of the configuration, to put it in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyTicket:
    """A read or write on behalf of an operator's change.

    :param number: number of the question within this process.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTicket:
    """A call on behalf of a pool's lease.

    :param pool: name of the pool.
    """

    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveTicket:
    """A read or write of the record of a pool's move.

    :param pool: name of the pool.
    """

    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class UsageTicket:
    """A read or write of the record of the last usage report."""


Ticket = (
    BucketTicket
    | WatchTicket
    | ApplyTicket
    | LeaseTicket
    | MoveTicket
    | UsageTicket
)
