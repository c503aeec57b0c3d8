"""Describe one statement of a caller's session."""

from enum import Enum

from msgspec import Struct

from sedgeshunt.identifiers import StatementId


class StatementKind(Enum):
    """Name what a statement does to its session or target."""

    READ = 'read'
    WRITE = 'write'
    EXECUTE = 'execute'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SET_VALUE = 'set-value'
    PREPARE = 'prepare'
    FORGET = 'forget'


class PreparedStatement(Struct, frozen=True):
    """Hold the content of a prepared statement without its name."""

    writes: bool
    shape: str


class Statement(Struct, frozen=True):
    """Hold one statement as the caller sent it and its parsed parts."""

    id: StatementId
    # The text to send to the target, unchanged.
    text: str
    kind: StatementKind
    # The named session value or prepared statement.
    name: str = ''
    # The text after the name: a value, or the arguments of an EXECUTE.
    rest: str = ''
    # For BEGIN: the transaction is read-only.
    is_read_only: bool = False
    # For PREPARE: the statement that gets the name.
    prepared: PreparedStatement | None = None
