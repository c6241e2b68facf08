"""Test that good versions are rolled out and bad ones rolled back.

Nodes and simulated services run over real loopback sockets.
"""

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

ROLLOUT_DEADLINE_S = 20.0
TIMEOUT_S = 60.0
CALLER_COUNT = 6


def moving(version: str, seconds: float) -> model.Tables:
    """Build tables that request a rollout of another engine version.

    :param seconds: time from now to the deadline of the rollout.
    """
    engines, shop = base.TABLES.pools
    wanted = dataclasses.replace(
        engines,
        versions=(model.Version(name=version),),
        move_by_ms=round((time.time() + seconds) * 1_000),
        least=2,
    )
    return dataclasses.replace(base.TABLES, pools=(wanted, shop))


class TestMoves(base.TestCase):
    """Outcomes of rollouts under load."""

    def setUp(self) -> None:
        super().setUp()
        self.refusals: list[str] = []

    async def _send_load(
        self, trial: base.Trial, stopped: asyncio.Event
    ) -> list[int]:
        """Send requests from several callers until `stopped` is set.

        :return: number of tokens of each answer, 0 for a refused request.
        """
        token_counts: list[int] = []
        numbers = itertools.count()

        async def call() -> None:
            caller = trial.create_caller()
            while not stopped.is_set():
                body = base.build_chat_request(f'load {next(numbers)}', 6)
                try:
                    completion = await caller.complete(body)
                except outcomes.RefusedError as error:
                    self.refusals.append(str(error))
                    token_counts.append(0)
                    continue
                token_counts.append(len(completion.tokens))

        await asyncio.gather(*(call() for _ in range(CALLER_COUNT)))
        return token_counts

    async def _run_rollout(
        self,
        trial: base.Trial,
        version: str,
        seconds: float = ROLLOUT_DEADLINE_S,
    ) -> tuple[messages.Move, list[int]]:
        """Run a rollout of the engines to its end, under load.

        :param seconds: time from now to the deadline of the rollout.
        :return: the ended rollout, and the token counts of the answers.
        """
        stopped = asyncio.Event()
        load = asyncio.create_task(self._send_load(trial, stopped))
        await trial.until(
            lambda: all(
                node.loop.state.moves.get('engines') for node in trial.nodes
            )
        )
        await trial.apply(moving(version, seconds))
        move = await moves.wait_for_move(
            trial.target(), 'engines', version, TIMEOUT_S
        )
        stopped.set()
        return move, await load

    def test_good_version_is_rolled_out_before_the_deadline(self) -> None:
        async def run() -> None:
            async with base.running() as trial:
                move, token_counts = await self._run_rollout(trial, 'v2')
                self.assertIs(messages.Stage.DONE, move.stage, move.reason)
                self.assertLess(move.stepped, move.deadline)
                self.assertEqual({6}, set(token_counts), self.refusals)
                completion = await trial.create_caller().complete(
                    base.build_chat_request('x', 3)
                )
                self.assertEqual(3, len(completion.tokens))

        self.run_coroutine(run())

    def test_bad_version_is_rolled_back(self) -> None:
        """Requests that fail on the new version are retried and answered.

        After the rollback, the new version gets no more requests.
        """

        async def run() -> None:
            bad = {'v2': behaviour.Behaviour(error_share=0.9)}
            async with base.running(bad_versions=bad) as trial:
                move, token_counts = await self._run_rollout(trial, 'v2')
                self.assertIs(messages.Stage.UNDONE, move.stage)
                self.assertIn('errors', move.reason)
                self.assertEqual({6}, set(token_counts), self.refusals)
                after = self._count_v2_requests(trial)
                await trial.create_caller().complete(
                    base.build_chat_request('after', 3)
                )
                self.assertEqual(after, self._count_v2_requests(trial))

        self.run_coroutine(run())

    def test_rollback_without_the_key_value_store(self) -> None:
        """Nodes learn the rollback decision from each other."""

        async def run() -> None:
            bad = {'v2': behaviour.Behaviour(slow_factor=6.0, after_ms=7_000)}
            async with base.running(bad_versions=bad) as trial:
                stopped = asyncio.Event()
                load = asyncio.create_task(self._send_load(trial, stopped))
                await trial.until(
                    lambda: trial.nodes[0].loop.state.moves.get('engines')
                )
                await trial.apply(moving('v2', ROLLOUT_DEADLINE_S))
                await trial.until(lambda: self._get_share(trial) >= 0.05)
                trial.fleet.store.faults = keyvalue.Faults(down=True)
                await trial.until(
                    lambda: all(
                        node.loop.state.moves.verdicts for node in trial.nodes
                    )
                )
                stopped.set()
                await load
                trial.fleet.store.faults = keyvalue.Faults()
                move = await moves.wait_for_move(
                    trial.target(), 'engines', 'v2', TIMEOUT_S
                )
                self.assertIs(messages.Stage.UNDONE, move.stage)
                self.assertIn('usual', move.reason)

        self.run_coroutine(run())

    def test_deadline_that_cannot_be_met(self) -> None:
        """The rollout is rolled back before its deadline passes."""

        async def run() -> None:
            async with base.running() as trial:
                move, token_counts = await self._run_rollout(trial, 'v2', 5.0)
                self.assertIs(messages.Stage.UNDONE, move.stage)
                self.assertIn('cannot be met', move.reason)
                self.assertLess(move.stepped, move.deadline)
                self.assertEqual({6}, set(token_counts), self.refusals)

        self.run_coroutine(run())

    def test_second_change_during_a_rollout(self) -> None:
        """The newer configuration replaces the target of the rollout."""

        async def run() -> None:
            async with base.running() as trial:
                stopped = asyncio.Event()
                load = asyncio.create_task(self._send_load(trial, stopped))
                await trial.until(
                    lambda: trial.nodes[0].loop.state.moves.get('engines')
                )
                await trial.apply(moving('v2', 40.0))
                await trial.until(lambda: self._get_share(trial) > 0)
                await trial.apply(moving('v3', 40.0))
                move = await moves.wait_for_move(
                    trial.target(), 'engines', 'v3', TIMEOUT_S
                )
                stopped.set()
                token_counts = await load
                self.assertIs(messages.Stage.DONE, move.stage, move.reason)
                self.assertEqual('v1', move.old)
                self.assertEqual({6}, set(token_counts), self.refusals)

        self.run_coroutine(run())

    def test_holder_dies_during_a_move(self) -> None:
        """Another node takes the lease over and completes the rollout."""

        async def run() -> None:
            async with base.running(count=3) as trial:
                stopped = asyncio.Event()
                load = asyncio.create_task(self._send_load(trial, stopped))
                await trial.until(
                    lambda: trial.nodes[0].loop.state.moves.get('engines')
                )
                await trial.apply(moving('v2', 40.0))
                await trial.until(lambda: self._get_share(trial) > 0)
                holder = next(
                    number
                    for number, node in enumerate(trial.nodes)
                    if node.loop.state.leases.held('engines', node.loop.now())
                )
                await trial.nodes[holder].abort()
                other = (holder + 1) % 3
                move = await moves.wait_for_move(
                    trial.target(other), 'engines', 'v2', TIMEOUT_S
                )
                stopped.set()
                token_counts = await load
                self.assertIs(messages.Stage.DONE, move.stage, move.reason)
                self.assertEqual({6}, set(token_counts), self.refusals)

        self.run_coroutine(run())

    def _get_share(self, trial: base.Trial) -> float:
        """Return the traffic share of the rollout in progress, or 0.

        The record of a pool that never had a rollout holds a share of 1.
        """
        move = trial.nodes[0].loop.state.moves.get('engines')
        running = move is not None and move.stage is messages.Stage.RUNNING
        return move.share if running else 0.0

    def _count_v2_requests(self, trial: base.Trial) -> int:
        """Count the requests that engines of the new version received."""
        return sum(
            backend.server.figures.requests
            for backend in trial.fleet.backends.values()
            if isinstance(backend.server, engine.Engine)
            and backend.server.version == 'v2'
        )
