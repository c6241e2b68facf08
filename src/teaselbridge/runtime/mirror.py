"""Copy of the store's entries, from which other nodes are told of changes."""

from __future__ import annotations

import collections
import typing

from teaselbridge.platform import documents

if typing.TYPE_CHECKING:
    from teaselbridge.platform import store as stores

# Removals that are remembered. A node that is further behind reads the store.
MAX_REMOVALS = 2_000
# The configuration is exchanged by differences, apart from other entries.
EXCLUDED_KEYS = frozenset({documents.CONFIGURATION_KEY})


class EntryMirror:
    """Entries of the store as of a position: its era and a revision in it."""

    def __init__(self) -> None:
        self._entries: dict[str, stores.Entry] = {}
        self._removals: collections.OrderedDict[str, stores.Entry] = (
            collections.OrderedDict()
        )
        self._known_since = 0
        self._position = (0, 0)

    @property
    def position(self) -> tuple[int, int]:
        """Era of the store and revision up to which all changes are known."""
        return self._position

    def replace(self, found: stores.Entries) -> None:
        """Replace all entries by a full list."""
        self._position = found.era, found.revision
        self._known_since = found.revision
        self._removals.clear()
        self._entries = {
            entry.key: entry
            for entry in found.entries
            if entry.key not in EXCLUDED_KEYS
        }

    def update(self, found: stores.Entries) -> tuple[stores.Entry, ...]:
        """Apply changes, and return those that were not known yet.

        :param found: changes up to a position of the same era.
        """
        _, revision = self._position
        fresh = tuple(
            entry for entry in found.entries if entry.revision > revision
        )
        for entry in fresh:
            self._apply(entry)
        self._position = max(self._position, (found.era, found.revision))
        return fresh

    def list_changes(
        self, since: tuple[int, int]
    ) -> tuple[stores.Entry, ...] | None:
        """Return the changes since a position, in the order of revisions.

        :return: ``None`` where some of them are not known.
        """
        era, revision = since
        if era != self._position[0] or revision < self._known_since:
            return None
        changed = [
            entry
            for entries in (self._entries, self._removals)
            for entry in entries.values()
            if entry.revision > revision
        ]
        return tuple(sorted(changed, key=lambda entry: entry.revision))

    def _apply(self, entry: stores.Entry) -> None:
        if entry.key in EXCLUDED_KEYS:
            return
        self._removals.pop(entry.key, None)
        if entry.data is not None:
            self._entries[entry.key] = entry
            return
        self._entries.pop(entry.key, None)
        self._removals[entry.key] = entry
        if len(self._removals) > MAX_REMOVALS:
            _, oldest = self._removals.popitem(last=False)
            self._known_since = max(self._known_since, oldest.revision)
