"""Keep a caller's prepared statements and fill in their parameters."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import chain, zip_longest
from re import DOTALL, VERBOSE
from re import compile as compile_pattern

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.adapters.parameters import Value, make_literal

MAX_PARAMETERS = 65535
MAX_LONG_DATA = 16 * 1024 * 1024

# A question mark in a literal, a quoted name or a comment is no parameter.
_PIECE = compile_pattern(
    r"""
    '(?:[^'\\]++|\\.|'')*+'
    | "(?:[^"\\]++|\\.|"")*+"
    | `[^`]*`
    | /\*.*?\*/
    | --(?=\s|$)[^\n]*
    | \#[^\n]*
    | (?P<parameter>\?)
    """,
    DOTALL | VERBOSE,
)


@dataclass(frozen=True, slots=True)
class BoundType:
    """Hold how a parameter was bound: its type, sign and name."""

    type_code: int
    unsigned: bool
    name: str


@dataclass(slots=True)
class PreparedStatement:
    """Hold a statement's text, cut at its parameters."""

    number: int
    pieces: Sequence[str]
    # Drivers bind the types once and leave them out of later executions.
    types: Sequence[BoundType] = ()
    long_data: dict[int, bytearray] = field(default_factory=dict)

    @property
    def parameter_count(self) -> int:
        """Count the parameters."""
        return len(self.pieces) - 1

    def add_long_data(self, place: int, piece: bytes) -> None:
        """Add to a parameter that arrives piece by piece."""
        kept = self.long_data.setdefault(place, bytearray())
        if len(kept) + len(piece) > MAX_LONG_DATA:
            raise ProtocolBroken(
                f'a parameter may hold {MAX_LONG_DATA} bytes at most',
            )
        kept += piece

    def fill(self, parameters: Sequence[Value]) -> str:
        """Return the text with the parameters in it."""
        literals = [make_literal(given) for given in parameters]
        joined = zip_longest(self.pieces, literals, fillvalue='')
        return ''.join(chain.from_iterable(joined))


def prepare(number: int, sql: str) -> PreparedStatement:
    """Cut `sql` at its parameters."""
    pieces: list[str] = []
    start = 0
    for found in _PIECE.finditer(sql):
        if found['parameter']:
            pieces.append(sql[start : found.start()])
            start = found.end()
    pieces.append(sql[start:])
    if len(pieces) > MAX_PARAMETERS:
        raise ProtocolBroken(f'a statement takes {MAX_PARAMETERS} parameters')
    return PreparedStatement(number, pieces)
