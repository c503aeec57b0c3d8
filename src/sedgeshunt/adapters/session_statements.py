"""Take apart the statements that the proxy answers by itself."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from re import DOTALL, IGNORECASE, VERBOSE, Match
from re import compile as compile_pattern

from sedgeshunt.adapters.session_variables import (
    ISOLATION,
    NAMES,
    READ_ONLY,
)
from sedgeshunt.requests.statement_checks import drop_comments

_FLAGS = DOTALL | IGNORECASE | VERBOSE
_TEXT = r"""
    '(?:[^'\\]|\\.|'')*' | "(?:[^"\\]|\\.|"")*" | [^\s,;'"()]+
"""
_ELEMENT = compile_pattern(
    rf"""
    \s* (?:
        NAMES \s+ (?P<names>{_TEXT}) (?: \s+ COLLATE \s+ (?:{_TEXT}) )?
        | (?: CHARACTER \s+ SET | CHARSET ) \s+ (?P<charset>{_TEXT})
        | (?: (?:SESSION|LOCAL) \s+ )? TRANSACTION \s+
          (?P<transaction>[A-Z][A-Z\s,]*)
        | (?: @@ (?: (?:SESSION|LOCAL) \. )? | (?:SESSION|LOCAL) \s+ )?
          (?P<user>@)? (?P<name>\w+) \s* :?= \s* (?P<text>{_TEXT})
    )
    \s* (?: , | ;? \s* $ )
    """,
    _FLAGS,
)
_ITEM = compile_pattern(
    r"""
    \s* (?P<expression>
        @@ (?:\w+\.)? (?P<variable>\w+)
        | @ (?P<user>\w+)
        | (?P<function>\w+) \s* \( \s* \)
    )
    (?: (?:\s+AS)? \s+ (?!LIMIT\b) [`'"]?(?P<alias>\w+)[`'"]? )?
    \s* ,?
    """,
    _FLAGS,
)
_ESCAPED = compile_pattern(r"\\(.)|''", DOTALL)


@dataclass(frozen=True, slots=True)
class Setting:
    """Hold one variable that a caller sets."""

    name: str
    text: str
    # Set by the caller for itself, as in SET @name = 'text'.
    is_own: bool = False

    @property
    def is_reset(self) -> bool:
        """Tell whether the caller takes back what it set before."""
        return self.text.lower() in {'null', 'default'}


@dataclass(frozen=True, slots=True)
class Item:
    """Hold one thing that a caller selects from its session."""

    label: str
    variable: str = ''
    own: str = ''
    function: str = ''


def parse_settings(body: str) -> Sequence[Setting] | None:
    """Read what follows SET; None when it is of another form."""
    body = drop_comments(body)
    settings: list[Setting] = []
    end = 0
    while body[end:].strip():
        element = _ELEMENT.match(body, end)
        if element is None:
            return None
        settings.extend(_read_element(element))
        end = element.end()
    return settings or None


def parse_items(body: str) -> Sequence[Item]:
    """Read what follows SELECT."""
    items: list[Item] = []
    element = _ITEM.match(body)
    while element is not None:
        items.append(
            Item(
                element['alias'] or element['expression'],
                (element['variable'] or '').lower(),
                (element['user'] or '').lower(),
                (element['function'] or '').lower(),
            ),
        )
        element = _ITEM.match(body, element.end())
    return items


def unquote_text(text: str) -> str:
    """Return what a literal stands for, or a bare word as it is."""
    if text[0] not in '\'"':
        return text
    return _ESCAPED.sub(_unescape, text[1:-1])


def _unescape(escaped: Match[str]) -> str:
    return escaped[1] or "'"


def _read_element(element: Match[str]) -> Iterator[Setting]:
    charset = element['names'] or element['charset']
    if charset:
        yield Setting(NAMES, unquote_text(charset))
    elif element['transaction']:
        yield from _read_characteristics(element['transaction'])
    else:
        yield Setting(
            element['name'].lower(),
            unquote_text(element['text']),
            bool(element['user']),
        )


def _read_characteristics(text: str) -> Iterator[Setting]:
    for part in text.split(','):
        words = part.lower().split()
        if words[:2] == ['isolation', 'level']:
            yield Setting(ISOLATION, '-'.join(words[2:]))
        elif words == ['read', 'only']:
            yield Setting(READ_ONLY, '1')
        elif words == ['read', 'write']:
            yield Setting(READ_ONLY, '0')
        else:
            yield Setting('transaction', part.strip())
