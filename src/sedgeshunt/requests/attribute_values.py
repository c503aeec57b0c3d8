"""Check the attributes of a request, one by one."""

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
# Ids are written into SQL by the proxy, so they hold nothing to be quoted.
_IDENTIFIER = compile_pattern('[A-Za-z0-9_.:-]{1,64}')
_TOKEN = compile_pattern(rf'[\x21-\x7e]{{1,{MAX_TOKEN_LENGTH}}}')
_DIGITS = compile_pattern('[0-9]{1,9}')
_FLAGS = {'true': True, 'false': False, '1': True, '0': False}


@dataclass(frozen=True, slots=True)
class Attributes:
    """Hold what a request says of itself; None means nothing was said."""

    traffic_class: TrafficClass = TrafficClass('default')
    accepted_age: Seconds | None = None
    request_id: RequestId | None = None
    idempotent: bool = False
    # Time to answer, from the request's arrival.
    deadline: Seconds | None = None
    token: str | None = None
    trace: TraceId | None = None


@dataclass(frozen=True, slots=True)
class AttributeReader:
    """Turn the text of one attribute into its type."""

    field: str
    takes: str
    # Raises ValueError for a malformed text.
    read: Callable[[str], object]


def merge_attributes(
    base: Attributes,
    given: Mapping[str, object],
) -> Result[Attributes, NotRun]:
    """Set the given attributes over `base`, all of them or none."""
    changes: dict[str, Any] = {}
    said = {name: text for name, text in given.items() if text is not None}
    for name, text in said.items():
        reader = ATTRIBUTES.get(name)
        if reader is None:
            return _refuse(f'{name} is unknown; use one of {_NAMES}')
        try:
            changes[reader.field] = reader.read(str(text))
        except ValueError:
            return _refuse(f'{name} is malformed; it takes {reader.takes}')
    return Ok(replace(base, **changes) if changes else base)


def _refuse(reason: str) -> Err[NotRun]:
    return Err(NotRun(Cause.ATTRIBUTE, f'attribute {reason}'))


def _match(pattern: Pattern[str], text: str) -> str:
    if pattern.fullmatch(text) is None:
        raise ValueError(text)
    return text


def _read_class(text: str) -> TrafficClass:
    return TrafficClass(_match(_CLASS, text))


def _read_age(text: str) -> Seconds:
    return _read_span(text, 0, MAX_AGE_MS)


def _read_request_id(text: str) -> RequestId:
    return RequestId(_match(_IDENTIFIER, text))


def _read_flag(text: str) -> bool:
    flag = _FLAGS.get(text.lower())
    if flag is None:
        raise ValueError(text)
    return flag


def _read_deadline(text: str) -> Seconds:
    return _read_span(text, 1, MAX_DEADLINE_MS)


def _read_token(text: str) -> str:
    return _match(_TOKEN, text)


def _read_trace(text: str) -> TraceId:
    return TraceId(_match(_IDENTIFIER, text))


def _read_span(text: str, least: int, most: int) -> Seconds:
    millis = int(_match(_DIGITS, text))
    if not least <= millis <= most:
        raise ValueError(text)
    return Seconds(millis / 1000)


_WORD_FORM = '1 to 64 letters, digits, dots, dashes or underscores'

ATTRIBUTES: Mapping[str, AttributeReader] = {
    'traffic_class': AttributeReader(
        'traffic_class',
        _WORD_FORM,
        _read_class,
    ),
    'accepted_age_ms': AttributeReader(
        'accepted_age',
        f'milliseconds from 0 to {MAX_AGE_MS}',
        _read_age,
    ),
    'request_id': AttributeReader(
        'request_id',
        f'{_WORD_FORM} or colons',
        _read_request_id,
    ),
    'idempotent': AttributeReader(
        'idempotent',
        'true or false',
        _read_flag,
    ),
    'deadline_ms': AttributeReader(
        'deadline',
        f'milliseconds from 1 to {MAX_DEADLINE_MS}',
        _read_deadline,
    ),
    'session_token': AttributeReader(
        'token',
        'a token as the proxy gave it',
        _read_token,
    ),
    'trace_id': AttributeReader(
        'trace',
        f'{_WORD_FORM} or colons',
        _read_trace,
    ),
}
_NAMES = ', '.join(ATTRIBUTES)
