"""Define the errors that operators meet when they change objects."""

from collections.abc import Sequence

from sedgeshunt.configuration.changes import RecordedChange
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.exceptions import ExitCode, SedgeshuntError


class RevisionConflict(SedgeshuntError):
    """Say that rivals changed the same objects first; nothing was changed."""

    exit_code = ExitCode.CONFLICT

    def __init__(
        self,
        keys: Sequence[ObjectKey],
        rivals: Sequence[RecordedChange],
    ) -> None:
        """Keep the objects in question and the rivals' changes to them."""
        super().__init__(keys, rivals)
        self.keys = tuple(keys)
        self.conflicting = tuple(rivals)

    def format_message(self) -> str:
        """Name who changed what and how to go on."""
        names = ', '.join(str(key) for key in self.keys)
        lines = [f'{names} changed since it was read; nothing was changed']
        for rival in self.conflicting:
            record = rival.record
            lines.append(
                f'  - {record.author} at {record.at}, '
                + f'change {record.change}: {record.message}',
            )
            lines.extend(
                f'      {edit.describe()}'
                for edit in record.edits
                if edit.key in self.keys
            )
        lines.append(
            'run "sedgeshunt get --toml" to read the objects as they are, '
            + 'merge your change and apply it again',
        )
        return '\n'.join(lines)


class ObjectsInvalid(SedgeshuntError):
    """Name everything wrong with a set of objects; nothing was changed."""

    exit_code = ExitCode.SETTINGS

    def __init__(self, problems: Sequence[str]) -> None:
        """Keep the problems, each with its remedy."""
        super().__init__(problems)
        self.problems = tuple(problems)

    def format_message(self) -> str:
        """List the problems, one a line."""
        lines = '\n'.join(f'  - {problem}' for problem in self.problems)
        return f'the objects cannot be used, nothing was changed:\n{lines}'


class ChangeTooLarge(SedgeshuntError):
    """Say that a change edits more objects than one commit may hold."""

    exit_code = ExitCode.USAGE

    def __init__(self, edits: int, limit: int) -> None:
        """Keep the number of objects edited and the limit."""
        super().__init__(edits, limit)
        self.edits = edits
        self.limit = limit

    def format_message(self) -> str:
        """Tell how to split the change."""
        return (
            f'the change edits {self.edits} objects and one commit holds '
            + f'{self.limit}; apply the groups first, then the targets in '
            + 'files of some groups each'
        )


class ObjectNotFound(SedgeshuntError):
    """Say that no object has the name."""

    exit_code = ExitCode.NOT_FOUND

    def __init__(self, key: ObjectKey) -> None:
        """Keep the key that was asked for."""
        super().__init__(key)
        self.key = key

    def format_message(self) -> str:
        """Tell how to list the names that exist."""
        return (
            f'there is no {self.key}; '
            + f'run "sedgeshunt get {self.key.kind.value}" for the names'
        )


class ChangeNotFound(SedgeshuntError):
    """Say that no change with the id took effect and is still kept."""

    exit_code = ExitCode.NOT_FOUND

    def __init__(self, change: str) -> None:
        """Keep the id that was asked for."""
        super().__init__(change)
        self.change = change

    def format_message(self) -> str:
        """Tell what the absence means."""
        return (
            f'change {self.change} is not among the changes that are kept; '
            + 'if it was made just now it did not take effect, apply it again'
        )
