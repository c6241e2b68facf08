"""``teaselbridge serve``: run a node."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import signal
import socket
import typing

import click

from teaselbridge import errors
from teaselbridge.runtime import listening
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
        try:
            if settings.site is None:
                asyncio.run(_run_node(settings))
            else:
                _serve_site(settings, settings.site, path)
        except OSError as error:
            raise ListenError(str(error)) from error

    return serve


async def _run_node(settings: model.Settings) -> None:
    # A node imports only what it uses: after a loss of power callers wait
    # for it to start.
    from teaselbridge.runtime import node

    _collect_from_now_on()
    logs.set_up()
    await node.Node(settings=settings).run()


def _serve_site(
    settings: model.Settings, found: model.Site, path: str
) -> None:
    # Until the node handles it, the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listeners = listening.listen_all(
        (settings.listen.callers, *listening.entrances(settings, found))
    )
    asyncio.run(_run_site(settings, path, listeners))


async def _run_site(
    settings: model.Settings, path: str, listeners: dict[str, socket.socket]
) -> None:
    from teaselbridge.runtime import site

    _collect_from_now_on()
    with logs.lines():
        node = site.Site(settings=settings, path=path, listeners=listeners)
        await node.run()


def _collect_from_now_on() -> None:
    """Leave what was imported out of all later collections of garbage."""
    gc.freeze()
    gc.enable()
