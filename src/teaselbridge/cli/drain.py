"""``teaselbridge drain``: shut down a node gracefully."""

from __future__ import annotations

import asyncio

import click

from teaselbridge.admin import models
from teaselbridge.cli import remote


def command() -> click.Command:
    """Build the command."""

    @click.command('drain')
    @remote.add_node_options
    def drain(address: str, key: str, ca: str) -> None:
        """Shut down a node once its requests have finished or moved."""
        target = remote.Target(address, key, ca)
        status = asyncio.run(
            remote.post(target, '/v1/drain', {}, models.NodeStatus)
        )
        click.echo(f'{status.node} is draining, {status.held} requests held')

    return drain
