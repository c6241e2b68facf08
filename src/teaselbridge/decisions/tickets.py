"""Purposes of calls to the key-value service.

A ticket is passed along with a call and returned with its result, so that
the result reaches the module that made the call.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BucketTicket:
    """Ticket for a read or write of one bucket of the ledger.

    :param key: key of the bucket.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationTicket:
    """Ticket for a read of the configuration that is to be applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeTicket:
    """Ticket for a read or write that applies an operator's change.

    :param number: number of the operator's request within this process.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTicket:
    """Ticket for a call that concerns a pool's lease.

    :param pool: name of the pool.
    """

    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveTicket:
    """Ticket for a read or write of the record of a pool's move.

    :param pool: name of the pool.
    """

    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class UsageTicket:
    """Ticket for a read or write of the last usage report."""


Ticket = (
    BucketTicket
    | ConfigurationTicket
    | ChangeTicket
    | LeaseTicket
    | MoveTicket
    | UsageTicket
)
