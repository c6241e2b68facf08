"""``teaselbridge timeline``: events over all nodes, in order."""

from __future__ import annotations

import asyncio
import datetime

import click
import msgspec

from teaselbridge.admin import models
from teaselbridge.cli import remote
from teaselbridge import clock
from teaselbridge.telemetry import timeline as timelines

MOVE_MARKS = 'move-'


def command() -> click.Command:
    """Build the command."""

    @click.command('timeline')
    @click.option('--request', default='', help='Only this request.')
    @click.option('--route', default='', help='Only this route.')
    @click.option('--pool', default='', help='Only this pool.')
    @click.option('--host', default='', help='Only this host or node.')
    @click.option('--mark', default='', help='Only kinds that begin so.')
    @click.option('--move', default='', help="Only this pool's moves.")
    @click.option('--json', 'as_json', is_flag=True, help='Print JSON lines.')
    @remote.options
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
        """Merge the time lines of all nodes."""
        query = {
            'request': request,
            'route': route,
            'pool': move or pool,
            'host': host,
            'mark': MOVE_MARKS if move else mark,
        }
        wanted = {name: value for name, value in query.items() if value}
        target = remote.Target(address, key, ca)
        for entry in asyncio.run(collect(target, wanted)):
            click.echo(_json(entry) if as_json else _line(entry))

    return timeline


async def collect(
    target: remote.Target, query: dict[str, str]
) -> tuple[timelines.Entry, ...]:
    """Read and merge the parts of all live nodes.

    :param query: filter, by field.
    :return: entries in order; nodes that do not answer are named on
        standard error.
    """
    found = await remote.gather(
        target, '/v1/timeline', models.TimelineReply, query
    )
    parts = []
    for name, answer in found.items():
        if isinstance(answer, remote.RemoteError):
            click.echo(f'{name} does not answer: {answer}', err=True)
            continue
        parts.append(answer.entries)
    return timelines.merge(parts)


def _json(entry: timelines.Entry) -> str:
    return msgspec.json.encode(entry).decode()


def _line(entry: timelines.Entry) -> str:
    moment = datetime.datetime.fromtimestamp(
        entry.wall / clock.SECOND, datetime.UTC
    )
    words = [
        moment.strftime('%H:%M:%S.%f')[:-3],
        f'{entry.node:<10}',
        f'{entry.mark:<22}',
        entry.request,
        entry.route,
        entry.pool,
        entry.host,
        entry.detail,
    ]
    return ' '.join(word for word in words if word)
