"""Parse and validate the attributes of a request."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from re import Pattern
from re import compile as compile_pattern
from typing import Any

from result import Err, Ok, Result

from sedgeshunt.identifiers import RequestId, Seconds, TraceId, TrafficClass
from sedgeshunt.requests.outcome import Cause, NotRun

MAX_AGE_MS = 86_400_000
MAX_DEADLINE_MS = 600_000
MAX_TOKEN_LENGTH = 4096

_CLASS = compile_pattern('[A-Za-z0-9_.-]{1,64}')
# The proxy writes ids into SQL, so characters that need quoting are excluded.
_IDENTIFIER = compile_pattern('[A-Za-z0-9_.:-]{1,64}')
_TOKEN = compile_pattern(rf'[\x21-\x7e]{{1,{MAX_TOKEN_LENGTH}}}')
_DIGITS = compile_pattern('[0-9]{1,9}')
_FLAGS = {'true': True, 'false': False, '1': True, '0': False}


@dataclass(frozen=True, slots=True)
class Attributes:
    """Hold the attributes of a request; None means that one is not set."""

    traffic_class: TrafficClass = TrafficClass('default')
    accepted_age: Seconds | None = None
    request_id: RequestId | None = None
    idempotent: bool = False
    # Time limit, counted from the arrival of the request.
    deadline: Seconds | None = None
    token: str | None = None
    trace: TraceId | None = None


@dataclass(frozen=True, slots=True)
class AttributeParser:
    """Convert the text of one attribute to its type."""

    field: str
    expected: str
    # Raises ValueError if the text is malformed.
    parse: Callable[[str], object]


def merge_attributes(
    base: Attributes,
    given: Mapping[str, object],
) -> Result[Attributes, NotRun]:
    """Return `base` updated with the given attributes, all or none of them."""
    changes: dict[str, Any] = {}
    present = {name: text for name, text in given.items() if text is not None}
    for name, text in present.items():
        parser = ATTRIBUTES.get(name)
        if parser is None:
            return _refuse(f'{name} is unknown; use one of {_NAMES}')
        try:
            changes[parser.field] = parser.parse(str(text))
        except ValueError:
            return _refuse(f'{name} is malformed; it takes {parser.expected}')
    return Ok(replace(base, **changes) if changes else base)


def _refuse(reason: str) -> Err[NotRun]:
    return Err(NotRun(Cause.ATTRIBUTE, f'attribute {reason}'))


def _match(pattern: Pattern[str], text: str) -> str:
    if pattern.fullmatch(text) is None:
        raise ValueError(text)
    return text


def _parse_class(text: str) -> TrafficClass:
    return TrafficClass(_match(_CLASS, text))


def _parse_age(text: str) -> Seconds:
    return _parse_duration(text, 0, MAX_AGE_MS)


def _parse_request_id(text: str) -> RequestId:
    return RequestId(_match(_IDENTIFIER, text))


def _parse_flag(text: str) -> bool:
    flag = _FLAGS.get(text.lower())
    if flag is None:
        raise ValueError(text)
    return flag


def _parse_deadline(text: str) -> Seconds:
    return _parse_duration(text, 1, MAX_DEADLINE_MS)


def _parse_token(text: str) -> str:
    return _match(_TOKEN, text)


def _parse_trace(text: str) -> TraceId:
    return TraceId(_match(_IDENTIFIER, text))


def _parse_duration(text: str, minimum: int, maximum: int) -> Seconds:
    millis = int(_match(_DIGITS, text))
    if not minimum <= millis <= maximum:
        raise ValueError(text)
    return Seconds(millis / 1000)


_WORD_FORMAT = '1 to 64 letters, digits, dots, dashes or underscores'

ATTRIBUTES: Mapping[str, AttributeParser] = {
    'traffic_class': AttributeParser(
        'traffic_class',
        _WORD_FORMAT,
        _parse_class,
    ),
    'accepted_age_ms': AttributeParser(
        'accepted_age',
        f'milliseconds from 0 to {MAX_AGE_MS}',
        _parse_age,
    ),
    'request_id': AttributeParser(
        'request_id',
        f'{_WORD_FORMAT} or colons',
        _parse_request_id,
    ),
    'idempotent': AttributeParser(
        'idempotent',
        'true or false',
        _parse_flag,
    ),
    'deadline_ms': AttributeParser(
        'deadline',
        f'milliseconds from 1 to {MAX_DEADLINE_MS}',
        _parse_deadline,
    ),
    'session_token': AttributeParser(
        'token',
        'a token as the proxy gave it',
        _parse_token,
    ),
    'trace_id': AttributeParser(
        'trace',
        f'{_WORD_FORMAT} or colons',
        _parse_trace,
    ),
}
_NAMES = ', '.join(ATTRIBUTES)
