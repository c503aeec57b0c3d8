"""Parse one command line and run it."""

from asyncio import CancelledError, Runner
from collections.abc import Awaitable, Sequence
from inspect import isawaitable
from typing import Annotated

from cyclopts import CycloptsError, Parameter
from uvloop import new_event_loop

from sedgeshunt.cli.backends import Backends
from sedgeshunt.cli.commands import NAME, build_app
from sedgeshunt.cli.console import Console, OutputStyle
from sedgeshunt.cli.context import PLATFORM_VARIABLE, CommandContext
from sedgeshunt.exceptions import ExitCode, SedgeshuntError

# What a command returns; nothing means that all went well.
Outcome = ExitCode | None


class CommandLine:
    """Run commands and turn their errors into messages and exit codes."""

    def __init__(self, backends: Backends, console: Console) -> None:
        """Reach services through `backends`."""
        self._console = console
        self._context = CommandContext(backends, console)
        self._app = build_app(console)
        self._app.meta.default(self._prepare)

    def run(self, arguments: Sequence[str]) -> ExitCode:
        """Run one command in an event loop of its own."""
        try:
            outcome = self._start(arguments)
            if not isawaitable(outcome):
                return outcome or ExitCode.DONE
            with Runner(loop_factory=new_event_loop) as runner:
                return runner.run(self._finish(outcome))
        except KeyboardInterrupt:
            return self._report_interrupt()

    async def run_inside(self, arguments: Sequence[str]) -> ExitCode:
        """Run one command in the event loop that runs already."""
        outcome = self._start(arguments)
        if isawaitable(outcome):
            return await self._finish(outcome)
        return outcome or ExitCode.DONE

    def _start(
        self,
        arguments: Sequence[str],
    ) -> Awaitable[Outcome] | Outcome:
        try:
            started: Awaitable[Outcome] | Outcome = self._app.meta(arguments)
        except CycloptsError:
            self._console.tell(f'run "{NAME} --help" for the commands')
            return ExitCode.USAGE
        except SedgeshuntError as failure:
            return self._report(failure)
        return started

    async def _finish(self, outcome: Awaitable[Outcome]) -> ExitCode:
        try:
            return await outcome or ExitCode.DONE
        except SedgeshuntError as failure:
            return self._report(failure)
        except CancelledError:
            # The first interrupt cancels the command; its exit stacks have
            # closed everything by now.
            return self._report_interrupt()

    def _prepare(
        self,
        *tokens: Annotated[
            str,
            Parameter(show=False, allow_leading_hyphen=True),
        ],
        platform: Annotated[
            str | None,
            Parameter(
                env_var=PLATFORM_VARIABLE,
                help='HOST:PORT of the key-value service.',
            ),
        ] = None,
        output: Annotated[
            OutputStyle,
            Parameter(help='Form of the result.'),
        ] = OutputStyle.TABLE,
    ) -> object:
        command, bound, ignored = self._app.parse_args(tokens)
        self._console.style = output
        self._context.platform = platform
        handed = dict.fromkeys(ignored, self._context)
        return command(*bound.args, **bound.kwargs, **handed)

    def _report(self, failure: SedgeshuntError) -> ExitCode:
        self._console.tell(failure.format_message())
        return failure.exit_code

    def _report_interrupt(self) -> ExitCode:
        registry = self._context.registry
        if registry is None or registry.unconfirmed is None:
            self._console.tell('interrupted; nothing was left half done')
            return ExitCode.INTERRUPTED
        # The change is one commit: it took effect whole or not at all.
        self._console.tell(
            f'interrupted while change {registry.unconfirmed} was on its way; '
            + f'run "{NAME} history --change {registry.unconfirmed}" to see '
            + 'whether it took effect',
        )
        return ExitCode.INTERRUPTED
