"""Tests of a node on the users' platform as a whole."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import tempfile

import msgspec
import testtools

from teaselbridge.runtime import site as sites
from teaselbridge.settings import model
from tests.failures import site


class TestReload(testtools.TestCase):
    """Settings are read again on request, and bad ones change nothing."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings'
        self.settings = site.settings_of(0, '127.0.0.1:1', '127.0.0.1:2')

    def reload(self, *texts: bytes) -> list[int]:
        """Give the bound on revoked keys after each new text of the file."""

        async def run() -> list[int]:
            node = sites.Site(settings=self.settings, path=str(self.path))
            found = []
            for text in texts:
                self.path.write_bytes(text)
                node.reload()
                bounds = node.loop.state.options.bounds
                assert bounds is not None
                found.append(bounds.revoke_ms)
            await node.abort()
            return found

        return asyncio.run(run())

    def text(self, revoke_ms: int) -> bytes:
        """Give the settings with another bound."""
        assert self.settings.site is not None
        bounds = model.Bounds(revoke_ms=revoke_ms)
        changed = dataclasses.replace(self.settings.site, bounds=bounds)
        settings = dataclasses.replace(self.settings, site=changed)
        return msgspec.json.encode(settings)

    def test_new_settings_are_in_force(self) -> None:
        found = self.reload(self.text(7_000), self.text(3_000))
        self.assertEqual([7_000, 3_000], found)

    def test_bad_settings_change_nothing(self) -> None:
        found = self.reload(self.text(7_000), b'{', b'{"node": 7}')
        self.assertEqual([7_000, 7_000, 7_000], found)
