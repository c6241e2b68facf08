"""Checks of the tables that their types cannot express."""

from __future__ import annotations

import dataclasses
import typing

from teaselbridge import documents
from teaselbridge import errors
from teaselbridge.settings import load
from teaselbridge.tables import model


@dataclasses.dataclass(eq=False)
class TableError(errors.TeaselbridgeError):
    """A row of a table is refused.

    :param table: ``routes``, ``pools`` or ``workspaces``.
    :param row: name of the row.
    :param field: name of the field.
    :param reason: what is wrong with it.
    """

    table: str
    row: str
    field: str
    reason: str

    def __str__(self) -> str:
        return f'{self.table}.{self.row}.{self.field}: {self.reason}'


def load_tables(path: str) -> model.Tables:
    """Read and check a file with both tables.

    :param path: JSON with comments.
    :return: the checked tables.
    :raises errors.DocumentError: the file has the wrong shape.
    :raises TableError: a row is refused.
    """
    tables = documents.convert(load.read(path), model.Tables, path)
    check(tables)
    return tables


def check(tables: model.Tables) -> None:
    """Check the join by name and what each row means.

    :param tables: decoded tables.
    :raises TableError: the first row that is refused.
    """
    _check_unique('routes', [row.name for row in tables.routes])
    _check_unique('pools', [row.name for row in tables.pools])
    _check_unique('workspaces', [row.name for row in tables.workspaces])
    for pool in tables.pools:
        _check_pool(pool)
    pools = {pool.name: pool for pool in tables.pools}
    for route in tables.routes:
        _check_route(route, pools)
    _check_matches(tables.routes)
    _check_keys(tables.workspaces)


def _check_unique(table: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise TableError(table, name, 'name', 'stands twice')
        seen.add(name)


def _check_pool(pool: model.Pool) -> None:
    refuse = _refuser('pools', pool.name)
    if not pool.versions:
        raise refuse('versions', 'the pool is empty: name a version')
    if not any(version.weight for version in pool.versions):
        raise refuse('versions', 'no version has a weight above 0')
    names = [version.name for version in pool.versions]
    if len(set(names)) < len(names):
        raise refuse('versions', 'a version stands twice')
    if not pool.zones:
        raise refuse('zones', 'the pool is empty: name an availability zone')
    if not pool.classes:
        raise refuse('classes', 'name a host class')
    if pool.most < pool.least:
        raise refuse('most', f'{pool.most} is below least, {pool.least}')
    if pool.on_demand > pool.most:
        raise refuse('on_demand', f'{pool.on_demand} is above most')


def _check_route(route: model.Route, pools: dict[str, model.Pool]) -> None:
    refuse = _refuser('routes', route.name)
    pool = pools.get(route.pool)
    if pool is None:
        raise refuse('pool', f'there is no pool named `{route.pool}`')
    if pool.kind is model.Kind.ENGINE and not route.match.model:
        raise refuse('match.model', 'a route to engines needs a model name')
    if pool.kind is model.Kind.SERVICE and not route.match.path:
        raise refuse('match.path', 'a route to services needs a path')
    if pool.kind is model.Kind.ENGINE and not route.idempotent:
        raise refuse('idempotent', 'engines only serve idempotent routes')
    if route.match.path and not route.match.path.startswith('/'):
        raise refuse('match.path', 'a path starts with /')
    if route.match.path == '/v1' or route.match.path.startswith('/v1/'):
        raise refuse('match.path', '/v1 is taken by the system itself')
    if not route.idempotent and route.window_ms < route.deadline_ms:
        raise refuse('window_ms', 'is below deadline_ms')


def _check_matches(routes: tuple[model.Route, ...]) -> None:
    seen: dict[model.Match, str] = {}
    for route in routes:
        other = seen.setdefault(route.match, route.name)
        if other != route.name:
            reason = f'the same as in route `{other}`'
            raise TableError('routes', route.name, 'match', reason)


def _check_keys(workspaces: tuple[model.Workspace, ...]) -> None:
    seen: set[str] = set()
    for workspace in workspaces:
        if not workspace.key:
            raise TableError('workspaces', workspace.name, 'key', 'is empty')
        if workspace.key in seen:
            reason = 'belongs to another workspace too'
            raise TableError('workspaces', workspace.name, 'key', reason)
        seen.add(workspace.key)


def _refuser(table: str, row: str) -> typing.Callable[[str, str], TableError]:
    def refuse(field: str, reason: str) -> TableError:
        return TableError(table, row, field, reason)

    return refuse
