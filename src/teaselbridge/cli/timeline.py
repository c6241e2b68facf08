"""``teaselbridge timeline``: show the events of all nodes in order."""

from __future__ import annotations

import asyncio
import datetime

import click
import msgspec

from teaselbridge.admin import models
from teaselbridge.cli import remote
from teaselbridge import clock
from teaselbridge.telemetry import timeline as timelines

MOVE_MARK_PREFIX = 'move-'


def command() -> click.Command:
    """Build the command."""

    @click.command('timeline')
    @click.option('--request', default='', help='Only this request.')
    @click.option('--route', default='', help='Only this route.')
    @click.option('--pool', default='', help='Only this pool.')
    @click.option('--host', default='', help='Only this host or node.')
    @click.option('--mark', default='', help='Only marks with this prefix.')
    @click.option('--move', default='', help="Only this pool's rollouts.")
    @click.option('--json', 'as_json', is_flag=True, help='Print JSON lines.')
    @remote.add_node_options
    def timeline(
        request: str,
        route: str,
        pool: str,
        host: str,
        mark: str,
        move: str,
        as_json: bool,
        address: str,
        key: str,
        ca: str,
    ) -> None:
        """Show the merged timelines of all nodes."""
        query = {
            'request': request,
            'route': route,
            'pool': move or pool,
            'host': host,
            'mark': MOVE_MARK_PREFIX if move else mark,
        }
        wanted = {name: value for name, value in query.items() if value}
        target = remote.Target(address, key, ca)
        for entry in asyncio.run(collect_entries(target, wanted)):
            click.echo(_format_json(entry) if as_json else _format_line(entry))

    return timeline


async def collect_entries(
    target: remote.Target, query: dict[str, str]
) -> tuple[timelines.Entry, ...]:
    """Read and merge the timelines of all live nodes.

    Nodes that do not respond are listed on standard error.

    :param target: node to ask for the live nodes.
    :param query: filter values by field.
    :return: entries in order.
    """
    replies = await remote.get_from_live_nodes(
        target, '/v1/timeline', models.TimelineReply, query
    )
    parts = []
    for name, answer in replies.items():
        if isinstance(answer, remote.RemoteError):
            click.echo(f'{name} does not respond: {answer}', err=True)
            continue
        parts.append(answer.entries)
    return timelines.merge_entries(parts)


def _format_json(entry: timelines.Entry) -> str:
    return msgspec.json.encode(entry).decode()


def _format_line(entry: timelines.Entry) -> str:
    utc_time = datetime.datetime.fromtimestamp(
        entry.wall / clock.SECOND_MS, datetime.UTC
    )
    words = [
        utc_time.strftime('%H:%M:%S.%f')[:-3],
        f'{entry.node:<10}',
        f'{entry.mark:<22}',
        entry.request,
        entry.route,
        entry.pool,
        entry.host,
        entry.detail,
    ]
    return ' '.join(word for word in words if word)
