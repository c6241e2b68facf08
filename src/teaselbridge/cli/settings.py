"""``teaselbridge settings``: check settings files."""

from __future__ import annotations

import click

from teaselbridge.settings import load


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

    return settings
