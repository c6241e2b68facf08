"""``teaselbridge settings``: check settings files."""

from __future__ import annotations

import click
import zmq

from teaselbridge import documents
from teaselbridge.settings import load
from teaselbridge.settings import model


def command() -> click.Command:
    """Build the command."""

    @click.group('settings')
    def settings() -> None:
        """Check settings files."""

    @settings.command('check')
    @click.argument('path')
    def check(path: str) -> None:
        """Check a settings file without starting a node."""
        found = load.load(path)
        click.echo(f'{path}: good, node {found.node.name}')

    @settings.command('keys')
    def keys() -> None:
        """Make a key pair for the messages between nodes."""
        public, secret = zmq.curve_keypair()
        pair = model.PeerKeys(public=public.decode(), secret=secret.decode())
        click.echo(documents.encode({'peer_keys': pair}))

    return settings
