"""Classify statements by their text to route them."""

from dataclasses import dataclass
from re import DOTALL, IGNORECASE, VERBOSE
from re import compile as compile_pattern

from result import Err, Ok, Result

from sedgeshunt.requests.outcome import Cause, NotRun
from sedgeshunt.requests.request import StatementKind
from sedgeshunt.requests.statement_checks import (
    contains_any,
    find_refusal,
    find_single_refusal,
    strip_quoted,
)

# Number of cached statements and maximum length of a cached text.
CACHE_SIZE = 4096
MAX_CACHED_LENGTH = 1024

_FLAGS = IGNORECASE | DOTALL | VERBOSE

# The target runs executable comments. A BEGIN in one would open a transaction
# unknown to the proxy, so the first word inside such a comment counts.
_FIRST_WORD = compile_pattern(
    r"""
    (?: \s | \( | /\*!\d* | /\*.*?\*/ | --(?=\s)[^\n]* | \#[^\n]* )*+
    (?P<first>[a-z]+)
    """,
    _FLAGS,
)
_SESSION_ITEM = r"""
    (?:
        @@ [\w.]+
        | @sedgeshunt_\w+
        | (?: CONNECTION_ID | CURRENT_USER | DATABASE | LAST_INSERT_ID
            | SCHEMA | USER | VERSION ) \s* \( \s* \)
    )
    (?: \s+ AS \s+ [`'"]?\w+[`'"]? | \s+ (?!LIMIT\b) [`'"]?\w+[`'"]? )?
"""
_SESSION_READ = compile_pattern(
    rf"""
    \s* {_SESSION_ITEM} (?: \s* , \s* {_SESSION_ITEM} )*
    (?: \s+ LIMIT \s+ \d+ )? \s* ;? \s*
    """,
    _FLAGS,
)
_SESSION_SHOW = compile_pattern(
    r'\s+ (?: COUNT\(\*\) \s+ )? (?: WARNINGS | ERRORS )'
    + r'(?: \s+ LIMIT [\d\s,]+ )? \s* ;? \s*',
    _FLAGS,
)
_LOCKING_READ = compile_pattern(
    r'\b(?: FOR \s+ (?:UPDATE|SHARE) | LOCK \s+ IN \s+ SHARE | INTO )\b',
    _FLAGS,
)
_LOCKING_WORDS = ('FOR', 'LOCK', 'INTO')
_CHANGE_WORD = compile_pattern(
    r'\b(?:INSERT|UPDATE|DELETE|REPLACE|MERGE)\b',
    _FLAGS,
)

_READING_WORDS = frozenset(
    ('SELECT', 'SHOW', 'DESCRIBE', 'DESC', 'EXPLAIN', 'TABLE', 'VALUES'),
)
_SESSION_WORDS = frozenset(('SET', 'USE'))
_TRANSACTION_WORDS = frozenset(('BEGIN', 'START', 'COMMIT', 'ROLLBACK'))


@dataclass(frozen=True, slots=True)
class StatementInspection:
    """Hold the kind of a statement and why it is refused, if it is."""

    kind: StatementKind
    # Why it cannot be run at all; empty if it can.
    refusal: str = ''
    # Why it cannot be run outside a transaction; empty if it can.
    single_refusal: str = ''


_cache: dict[str, StatementInspection] = {}


def classify_statement(sql: str) -> StatementKind:
    """Return the kind of a statement; a write unless it is surely a read."""
    return inspect_statement(sql).kind


def check_statement(
    sql: str,
    *,
    in_transaction: bool,
) -> Result[StatementKind, NotRun]:
    """Return the kind of a statement, or why the proxy refuses it."""
    statement = inspect_statement(sql)
    reason = statement.refusal
    if not in_transaction:
        reason = reason or statement.single_refusal
    if reason:
        return Err(NotRun(Cause.STATEMENT, reason))
    return Ok(statement.kind)


def inspect_statement(sql: str) -> StatementInspection:
    """Inspect a statement, using the cached result for an equal text."""
    known = _cache.get(sql)
    if known is not None:
        return known
    statement = _inspect(sql)
    if len(sql) <= MAX_CACHED_LENGTH:
        if len(_cache) >= CACHE_SIZE:
            _cache.clear()
        _cache[sql] = statement
    return statement


def split_first_word(sql: str) -> tuple[str, str]:
    """Return the first word of a statement in upper case, and the rest."""
    word = _FIRST_WORD.match(sql)
    if word is None:
        return '', sql
    return word['first'].upper(), sql[word.end() :]


def _inspect(sql: str) -> StatementInspection:
    word = _FIRST_WORD.match(sql)
    if word is None:
        return StatementInspection(StatementKind.WRITE)
    first = word['first'].upper()
    kind = _classify_kind(sql, first, word.end())
    if kind is StatementKind.SESSION and first not in _SESSION_WORDS:
        return StatementInspection(kind)
    return StatementInspection(
        kind,
        find_refusal(sql, first),
        find_single_refusal(sql),
    )


def _classify_kind(sql: str, first: str, end: int) -> StatementKind:
    if first in _READING_WORDS:
        return _classify_read(sql, first, end)
    if first in _SESSION_WORDS:
        return StatementKind.SESSION
    if first in _TRANSACTION_WORDS:
        return _classify_transaction(sql)
    if first == 'WITH' and not _CHANGE_WORD.search(sql):
        return _classify_read(sql, first, end)
    return StatementKind.WRITE


def _classify_read(sql: str, first: str, end: int) -> StatementKind:
    if first == 'SELECT' and _SESSION_READ.fullmatch(sql, end):
        return StatementKind.SESSION
    if first == 'SHOW' and _SESSION_SHOW.fullmatch(sql, end):
        return StatementKind.SESSION
    # Locking reads and INTO require the primary, so they count as writes.
    if not contains_any(sql, _LOCKING_WORDS):
        return StatementKind.READ
    is_locking = _LOCKING_READ.search(strip_quoted(sql))
    return StatementKind.WRITE if is_locking else StatementKind.READ


def _classify_transaction(sql: str) -> StatementKind:
    words = strip_quoted(sql).upper().strip(' \t\r\n;').split()
    if words[0] == 'BEGIN' or words[:2] == ['START', 'TRANSACTION']:
        return StatementKind.BEGIN
    # ROLLBACK TO only undoes up to a savepoint, which the target handles.
    # Rolling back the whole transaction would silently discard other writes.
    if words[0] == 'ROLLBACK' and 'TO' not in words[1:3]:
        return StatementKind.ROLLBACK
    if words[0] == 'COMMIT':
        return StatementKind.COMMIT
    return StatementKind.WRITE
