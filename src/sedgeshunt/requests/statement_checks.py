"""Detect statements that must not run on a shared connection."""

from collections.abc import Iterable
from re import DOTALL, IGNORECASE, VERBOSE, Match
from re import compile as compile_pattern

_FLAGS = IGNORECASE | DOTALL | VERBOSE

# Literals, quoted names and comments. The content of an executable comment is
# code, so only its delimiters match.
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
# Callers share connections to targets. Connection state that a statement
# would leave (locks, variables, temporary tables, an open transaction) would
# affect the next caller, so such statements are refused before they are sent.
_CONNECTION_STATE = compile_pattern(
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
_CONNECTION_STATE_WORDS = frozenset(
    (
        'DEALLOCATE',
        'EXECUTE',
        'HANDLER',
        'KILL',
        'PREPARE',
        'XA',
    ),
)
# These functions refer to the connection's last statement, which outside a
# transaction may be that of another caller.
_LAST_STATEMENT = compile_pattern(
    r'\b (?: LAST_INSERT_ID | ROW_COUNT | FOUND_ROWS ) \s* \( \s* \)',
    _FLAGS,
)
# A caller that fences or promotes a target would interfere with failover.
_CONTROL_CALL = compile_pattern(
    r'group_ (?: status | fence | promote | follow ) \b',
    _FLAGS,
)
# Fast check of the raw text; only on a match is it stripped and parsed.
_CHECKED_WORDS = (';', '@', 'LOCK', 'TEMPORARY', 'CHAIN', 'RELEASE')
_LAST_STATEMENT_WORDS = ('LAST_INSERT_ID', 'ROW_COUNT', 'FOUND_ROWS')

SEVERAL_STATEMENTS_REFUSAL = (
    'several statements in one are not run, as they could not have one '
    + 'outcome; send them one by one'
)
CONNECTION_STATE_REFUSAL = (
    'the statement would leave locks, variables, temporary tables or a '
    + 'transaction on a connection that other callers use; rewrite it '
    + 'without them'
)
CONTROL_REFUSAL = (
    'the statement would change which target leads; ask an operator to '
    + 'change the labels of the target instead'
)
LAST_STATEMENT_REFUSAL = (
    'the function answers for the last statement of a connection that other '
    + 'callers use; take it from the answer itself, or use a transaction'
)


def find_refusal(sql: str, first_word: str) -> str:
    """Return why `sql` cannot be run at all; empty if it can."""
    if first_word in _CONNECTION_STATE_WORDS:
        return CONNECTION_STATE_REFUSAL
    if first_word == 'CALL' and _CONTROL_CALL.search(sql):
        return CONTROL_REFUSAL
    if contains_any(sql, _CHECKED_WORDS):
        return _find_in_code(strip_quoted(sql), first_word)
    return ''


def find_single_refusal(sql: str) -> str:
    """Return why `sql` cannot be run outside a transaction; empty if it can."""
    if not contains_any(sql, _LAST_STATEMENT_WORDS):
        return ''
    is_called = _LAST_STATEMENT.search(strip_quoted(sql))
    return LAST_STATEMENT_REFUSAL if is_called else ''


def contains_any(sql: str, words: Iterable[str]) -> bool:
    """Return whether `sql` contains one of the upper-case words."""
    upper = sql.upper()
    return any(word in upper for word in words)


def strip_quoted(sql: str) -> str:
    """Replace literals and quoted names by '' and remove comments."""
    return _QUOTED.sub(_blank_literal, sql)


def drop_comments(sql: str) -> str:
    """Remove comments but keep literals and quoted names."""
    return _QUOTED.sub(_remove_comment, sql)


def _find_in_code(code: str, first_word: str) -> str:
    if ';' in code.rstrip(' \t\r\n;'):
        return SEVERAL_STATEMENTS_REFUSAL
    if first_word != 'SET' and _CONNECTION_STATE.search(code):
        return CONNECTION_STATE_REFUSAL
    return ''


def _blank_literal(quoted: Match[str]) -> str:
    return "''" if quoted[0][0] in '\'"`' else ' '


def _remove_comment(quoted: Match[str]) -> str:
    return quoted[0] if quoted[0][0] in '\'"`' else ' '
