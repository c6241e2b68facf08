"""``teaselbridge serve``: run a node."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import os
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
    """A failure to listen on the addresses of the node.

    :param detail: message of the operating system.
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
    # Imports only what this kind of node uses, to shorten the startup:
    # callers wait for it after a power failure.
    from teaselbridge.runtime import node

    _enable_garbage_collection()
    with logs.log_to_stdout():
        await node.Node(settings=settings).run()


def _serve_site(
    settings: model.Settings, site_settings: model.Site, path: str
) -> None:
    # The default action of the signal terminates the process. It is ignored
    # until the node installs its handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listeners = listening.listen_all(
        (
            settings.listen.callers,
            settings.listen.forwarding,
            *listening.list_auxiliary_addresses(settings, site_settings),
        )
    )
    asyncio.run(_run_site(settings, path, listeners))


async def _run_site(
    settings: model.Settings, path: str, listeners: dict[str, socket.socket]
) -> None:
    from teaselbridge.runtime import site

    _enable_garbage_collection()
    with logs.log_to_stdout():
        logs.silence_web_server()
        node = site.SiteNode(settings=settings, path=path, listeners=listeners)
        await node.run()
    # The grace period may be over. To end tasks that do not end by themselves
    # and to free all objects would only take time.
    os._exit(0)


def _enable_garbage_collection() -> None:
    """Enable garbage collection and exempt all objects that exist now.

    Imported modules stay until the process ends, so that no collection has
    to examine them.
    """
    gc.freeze()
    gc.enable()
