"""``teaselbridge settings``: check settings files and create keys."""

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
        """Check settings files and create key pairs."""

    @settings.command('check')
    @click.argument('path')
    def check(path: str) -> None:
        """Check a settings file without starting a node."""
        loaded = load.load(path)
        click.echo(f'{path}: good, node {loaded.node.name}')

    @settings.command('keys')
    def keys() -> None:
        """Create a key pair for the messages between nodes."""
        public, secret = zmq.curve_keypair()
        pair = model.PeerKeys(public=public.decode(), secret=secret.decode())
        click.echo(documents.encode({'peer_keys': pair}))

    return settings
