"""Read the texts of callers' statements and write those to targets."""

from hashlib import blake2s

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Position, StatementId, Term
from sedgeshunt.platform.lines import (
    MessageMalformed,
    split_line,
)
from sedgeshunt.statements.statement import (
    PreparedStatement,
    Statement,
    StatementKind,
)

NO_POINT = '-'
# The id under which the proxy issues statements of its own.
OWN_ID = StatementId('-')
NAME_BYTES = 8

_PLAIN_KINDS = {
    'READ': StatementKind.READ,
    'WRITE': StatementKind.WRITE,
    'COMMIT': StatementKind.COMMIT,
    'ROLLBACK': StatementKind.ROLLBACK,
}
_NAMING_KINDS = {
    'EXECUTE': StatementKind.EXECUTE,
    'SET': StatementKind.SET_VALUE,
    'DEALLOC': StatementKind.FORGET,
}


def parse_statement(statement: StatementId, text: str) -> Statement:
    """Take a caller's text apart; raise MessageMalformed."""
    word, rest = split_line(text, 1)
    plain = _PLAIN_KINDS.get(word)
    if plain is not None:
        return Statement(statement, text, plain)
    if word in _NAMING_KINDS:
        return _read_naming(statement, text, rest)
    if word == 'BEGIN':
        return _read_begin(statement, text, rest)
    if word == 'PREPARE':
        return _read_prepare(statement, text, rest)
    raise MessageMalformed(f'"{word[:20]}" is no statement')


def read_point(text: str) -> Point | None:
    """Return the place in a log that a text names, None for none."""
    if text == NO_POINT:
        return None
    term, dot, number = text.partition('.')
    if not (dot and term.isdecimal() and number.isdecimal()):
        raise MessageMalformed(f'"{text[:40]}" is no place in a log')
    return Point(Term(int(term)), Position(int(number)))


def make_after(point: Point | None, text: str) -> str:
    """Put the demand for a place in the log before a text."""
    if point is None:
        return text
    return f'AFTER {point.term}.{point.position} {text}'


def make_prepare(prepared: PreparedStatement) -> str:
    """Write the text that prepares a statement on a connection."""
    kind = 'WRITE' if prepared.writes else 'READ'
    return f'PREPARE {name_prepared(prepared)} {kind} {prepared.shape}'


def make_execute(prepared: PreparedStatement, arguments: str) -> str:
    """Write the text that runs a prepared statement."""
    return f'EXECUTE {name_prepared(prepared)} {arguments}'


def name_prepared(prepared: PreparedStatement) -> str:
    """Name a prepared statement by what it does."""
    # Callers' names collide on a shared connection. One name for each
    # meaning can't, and callers with the same statement share it.
    kind = 'w' if prepared.writes else 'r'
    meaning = blake2s(prepared.shape.encode(), digest_size=NAME_BYTES)
    return kind + meaning.hexdigest()


def _read_naming(
    statement: StatementId,
    text: str,
    rest: str,
) -> Statement:
    word, _ = split_line(text, 1)
    name, rest = split_line(rest, 1)
    _demand(name, f'{word} names nothing')
    return Statement(statement, text, _NAMING_KINDS[word], name, rest)


def _read_begin(
    statement: StatementId,
    text: str,
    rest: str,
) -> Statement:
    _demand(rest in ('', 'READ'), f'BEGIN can not be "{rest[:20]}"')
    return Statement(
        statement,
        text,
        StatementKind.BEGIN,
        is_read_only=bool(rest),
    )


def _read_prepare(
    statement: StatementId,
    text: str,
    rest: str,
) -> Statement:
    name, kind, shape = split_line(rest, 2)
    _demand(bool(name), 'PREPARE names nothing')
    _demand(kind in ('READ', 'WRITE'), f'PREPARE can not be "{kind[:20]}"')
    return Statement(
        statement,
        text,
        StatementKind.PREPARE,
        name,
        prepared=PreparedStatement(kind == 'WRITE', shape),
    )


def _demand(is_met: object, reason: str) -> None:
    if not is_met:
        raise MessageMalformed(reason)
