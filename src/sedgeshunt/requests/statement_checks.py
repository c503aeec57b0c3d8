"""Find what a shared connection must not be asked to run."""

from collections.abc import Iterable
from re import DOTALL, IGNORECASE, VERBOSE, Match
from re import compile as compile_pattern

_FLAGS = IGNORECASE | DOTALL | VERBOSE

# Literals, quoted names and comments. What an executable comment holds is
# code: only its marks go.
_QUOTED = compile_pattern(
    r"""
    '(?:[^'\\]++|\\.|'')*+'
    | "(?:[^"\\]++|\\.|"")*+"
    | `[^`]*`
    | /\*(?!!).*?\*/
    | --(?=\s|$)[^\n]*
    | \#[^\n]*
    | /\*!\d*
    | \*/
    """,
    _FLAGS,
)
# A connection to a target serves one caller after the other. What a statement
# would leave behind on it (locks, variables, temporary tables, an open
# transaction) would reach the next caller, so it is refused at the door.
_LEFT_BEHIND = compile_pattern(
    r"""
    (?<![\w@'"`]) @ [\w'"`$]
    | \b (?: GET_LOCK | RELEASE_LOCK | RELEASE_ALL_LOCKS ) \s* \(
    | \b (?: LOCK | UNLOCK ) \s+ (?: TABLES? | INSTANCE ) \b
    | \b WITH \s+ READ \s+ LOCK \b
    | \b CREATE \s+ TEMPORARY \b
    | \b AND \s+ CHAIN \b
    | \b (?: COMMIT | ROLLBACK ) (?: \s+ WORK )? \s+ RELEASE \b
    """,
    _FLAGS,
)
_LEAVING_WORDS = frozenset(
    (
        'DEALLOCATE',
        'EXECUTE',
        'HANDLER',
        'KILL',
        'PREPARE',
        'XA',
    ),
)
# These answer for the connection's last statement, which outside a
# transaction may have been another caller's.
_LAST_STATEMENT = compile_pattern(
    r'\b (?: LAST_INSERT_ID | ROW_COUNT | FOUND_ROWS ) \s* \( \s* \)',
    _FLAGS,
)
# A caller that could fence or promote a target would undo the failover.
_CONTROL_CALL = compile_pattern(
    r'group_ (?: status | fence | promote | follow ) \b',
    _FLAGS,
)
# A cheap look at the raw text, before anything is stripped.
_SUSPICIONS = (';', '@', 'LOCK', 'TEMPORARY', 'CHAIN', 'RELEASE')
_LAST_SUSPICIONS = ('LAST_INSERT_ID', 'ROW_COUNT', 'FOUND_ROWS')

SEVERAL = (
    'several statements in one are not run, as they could not have one '
    + 'outcome; send them one by one'
)
LEFT_BEHIND = (
    'the statement would leave locks, variables, temporary tables or a '
    + 'transaction on a connection that other callers use; rewrite it '
    + 'without them'
)
CONTROL = (
    'the statement would change which target leads; ask an operator to '
    + 'change the labels of the target instead'
)
LAST_STATEMENT = (
    'the function answers for the last statement of a connection that other '
    + 'callers use; take it from the answer itself, or use a transaction'
)


def find_refusal(sql: str, first_word: str) -> str:
    """Tell why `sql` can't be run at all; empty when it can."""
    if first_word in _LEAVING_WORDS:
        return LEFT_BEHIND
    if first_word == 'CALL' and _CONTROL_CALL.search(sql):
        return CONTROL
    if contains_any(sql, _SUSPICIONS):
        return _find_in_code(strip_quoted(sql), first_word)
    return ''


def find_single_refusal(sql: str) -> str:
    """Tell why `sql` can't be run outside a transaction."""
    if not contains_any(sql, _LAST_SUSPICIONS):
        return ''
    is_called = _LAST_STATEMENT.search(strip_quoted(sql))
    return LAST_STATEMENT if is_called else ''


def contains_any(sql: str, words: Iterable[str]) -> bool:
    """Tell whether one of the upper-case words is in `sql` at all."""
    upper = sql.upper()
    return any(word in upper for word in words)


def strip_quoted(sql: str) -> str:
    """Empty all literals and quoted names, and drop all comments."""
    return _QUOTED.sub(_empty, sql)


def drop_comments(sql: str) -> str:
    """Drop all comments and keep literals and quoted names."""
    return _QUOTED.sub(_drop, sql)


def _find_in_code(code: str, first_word: str) -> str:
    if ';' in code.rstrip(' \t\r\n;'):
        return SEVERAL
    if first_word != 'SET' and _LEFT_BEHIND.search(code):
        return LEFT_BEHIND
    return ''


def _empty(quoted: Match[str]) -> str:
    return "''" if quoted[0][0] in '\'"`' else ' '


def _drop(quoted: Match[str]) -> str:
    return quoted[0] if quoted[0][0] in '\'"`' else ' '
