"""The demo: three nodes under load while hosts are taken back.

Exits with 0 only when all promises held.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import signal
import sys
import time

from bench import deployment
from teaselbridge.cli import load
from teaselbridge.workload import results
from teaselbridge.workload import run

SECONDS = 14.0
RATE = 30.0
SEED = 7
RECLAIM_NOTICE_MS = 2_000
ENTRY_NOTICE_MS = 3_000
RESEND = 0.3
ENGINE_POOLS = ('kadidlo-lm', 'story-models')


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """One promise and whether it held."""

    text: str
    held: bool


async def main() -> int:
    """Run the demo.

    :return: exit code.
    """
    began = time.monotonic()
    shape = deployment.Shape(spec=deployment.example_spec())
    async with deployment.running(shape) as trial:
        _say(began, 'three nodes are up, tables are in force')
        plan = run.Plan(
            seeds=trial.seeds,
            zones=shape.zones,
            seed=SEED,
            rate=RATE,
            seconds=SECONDS,
            resend=RESEND,
            control=trial.control,
        )
        trouble = asyncio.create_task(_trouble(trial, began))
        report = await run.Run(plan=plan).go()
        await trouble
        resumed = await trial.count('resumed') + report.total.resumed
        code = trial.exit_code('entry-3')
    print(load.table(report))
    print(f'resumed on another backend server or node: {resumed}')
    promises = _promises(report, resumed, code)
    for promise in promises:
        print('held  ' if promise.held else 'BROKEN', promise.text)
    _say(began, 'done')
    return 0 if all(promise.held for promise in promises) else 1


async def _trouble(trial: deployment.Deployment, began: float) -> None:
    generator = random.Random(SEED)
    await asyncio.sleep(3)
    host = await _busy_host(trial, generator)
    body = {'host': host, 'notice_ms': RECLAIM_NOTICE_MS}
    await trial.inject('/standin/reclaim', body)
    _say(began, f'{host} is reclaimed in {RECLAIM_NOTICE_MS} ms')
    await asyncio.sleep(2)
    host = await _busy_host(trial, generator, host)
    await trial.inject('/standin/kill', {'host': host})
    _say(began, f'{host} died without notice')
    await asyncio.sleep(1)
    body = {'host': 'entry-3', 'notice_ms': ENTRY_NOTICE_MS}
    await trial.inject('/standin/reclaim', body)
    _say(began, f'entry-3 is reclaimed in {ENTRY_NOTICE_MS} ms')
    await asyncio.sleep(2)
    host = await _busy_host(trial, generator, host)
    found = await trial.inject('/standin/silence', {'host': host})
    count = found['connections']
    _say(began, f'{count} connections of {host} went silent')
    await asyncio.sleep(1)
    await trial.set_keyvalue_faults(lose_answers=2)
    _say(began, 'two answers of the key-value service get lost')


async def _busy_host(
    trial: deployment.Deployment,
    generator: random.Random,
    other_than: str = '',
) -> str:
    figures = await trial.figures()
    hosts = [
        row
        for row in figures['hosts']
        if row['pool'] in ENGINE_POOLS and row['host'] != other_than
    ]
    busiest = max(row['running'] for row in hosts)
    best = [row['host'] for row in hosts if row['running'] == busiest]
    return generator.choice(best)


def _promises(
    report: results.Report, resumed: int, entry_code: int | None
) -> list[Promise]:
    total = report.total
    return [
        Promise('every request had an outcome', _accounted(total)),
        Promise('every answer was whole and its own', total.wrong == 0),
        Promise('no answer was late', total.late == 0),
        Promise('no accepted request was lost', total.refused == 0),
        Promise('no order ran twice', report.doubled == 0),
        Promise('every confirmed order ran', report.unrun == 0),
        Promise('the reclaimed entry host stopped by itself', entry_code == 0),
        Promise('streams were resumed elsewhere', resumed > 0),
    ]


def _accounted(total: results.Tally) -> bool:
    known = total.whole + total.late + total.refused + total.wrong
    return known == total.sent


def _say(began: float, text: str) -> None:
    print(f'{time.monotonic() - began:6.1f} s  {text}', flush=True)


if __name__ == '__main__':
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    sys.exit(asyncio.run(main()))
