"""Read what a request says of itself: query attributes, comment, session."""

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
# The id of one request would make every later one a repeat of the first.
REQUEST_ID = 'request_id'

COMMENT_FORM = (
    'the comment "{0}" can not be read; write each name once, with its value '
    + "in single quotes: /*request_id='a1',idempotent='true'*/"
)

_COMMENT_OPENING = '/*'
# A hint or an executable comment is the target's; it is never ours.
_LEADING_COMMENT = compile_pattern(r'\s*/\*(?![!+])(.*?)\*/', DOTALL)
_OUR_NAME = compile_pattern(rf'(?:^|,)\s*(?:{"|".join(ATTRIBUTES)})\s*=')
_PAIR = compile_pattern(
    r"\s* ([^=,\s]+?) \s* = \s* '((?:[^'\\]|\\.)*)' \s* (?:,|$)",
    DOTALL | VERBOSE,
)


def read_attributes(
    query_attributes: Mapping[str, object],
    sql: str,
    defaults: Attributes,
) -> Result[Attributes, NotRun]:
    """Merge a statement's own attributes over its session's defaults."""
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
    """Merge those of a session's names that carry the prefix."""
    ours = {
        name.removeprefix(PREFIX): text
        for name, text in given.items()
        if name.startswith(PREFIX)
    }
    return merge_attributes(defaults, ours)


def read_connect_attributes(
    given: Mapping[str, object],
) -> Result[Attributes, NotRun]:
    """Read the defaults that a caller brings when it connects."""
    if PREFIX + REQUEST_ID in given:
        reason = (
            f'connect attribute {PREFIX}{REQUEST_ID} would give all requests '
            + 'one id; send it with each request'
        )
        return Err(NotRun(Cause.ATTRIBUTE, reason))
    return read_prefixed_attributes(given, Attributes())


def read_comments(sql: str) -> Result[Mapping[str, object], NotRun]:
    """Read the outer comments; one with no name of ours is not ours."""
    pairs: dict[str, object] = {}
    for body in _list_comments(sql):
        if _OUR_NAME.search(body):
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
    # Libraries that write such comments put them last: an id overlooked
    # there would let a repeat run twice.
    text = sql.rstrip(' \t\r\n;')
    start = text.rfind(_COMMENT_OPENING, end)
    if start >= 0 and text.endswith('*/'):
        yield text[start + 2 : -2]


def _read_pairs(
    body: str,
    pairs: dict[str, object],
) -> Result[None, NotRun]:
    # A comment that names one of ours is read to its end or refused: a
    # request id lost to a missing quote would let a repeat run twice.
    end = 0
    while body[end:].strip():
        pair = _PAIR.match(body, end)
        if pair is None or pair[1] in pairs:
            return Err(NotRun(Cause.ATTRIBUTE, COMMENT_FORM.format(body)))
        pairs[pair[1]] = unquote(pair[2].replace(r'\'', "'"))
        end = pair.end()
    return Ok(None)
