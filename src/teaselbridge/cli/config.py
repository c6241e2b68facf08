"""``teaselbridge config``: check, show, compare and apply the tables."""

from __future__ import annotations

import asyncio
import time
import typing

import click
import msgspec

from teaselbridge.admin import models
from teaselbridge.cli import remote
from teaselbridge.tables import advice as advices
from teaselbridge.tables import check as checks
from teaselbridge.tables import diff as diffs
from teaselbridge.tables import model

WAIT_S = 30.0
POLL_S = 0.2
EXIT_LOST = 3
EXIT_FAILED = 4
EXIT_NOT_EVERYWHERE = 5


def command() -> click.Command:
    """Build the command."""

    @click.group('config')
    def config() -> None:
        """Check, show, compare and apply routes and pools."""

    config.add_command(_check_command())
    config.add_command(_show_command())
    config.add_command(_diff_command())
    config.add_command(_apply_command())
    return config


def _check_command() -> click.Command:
    @click.command('check')
    @click.argument('path')
    def check(path: str) -> None:
        """Check a file with the tables, asking no node."""
        tables = checks.load_tables(path)
        routes = len(tables.routes)
        pools = len(tables.pools)
        click.echo(f'{path}: good, {routes} routes, {pools} pools')
        _advise(tables)

    return check


def _show_command() -> click.Command:
    @click.command('show')
    @remote.options
    def show(address: str, key: str, ca: str) -> None:
        """Print the configuration that a node has in force."""
        target = remote.Target(address, key, ca)
        found = asyncio.run(_read(target))
        text = msgspec.json.format(msgspec.json.encode(found), indent=2)
        click.echo(text)

    return show


def _diff_command() -> click.Command:
    @click.command('diff')
    @click.argument('path')
    @remote.options
    def diff(path: str, address: str, key: str, ca: str) -> None:
        """Print how a file differs from what is in force."""
        tables = checks.load_tables(path)
        found = asyncio.run(_read(remote.Target(address, key, ca)))
        _print(diffs.diff(found.tables, tables))

    return diff


def _apply_command() -> click.Command:
    @click.command('apply')
    @click.argument('path')
    @click.option('--base', type=int, help='Generation that was read.')
    @click.option(
        '--wait', 'wait_all', is_flag=True, help='Until all nodes have it.'
    )
    @click.option('--wait-s', default=WAIT_S, help='Longest wait.')
    @remote.options
    def apply_file(
        path: str,
        base: int | None,
        wait_all: bool,
        wait_s: float,
        address: str,
        key: str,
        ca: str,
    ) -> None:
        """Put the tables of a file in force."""
        tables = checks.load_tables(path)
        _advise(tables)
        target = remote.Target(address, key, ca)
        reply = asyncio.run(apply(target, tables, base))
        _report(reply)
        if wait_all:
            asyncio.run(wait(target, reply.generation, wait_s))

    return apply_file


def _advise(tables: model.Tables) -> None:
    for item in advices.advise(tables):
        click.echo(f'advice: {item}', err=True)


async def _read(target: remote.Target) -> model.Configuration:
    return await remote.get(target, '/v1/config', model.Configuration)


async def apply(
    target: remote.Target, tables: model.Tables, base: int | None
) -> models.ApplyReply:
    """Ask a node to put tables in force.

    :param base: generation that was read, none to read it now.
    """
    if base is None:
        base = (await _read(target)).generation
    request = models.ApplyRequest(base=base, tables=tables)
    return await remote.post(target, '/v1/config', request, models.ApplyReply)


def _report(reply: models.ApplyReply) -> None:
    if reply.state == 'applied':
        click.echo(f'applied as generation {reply.generation}')
        return
    if reply.state == 'lost-race':
        click.echo(
            f'not applied: generation {reply.generation} by '
            f'{reply.writer} came first; your tables differ from it in'
        )
        _print(reply.changes)
        raise click.exceptions.Exit(EXIT_LOST)
    click.echo(f'{reply.state}: the key-value service does not answer')
    raise click.exceptions.Exit(EXIT_FAILED)


async def wait(target: remote.Target, generation: int, wait_s: float) -> None:
    """Wait until all live nodes have a generation in force."""
    began = time.monotonic()
    while True:
        behind = await _behind(target, generation)
        span = time.monotonic() - began
        if not behind:
            click.echo(f'in force at all nodes after {span:.2f} s')
            return
        if span > wait_s:
            for line in behind:
                click.echo(f'not in force: {line}')
            raise click.exceptions.Exit(EXIT_NOT_EVERYWHERE)
        await asyncio.sleep(POLL_S)


async def _behind(target: remote.Target, generation: int) -> list[str]:
    found = await remote.gather(target, '/v1/status', models.NodeStatus)
    behind = []
    for name, answer in found.items():
        if isinstance(answer, remote.RemoteError):
            behind.append(f'{name}: {answer}')
        elif answer.generation < generation:
            behind.append(f'{name}: has generation {answer.generation}')
    return behind


def _print(changes: typing.Iterable[diffs.Change]) -> None:
    for change in changes:
        click.echo(str(change))
