"""``teaselbridge serve``: run a node."""

from __future__ import annotations

import asyncio
import dataclasses

import click

from teaselbridge import errors
from teaselbridge.runtime import node as nodes
from teaselbridge.runtime import site as sites
from teaselbridge.settings import load
from teaselbridge.telemetry import logs


@dataclasses.dataclass(eq=False)
class ListenError(errors.TeaselbridgeError):
    """The node cannot listen on its addresses.

    :param detail: what the system said.
    """

    detail: str

    def __str__(self) -> str:
        return self.detail


def command() -> click.Command:
    """Build the command."""

    @click.command('serve')
    @click.option(
        '--settings',
        'path',
        required=True,
        envvar='TEASELBRIDGE_SETTINGS',
        help='Settings file.',
    )
    def serve(path: str) -> None:
        """Run a node until it is stopped."""
        settings = load.load(path)

        async def run() -> None:
            if settings.site is None:
                logs.set_up()
                await nodes.Node(settings=settings).run()
                return
            with logs.lines():
                await sites.Site(settings=settings, path=path).run()

        try:
            asyncio.run(run())
        except OSError as error:
            raise ListenError(str(error)) from error

    return serve
