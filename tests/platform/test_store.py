"""Tests of the client of the deployment platform's store."""

from __future__ import annotations

import asyncio
import typing

import testtools

from teaselbridge.platform import connections
from teaselbridge.platform import services
from teaselbridge.platform import store as stores
from teaselbridge.ports import keyvalue
from teaselbridge.telemetry import metrics

if typing.TYPE_CHECKING:
    import collections.abc

PURPOSE = keyvalue.Purpose.CONFIGURATION
ITEM = '{"key": "key"}'


class TestEras(testtools.TestCase):
    """Revisions of different eras are never compared with each other."""

    def setUp(self) -> None:
        super().setUp()
        self.seen: list[tuple[int, bool]] = []
        self.answers: list[tuple[int, str, str]] = []
        self.patch(services.Client, 'call', self._call)
        self.client = stores.StoreClient(
            address='127.0.0.1:1',
            meter=metrics.Meter(),
            on_era=lambda era, restored: self.seen.append((era, restored)),
        )

    async def _call(self, *_: object, **__: object) -> services.Response:
        status, era, body = self.answers.pop(0)
        headers = [(b'Store-Era', era.encode('latin-1'))] if era else []
        head = connections.Head(status, headers)
        return services.Response(head, body.encode())

    def _answer(self, era: str, body: str = ITEM, status: int = 200) -> None:
        self.answers.append((status, era, body))

    def _run(
        self,
        call: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> typing.Any:
        return asyncio.run(call)

    def _get(self) -> typing.Any:
        return self._run(self.client.get('key', PURPOSE))

    def test_each_era_is_told_once(self) -> None:
        for era in ('0', '0', '1', '1', '3'):
            self._answer(era)
            self._get()
        self.assertEqual([(0, False), (1, True), (3, True)], self.seen)

    def test_refusals_tell_the_era_too(self) -> None:
        self._answer('4', status=503)
        self.assertRaises(keyvalue.KeyValueError, self._get)
        self.assertEqual(4, self.client.era)

    def test_answer_of_an_earlier_era_is_not_used(self) -> None:
        self._answer('2')
        self._get()
        self._answer('1')
        self.assertRaises(keyvalue.KeyValueError, self._get)
        self._answer('1')
        swap = self.client.compare_and_swap('key', b'', 0, PURPOSE)
        error = self.assertRaises(keyvalue.KeyValueError, self._run, swap)
        self.assertTrue(error.in_doubt)

    def test_unusable_era_is_ignored(self) -> None:
        for era in ('', 'x', '-1', '1.5', '0x1', '9' * 5_000):
            self._answer(era)
            self._get()
        self.assertEqual([], self.seen)

    def test_watch_over_a_restore_loses_its_history(self) -> None:
        self._answer('1')
        self._get()
        self._answer('2', '{"events": [], "as-of": 105}')
        watch = self.client.changes('', (1, 100), 1_000, PURPOSE)
        self.assertRaises(stores.HistoryLostError, self._run, watch)

    def test_watch_from_an_earlier_era_is_not_sent(self) -> None:
        self._answer('2')
        self._get()
        watch = self.client.changes('', (1, 100), 1_000, PURPOSE)
        self.assertRaises(stores.HistoryLostError, self._run, watch)

    def test_pages_of_different_eras_are_not_joined(self) -> None:
        page = '{"items": [{"key": "a", "rev": 1}], "truncated": true}'
        self._answer('1', page)
        self._answer('2', '{"items": [], "truncated": false}')
        pages = self.client.list('', PURPOSE)
        self.assertRaises(stores.HistoryLostError, self._run, pages)

    def test_list_has_its_era(self) -> None:
        self._answer('5', '{"items": [], "as-of": 9}')
        found = self._run(self.client.list('', PURPOSE))
        self.assertEqual((5, 9), (found.era, found.revision))
