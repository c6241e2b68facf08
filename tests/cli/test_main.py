"""Tests of the command line, run as a process."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import testtools

ROOT = pathlib.Path(__file__).parent.parent.parent
EXAMPLES = ROOT / 'examples'
USAGE = 2


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a command and return its exit code and output."""
    return subprocess.run(
        [sys.executable, '-m', 'teaselbridge', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


class TestCommandLine(testtools.TestCase):
    """Tests of exit codes and error messages."""

    def test_examples_are_good(self) -> None:
        for number in (1, 2, 3):
            path = str(EXAMPLES / f'entry-{number}.json')
            self.assertEqual(0, run('settings', 'check', path).returncode)
        path = str(EXAMPLES / 'tables.json')
        self.assertEqual(0, run('config', 'check', path).returncode)

    def test_bad_settings(self) -> None:
        path = str(EXAMPLES / 'tables.json')
        for command in (
            ['settings', 'check', path],
            ['serve', '--settings', path],
        ):
            completed = run(*command)
            self.assertEqual(USAGE, completed.returncode)
            self.assertIn('$.routes: unknown key', completed.stderr)

    def test_missing_file(self) -> None:
        completed = run('config', 'check', '/no/such/file')
        self.assertEqual(USAGE, completed.returncode)
        self.assertIn('no such file', completed.stderr)

    def test_no_node_answers(self) -> None:
        completed = run('status', '--node', '127.0.0.1:9')
        self.assertEqual(USAGE, completed.returncode)
        self.assertIn('RemoteError: 127.0.0.1:9', completed.stderr)

    def test_load_goes_to_loopback_only(self) -> None:
        completed = run('load', '--to', '192.0.2.1:80')
        self.assertEqual(USAGE, completed.returncode)
        self.assertIn('no loopback address', completed.stderr)
