"""Write results and messages the way the operator asked for."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TextIO

from msgspec.json import encode, format

_GAP = '  '


class OutputStyle(Enum):
    """List the forms of a command's result."""

    TABLE = 'table'
    JSON = 'json'


@dataclass(frozen=True, slots=True)
class Table:
    """Hold rows of text under headers."""

    headers: Sequence[str]
    rows: Sequence[Sequence[str]]

    def list_lines(self) -> Iterator[str]:
        """Yield the lines with their columns aligned."""
        lines = [self.headers, *self.rows]
        widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
        for line in lines:
            cells = map(str.ljust, line, widths)
            yield _GAP.join(cells).rstrip()


class Console:
    """Write results to one stream and everything else to another."""

    def __init__(self, out: TextIO, err: TextIO) -> None:
        """Write tables until another style is set."""
        self.out = out
        self.err = err
        self.style = OutputStyle.TABLE

    def show(self, table: Table, payload: object) -> None:
        """Write a result as the table, or the payload as JSON."""
        if self.style is OutputStyle.JSON:
            self.write(format(encode(payload)).decode())
            return
        for line in table.list_lines():
            self.write(line)

    def show_text(self, text: str, payload: object) -> None:
        """Write a result as text, or the payload as JSON."""
        if self.style is OutputStyle.JSON:
            self.write(format(encode(payload)).decode())
            return
        self.write(text)

    def write(self, text: str) -> None:
        """Write a line of the result."""
        print(text, file=self.out, flush=True)

    def tell(self, text: str) -> None:
        """Write a line that is no part of the result."""
        print(text, file=self.err, flush=True)
