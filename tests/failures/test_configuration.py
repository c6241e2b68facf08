"""Accepted tables reach all nodes and are never rolled back.

The tests disturb the key-value store and change the tables concurrently.
"""

from __future__ import annotations

import asyncio
import dataclasses

from teaselbridge.cli import config
from teaselbridge.standins import keyvalue
from teaselbridge.tables import model
from tests.failures import base


def with_workspace(name: str) -> model.Tables:
    """Build tables with one more workspace."""
    row = model.Workspace(name=name, key=f'key-of-{name}')
    rows = (*base.TABLES.workspaces, row)
    return dataclasses.replace(base.TABLES, workspaces=rows)


class TestConfiguration(base.TestCase):
    """Tests of changes to the tables during failures."""

    def test_response_lost_after_write(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                trial.fleet.store.faults = keyvalue.Faults(lose_answers=1)
                reply = await trial.apply(with_workspace('a'))
                self.assertEqual('applied', reply.state)
                self.assertEqual(2, reply.generation)

        self.run_coroutine(run())

    def test_two_operators_race(self) -> None:
        """Check that one of two concurrent changes is applied.

        The reply to the other operator lists the differences.
        """

        async def run() -> None:
            async with base.running() as trial:
                replies = await asyncio.gather(
                    config.apply(trial.target(0), with_workspace('a'), 1),
                    config.apply(trial.target(1), with_workspace('b'), 1),
                )
                states = sorted(reply.state for reply in replies)
                self.assertEqual(['applied', 'lost-race'], states)
                lost = next(
                    reply for reply in replies if reply.state == 'lost-race'
                )
                rows = {change.row for change in lost.changes}
                self.assertEqual({'a', 'b'}, rows)

        self.run_coroutine(run())

    def test_store_down(self) -> None:
        """Check that nodes keep serving while the key-value store is down.

        Changes fail in that time and are applied again afterwards.
        """

        async def run() -> None:
            async with base.running() as trial:
                trial.fleet.store.faults = keyvalue.Faults(down=True)
                reply = await config.apply(
                    trial.target(), with_workspace('a'), 1
                )
                self.assertEqual('failed', reply.state)
                completion = await trial.create_caller().complete(
                    base.build_chat_request('on', 3)
                )
                self.assertEqual(3, len(completion.tokens))
                trial.fleet.store.faults = keyvalue.Faults()
                reply = await trial.apply(with_workspace('b'))
                self.assertEqual('applied', reply.state)

        self.run_coroutine(run())

    def test_silent_watches(self) -> None:
        """Check that nodes read the tables if watches report no changes."""

        async def run() -> None:
            async with base.running(count=3) as trial:
                trial.fleet.store.faults = keyvalue.Faults(silent_watches=True)
                reply = await trial.apply(with_workspace('a'))
                self.assertEqual('applied', reply.state)

        self.run_coroutine(run())
