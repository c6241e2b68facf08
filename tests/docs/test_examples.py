"""Check links and names of commands, events and reasons in the docs."""

from __future__ import annotations

import pathlib
import re

import testtools

from teaselbridge.cli import main
from teaselbridge.decisions import calls
from teaselbridge.decisions import effects

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGES = ROOT / 'docs' / 'operators'


class TestDocuments(testtools.TestCase):
    """References in the documentation."""

    def _read_pages(self) -> str:
        return '\n'.join(
            path.read_text(encoding='utf-8') for path in PAGES.glob('*.md')
        )

    def test_link_targets_exist(self) -> None:
        for path in (ROOT / 'docs').rglob('*.md'):
            text = path.read_text(encoding='utf-8')
            for link in re.findall(r'\]\(([^)#:]+)\)', text):
                self.assertTrue((path.parent / link).exists(), (path, link))

    def test_commands_exist(self) -> None:
        for name in re.findall(r'`?teaselbridge ([a-z]+)', self._read_pages()):
            self.assertIn(name, main.COMMANDS)

    def test_events_exist(self) -> None:
        known = {mark.value for mark in effects.Mark}
        pattern = (
            r'`((?:server|node|member|move|request|host|keyvalue)-[a-z-]+)`'
        )
        reasons = {reason.value for reason in calls.Reason}
        for name in re.findall(pattern, self._read_pages()):
            self.assertIn(name, known | reasons)

    def test_reasons_exist(self) -> None:
        text = (PAGES / 'overload.md').read_text(encoding='utf-8')
        known = {reason.value for reason in calls.Reason}
        for name in re.findall(r'^\| `([a-z-]+)` \|', text, re.MULTILINE):
            self.assertIn(name, known)
