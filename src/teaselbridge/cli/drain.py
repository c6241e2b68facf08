"""``teaselbridge drain``: stop a node gracefully."""

from __future__ import annotations

import asyncio

import click

from teaselbridge.admin import models
from teaselbridge.cli import remote


def command() -> click.Command:
    """Build the command."""

    @click.command('drain')
    @remote.options
    def drain(address: str, key: str, ca: str) -> None:
        """Stop a node once all that it holds has ended or moved."""
        target = remote.Target(address, key, ca)
        found = asyncio.run(
            remote.post(target, '/v1/drain', {}, models.NodeStatus)
        )
        click.echo(f'{found.node} drains, {found.held} requests held')

    return drain
