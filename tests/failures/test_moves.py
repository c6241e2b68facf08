"""Versions move over real sockets: good ones done, bad ones undone."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import time

from teaselbridge.cli import moves
from teaselbridge.client import outcomes
from teaselbridge.peers import messages
from teaselbridge.standins import behaviour
from teaselbridge.standins import engine
from teaselbridge.standins import keyvalue
from teaselbridge.tables import model
from tests.failures import base

MOVE_S = 20.0
WAIT_S = 60.0
CALLERS = 6


def moving(version: str, seconds: float) -> model.Tables:
    """Make tables that ask for another version of the engines."""
    engines, shop = base.TABLES.pools
    wanted = dataclasses.replace(
        engines,
        versions=(model.Version(name=version),),
        move_by_ms=round((time.time() + seconds) * 1_000),
        least=2,
    )
    return dataclasses.replace(base.TABLES, pools=(wanted, shop))


class TestMoves(base.TestCase):
    """The ends of moves, under load."""

    async def _under_load(
        self, trial: base.Trial, stop: asyncio.Event
    ) -> list[int]:
        """Keep callers at work; give the lengths of their answers."""
        lengths: list[int] = []
        numbers = itertools.count()

        async def call() -> None:
            caller = trial.caller()
            while not stop.is_set():
                body = base.chat(f'load {next(numbers)}', 6)
                try:
                    found = await caller.complete(body)
                except outcomes.RefusedError:
                    lengths.append(0)
                    continue
                lengths.append(len(found.tokens))

        await asyncio.gather(*(call() for _ in range(CALLERS)))
        return lengths

    async def _move(
        self,
        trial: base.Trial,
        version: str,
        seconds: float = MOVE_S,
    ) -> tuple[messages.Move, list[int]]:
        stop = asyncio.Event()
        load = asyncio.create_task(self._under_load(trial, stop))
        await trial.until(
            lambda: all(
                node.loop.state.moves.get('engines') for node in trial.nodes
            )
        )
        await trial.apply(moving(version, seconds))
        move = await moves.wait_ended(
            trial.target(), 'engines', version, WAIT_S
        )
        stop.set()
        return move, await load

    def test_good_version_is_done_in_time(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                move, lengths = await self._move(trial, 'v2')
                self.assertIs(messages.Stage.DONE, move.stage, move.reason)
                self.assertLess(move.stepped, move.deadline)
                self.assertEqual({6}, set(lengths))
                found = await trial.caller().complete(base.chat('x', 3))
                self.assertEqual(3, len(found.tokens))

        self.go(run())

    def test_bad_version_is_taken_back(self) -> None:
        """Its fault shows on requests that are served all the same."""

        async def run() -> None:
            bad = {'v2': behaviour.Behaviour(error_share=0.9)}
            async with base.running(bad_versions=bad) as trial:
                move, lengths = await self._move(trial, 'v2')
                self.assertIs(messages.Stage.UNDONE, move.stage)
                self.assertIn('errors', move.reason)
                self.assertEqual({6}, set(lengths))
                after = self._requests(trial)
                await trial.caller().complete(base.chat('after', 3))
                self.assertEqual(after, self._requests(trial))

        self.go(run())

    def test_bad_version_without_the_key_value_service(self) -> None:
        """The verdict stops it everywhere all the same."""

        async def run() -> None:
            bad = {'v2': behaviour.Behaviour(slow_factor=6.0, after_ms=7_000)}
            async with base.running(bad_versions=bad) as trial:
                stop = asyncio.Event()
                load = asyncio.create_task(self._under_load(trial, stop))
                await trial.until(
                    lambda: trial.nodes[0].loop.state.moves.get('engines')
                )
                await trial.apply(moving('v2', MOVE_S))
                await trial.until(lambda: self._share(trial) >= 0.05)
                trial.fleet.store.faults = keyvalue.Faults(down=True)
                await trial.until(
                    lambda: all(
                        node.loop.state.moves.verdicts for node in trial.nodes
                    )
                )
                stop.set()
                await load
                trial.fleet.store.faults = keyvalue.Faults()
                move = await moves.wait_ended(
                    trial.target(), 'engines', 'v2', WAIT_S
                )
                self.assertIs(messages.Stage.UNDONE, move.stage)
                self.assertIn('usual', move.reason)

        self.go(run())

    def test_deadline_that_cannot_be_met(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                move, lengths = await self._move(trial, 'v2', 5.0)
                self.assertIs(messages.Stage.UNDONE, move.stage)
                self.assertIn('cannot be met', move.reason)
                self.assertLess(move.stepped, move.deadline)
                self.assertEqual({6}, set(lengths))

        self.go(run())

    def test_second_edit_during_a_move(self) -> None:
        """The newer wish takes the place of the older one."""

        async def run() -> None:
            async with base.running() as trial:
                stop = asyncio.Event()
                load = asyncio.create_task(self._under_load(trial, stop))
                await trial.until(
                    lambda: trial.nodes[0].loop.state.moves.get('engines')
                )
                await trial.apply(moving('v2', 40.0))
                await trial.until(lambda: self._share(trial) > 0)
                await trial.apply(moving('v3', 40.0))
                move = await moves.wait_ended(
                    trial.target(), 'engines', 'v3', WAIT_S
                )
                stop.set()
                lengths = await load
                self.assertIs(messages.Stage.DONE, move.stage, move.reason)
                self.assertEqual('v1', move.old)
                self.assertEqual({6}, set(lengths))

        self.go(run())

    def test_holder_dies_during_a_move(self) -> None:
        async def run() -> None:
            async with base.running(count=3) as trial:
                stop = asyncio.Event()
                load = asyncio.create_task(self._under_load(trial, stop))
                await trial.until(
                    lambda: trial.nodes[0].loop.state.moves.get('engines')
                )
                await trial.apply(moving('v2', 40.0))
                await trial.until(lambda: self._share(trial) > 0)
                holder = next(
                    number
                    for number, node in enumerate(trial.nodes)
                    if node.loop.state.leases.held('engines', node.loop.now())
                )
                await trial.nodes[holder].abort()
                asked = (holder + 1) % 3
                move = await moves.wait_ended(
                    trial.target(asked), 'engines', 'v2', WAIT_S
                )
                stop.set()
                lengths = await load
                self.assertIs(messages.Stage.DONE, move.stage, move.reason)
                self.assertEqual({6}, set(lengths))

        self.go(run())

    def _share(self, trial: base.Trial) -> float:
        """Give the share of a move under way; a new pool's record has 1."""
        move = trial.nodes[0].loop.state.moves.get('engines')
        running = move is not None and move.stage is messages.Stage.RUNNING
        return move.share if running else 0.0

    def _requests(self, trial: base.Trial) -> int:
        return sum(
            backend.server.figures.requests
            for backend in trial.fleet.backends.values()
            if isinstance(backend.server, engine.Engine)
            and backend.server.version == 'v2'
        )
