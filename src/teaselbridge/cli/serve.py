"""``teaselbridge serve``: run a node."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import click

from teaselbridge import errors
from teaselbridge.settings import load
from teaselbridge.telemetry import logs

if typing.TYPE_CHECKING:
    from teaselbridge.settings import model


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
        run = _run_node if settings.site is None else _run_site
        try:
            asyncio.run(run(settings, path))
        except OSError as error:
            raise ListenError(str(error)) from error

    return serve


async def _run_node(settings: model.Settings, path: str) -> None:
    # A node imports only what it uses: after a loss of power callers wait
    # for it to start.
    from teaselbridge.runtime import node

    logs.set_up()
    await node.Node(settings=settings).run()


async def _run_site(settings: model.Settings, path: str) -> None:
    from teaselbridge.runtime import site

    with logs.lines():
        await site.Site(settings=settings, path=path).run()
