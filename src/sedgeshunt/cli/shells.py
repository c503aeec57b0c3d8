"""Complete commands in a shell."""

from collections.abc import Callable
from enum import Enum
from typing import Annotated

from cyclopts import App, Parameter

from sedgeshunt.cli.context import Context


class Shell(Enum):
    """List the shells that can complete commands."""

    BASH = 'bash'
    ZSH = 'zsh'
    FISH = 'fish'


def build_completion(app: App) -> Callable[..., None]:
    """Return the command that writes or installs the completion."""

    def completion(
        *,
        shell: Shell = Shell.BASH,
        install: Annotated[
            bool,
            Parameter(help='Install it for the user.', negative=''),
        ] = False,
        context: Context,
    ) -> None:
        """Write the script that completes commands in a shell."""
        if install:
            path = app.install_completion(shell=shell.value)
            context.console.write(f'installed as {path}; start a new shell')
            return
        context.console.write(app.generate_completion(shell=shell.value))

    return completion
