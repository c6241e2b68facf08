"""Tests of reading and validating settings files."""

from __future__ import annotations

import pathlib
import tempfile

import testtools

from teaselbridge import errors
from teaselbridge.settings import load

GOOD = """
{
  // a comment
  "node": {"name": "entry-1", "zone": "brno-a", "region": "morava"},
  "listen": {"callers": "127.0.0.1:1", "admin": "127.0.0.1:2",
             "peers": "127.0.0.1:3"},
  "platform": {"keyvalue": "http://127.0.0.1:4", "hosts":
    "http://127.0.0.1:5", "cloud": "http://127.0.0.1:5",
    "weights": "http://127.0.0.1:5"},
}
"""


class TestLoad(testtools.TestCase):
    """A settings file is read, or refused with the place of the error."""

    def _load(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.json'
            path.write_text(text, encoding='utf-8')
            return load.load(str(path))

    def _load_invalid(self, text: str) -> errors.DocumentError:
        return self.assertRaises(errors.DocumentError, self._load, text)

    def test_good_file_with_comments(self) -> None:
        settings = self._load(GOOD)
        self.assertEqual('entry-1', settings.node.name)

    def test_missing_file(self) -> None:
        error = self.assertRaises(
            errors.DocumentError, load.load, '/no/such/file'
        )
        self.assertEqual('no such file', error.expected)

    def test_unknown_key_suggests_similar_key(self) -> None:
        error = self._load_invalid(GOOD.replace('"zone"', '"zoen"'))
        self.assertEqual('$.node.zoen', error.path)
        self.assertIn('did you mean `zone`', error.expected)

    def test_wrong_type(self) -> None:
        error = self._load_invalid(GOOD.replace('"brno-a"', '7'))
        self.assertEqual('$.node.zone', error.path)
        self.assertIn('Expected `str`', error.expected)

    def test_bad_address(self) -> None:
        error = self._load_invalid(GOOD.replace('127.0.0.1:3', 'localhost:3'))
        self.assertEqual('$.listen.peers', error.path)

    def test_bad_port(self) -> None:
        error = self._load_invalid(GOOD.replace('127.0.0.1:3', '127.0.0.1:0'))
        self.assertEqual('$.listen.peers', error.path)

    def test_malformed_json(self) -> None:
        error = self._load_invalid('{"node": ')
        self.assertEqual('$', error.path)
