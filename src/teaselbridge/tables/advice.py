"""Warnings about valid tables with consequences that users may not expect."""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from teaselbridge.tables import model


@dataclasses.dataclass(frozen=True)
class Advice:
    """One warning for an operator.

    :param pool: name of the pool's row.
    :param field: name of the field to review.
    :param reason: consequence of the field's value.
    """

    pool: str
    field: str
    reason: str

    def __str__(self) -> str:
        return f'pools.{self.pool}.{self.field}: {self.reason}'


def list_advice(tables: model.Tables) -> tuple[Advice, ...]:
    """List pools that cannot survive the loss of a zone at low cost."""
    found = [_check_spare_hosts(pool) for pool in tables.pools]
    return tuple(item for item in found if item is not None)


def compute_reclaimable_hosts(least: int, zones: int) -> int | None:
    """Compute the reclaimable hosts needed to survive the loss of a zone.

    :param least: hosts that must remain after the loss.
    :param zones: number of availability zones to spread the hosts over.
    :return: number of hosts, or none if no number suffices.
    """
    if zones < 2:
        return None
    count = least
    while count - math.ceil(count / zones) < least:
        count += 1
    return count


def _check_spare_hosts(pool: model.Pool) -> Advice | None:
    """Return advice on a pool that needs more on-demand hosts than set."""
    wanted = pool.least - pool.on_demand
    if wanted <= 0:
        return None
    needed = compute_reclaimable_hosts(wanted, len(pool.zones))
    if needed is None:
        reason = (
            'with one zone, only on-demand hosts survive the loss of a zone'
        )
        return Advice(pool.name, 'zones', reason)
    if pool.on_demand + needed <= pool.most:
        return None
    reason = (
        f'{pool.on_demand + needed} hosts are needed to keep '
        f'{pool.least} when a zone is lost; {pool.most} suffice only if '
        'more of them are on-demand hosts'
    )
    return Advice(pool.name, 'most', reason)
