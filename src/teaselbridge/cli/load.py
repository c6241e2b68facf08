"""``teaselbridge load``: send a seeded trace to nodes on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import ipaddress
import pathlib

import click
import msgspec

from teaselbridge import errors
from teaselbridge.settings import load as settings_load
from teaselbridge.workload import results
from teaselbridge.workload import run

MAX_RATE_PER_S = 2_000.0
MAX_DURATION_S = 600.0


@dataclasses.dataclass(eq=False)
class NotLoopbackError(errors.TeaselbridgeError):
    """Load for an address that is not a loopback address.

    :param address: rejected address.
    """

    address: str

    def __str__(self) -> str:
        return f'{self.address} is no loopback address'


def command() -> click.Command:
    """Build the command."""

    @click.command('load')
    @click.option(
        '--to',
        'seeds',
        multiple=True,
        required=True,
        help="A node's callers' interface, as ip:port; may be repeated.",
    )
    @click.option(
        '--zone', 'zones', multiple=True, help='Availability zone of callers.'
    )
    @click.option('--seed', default=1, help='Seed of the trace.')
    @click.option(
        '--rate',
        type=click.FloatRange(0.1, MAX_RATE_PER_S),
        default=20.0,
        help='Requests per second.',
    )
    @click.option(
        '--seconds',
        type=click.FloatRange(1.0, MAX_DURATION_S),
        default=10.0,
        help='Length of the trace.',
    )
    @click.option(
        '--resend', default=0.0, help='Fraction of orders to send twice.'
    )
    @click.option(
        '--control',
        default='',
        help='Control interface of simulated services.',
    )
    @click.option('--json', 'report_path', default='', help='Report file.')
    @click.option('--plot', 'plot_path', default='', help='PNG file.')
    def load(
        seeds: tuple[str, ...],
        zones: tuple[str, ...],
        seed: int,
        rate: float,
        seconds: float,
        resend: float,
        control: str,
        report_path: str,
        plot_path: str,
    ) -> None:
        """Send a trace of mixed requests and report the outcomes."""
        for address in seeds:
            _check_loopback(address)
        plan = run.Plan(
            seeds=seeds,
            zones=zones or ('',),
            seed=seed,
            rate=rate,
            seconds=seconds,
            resend=resend,
            control=control,
        )
        report = asyncio.run(run.LoadRun(plan=plan).execute())
        click.echo(table(report))
        if report_path:
            _write_report(report_path, report)
        if plot_path:
            from teaselbridge.workload import plot

            plot.plot_report(report, plot_path)

    return load


def table(report: results.Report) -> str:
    """Return a report as lines of text."""
    lines = ['work        sent whole  late refused wrong resumed']
    rows = {**report.kinds, 'total': report.total}
    for name, tally in rows.items():
        lines.append(
            f'{name:<10} {tally.sent:>5} {tally.whole:>5} {tally.late:>5} '
            f'{tally.refused:>7} {tally.wrong:>5} {tally.resumed:>7}'
        )
    summaries = {
        'first token': report.first,
        'between tokens': report.between,
        'service answer': report.answer,
    }
    for name, summary in summaries.items():
        lines.append(
            f'{name:<15} p50 {summary.p50:8.1f} ms  p95 {summary.p95:8.1f} ms'
            f'  p99 {summary.p99:8.1f} ms'
        )
    lines.append(
        f'orders run more than once {report.doubled}, answered but never run '
        f'{report.unrun}, outcome unknown {report.total.unknown}'
    )
    lines.append(
        f'prompt tokens {report.prompt_tokens}, cached '
        f'{report.cached_tokens}, recomputed {report.recomputed_tokens}, '
        f'cost of hosts {report.cost:.5f}'
    )
    if report.reasons:
        lines.append(f'refusals {report.reasons}')
    return '\n'.join(lines)


def _check_loopback(address: str) -> None:
    try:
        host, _ = settings_load.split_address(address)
    except ValueError as error:
        raise NotLoopbackError(address) from error
    if not ipaddress.ip_address(host).is_loopback:
        raise NotLoopbackError(address)


def _write_report(path: str, report: results.Report) -> None:
    text = msgspec.json.format(msgspec.json.encode(report), indent=2)
    pathlib.Path(path).write_bytes(text)
