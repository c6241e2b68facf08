"""``teaselbridge moves``: show the state of version rollouts."""

from __future__ import annotations

import asyncio
import datetime
import time

import click

from teaselbridge.admin import models
from teaselbridge.cli import remote
from teaselbridge import clock
from teaselbridge.peers import messages

WAIT_TIMEOUT_S = 600.0
POLL_INTERVAL_S = 0.5
EXIT_ROLLED_BACK = 6
EXIT_UNFINISHED = 7
EXIT_UNKNOWN = 8


def command() -> click.Command:
    """Build the command."""

    @click.group('moves')
    def moves() -> None:
        """Show version rollouts and wait for them to finish."""

    moves.add_command(_list_command())
    moves.add_command(_show_command())
    moves.add_command(_wait_command())
    return moves


def describe_move(move: messages.Move) -> str:
    """Return the versions, stage and traffic share of a rollout."""
    if move.old == move.new:
        return f'{move.new}, no rollout yet'
    return (
        f'{move.old} to {move.new}, {move.stage.value}, share {move.share:.0%}'
    )


def _list_command() -> click.Command:
    @click.command('list')
    @remote.add_node_options
    def list_moves(address: str, key: str, ca: str) -> None:
        """List the latest rollout of each pool."""
        target = remote.Target(address, key, ca)
        for move in asyncio.run(_get_latest_moves(target)).values():
            click.echo(f'{move.pool:<17} {describe_move(move)}: {move.reason}')

    return list_moves


def _show_command() -> click.Command:
    @click.command('show')
    @click.argument('pool')
    @remote.add_node_options
    def show(pool: str, address: str, key: str, ca: str) -> None:
        """Show the latest rollout of a pool and the reason for its state."""
        target = remote.Target(address, key, ca)
        move = _get_move(asyncio.run(_get_latest_moves(target)), pool)
        click.echo(f'{pool}: move {move.number}, {describe_move(move)}')
        click.echo(f'began    {_format_time(move.began)}')
        click.echo(f'stepped  {_format_time(move.stepped)}')
        click.echo(f'deadline {_format_time(move.deadline)}')
        click.echo(f'why      {move.reason}')

    return show


def _wait_command() -> click.Command:
    @click.command('wait')
    @click.argument('pool')
    @click.option('--version', 'wanted', default='', help='New version.')
    @click.option(
        '--wait-s', default=WAIT_TIMEOUT_S, help='Timeout in seconds.'
    )
    @remote.add_node_options
    def wait(
        pool: str,
        wanted: str,
        wait_s: float,
        address: str,
        key: str,
        ca: str,
    ) -> None:
        """Wait until a rollout is finished or rolled back."""
        target = remote.Target(address, key, ca)
        move = asyncio.run(wait_for_move(target, pool, wanted, wait_s))
        if move is None:
            click.echo(
                f'{pool}: the rollout has not ended after {wait_s:.0f} s'
            )
            raise click.exceptions.Exit(EXIT_UNFINISHED)
        click.echo(f'{pool}: {describe_move(move)}: {move.reason}')
        if move.stage is messages.Stage.UNDONE:
            raise click.exceptions.Exit(EXIT_ROLLED_BACK)

    return wait


async def wait_for_move(
    target: remote.Target, pool: str, wanted: str, wait_s: float
) -> messages.Move | None:
    """Wait for the end of a pool's rollout.

    :param target: node to ask for the live nodes.
    :param pool: name of the pool.
    :param wanted: new version of the rollout, empty for any.
    :param wait_s: timeout in seconds.
    :return: the ended rollout, none after the timeout.
    """
    until = time.monotonic() + wait_s
    while time.monotonic() < until:
        move = (await _get_latest_moves(target)).get(pool)
        if move is not None and wanted in ('', move.new):
            if move.stage in messages.ENDED_STAGES:
                return move
        await asyncio.sleep(POLL_INTERVAL_S)
    return None


async def _get_latest_moves(target: remote.Target) -> dict[str, messages.Move]:
    """Return the latest rollout of each pool, over all live nodes.

    All nodes are asked, since a single one may have an older state.
    """
    replies = await remote.get_from_live_nodes(
        target, '/v1/moves', models.MovesReply
    )
    latest: dict[str, messages.Move] = {}
    for answer in replies.values():
        if isinstance(answer, remote.RemoteError):
            continue
        for move in answer.moves:
            known = latest.get(move.pool)
            if known is None or known.order < move.order:
                latest[move.pool] = move
    return latest


def _get_move(latest: dict[str, messages.Move], pool: str) -> messages.Move:
    if pool not in latest:
        click.echo(f'no rollout of a pool named `{pool}` is known')
        raise click.exceptions.Exit(EXIT_UNKNOWN)
    return latest[pool]


def _format_time(wall: int) -> str:
    utc_time = datetime.datetime.fromtimestamp(
        wall / clock.SECOND_MS, datetime.UTC
    )
    return utc_time.isoformat(timespec='milliseconds')
