"""``teaselbridge standins``: run simulated services.

They simulate the deployment platform and the backend servers.
"""

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
    @click.option('--spec', 'path', required=True, help='Spec file.')
    def standins(path: str) -> None:
        """Run simulated services, for tests without a platform."""
        spec = documents.convert(load.read_document(path), fleets.Spec, path)
        logs.silence_web_server()
        asyncio.run(_run(spec))

    return standins


async def _run(spec: fleets.Spec) -> None:
    fleet = fleets.Fleet(spec=spec)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await fleet.start()
    click.echo('simulated services are up: ' + ' '.join(fleet.addresses))
    await stopped.wait()
    await fleet.stop()
