"""Demo: three nodes under load while hosts are reclaimed and fail.

The exit code is 0 only if every guarantee held.
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

DURATION_S = 14.0
REQUESTS_PER_S = 30.0
SEED = 7
RECLAIM_NOTICE_MS = 2_000
ENTRY_NOTICE_MS = 3_000
RESEND_FRACTION = 0.3  # fraction of orders that are sent twice concurrently
ENGINE_POOLS = ('kadidlo-lm', 'story-models')


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantee:
    """A guarantee of the system, and whether it held in this run."""

    text: str
    held: bool


async def main() -> int:
    """Run the demo.

    :return: exit code, 0 if every guarantee held.
    """
    began = time.monotonic()
    shape = deployment.DeploymentSettings(spec=deployment.load_example_spec())
    async with deployment.running(shape) as trial:
        _print_progress(
            began, 'three nodes are ready, the tables are in force'
        )
        plan = run.Plan(
            seeds=trial.seeds,
            zones=shape.zones,
            seed=SEED,
            rate=REQUESTS_PER_S,
            seconds=DURATION_S,
            resend=RESEND_FRACTION,
            control=trial.control,
        )
        fault_task = asyncio.create_task(_inject_faults(trial, began))
        report = await run.LoadRun(plan=plan).execute()
        await fault_task
        resumed = await trial.count('resumed') + report.total.resumed
        code = trial.get_exit_code('entry-3')
    print(load.table(report))
    print(f'resumed on another backend server or node: {resumed}')
    guarantees = _check_guarantees(report, resumed, code)
    for guarantee in guarantees:
        print('held  ' if guarantee.held else 'BROKEN', guarantee.text)
    _print_progress(began, 'done')
    return 0 if all(guarantee.held for guarantee in guarantees) else 1


async def _inject_faults(trial: deployment.Deployment, began: float) -> None:
    generator = random.Random(SEED)
    await asyncio.sleep(3)
    host = await _choose_busy_host(trial, generator)
    body = {'host': host, 'notice_ms': RECLAIM_NOTICE_MS}
    await trial.inject_fault('/standin/reclaim', body)
    _print_progress(
        began, f'{host} will be reclaimed in {RECLAIM_NOTICE_MS} ms'
    )
    await asyncio.sleep(2)
    host = await _choose_busy_host(trial, generator, host)
    await trial.inject_fault('/standin/kill', {'host': host})
    _print_progress(began, f'{host} was killed without notice')
    await asyncio.sleep(1)
    body = {'host': 'entry-3', 'notice_ms': ENTRY_NOTICE_MS}
    await trial.inject_fault('/standin/reclaim', body)
    _print_progress(
        began, f'entry-3 will be reclaimed in {ENTRY_NOTICE_MS} ms'
    )
    await asyncio.sleep(2)
    host = await _choose_busy_host(trial, generator, host)
    injected = await trial.inject_fault('/standin/silence', {'host': host})
    count = injected['connections']
    _print_progress(
        began, f'{count} connections of {host} stopped sending data'
    )
    await asyncio.sleep(1)
    await trial.set_keyvalue_faults(lose_answers=2)
    _print_progress(began, 'the key-value store loses its next two answers')


async def _choose_busy_host(
    trial: deployment.Deployment,
    generator: random.Random,
    other_than: str = '',
) -> str:
    figures = await trial.read_figures()
    hosts = [
        row
        for row in figures['hosts']
        if row['pool'] in ENGINE_POOLS and row['host'] != other_than
    ]
    busiest = max(row['running'] for row in hosts)
    best = [row['host'] for row in hosts if row['running'] == busiest]
    return generator.choice(best)


def _check_guarantees(
    report: results.Report, resumed: int, entry_code: int | None
) -> list[Guarantee]:
    total = report.total
    return [
        Guarantee('every request had an outcome', _has_all_outcomes(total)),
        Guarantee(
            'every answer was complete and matched its request',
            total.wrong == 0,
        ),
        Guarantee('no answer was late', total.late == 0),
        Guarantee('no accepted request was lost', total.refused == 0),
        Guarantee('no order ran twice', report.doubled == 0),
        Guarantee('every order that was answered ran', report.unrun == 0),
        Guarantee(
            'the reclaimed entry node shut down gracefully', entry_code == 0
        ),
        Guarantee(
            'streams were resumed on another server or node', resumed > 0
        ),
    ]


def _has_all_outcomes(total: results.Tally) -> bool:
    known = total.whole + total.late + total.refused + total.wrong
    return known == total.sent


def _print_progress(began: float, text: str) -> None:
    print(f'{time.monotonic() - began:6.1f} s  {text}', flush=True)


if __name__ == '__main__':
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    sys.exit(asyncio.run(main()))
