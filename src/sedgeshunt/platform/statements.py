"""Parse the statements of callers and build those for targets."""

from hashlib import blake2s

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Position, StatementId, Term
from sedgeshunt.platform.lines import (
    MessageMalformed,
    parse_number,
    split_line,
)
from sedgeshunt.statements.statement import (
    PreparedStatement,
    Statement,
    StatementKind,
)

NO_POINT = '-'
# Statement id of the statements that the proxy itself issues.
PROXY_STATEMENT_ID = StatementId('-')
PREPARED_NAME_BYTES = 8

_SIMPLE_KINDS = {
    'READ': StatementKind.READ,
    'WRITE': StatementKind.WRITE,
    'COMMIT': StatementKind.COMMIT,
    'ROLLBACK': StatementKind.ROLLBACK,
}
_NAMED_KINDS = {
    'EXECUTE': StatementKind.EXECUTE,
    'SET': StatementKind.SET_VALUE,
    'DEALLOC': StatementKind.FORGET,
}


def parse_statement(statement: StatementId, text: str) -> Statement:
    """Parse the text of a statement; raise MessageMalformed."""
    word, rest = split_line(text, 1)
    kind = _SIMPLE_KINDS.get(word)
    if kind is not None:
        return Statement(statement, text, kind)
    if word in _NAMED_KINDS:
        return _parse_named(statement, text, rest)
    if word == 'BEGIN':
        return _parse_begin(statement, text, rest)
    if word == 'PREPARE':
        return _parse_prepare(statement, text, rest)
    raise MessageMalformed(f'"{word[:20]}" is no statement')


def parse_point(text: str) -> Point | None:
    """Parse a log position, None for "-"; raise MessageMalformed."""
    if text == NO_POINT:
        return None
    term, _, number = text.partition('.')
    return Point(Term(parse_number(term)), Position(parse_number(number)))


def add_point_condition(point: Point | None, text: str) -> str:
    """Require that the target has applied `point` before a statement."""
    if point is None:
        return text
    return f'AFTER {point.term}.{point.position} {text}'


def make_prepare(prepared: PreparedStatement) -> str:
    """Return the text that prepares a statement on a connection."""
    kind = 'WRITE' if prepared.writes else 'READ'
    return f'PREPARE {name_prepared(prepared)} {kind} {prepared.shape}'


def make_execute(prepared: PreparedStatement, arguments: str) -> str:
    """Return the text that runs a prepared statement."""
    return f'EXECUTE {name_prepared(prepared)} {arguments}'


def name_prepared(prepared: PreparedStatement) -> str:
    """Return a name derived from the content of a prepared statement."""
    # Names chosen by callers could collide on a shared connection. A digest of
    # the content can't, and callers with the same statement share it.
    kind = 'w' if prepared.writes else 'r'
    digest = blake2s(prepared.shape.encode(), digest_size=PREPARED_NAME_BYTES)
    return kind + digest.hexdigest()


def _parse_named(
    statement: StatementId,
    text: str,
    rest: str,
) -> Statement:
    word, _ = split_line(text, 1)
    name, rest = split_line(rest, 1)
    _require(name, f'{word} names nothing')
    return Statement(statement, text, _NAMED_KINDS[word], name, rest)


def _parse_begin(
    statement: StatementId,
    text: str,
    rest: str,
) -> Statement:
    _require(rest in ('', 'READ'), f'BEGIN can not be "{rest[:20]}"')
    return Statement(
        statement,
        text,
        StatementKind.BEGIN,
        is_read_only=bool(rest),
    )


def _parse_prepare(
    statement: StatementId,
    text: str,
    rest: str,
) -> Statement:
    name, kind, shape = split_line(rest, 2)
    _require(bool(name), 'PREPARE names nothing')
    _require(kind in ('READ', 'WRITE'), f'PREPARE can not be "{kind[:20]}"')
    return Statement(
        statement,
        text,
        StatementKind.PREPARE,
        name,
        prepared=PreparedStatement(kind == 'WRITE', shape),
    )


def _require(is_met: object, reason: str) -> None:
    if not is_met:
        raise MessageMalformed(reason)
