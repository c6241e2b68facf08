"""Tests of the copy of the store's entries."""

from __future__ import annotations

import testtools

from teaselbridge.platform import documents
from teaselbridge.platform import store as stores
from teaselbridge.runtime import mirror


def entry(key: str, revision: int, data: bytes | None = b'x') -> stores.Entry:
    """Return an entry."""
    return stores.Entry(key, data, revision)


class TestMirror(testtools.TestCase):
    """Changes since a position, or none where some are not known."""

    def setUp(self) -> None:
        super().setUp()
        self.mirror = mirror.EntryMirror()
        listed = (entry('a', 3), entry('b', 5))
        self.mirror.replace(stores.Entries(listed, 10, 1))

    def _update(self, revision: int, *changes: stores.Entry) -> list[str]:
        found = stores.Entries(changes, revision, 1)
        return [item.key for item in self.mirror.update(found)]

    def _list(self, revision: int, era: int = 1) -> list[str] | None:
        found = self.mirror.list_changes((era, revision))
        return None if found is None else [item.key for item in found]

    def test_changes_in_the_order_of_revisions(self) -> None:
        self._update(14, entry('c', 12), entry('a', 13), entry('b', 14, None))
        self.assertEqual(['c', 'a', 'b'], self._list(10))
        self.assertEqual(['b'], self._list(13))
        self.assertEqual([], self._list(14))
        self.assertEqual((1, 14), self.mirror.position)

    def test_changes_before_the_list_are_not_known(self) -> None:
        self.assertIsNone(self._list(9))

    def test_another_era_is_not_known(self) -> None:
        self.assertIsNone(self._list(10, era=0))
        self.assertIsNone(self._list(10, era=2))

    def test_known_changes_are_not_applied_again(self) -> None:
        self._update(14, entry('a', 12), entry('a', 14, None))
        self.assertEqual([], self._update(12, entry('a', 12)))
        self.assertEqual((1, 14), self.mirror.position)
        (removed,) = self.mirror.list_changes((1, 10)) or ()
        self.assertIsNone(removed.data)

    def test_entry_that_is_written_again(self) -> None:
        self._update(14, entry('a', 12, None))
        self._update(16, entry('a', 16))
        self.assertEqual(['a'], self._list(12))

    def test_configuration_is_left_out(self) -> None:
        self._update(14, entry(documents.CONFIGURATION_KEY, 12))
        self.assertEqual([], self._list(10))

    def test_forgotten_removals_are_not_known(self) -> None:
        for number in range(mirror.MAX_REMOVALS + 5):
            revision = 11 + number
            self._update(revision, entry(f'k{number}', revision, None))
        self.assertIsNone(self._list(10))
        self.assertIsNotNone(self._list(revision - 1))
