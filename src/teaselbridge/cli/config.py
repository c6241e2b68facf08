"""``teaselbridge config``: check, show, compare and apply tables."""

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

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
EXIT_CONFLICT = 3
EXIT_FAILED = 4
EXIT_NOT_IN_FORCE = 5


def command() -> click.Command:
    """Build the command."""

    @click.group('config')
    def config() -> None:
        """Check, show, compare and apply the tables of routes and pools."""

    config.add_command(_check_command())
    config.add_command(_show_command())
    config.add_command(_diff_command())
    config.add_command(_apply_command())
    return config


def _check_command() -> click.Command:
    @click.command('check')
    @click.argument('path')
    def check(path: str) -> None:
        """Check a tables file without contacting a node."""
        tables = checks.load_tables(path)
        routes = len(tables.routes)
        pools = len(tables.pools)
        click.echo(f'{path}: good, {routes} routes, {pools} pools')
        _print_advice(tables)

    return check


def _show_command() -> click.Command:
    @click.command('show')
    @remote.add_node_options
    def show(address: str, key: str, ca: str) -> None:
        """Print the configuration in force at a node."""
        target = remote.Target(address, key, ca)
        current = asyncio.run(_read_configuration(target))
        text = msgspec.json.format(msgspec.json.encode(current), indent=2)
        click.echo(text)

    return show


def _diff_command() -> click.Command:
    @click.command('diff')
    @click.argument('path')
    @remote.add_node_options
    def diff(path: str, address: str, key: str, ca: str) -> None:
        """Print the differences of a tables file from the tables in force."""
        tables = checks.load_tables(path)
        current = asyncio.run(
            _read_configuration(remote.Target(address, key, ca))
        )
        _print_changes(diffs.diff(current.tables, tables))

    return diff


def _apply_command() -> click.Command:
    @click.command('apply')
    @click.argument('path')
    @click.option(
        '--base', type=int, help='Generation that the file is based on.'
    )
    @click.option(
        '--wait', 'wait_all', is_flag=True, help='Wait for all nodes.'
    )
    @click.option(
        '--wait-s', default=WAIT_TIMEOUT_S, help='Timeout in seconds.'
    )
    @remote.add_node_options
    def apply_file(
        path: str,
        base: int | None,
        wait_all: bool,
        wait_s: float,
        address: str,
        key: str,
        ca: str,
    ) -> None:
        """Apply the tables of a file."""
        tables = checks.load_tables(path)
        _print_advice(tables)
        target = remote.Target(address, key, ca)
        reply = asyncio.run(apply(target, tables, base))
        _print_reply(reply)
        if wait_all:
            asyncio.run(wait(target, reply.generation, wait_s))

    return apply_file


def _print_advice(tables: model.Tables) -> None:
    for item in advices.list_advice(tables):
        click.echo(f'advice: {item}', err=True)


async def _read_configuration(target: remote.Target) -> model.Configuration:
    return await remote.get(target, '/v1/config', model.Configuration)


async def apply(
    target: remote.Target, tables: model.Tables, base: int | None
) -> models.ApplyReply:
    """Apply tables through a node, by compare-and-swap.

    :param target: node to send the tables to.
    :param tables: new tables.
    :param base: generation that the tables are based on, none to take the
        one in force. The change is refused if the store has another one.
    :return: whether the tables were applied, and as which generation.
    """
    if base is None:
        base = (await _read_configuration(target)).generation
    request = models.ApplyRequest(base=base, tables=tables)
    return await remote.post(target, '/v1/config', request, models.ApplyReply)


def _print_reply(reply: models.ApplyReply) -> None:
    if reply.state == 'applied':
        click.echo(f'applied as generation {reply.generation}')
        return
    if reply.state == 'lost-race':
        click.echo(
            f'not applied: generation {reply.generation} by '
            f'{reply.writer} was applied first; your tables differ from it in'
        )
        _print_changes(reply.changes)
        raise click.exceptions.Exit(EXIT_CONFLICT)
    click.echo(f'{reply.state}: the key-value store does not respond')
    raise click.exceptions.Exit(EXIT_FAILED)


async def wait(target: remote.Target, generation: int, wait_s: float) -> None:
    """Wait until a generation is in force at all live nodes.

    :param target: node to ask for the live nodes.
    :param generation: generation to wait for, or a later one.
    :param wait_s: timeout in seconds.
    :raises click.exceptions.Exit: the timeout has elapsed.
    """
    began = time.monotonic()
    while True:
        lagging = await _list_lagging_nodes(target, generation)
        span = time.monotonic() - began
        if not lagging:
            click.echo(f'in force at all nodes after {span:.2f} s')
            return
        if span > wait_s:
            for line in lagging:
                click.echo(f'not in force: {line}')
            raise click.exceptions.Exit(EXIT_NOT_IN_FORCE)
        await asyncio.sleep(POLL_INTERVAL_S)


async def _list_lagging_nodes(
    target: remote.Target, generation: int
) -> list[str]:
    replies = await remote.get_from_live_nodes(
        target, '/v1/status', models.NodeStatus
    )
    lagging = []
    for name, answer in replies.items():
        if isinstance(answer, remote.RemoteError):
            lagging.append(f'{name}: {answer}')
        elif answer.generation < generation:
            lagging.append(f'{name}: has generation {answer.generation}')
    return lagging


def _print_changes(changes: typing.Iterable[diffs.Change]) -> None:
    for change in changes:
        click.echo(str(change))
