"""List the commands, each with one example."""

from importlib.metadata import version

from cyclopts import App
from rich.console import Console as RichConsole

from sedgeshunt.cli.burn import burn
from sedgeshunt.cli.changes import diff, history
from sedgeshunt.cli.console import Console
from sedgeshunt.cli.description import describe
from sedgeshunt.cli.drain import drain
from sedgeshunt.cli.explanation import explain
from sedgeshunt.cli.listing import get
from sedgeshunt.cli.load import load
from sedgeshunt.cli.objects import apply, delete, label
from sedgeshunt.cli.offline import check, proxy
from sedgeshunt.cli.rollout import rollout
from sedgeshunt.cli.shells import build_completion

NAME = 'sedgeshunt'

_COMMANDS = (
    (proxy, 'proxy --settings settings.toml'),
    (apply, 'apply objects.toml --message "add zone c"'),
    (get, 'get target --output json'),
    (describe, 'describe route browse'),
    (label, 'label target songbook-1-a tier=fast legacy-'),
    (delete, 'delete target songbook-1-a'),
    (diff, 'diff objects.toml'),
    (history, 'history --limit 5'),
    (rollout, 'rollout --wait 10'),
    (explain, 'explain songbook-1 --traffic-class browse --age 500'),
    (burn, 'burn --class queue --plot burn.svg'),
    (load, 'load 127.0.0.1:9100 127.0.0.1:9101'),
    (drain, 'drain songbook-1-a --wait 10'),
    (check, 'check objects.toml --settings settings.toml'),
)


def build_app(console: Console) -> App:
    """Return a new command line that writes to `console`."""
    app = App(
        name=NAME,
        help='Steer a database proxy by labels and selectors.',
        version=version(NAME),
        console=RichConsole(file=console.out),
        error_console=RichConsole(file=console.err),
        result_action='return_value',
        exit_on_error=False,
    )
    commands = (*_COMMANDS, (build_completion(app), 'completion --shell zsh'))
    for command, example in commands:
        app.command(command, help_epilogue=f'Example: {NAME} {example}')
    return app
