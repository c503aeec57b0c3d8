"""Define the errors of the command line itself."""

from sedgeshunt.exceptions import ExitCode, SedgeshuntError


class UsageError(SedgeshuntError):
    """Say what is wrong with an argument and how to write it."""

    exit_code = ExitCode.USAGE

    def __init__(self, reason: str) -> None:
        """Keep the reason, which names the remedy."""
        super().__init__(reason)
        self.reason = reason

    def format_message(self) -> str:
        """Return the reason."""
        return self.reason


class FileUnreadable(SedgeshuntError):
    """Say that a file cannot be read."""

    exit_code = ExitCode.USAGE

    def __init__(self, path: str, reason: str) -> None:
        """Keep the path and the system's reason."""
        super().__init__(path, reason)
        self.path = path
        self.reason = reason

    def format_message(self) -> str:
        """Name the file and the remedy."""
        return (
            f'{self.path} cannot be read ({self.reason}); '
            + 'give the path of a readable file'
        )
