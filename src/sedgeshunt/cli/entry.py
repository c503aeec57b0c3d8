"""Start the command line."""

import sys

from sedgeshunt.cli.backends import NetworkBackends
from sedgeshunt.cli.console import Console
from sedgeshunt.cli.line import CommandLine


def run() -> None:
    """Run the command that the process was started with."""
    line = CommandLine(NetworkBackends(), Console(sys.stdout, sys.stderr))
    sys.exit(line.run(sys.argv[1:]))
