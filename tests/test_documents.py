"""Tests of decoding documents that others have written."""

from __future__ import annotations

import dataclasses
import pathlib

import msgspec
import testtools

import teaselbridge
from teaselbridge import documents
from teaselbridge import errors

NESTED_LEVELS = 20_000


@dataclasses.dataclass(frozen=True)
class _Document:
    number: int = 0
    text: str = ''


class TestDecode(testtools.TestCase):
    """Bytes without a document of the type raise one kind of error.

    Callers catch only that one, so that any other error would end the task
    that reads the document.
    """

    def test_json(self) -> None:
        nested = b'[' * NESTED_LEVELS + b']' * NESTED_LEVELS
        for data in (
            b'',
            b'{',
            b'[]',
            b'\xff\xfe',
            nested,
            b'{"unknown": %b}' % nested,
            b'{"number": "1"}',
            b'{"number": %b}' % (b'9' * 10_000),
            b'{"text": "\\ud800"}',
            b'{"text": "\xff"}',
        ):
            error = self.assertRaises(
                errors.DocumentError,
                documents.decode,
                data,
                _Document,
                'source',
            )
            self.assertEqual('source', error.source)

    def test_packed(self) -> None:
        nested = b'\x91' * NESTED_LEVELS + b'\xc0'
        for data in (
            b'',
            b'\xc1',
            b'\x90',
            nested,
            b'\x81\xa1x' + nested,
            b'\x81\xa4text\xa1\xff',
        ):
            self.assertRaises(
                errors.DocumentError,
                documents.decode_packed,
                data,
                _Document,
                'source',
            )

    def test_path_of_the_mismatch(self) -> None:
        error = self.assertRaises(
            errors.DocumentError,
            documents.decode,
            b'{"text": 7}',
            _Document,
            'source',
        )
        self.assertEqual('$.text', error.path)

    def test_numbers_in_strings(self) -> None:
        decoded = documents.decode(
            b'{"number": "7"}', _Document, 'source', strict=False
        )
        self.assertEqual(7, decoded.number)

    def test_packed_document(self) -> None:
        data = msgspec.msgpack.encode(_Document(3, 'x'))
        decoded = documents.decode_packed(data, _Document, 'source')
        self.assertEqual(_Document(3, 'x'), decoded)


class TestUse(testtools.TestCase):
    """What others wrote is decoded by these functions only."""

    # The reducer decodes what nodes of the same build have written, and the
    # stand-ins what tests send; the engine's body was decoded on arrival.
    EXEMPT = ('decisions', 'standins')

    def test_no_other_module_decodes(self) -> None:
        package = pathlib.Path(teaselbridge.__file__).parent
        for path in package.rglob('*.py'):
            relative = path.relative_to(package)
            if relative.parts[0] in (*self.EXEMPT, 'documents.py'):
                continue
            if str(relative) == 'backends/engine.py':
                continue
            text = path.read_text(encoding='utf-8')
            for call in ('json.decode(', 'msgpack.decode('):
                self.assertNotIn(f'msgspec.{call}', text, str(relative))
