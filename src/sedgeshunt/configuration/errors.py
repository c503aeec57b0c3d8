"""Define the errors of configuration changes."""

from collections.abc import Sequence

from sedgeshunt.configuration.changes import RecordedChange
from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.exceptions import ExitCode, SedgeshuntError


class RevisionConflict(SedgeshuntError):
    """Report a concurrent change to the same objects; nothing was written."""

    exit_code = ExitCode.CONFLICT

    def __init__(
        self,
        keys: Sequence[ObjectKey],
        conflicting: Sequence[RecordedChange],
    ) -> None:
        """Store the objects and the concurrent changes to them."""
        super().__init__(keys, conflicting)
        self.keys = tuple(keys)
        self.conflicting_changes = tuple(conflicting)

    def format_message(self) -> str:
        """Return the conflicting changes, their authors and the remedy."""
        names = ', '.join(str(key) for key in self.keys)
        lines = [f'{names} changed since it was read; nothing was changed']
        for conflict in self.conflicting_changes:
            record = conflict.record
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
    """Report all problems of a set of objects; nothing was written."""

    exit_code = ExitCode.SETTINGS

    def __init__(self, problems: Sequence[str]) -> None:
        """Store the problems, each with its remedy."""
        super().__init__(problems)
        self.problems = tuple(problems)

    def format_message(self) -> str:
        """Return the problems, one per line."""
        lines = '\n'.join(f'  - {problem}' for problem in self.problems)
        return f'the objects cannot be used, nothing was changed:\n{lines}'


class ChangeTooLarge(SedgeshuntError):
    """Report that a change edits more objects than one commit allows."""

    exit_code = ExitCode.USAGE

    def __init__(self, edits: int, limit: int) -> None:
        """Store the number of edited objects and the limit."""
        super().__init__(edits, limit)
        self.edits = edits
        self.limit = limit

    def format_message(self) -> str:
        """Return the limit and how to split the change."""
        return (
            f'the change edits {self.edits} objects and one commit holds '
            + f'{self.limit}; apply the groups first, then the targets in '
            + 'files of some groups each'
        )


class ObjectNotFound(SedgeshuntError):
    """Report that an object does not exist."""

    exit_code = ExitCode.NOT_FOUND

    def __init__(self, key: ObjectKey) -> None:
        """Store the requested key."""
        super().__init__(key)
        self.key = key

    def format_message(self) -> str:
        """Return the missing key and how to list the existing names."""
        return (
            f'there is no {self.key}; '
            + f'run "sedgeshunt get {self.key.kind.value}" for the names'
        )


class ChangeNotFound(SedgeshuntError):
    """Report that no retained change has the id."""

    exit_code = ExitCode.NOT_FOUND

    def __init__(self, change: str) -> None:
        """Store the requested id."""
        super().__init__(change)
        self.change = change

    def format_message(self) -> str:
        """Return what a missing change means and the remedy."""
        return (
            f'change {self.change} is not among the changes that are kept; '
            + 'if it was made just now it did not take effect, apply it again'
        )
