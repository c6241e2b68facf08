"""Tests of the answers that name addresses of nodes."""

from __future__ import annotations

import asyncio
import typing

import msgspec
import testtools

from teaselbridge import clock
from teaselbridge.platform import directory
from teaselbridge.telemetry import metrics
from tests.decisions import samples
from tests.gateway import test_addresses


class _Loop:
    """Loop of a node that has been ready since its start."""

    def __init__(self) -> None:
        cores, _ = test_addresses.FLEETS['short of room']
        members = test_addresses.build_members(cores)
        self.state = test_addresses.build_state(members, 1)

    def now(self) -> clock.Instant:
        """Return the time."""
        return samples.instant(0)


class TestAddresses(testtools.TestCase):
    """Answers for callers of a fleet of unequal hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.meter = metrics.Meter()
        self.endpoints = directory.NodeEndpoints(
            loop=_Loop(),  # type: ignore[arg-type]
            meter=self.meter,
        )

    def _ask(self, client: tuple[str, int] | None) -> list[str]:
        sent: list[dict[str, typing.Any]] = []

        async def send(message: dict[str, typing.Any]) -> None:
            sent.append(message)

        scope = {
            'type': 'http',
            'method': 'GET',
            'path': '/api/resolve',
            'query_string': b'zone=a',
            'client': client,
        }
        asyncio.run(
            self.endpoints(scope, None, send)  # type: ignore[arg-type]
        )
        document = msgspec.json.decode(sent[1]['body'])
        found: list[str] = sorted(document['addresses'])
        return found

    def test_list_depends_on_the_address_of_the_caller(self) -> None:
        """Guards against the same few small nodes for all callers."""
        lists = {
            tuple(self._ask((f'10.0.0.{number}', 9))) for number in range(20)
        }
        self.assertGreater(len(lists), 10)
        self.assertEqual(
            self._ask(('10.0.0.1', 9)), self._ask(('10.0.0.1', 10))
        )

    def test_caller_without_an_address(self) -> None:
        self.assertGreaterEqual(len(self._ask(None)), 4)

    def test_listed_nodes_are_counted(self) -> None:
        (first, *_) = self._ask(('10.0.0.1', 9))
        name = first.removeprefix('callers-')
        text = self.meter.export().decode()
        self.assertIn(f'teaselbridge_listed_total{{node="{name}"}} 1.0', text)
