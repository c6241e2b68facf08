"""``teaselbridge moves``: how version moves stand, and why."""

from __future__ import annotations

import asyncio
import datetime
import time

import click

from teaselbridge.admin import models
from teaselbridge.cli import remote
from teaselbridge import clock
from teaselbridge.peers import messages

WAIT_S = 600.0
POLL_S = 0.5
EXIT_UNDONE = 6
EXIT_UNFINISHED = 7
EXIT_UNKNOWN = 8


def command() -> click.Command:
    """Build the command."""

    @click.group('moves')
    def moves() -> None:
        """Show version moves, and wait for their ends."""

    moves.add_command(_list_command())
    moves.add_command(_show_command())
    moves.add_command(_wait_command())
    return moves


def describe(move: messages.Move) -> str:
    """Describe a move in one line."""
    if move.old == move.new:
        return f'{move.new}, never moved'
    return (
        f'{move.old} to {move.new}, {move.stage.value}, share {move.share:.0%}'
    )


def _list_command() -> click.Command:
    @click.command('list')
    @remote.options
    def list_moves(address: str, key: str, ca: str) -> None:
        """List the newest move of each pool."""
        target = remote.Target(address, key, ca)
        for move in asyncio.run(_newest(target)).values():
            click.echo(f'{move.pool:<17} {describe(move)}: {move.reason}')

    return list_moves


def _show_command() -> click.Command:
    @click.command('show')
    @click.argument('pool')
    @remote.options
    def show(pool: str, address: str, key: str, ca: str) -> None:
        """Show the newest move of a pool, with verdicts."""
        target = remote.Target(address, key, ca)
        move = _find(asyncio.run(_newest(target)), pool)
        click.echo(f'{pool}: move {move.number}, {describe(move)}')
        click.echo(f'began    {_time(move.began)}')
        click.echo(f'stepped  {_time(move.stepped)}')
        click.echo(f'deadline {_time(move.deadline)}')
        click.echo(f'why      {move.reason}')

    return show


def _wait_command() -> click.Command:
    @click.command('wait')
    @click.argument('pool')
    @click.option('--version', 'wanted', default='', help='Wanted version.')
    @click.option('--wait-s', default=WAIT_S, help='Longest wait.')
    @remote.options
    def wait(
        pool: str,
        wanted: str,
        wait_s: float,
        address: str,
        key: str,
        ca: str,
    ) -> None:
        """Wait until a move is done or undone."""
        target = remote.Target(address, key, ca)
        move = asyncio.run(wait_ended(target, pool, wanted, wait_s))
        if move is None:
            click.echo(f'{pool}: has not ended after {wait_s:.0f} s')
            raise click.exceptions.Exit(EXIT_UNFINISHED)
        click.echo(f'{pool}: {describe(move)}: {move.reason}')
        if move.stage is messages.Stage.UNDONE:
            raise click.exceptions.Exit(EXIT_UNDONE)

    return wait


async def wait_ended(
    target: remote.Target, pool: str, wanted: str, wait_s: float
) -> messages.Move | None:
    """Wait for the end of a pool's move.

    :param wanted: version that the move is to, empty for any.
    :return: the ended move, none where it takes too long.
    """
    until = time.monotonic() + wait_s
    while time.monotonic() < until:
        move = (await _newest(target)).get(pool)
        if move is not None and wanted in ('', move.new):
            if move.stage in messages.ENDED:
                return move
        await asyncio.sleep(POLL_S)
    return None


async def _newest(target: remote.Target) -> dict[str, messages.Move]:
    """Ask all nodes, as the asked one may be behind."""
    found = await remote.gather(target, '/v1/moves', models.MovesReply)
    newest: dict[str, messages.Move] = {}
    for answer in found.values():
        if isinstance(answer, remote.RemoteError):
            continue
        for move in answer.moves:
            known = newest.get(move.pool)
            if known is None or known.order < move.order:
                newest[move.pool] = move
    return newest


def _find(found: dict[str, messages.Move], pool: str) -> messages.Move:
    if pool not in found:
        click.echo(f'no move of a pool named `{pool}` is known')
        raise click.exceptions.Exit(EXIT_UNKNOWN)
    return found[pool]


def _time(wall: int) -> str:
    moment = datetime.datetime.fromtimestamp(wall / clock.SECOND, datetime.UTC)
    return moment.isoformat(timespec='milliseconds')
