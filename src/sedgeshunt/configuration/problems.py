"""Define problems of objects and their severity."""

from dataclasses import dataclass
from enum import Enum

from sedgeshunt.configuration.keys import ObjectKey
from sedgeshunt.configuration.objects import ConfigurationObject


class Severity(Enum):
    """List whether a problem prevents objects from being applied."""

    ERROR = 'error'
    WARNING = 'warning'


@dataclass(frozen=True, slots=True)
class Problem:
    """Hold one problem of one object; the message names the remedy."""

    severity: Severity
    subject: ObjectKey
    message: str

    def describe(self) -> str:
        """Return the problem in one line."""
        return f'{self.severity.value}: {self.subject}: {self.message}'


def make_error(declared: ConfigurationObject, message: str) -> Problem:
    """Return a problem that prevents `declared` from being applied."""
    return Problem(Severity.ERROR, ObjectKey.of(declared), message)


def make_warning(declared: ConfigurationObject, message: str) -> Problem:
    """Return a problem that does not prevent `declared` being applied."""
    return Problem(Severity.WARNING, ObjectKey.of(declared), message)
