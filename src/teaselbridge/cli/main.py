"""Entry point of the command line interface."""

from __future__ import annotations

import importlib
import sys
import typing

import click

from teaselbridge import errors
from teaselbridge import version

if typing.TYPE_CHECKING:
    import types

EXIT_USAGE = 2

COMMANDS = (
    'config',
    'drain',
    'experiment',
    'explain',
    'load',
    'moves',
    'serve',
    'settings',
    'standins',
    'status',
    'timeline',
)


class LazyGroup(click.Group):
    """Command group that imports a command's module only when it is used.

    This keeps the modules of other commands out of the memory of a node.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return list(COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Import and return a command, none for an unknown name."""
        if cmd_name not in COMMANDS:
            return None
        module: types.ModuleType = importlib.import_module(
            f'teaselbridge.cli.{cmd_name}'
        )
        command: click.Command = module.command()
        return command


@click.group(cls=LazyGroup)
@click.version_option(version.__version__)
def cli() -> None:
    """Serve requests with deadlines on reclaimable hosts."""


def main() -> None:
    """Run the command line; an error of this package exits with code 2."""
    try:
        cli.main(standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(1)
    except errors.TeaselbridgeError as error:
        click.echo(f'{type(error).__name__}: {error}', err=True)
        sys.exit(EXIT_USAGE)
