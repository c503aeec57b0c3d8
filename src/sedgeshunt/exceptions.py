"""Define the one tree of errors; each message names the remedy."""

from collections.abc import Sequence
from enum import IntEnum


class ExitCode(IntEnum):
    """List the documented exit codes of the command line."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    CONFLICT = 4
    PLATFORM_UNAVAILABLE = 5
    ANSWER_LOST = 6
    PROXY_UNREACHABLE = 7
    NOT_FOUND = 8
    INTERRUPTED = 130


class SedgeshuntError(Exception):
    """Stand for every error that the library raises on purpose."""

    exit_code: ExitCode = ExitCode.FAILED

    def format_message(self) -> str:
        """Tell what went wrong and what to do next."""
        return 'the operation failed; see the log for the cause'

    def __str__(self) -> str:
        """Return the formatted message."""
        return self.format_message()


class SettingsInvalid(SedgeshuntError):
    """Name every bad setting at once, each with its remedy."""

    exit_code = ExitCode.SETTINGS

    def __init__(self, source: str, problems: Sequence[str]) -> None:
        """Keep the file and the problems found in it."""
        super().__init__(source)
        self.source = source
        self.problems = tuple(problems)

    def format_message(self) -> str:
        """List the problems, one a line."""
        lines = '\n'.join(f'  - {problem}' for problem in self.problems)
        return f'{self.source} cannot be used:\n{lines}'


class PlatformUnavailable(SedgeshuntError):
    """Say that the key-value service gave no answer; nothing was changed."""

    exit_code = ExitCode.PLATFORM_UNAVAILABLE

    def __init__(self, reason: str) -> None:
        """Keep the reason given by the transport."""
        super().__init__(reason)
        self.reason = reason

    def format_message(self) -> str:
        """Tell that the service is down and nothing was changed."""
        return (
            f'the key-value service did not answer ({self.reason}); '
            + 'nothing was changed, try again when it is back'
        )


class AnswerLost(SedgeshuntError):
    """Say that a change was sent and that its answer never came."""

    exit_code = ExitCode.ANSWER_LOST

    def __init__(self, change: str) -> None:
        """Keep the id under which the change can be found."""
        super().__init__(change)
        self.change = change

    def format_message(self) -> str:
        """Tell how to find out whether the change took effect."""
        return (
            f'the answer to change {self.change} was lost; '
            + f'run "sedgeshunt history --change {self.change}" to see '
            + 'whether it took effect before trying again'
        )


class LeaseLapsed(SedgeshuntError):
    """Say that the lease of a change has ended; nothing was changed."""

    def format_message(self) -> str:
        """Tell what to do."""
        return 'the lease has ended; take a new one and try again'


class TargetUnreachable(SedgeshuntError):
    """Say that no byte of the call reached the target."""

    def __init__(self, target: str, reason: str) -> None:
        """Keep the target and the transport's reason."""
        super().__init__(target, reason)
        self.target = target
        self.reason = reason

    def format_message(self) -> str:
        """Name the target and the remedy."""
        return (
            f'target {self.target} cannot be reached ({self.reason}); '
            + 'check that it runs and that its address is right'
        )


class TargetLost(SedgeshuntError):
    """Say that a call was sent and that the target never answered it."""

    def __init__(self, target: str, reason: str) -> None:
        """Keep the target and the transport's reason."""
        super().__init__(target, reason)
        self.target = target
        self.reason = reason

    def format_message(self) -> str:
        """Name the target and the remedy."""
        return (
            f'target {self.target} stopped answering ({self.reason}); '
            + 'the call may have run, read before asking again'
        )


class TargetGone(TargetLost):
    """Say that the connection was closed before the call was sent."""

    def format_message(self) -> str:
        """Name the target and the remedy."""
        return (
            f'target {self.target} had closed the connection '
            + f'({self.reason}); nothing was sent, ask again'
        )


class StatementUnsendable(SedgeshuntError):
    """Signal that a statement has no form that its target could read."""

    def __init__(self, reason: str) -> None:
        """Store the reason."""
        super().__init__(reason)
        self.reason = reason

    def format_message(self) -> str:
        """Return the reason and the remedy."""
        return f'{self.reason}; nothing was sent, change the statement'


class TargetRejected(SedgeshuntError):
    """Carry a target's own refusal; the statement left nothing behind."""

    def __init__(self, code: int, sqlstate: str, reason: str) -> None:
        """Keep the target's code, state and message."""
        super().__init__(code, reason)
        self.code = code
        self.sqlstate = sqlstate
        self.reason = reason

    def format_message(self) -> str:
        """Repeat the target's message."""
        return f'the target refused the statement: {self.reason}'


class TargetReadOnly(TargetRejected):
    """Carry a target's proof that it leads no longer; nothing ran."""


class TargetBusy(TargetRejected):
    """Carry a target's refusal of one more connection; nothing ran."""


class FenceRefused(SedgeshuntError):
    """Say that a target already accepted a higher or equal term."""

    def __init__(self, target: str, current_term: int) -> None:
        """Keep the target and the term it holds."""
        super().__init__(target, current_term)
        self.target = target
        self.current_term = current_term

    def format_message(self) -> str:
        """Name the term that stands in the way."""
        return (
            f'target {self.target} already holds term {self.current_term}; '
            + 'try again with a higher term'
        )


class PeerUnreachable(SedgeshuntError):
    """Say that another proxy did not answer."""

    exit_code = ExitCode.PROXY_UNREACHABLE

    def __init__(self, peer: str, reason: str) -> None:
        """Keep the peer and the transport's reason."""
        super().__init__(peer, reason)
        self.peer = peer
        self.reason = reason

    def format_message(self) -> str:
        """Name the proxy and the remedy."""
        return (
            f'proxy {self.peer} did not answer ({self.reason}); '
            + 'it may be restarting or cut off, ask again or look at its zone'
        )


class PeerStopped(PeerUnreachable):
    """Say that another proxy stopped before it ran a call."""


class FrameTooLong(SedgeshuntError):
    """Signal that a call or a reply is too long to be sent to a peer."""

    def __init__(self, size: int, longest: int) -> None:
        """Store the size and the limit in bytes."""
        super().__init__(size, longest)
        self.size = size
        self.longest = longest

    def format_message(self) -> str:
        """Return the limit and the remedy."""
        return (
            f'{self.size} bytes are too many for another proxy, which accepts '
            + f'{self.longest}; use less text, fewer values or fewer rows'
        )
