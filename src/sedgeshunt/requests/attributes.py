"""Read request attributes: query attributes, SQL comments, session."""

from collections.abc import Iterator, Mapping
from re import DOTALL, VERBOSE
from re import compile as compile_pattern
from urllib.parse import unquote

from result import Err, Ok, Result

from sedgeshunt.requests.attribute_values import (
    ATTRIBUTES,
    Attributes,
    merge_attributes,
)
from sedgeshunt.requests.outcome import Cause, NotRun

PREFIX = 'sedgeshunt_'
# As a session default, it would make each request a retry of the first.
REQUEST_ID = 'request_id'

COMMENT_ERROR = (
    'the comment "{0}" can not be read; write each name once, with its value '
    + "in single quotes: /*request_id='a1',idempotent='true'*/"
)

_COMMENT_OPENING = '/*'
# Optimizer hints and executable comments are left to the target.
_LEADING_COMMENT = compile_pattern(r'\s*/\*(?![!+])(.*?)\*/', DOTALL)
_KNOWN_NAME = compile_pattern(rf'(?:^|,)\s*(?:{"|".join(ATTRIBUTES)})\s*=')
_PAIR = compile_pattern(
    r"\s* ([^=,\s]+?) \s* = \s* '((?:[^'\\]|\\.)*)' \s* (?:,|$)",
    DOTALL | VERBOSE,
)


def read_attributes(
    query_attributes: Mapping[str, object],
    sql: str,
    defaults: Attributes,
) -> Result[Attributes, NotRun]:
    """Return the session defaults overridden by the statement's attributes."""
    merged: Result[Attributes, NotRun] = Ok(defaults)
    if _COMMENT_OPENING in sql:
        merged = read_comments(sql).and_then(
            lambda given: merge_attributes(defaults, given),
        )
    if not query_attributes:
        return merged
    return merged.and_then(
        lambda base: merge_attributes(base, query_attributes),
    )


def read_prefixed_attributes(
    given: Mapping[str, object],
    defaults: Attributes,
) -> Result[Attributes, NotRun]:
    """Return the defaults overridden by the prefixed session variables."""
    attributes = {
        name.removeprefix(PREFIX): text
        for name, text in given.items()
        if name.startswith(PREFIX)
    }
    return merge_attributes(defaults, attributes)


def read_connect_attributes(
    given: Mapping[str, object],
) -> Result[Attributes, NotRun]:
    """Read the session defaults from the connection attributes."""
    if PREFIX + REQUEST_ID in given:
        reason = (
            f'connect attribute {PREFIX}{REQUEST_ID} would give all requests '
            + 'one id; send it with each request'
        )
        return Err(NotRun(Cause.ATTRIBUTE, reason))
    return read_prefixed_attributes(given, Attributes())


def read_comments(sql: str) -> Result[Mapping[str, object], NotRun]:
    """Read leading and trailing comments that name a known attribute."""
    pairs: dict[str, object] = {}
    for body in _list_comments(sql):
        if _KNOWN_NAME.search(body):
            found = _read_pairs(body, pairs)
            if isinstance(found, Err):
                return found
    return Ok(pairs)


def _list_comments(sql: str) -> Iterator[str]:
    end = 0
    comment = _LEADING_COMMENT.match(sql)
    while comment is not None:
        yield comment[1]
        end = comment.end()
        comment = _LEADING_COMMENT.match(sql, end)
    # Client libraries that write such comments append them. A request id
    # missed there would let a retry run twice.
    text = sql.rstrip(' \t\r\n;')
    start = text.rfind(_COMMENT_OPENING, end)
    if start >= 0 and text.endswith('*/'):
        yield text[start + 2 : -2]


def _read_pairs(
    body: str,
    pairs: dict[str, object],
) -> Result[None, NotRun]:
    # A comment that names a known attribute must parse completely: ignoring
    # a request id because of a missing quote would let a retry run twice.
    end = 0
    while body[end:].strip():
        pair = _PAIR.match(body, end)
        if pair is None or pair[1] in pairs:
            return Err(NotRun(Cause.ATTRIBUTE, COMMENT_ERROR.format(body)))
        pairs[pair[1]] = unquote(pair[2].replace(r'\'', "'"))
        end = pair.end()
    return Ok(None)
