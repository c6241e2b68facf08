"""``teaselbridge status``: show nodes, backend servers and pools."""

from __future__ import annotations

import asyncio

import click
import msgspec

from teaselbridge.admin import models
from teaselbridge.cli import moves as moves_command
from teaselbridge.cli import remote
from teaselbridge.peers import messages


def command() -> click.Command:
    """Build the command."""

    @click.command('status')
    @click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
    @remote.add_node_options
    def status(as_json: bool, address: str, key: str, ca: str) -> None:
        """Show all nodes, backend servers and pools."""
        target = remote.Target(address, key, ca)
        answers = asyncio.run(
            remote.get_from_live_nodes(target, '/v1/status', models.NodeStatus)
        )
        if as_json:
            click.echo(msgspec.json.encode(_convert_errors(answers)))
            return
        _print_nodes(answers)
        _print_servers(answers)
        _print_pools(answers)

    return status


def _convert_errors(
    answers: dict[str, models.NodeStatus | remote.RemoteError],
) -> dict[str, models.NodeStatus | str]:
    return {
        name: str(answer) if isinstance(answer, remote.RemoteError) else answer
        for name, answer in answers.items()
    }


def _print_nodes(
    answers: dict[str, models.NodeStatus | remote.RemoteError],
) -> None:
    click.echo('node              zone            gen  held queue state')
    for name, answer in sorted(answers.items()):
        if isinstance(answer, remote.RemoteError):
            click.echo(f'{name:<17} no response: {answer.detail}')
            continue
        click.echo(
            f'{name:<17} {answer.zone:<15} {answer.generation:<4} '
            f'{answer.held:<4} {answer.queued:<5} {_describe_state(answer)}'
        )


def _describe_state(answer: models.NodeStatus) -> str:
    words = []
    if answer.draining:
        words.append('draining')
    if answer.withdrawn:
        words.append('withdrawn')
    if not answer.keyvalue_up:
        words.append('key-value store down')
    return ', '.join(words) or ('ready' if answer.ready else 'not ready')


def _print_servers(
    answers: dict[str, models.NodeStatus | remote.RemoteError],
) -> None:
    rows: dict[str, models.ServerStatus] = {}
    inflight: dict[str, int] = {}
    for answer in answers.values():
        if isinstance(answer, remote.RemoteError):
            continue
        for server in answer.servers:
            rows[server.host] = server
            total = inflight.get(server.host, 0) + server.inflight
            inflight[server.host] = total
    click.echo('\nserver            pool          version  zone          work')
    for host, server in sorted(rows.items()):
        state = ' leaving' if server.leaving else ''
        state += ' ejected' if server.ejected else ''
        click.echo(
            f'{host:<17} {server.pool:<13} {server.version:<8} '
            f'{server.zone:<13} {inflight[host]}/{server.slots}{state}'
        )


def _print_pools(
    answers: dict[str, models.NodeStatus | remote.RemoteError],
) -> None:
    holders: dict[str, str] = {}
    moves: dict[str, messages.Move] = {}
    for answer in answers.values():
        if isinstance(answer, remote.RemoteError):
            continue
        for lease in answer.leases:
            if lease.fence:
                holders[lease.pool] = f'{lease.holder} ({lease.fence})'
        for move in answer.moves:
            known = moves.get(move.pool)
            if known is None or known.order < move.order:
                moves[move.pool] = move
    click.echo('\npool              controlled by          version')
    for pool in sorted(holders.keys() | moves.keys()):
        latest = moves.get(pool)
        words = '' if latest is None else moves_command.describe_move(latest)
        click.echo(f'{pool:<17} {holders.get(pool, "nobody"):<22} {words}')
