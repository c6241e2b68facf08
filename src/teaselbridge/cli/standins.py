"""``teaselbridge standins``: run stand-ins of platform and servers."""

from __future__ import annotations

import asyncio
import signal

import click

from teaselbridge import documents
from teaselbridge.settings import load
from teaselbridge.standins import fleet as fleets
from teaselbridge.telemetry import logs


def command() -> click.Command:
    """Build the command."""

    @click.command('standins')
    @click.option('--spec', 'path', required=True, help='What to run.')
    def standins(path: str) -> None:
        """Run small stand-ins, for trials without a platform."""
        spec = documents.convert(load.read(path), fleets.Spec, path)
        logs.hush()
        asyncio.run(_run(spec))

    return standins


async def _run(spec: fleets.Spec) -> None:
    fleet = fleets.Fleet(spec=spec)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await fleet.start()
    click.echo('stand-ins are up: ' + ' '.join(fleet.addresses))
    await stopped.wait()
    await fleet.stop()
