"""Tests of deltas between configurations."""

from __future__ import annotations

import dataclasses

import hypothesis
import hypothesis.strategies as st
import testtools

from teaselbridge.tables import delta
from teaselbridge.tables import model

NAMES = st.sampled_from('abcdef')
ROUTES = st.lists(
    st.builds(
        lambda name, priority: model.Route(
            name=name,
            match=model.Match(model=name),
            pool='p',
            priority=priority,
        ),
        NAMES,
        st.integers(0, 2),
    ),
    unique_by=lambda row: row.name,
).map(tuple)
WORKSPACES = st.lists(
    st.builds(lambda name: model.Workspace(name=name, key=name), NAMES),
    unique_by=lambda row: row.name,
).map(tuple)
TABLES = st.builds(
    lambda routes, workspaces: model.Tables(
        routes=routes, workspaces=workspaces
    ),
    ROUTES,
    WORKSPACES,
)


def build_configurations(*versions: model.Tables) -> list[model.Configuration]:
    """Build an empty configuration and its successors.

    :param versions: tables of the successive configurations.
    """
    configurations = [model.Configuration()]
    for number, tables in enumerate(versions, 1):
        writer = f'writer-{number}'
        configurations.append(
            model.Configuration(
                generation=number,
                writer=writer,
                writers=(writer, *configurations[-1].writers)[
                    : model.MAX_WRITERS
                ],
                tables=tables,
            )
        )
    return configurations


class TestDelta(testtools.TestCase):
    """A delta yields exactly the newer configuration, or nothing."""

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(versions=st.lists(TABLES, min_size=1, max_size=5))
    def test_yields_the_newer_configuration(
        self, versions: list[model.Tables]
    ) -> None:
        configurations = build_configurations(*versions)
        change = delta.compute_delta(configurations[0], configurations[-1])
        if change is not None:
            self.assertEqual(
                configurations[-1], delta.apply(configurations[0], change)
            )

    def test_reordered_rows_have_no_delta(self) -> None:
        first = model.Workspace(name='a', key='a')
        second = model.Workspace(name='b', key='b')
        _, old, new = build_configurations(
            model.Tables(workspaces=(first, second)),
            model.Tables(workspaces=(second, first)),
        )
        self.assertIsNone(delta.compute_delta(old, new))

    def test_other_base_is_refused(self) -> None:
        row = model.Workspace(name='a', key='a')
        empty, old, new = build_configurations(
            model.Tables(), model.Tables(workspaces=(row,))
        )
        change = delta.compute_delta(old, new)
        self.assertIsNone(delta.apply(empty, change))
        other = dataclasses.replace(old, writers=('other',))
        self.assertIsNone(delta.apply(other, change))

    def test_contains_only_the_changed_row(self) -> None:
        rows = tuple(
            model.Workspace(name=f'w{number}', key='k')
            for number in range(200)
        )
        changed = (dataclasses.replace(rows[0], key='other'), *rows[1:])
        _, old, new = build_configurations(
            model.Tables(workspaces=rows), model.Tables(workspaces=changed)
        )
        change = delta.compute_delta(old, new)
        self.assertEqual(changed[:1], change.rows.workspaces)
        self.assertEqual(delta.Removed(), change.removed)
