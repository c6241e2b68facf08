"""``teaselbridge serve``: run a node."""

from __future__ import annotations

import asyncio
import dataclasses

import click

from teaselbridge import errors
from teaselbridge.runtime import node as nodes
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
    @click.option('--settings', 'path', required=True, help='Settings file.')
    def serve(path: str) -> None:
        """Run a node until it is stopped."""
        settings = load.load(path)
        logs.set_up()

        async def run() -> None:
            await nodes.Node(settings=settings).run()

        try:
            asyncio.run(run())
        except OSError as error:
            raise ListenError(str(error)) from error

    return serve
