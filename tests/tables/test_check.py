"""Tests of the checks, differences and index of the tables."""

from __future__ import annotations

import dataclasses

import testtools

from teaselbridge.tables import check
from teaselbridge.tables import diff
from teaselbridge.tables import join
from teaselbridge.tables import model

POOL = model.Pool(
    name='lm',
    kind=model.Kind.ENGINE,
    versions=(model.Version(name='v1'),),
    zones=('brno-a',),
)
ROUTE = model.Route(
    name='assistant', match=model.Match(model='kadidlo'), pool='lm'
)
GOOD = model.Tables(routes=(ROUTE,), pools=(POOL,))


class TestCheck(testtools.TestCase):
    """Invalid rows are refused with their table, row and field."""

    def _check_invalid(self, tables: model.Tables) -> tuple[str, str, str]:
        error = self.assertRaises(check.TableError, check.check, tables)
        return error.table, error.row, error.field

    def test_good_tables(self) -> None:
        check.check(GOOD)

    def test_missing_pool(self) -> None:
        tables = dataclasses.replace(GOOD, pools=())
        found = self._check_invalid(tables)
        self.assertEqual(('routes', 'assistant', 'pool'), found)

    def test_duplicate_route(self) -> None:
        tables = dataclasses.replace(GOOD, routes=(ROUTE, ROUTE))
        found = self._check_invalid(tables)
        self.assertEqual(('routes', 'assistant', 'name'), found)

    def test_empty_pool(self) -> None:
        pool = dataclasses.replace(POOL, versions=())
        found = self._check_invalid(dataclasses.replace(GOOD, pools=(pool,)))
        self.assertEqual(('pools', 'lm', 'versions'), found)

    def test_two_routes_with_one_match(self) -> None:
        twin = dataclasses.replace(ROUTE, name='twin')
        tables = dataclasses.replace(GOOD, routes=(ROUTE, twin))
        found = self._check_invalid(tables)
        self.assertEqual(('routes', 'twin', 'match'), found)

    def test_engines_serve_idempotent_routes_only(self) -> None:
        route = dataclasses.replace(ROUTE, idempotent=False)
        found = self._check_invalid(dataclasses.replace(GOOD, routes=(route,)))
        self.assertEqual(('routes', 'assistant', 'idempotent'), found)

    def test_names(self) -> None:
        for name in ('', 'A', 'a_b', '-a', 'a b', 'ž', 'a\n'):
            route = dataclasses.replace(ROUTE, name=name)
            pool = dataclasses.replace(
                POOL, versions=(model.Version(name=name),)
            )
            workspace = model.Workspace(name=name, key='k')
            for tables, field in (
                (dataclasses.replace(GOOD, routes=(route,)), 'name'),
                (dataclasses.replace(GOOD, pools=(pool,)), 'versions'),
                (dataclasses.replace(GOOD, workspaces=(workspace,)), 'name'),
            ):
                found = self._check_invalid(tables)
                self.assertEqual(field, found[2])

    def test_system_paths_are_reserved(self) -> None:
        pool = dataclasses.replace(POOL, kind=model.Kind.SERVICE)
        route = dataclasses.replace(ROUTE, match=model.Match(path='/v1/x'))
        tables = model.Tables(routes=(route,), pools=(pool,))
        found = self._check_invalid(tables)
        self.assertEqual(('routes', 'assistant', 'match.path'), found)


class TestDiff(testtools.TestCase):
    """Differences between two versions of the tables."""

    def test_equal_tables(self) -> None:
        self.assertEqual((), diff.diff(GOOD, GOOD))

    def test_changed_field(self) -> None:
        route = dataclasses.replace(ROUTE, priority=1)
        new = dataclasses.replace(GOOD, routes=(route,))
        change = diff.Change('routes', 'assistant', 'priority', '5', '1')
        self.assertEqual((change,), diff.diff(GOOD, new))

    def test_removed_row(self) -> None:
        new = dataclasses.replace(GOOD, routes=())
        (change,) = diff.diff(GOOD, new)
        self.assertEqual(('*', ''), (change.field, change.new))


class TestIndex(testtools.TestCase):
    """Lookups by path and key."""

    def _build_index(self, *paths: str) -> join.Index:
        routes = tuple(
            model.Route(
                name=f'r{number}', match=model.Match(path=path), pool='p'
            )
            for number, path in enumerate(paths)
        )
        tables = model.Tables(routes=routes)
        return join.Index(configuration=model.Configuration(tables=tables))

    def test_longest_prefix_wins(self) -> None:
        index = self._build_index('/orders', '/orders/print')
        route = index.find_route_by_path('/orders/print/1')
        self.assertEqual('r1', route.name)

    def test_prefix_matches_whole_segments(self) -> None:
        index = self._build_index('/orders')
        self.assertIsNone(index.find_route_by_path('/ordersheet'))

    def test_unknown_key_has_no_workspace(self) -> None:
        row = model.Workspace(name='a', key='k')
        tables = model.Tables(workspaces=(row,))
        index = join.Index(configuration=model.Configuration(tables=tables))
        self.assertIsNone(index.find_workspace_by_key('wrong'))
        self.assertEqual('a', index.find_workspace_by_key('k').name)
