"""Advice on tables that are valid and still not what users expect."""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    from teaselbridge.tables import model


@dataclasses.dataclass(frozen=True)
class Advice:
    """One thing that an operator should look at.

    :param pool: name of the row.
    :param field: name of the field.
    :param reason: what comes of it.
    """

    pool: str
    field: str
    reason: str

    def __str__(self) -> str:
        return f'pools.{self.pool}.{self.field}: {self.reason}'


def advise(tables: model.Tables) -> tuple[Advice, ...]:
    """Look for pools whose hosts cannot outlive a lost zone at low cost."""
    found = [_spares(pool) for pool in tables.pools]
    return tuple(item for item in found if item is not None)


def reclaimable_needed(least: int, zones: int) -> int | None:
    """Say how many reclaimable hosts keep enough when a zone is lost.

    :param least: hosts that must be left.
    :param zones: availability zones that they are spread over.
    :return: none where no number does.
    """
    if zones < 2:
        return None
    count = least
    while count - math.ceil(count / zones) < least:
        count += 1
    return count


def _spares(pool: model.Pool) -> Advice | None:
    """Tell of a pool that has to use on-demand hosts more than it says."""
    wanted = pool.least - pool.on_demand
    if wanted <= 0:
        return None
    needed = reclaimable_needed(wanted, len(pool.zones))
    if needed is None:
        reason = 'one zone alone is outlived by on-demand hosts only'
        return Advice(pool.name, 'zones', reason)
    if pool.on_demand + needed <= pool.most:
        return None
    reason = (
        f'{pool.on_demand + needed} hosts outlive a lost zone with '
        f'{pool.least} left; {pool.most} do so on on-demand hosts only'
    )
    return Advice(pool.name, 'most', reason)
