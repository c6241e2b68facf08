"""Row-wise deltas between two configurations, for sending to other nodes."""

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
    """Names of the removed rows."""

    routes: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delta:
    """Change from one configuration to a newer one.

    Remaining rows keep their order; new rows are appended.

    :param base: generation that the delta applies to.
    :param generation: generation that results.
    :param writers: tokens of the writes in between, newest first.
    :param rows: new and changed rows.
    :param removed: names of the removed rows.
    :param digest: hash of the resulting configuration.
    """

    base: int
    generation: int
    writers: tuple[str, ...]
    rows: model.Tables
    removed: Removed
    digest: int


def compute_delta(
    old: model.Configuration, new: model.Configuration
) -> Delta | None:
    """Compute the delta from one configuration to a newer one.

    :return: the delta, or none if it cannot express the change: the order
        of rows changed, or there were too many writes in between.
    """
    count = new.generation - old.generation
    delta = Delta(
        base=old.generation,
        generation=new.generation,
        writers=new.writers[:count],
        rows=model.Tables(
            routes=_changed_rows(old.tables.routes, new.tables.routes),
            pools=_changed_rows(old.tables.pools, new.tables.pools),
            workspaces=_changed_rows(
                old.tables.workspaces, new.tables.workspaces
            ),
        ),
        removed=Removed(
            routes=_removed_names(old.tables.routes, new.tables.routes),
            pools=_removed_names(old.tables.pools, new.tables.pools),
            workspaces=_removed_names(
                old.tables.workspaces, new.tables.workspaces
            ),
        ),
        digest=digest(new),
    )
    return delta if _apply_unchecked(old, delta) == new else None


def apply(
    old: model.Configuration, delta: Delta
) -> model.Configuration | None:
    """Apply a delta to a configuration.

    :return: the newer configuration, or none if the delta does not apply to
        the old one.
    """
    if old.generation != delta.base:
        return None
    result = _apply_unchecked(old, delta)
    return result if digest(result) == delta.digest else None


def digest(configuration: model.Configuration) -> int:
    """Return a 63-bit hash of a configuration."""
    data = documents.encode(configuration)
    return xxhash.xxh3_64_intdigest(data) >> 1


def _apply_unchecked(
    old: model.Configuration, delta: Delta
) -> model.Configuration:
    writers = (*delta.writers, *old.writers)[: model.MAX_WRITERS]
    rows = delta.rows
    removed = delta.removed
    return model.Configuration(
        generation=delta.generation,
        writer=delta.writers[0] if delta.writers else '',
        writers=writers,
        tables=model.Tables(
            routes=_merge_rows(old.tables.routes, rows.routes, removed.routes),
            pools=_merge_rows(old.tables.pools, rows.pools, removed.pools),
            workspaces=_merge_rows(
                old.tables.workspaces, rows.workspaces, removed.workspaces
            ),
        ),
    )


def _changed_rows(
    old: collections.abc.Sequence[Row], new: collections.abc.Sequence[Row]
) -> tuple[Row, ...]:
    before = {row.name: row for row in old}
    return tuple(row for row in new if before.get(row.name) != row)


def _removed_names(
    old: collections.abc.Sequence[Row], new: collections.abc.Sequence[Row]
) -> tuple[str, ...]:
    after = {row.name for row in new}
    return tuple(row.name for row in old if row.name not in after)


def _merge_rows(
    old: collections.abc.Sequence[Row],
    changed: collections.abc.Sequence[Row],
    removed_names: collections.abc.Collection[str],
) -> tuple[Row, ...]:
    rows = {row.name: row for row in old if row.name not in removed_names}
    rows.update({row.name: row for row in changed})
    return tuple(rows.values())
