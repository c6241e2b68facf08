"""Checks of the tables beyond what their types can express."""

from __future__ import annotations

import dataclasses
import re
import typing

from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.settings import load
from teaselbridge.tables import model

NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9.-]*')


@dataclasses.dataclass(eq=False)
class TableError(errors.TeaselbridgeError):
    """A row of a table is invalid.

    :param table: ``routes``, ``pools`` or ``workspaces``.
    :param row: name of the row.
    :param field: name of the invalid field.
    :param reason: why the field is invalid.
    """

    table: str
    row: str
    field: str
    reason: str

    def __str__(self) -> str:
        return f'{self.table}.{self.row}.{self.field}: {self.reason}'


def load_tables(path: str) -> model.Tables:
    """Read and check a file of tables.

    :param path: path of a file of JSON with comments.
    :return: the checked tables.
    :raises errors.DocumentError: the file is malformed or does not match
        the schema.
    :raises TableError: a row is invalid.
    """
    tables = documents.convert(load.read_document(path), model.Tables, path)
    check(tables)
    return tables


def check(tables: model.Tables) -> None:
    """Check each row and the references between rows.

    :param tables: decoded tables.
    :raises TableError: describes the first invalid row.
    """
    _check_unique('routes', [row.name for row in tables.routes])
    _check_unique('pools', [row.name for row in tables.pools])
    _check_unique('workspaces', [row.name for row in tables.workspaces])
    for pool in tables.pools:
        _check_name('pools', pool.name, 'name', pool.name)
        _check_pool(pool)
    for workspace in tables.workspaces:
        _check_name('workspaces', workspace.name, 'name', workspace.name)
    pools = {pool.name: pool for pool in tables.pools}
    for route in tables.routes:
        _check_name('routes', route.name, 'name', route.name)
        _check_route(route, pools)
    _check_matches(tables.routes)
    _check_keys(tables.workspaces)


def _check_unique(table: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise TableError(table, name, 'name', 'is defined twice')
        seen.add(name)


def _check_name(table: str, row: str, field: str, name: str) -> None:
    if NAME_PATTERN.fullmatch(name) is None:
        reason = (
            f'`{name}` is no name of lower-case letters, digits, `.` and `-`'
        )
        raise TableError(table, row, field, reason)


def _check_pool(pool: model.Pool) -> None:
    row_error = _make_error_factory('pools', pool.name)
    for field, listed in (
        ('versions', tuple(version.name for version in pool.versions)),
        ('zones', pool.zones),
        ('classes', pool.classes),
    ):
        for name in listed:
            _check_name('pools', pool.name, field, name)
    if not pool.versions:
        raise row_error('versions', 'at least one version is required')
    if not any(version.weight for version in pool.versions):
        raise row_error('versions', 'no version has a weight above 0')
    names = [version.name for version in pool.versions]
    if len(set(names)) < len(names):
        raise row_error('versions', 'a version is listed twice')
    if not pool.zones:
        raise row_error('zones', 'at least one availability zone is required')
    if not pool.classes:
        raise row_error('classes', 'at least one host class is required')
    if pool.most < pool.least:
        raise row_error('most', f'{pool.most} is below least, {pool.least}')
    if pool.on_demand > pool.most:
        raise row_error('on_demand', f'{pool.on_demand} is above most')


def _check_route(route: model.Route, pools: dict[str, model.Pool]) -> None:
    row_error = _make_error_factory('routes', route.name)
    pool = pools.get(route.pool)
    if pool is None:
        raise row_error('pool', f'there is no pool named `{route.pool}`')
    if pool.kind is model.Kind.ENGINE and not route.match.model:
        raise row_error('match.model', 'a route to engines needs a model name')
    if pool.kind is model.Kind.SERVICE and not route.match.path:
        raise row_error('match.path', 'a route to services needs a path')
    if pool.kind is model.Kind.ENGINE and not route.idempotent:
        raise row_error('idempotent', 'engines only serve idempotent routes')
    if route.match.path and not route.match.path.startswith('/'):
        raise row_error('match.path', 'a path must start with /')
    if route.match.path == '/v1' or route.match.path.startswith('/v1/'):
        raise row_error('match.path', '/v1 is reserved for the system itself')
    if not route.idempotent and route.window_ms < route.deadline_ms:
        raise row_error('window_ms', 'is below deadline_ms')


def _check_matches(routes: tuple[model.Route, ...]) -> None:
    seen: dict[model.Match, str] = {}
    for route in routes:
        other = seen.setdefault(route.match, route.name)
        if other != route.name:
            reason = f'is the same as in route `{other}`'
            raise TableError('routes', route.name, 'match', reason)


def _check_keys(workspaces: tuple[model.Workspace, ...]) -> None:
    seen: set[str] = set()
    for workspace in workspaces:
        if not workspace.key:
            raise TableError('workspaces', workspace.name, 'key', 'is empty')
        if workspace.key in seen:
            reason = 'is also the key of another workspace'
            raise TableError('workspaces', workspace.name, 'key', reason)
        seen.add(workspace.key)


def _make_error_factory(
    table: str, row: str
) -> typing.Callable[[str, str], TableError]:
    def row_error(field: str, reason: str) -> TableError:
        return TableError(table, row, field, reason)

    return row_error
