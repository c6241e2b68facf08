"""Field-wise differences between two versions of the tables."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

if typing.TYPE_CHECKING:
    from teaselbridge.tables import model

TABLE_NAMES = ('routes', 'pools', 'workspaces')


@dataclasses.dataclass(frozen=True)
class Change:
    """One changed field of a row, or an added or removed row.

    :param table: name of the table.
    :param row: name of the row.
    :param field: name of the field, ``*`` for the whole row.
    :param old: JSON of the old value, empty for an added row.
    :param new: JSON of the new value, empty for a removed row.
    """

    table: str
    row: str
    field: str
    old: str
    new: str

    def __str__(self) -> str:
        location = f'{self.table}.{self.row}.{self.field}'
        return f'{location}: {self.old or "-"} -> {self.new or "-"}'


def diff(old: model.Tables, new: model.Tables) -> tuple[Change, ...]:
    """List the changes from one version of the tables to another.

    :param old: version before the change.
    :param new: version after the change.
    :return: changes ordered by table and row.
    """
    changes: list[Change] = []
    for table in TABLE_NAMES:
        changes.extend(_diff_table(table, old, new))
    return tuple(changes)


def _diff_table(
    table: str, old: model.Tables, new: model.Tables
) -> list[Change]:
    before = {row.name: row for row in getattr(old, table)}
    after = {row.name: row for row in getattr(new, table)}
    changes: list[Change] = []
    for name in sorted(before.keys() | after.keys()):
        changes.extend(_diff_row(table, before.get(name), after.get(name)))
    return changes


def _diff_row(table: str, old: typing.Any, new: typing.Any) -> list[Change]:
    if old == new:
        return []
    if old is None:
        return [Change(table, new.name, '*', '', _to_json(new))]
    if new is None:
        return [Change(table, old.name, '*', _to_json(old), '')]
    changes = []
    for field in dataclasses.fields(old):
        left = getattr(old, field.name)
        right = getattr(new, field.name)
        if left != right:
            change = Change(
                table, old.name, field.name, _to_json(left), _to_json(right)
            )
            changes.append(change)
    return changes


def _to_json(value: object) -> str:
    return msgspec.json.encode(value).decode()
