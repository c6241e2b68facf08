"""Stop many nodes in turn while callers go on sending to them.

Run as a command, it plays the planned work of a large deployment: a part of
its nodes, a few at a time and the next ones before the first have ended. All
nodes are processes of one machine, so that they also compete for it.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import pathlib
import random
import shutil

import click

from tests.failures import processes
from tests.failures import stops

SETTLING_S = 6.0
# Requests of one kind to one node follow each other at this interval, and
# use so many connections.
SEND_INTERVAL_S = 3.0
KEPT_CONNECTIONS = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Roll:
    """Which nodes are stopped, and when.

    :param nodes: number of nodes.
    :param share: share of the nodes that are stopped.
    :param at_once: number of nodes that are stopped at the same moment.
    :param gap_s: time between two such moments, in seconds.
    :param grace_s: grace period, in seconds.
    """

    nodes: int
    share: float
    at_once: int
    gap_s: float
    grace_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What a roll did.

    :param sent: number of requests to the nodes that were stopped.
    :param faults: requests with a wrong end, by node.
    :param killed: nodes that were killed at the end of their grace period.
    """

    sent: int
    faults: dict[str, list[str]]
    killed: list[str]


async def play(roll: Roll, seed: int, logs: pathlib.Path | None) -> Result:
    """Stop nodes in turn.

    :param logs: folder for the logs of nodes that did something wrong.
    """
    source = random.Random(seed)
    async with processes.run_processes(roll.nodes, roll.grace_s) as (
        trial,
        nodes,
    ):
        stopped = source.sample(nodes, round(roll.share * roll.nodes))
        callers = {
            node: stops.build_callers(
                node,
                source,
                interval_s=SEND_INTERVAL_S,
                kept=KEPT_CONNECTIONS,
            )
            for node in stopped
        }
        every = list(itertools.chain.from_iterable(callers.values()))
        for caller in every:
            await caller.open()
        source.shuffle(every)
        tasks = []
        for caller in every:
            tasks.append(asyncio.create_task(caller.run()))
            await asyncio.sleep(SETTLING_S / len(every))
        ends = []
        for group in _split(stopped, roll.at_once):
            for node in group:
                node.stop()
                node.kill_after(roll.grace_s)
                ends.append(asyncio.create_task(node.wait()))
            await asyncio.sleep(roll.gap_s)
        await asyncio.gather(*ends)
        await asyncio.gather(*tasks)
        faults: dict[str, list[str]] = collections.defaultdict(list)
        sent = 0
        for node, senders in callers.items():
            items = [item for sender in senders for item in sender.sent]
            sent += len(items)
            found = stops.list_faults(trial, node, items, roll.grace_s)
            if found:
                faults[node.settings.node.name] = found
        killed = [
            node.settings.node.name for node in stopped if node.was_killed
        ]
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            for node in stopped:
                if node.settings.node.name in {*faults, *killed}:
                    shutil.copy(node.log, logs)
        return Result(sent=sent, faults=dict(faults), killed=killed)


def _split(
    nodes: list[processes.NodeProcess], size: int
) -> list[list[processes.NodeProcess]]:
    return [
        nodes[index : index + size] for index in range(0, len(nodes), size)
    ]


@click.command()
@click.option('--first-seed', default=1, help='Seed of the first run.')
@click.option('--runs', default=1, help='Number of runs.')
@click.option('--nodes', default=76, help='Number of nodes.')
@click.option('--share', default=0.45, help='Share of nodes to stop.')
@click.option('--at-once', default=4, help='Nodes stopped at a moment.')
@click.option('--gap-s', default=1.15, help='Seconds between two moments.')
@click.option('--grace-s', default=8.0, help='Grace period in seconds.')
@click.option(
    '--logs',
    type=click.Path(path_type=pathlib.Path),
    help='Folder for the logs of nodes that did something wrong.',
)
def main(
    first_seed: int,
    runs: int,
    nodes: int,
    share: float,
    at_once: int,
    gap_s: float,
    grace_s: float,
    logs: pathlib.Path | None,
) -> None:
    """Stop nodes in turn and print which requests ended wrongly."""
    roll = Roll(
        nodes=nodes,
        share=share,
        at_once=at_once,
        gap_s=gap_s,
        grace_s=grace_s,
    )
    for seed in range(first_seed, first_seed + runs):
        folder = None if logs is None else logs / str(seed)
        result = asyncio.run(play(roll, seed, folder))
        count = sum(len(found) for found in result.faults.values())
        click.echo(
            f'seed {seed}: {result.sent} sent, {count} faults,'
            f' {len(result.killed)} nodes killed at the end of their grace'
            f' period {result.killed}'
        )
        for name, found in result.faults.items():
            for fault in found:
                click.echo(f'  {name}: {fault}')


if __name__ == '__main__':
    main()
