"""Differences between two configurations, row by row, for other nodes."""

from __future__ import annotations

import dataclasses
import typing

import xxhash

from teaselbridge import documents
from teaselbridge.tables import model

if typing.TYPE_CHECKING:
    import collections.abc

Row = typing.TypeVar('Row', model.Route, model.Pool, model.Workspace)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Removed:
    """Names of the rows that are gone."""

    routes: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delta:
    """What makes one configuration into a newer one.

    Rows that stay keep their places, new ones follow.

    :param base: generation that it applies to.
    :param generation: generation that it makes.
    :param writers: tokens of the writes in between, the newest first.
    :param rows: rows that are new or changed.
    :param removed: rows that are gone.
    :param digest: hash of the result.
    """

    base: int
    generation: int
    writers: tuple[str, ...]
    rows: model.Tables
    removed: Removed
    digest: int


def make(old: model.Configuration, new: model.Configuration) -> Delta | None:
    """Find what makes one configuration into a newer one.

    :return: none where rows changed places or too many writes lie between.
    """
    count = new.generation - old.generation
    delta = Delta(
        base=old.generation,
        generation=new.generation,
        writers=new.writers[:count],
        rows=model.Tables(
            routes=_fresh(old.tables.routes, new.tables.routes),
            pools=_fresh(old.tables.pools, new.tables.pools),
            workspaces=_fresh(old.tables.workspaces, new.tables.workspaces),
        ),
        removed=Removed(
            routes=_gone(old.tables.routes, new.tables.routes),
            pools=_gone(old.tables.pools, new.tables.pools),
            workspaces=_gone(old.tables.workspaces, new.tables.workspaces),
        ),
        digest=digest(new),
    )
    return delta if _join(old, delta) == new else None


def apply(
    old: model.Configuration, delta: Delta
) -> model.Configuration | None:
    """Make the newer configuration.

    :return: none where the delta does not belong to the old one.
    """
    if old.generation != delta.base:
        return None
    found = _join(old, delta)
    return found if digest(found) == delta.digest else None


def digest(configuration: model.Configuration) -> int:
    """Hash a configuration."""
    data = documents.encode(configuration)
    return xxhash.xxh3_64_intdigest(data) >> 1


def _join(old: model.Configuration, delta: Delta) -> model.Configuration:
    writers = (*delta.writers, *old.writers)[: model.WRITERS]
    rows = delta.rows
    removed = delta.removed
    return model.Configuration(
        generation=delta.generation,
        writer=delta.writers[0] if delta.writers else '',
        writers=writers,
        tables=model.Tables(
            routes=_merge(old.tables.routes, rows.routes, removed.routes),
            pools=_merge(old.tables.pools, rows.pools, removed.pools),
            workspaces=_merge(
                old.tables.workspaces, rows.workspaces, removed.workspaces
            ),
        ),
    )


def _fresh(
    old: collections.abc.Sequence[Row], new: collections.abc.Sequence[Row]
) -> tuple[Row, ...]:
    before = {row.name: row for row in old}
    return tuple(row for row in new if before.get(row.name) != row)


def _gone(
    old: collections.abc.Sequence[Row], new: collections.abc.Sequence[Row]
) -> tuple[str, ...]:
    after = {row.name for row in new}
    return tuple(row.name for row in old if row.name not in after)


def _merge(
    old: collections.abc.Sequence[Row],
    fresh: collections.abc.Sequence[Row],
    gone: collections.abc.Collection[str],
) -> tuple[Row, ...]:
    rows = {row.name: row for row in old if row.name not in gone}
    rows.update({row.name: row for row in fresh})
    return tuple(rows.values())
