"""Build the packets of an answer."""

from collections.abc import Sequence
from functools import lru_cache

from mysql_mimic.charset import CharacterSet
from mysql_mimic.packets import make_column_definition_41
from mysql_mimic.types import ColumnType, str_len, uint_len

from sedgeshunt.adapters.type_forms import BINARIES
from sedgeshunt.requests.outcome import Answer, Column

OK_HEADER = b'\x00'
END_HEADER = b'\xfe'
ERROR_HEADER = b'\xff'
NULL_TEXT = b'\xfb'
NO_WARNINGS = b'\x00\x00'
# A length below this stands for itself, in one byte.
SHORT_LENGTH = 251
KNOWN_COLUMNS = 256


class WireColumn(Column, frozen=True):
    """Describe a column as its target did, to pass it on unchanged."""

    # The packet of the column's definition, byte for byte: lengths, flags
    # and character set decide how drivers read the values.
    definition: bytes = b''
    is_unsigned: bool = False


def make_ok(
    status: int,
    answer: Answer,
    info_text: str = '',
) -> bytes:
    """Build the packet for an answer without rows."""
    counts = uint_len(answer.affected_rows) + uint_len(answer.last_insert_id)
    flags = status.to_bytes(2, 'little')
    text = str_len(info_text.encode()) if info_text else b''
    return OK_HEADER + counts + flags + NO_WARNINGS + text


def make_end(status: int, *, is_eof_deprecated: bool) -> bytes:
    """Build the packet that ends the rows of an answer."""
    flags = status.to_bytes(2, 'little')
    if is_eof_deprecated:
        return END_HEADER + uint_len(0) + uint_len(0) + flags + NO_WARNINGS
    return make_eof(status)


def make_eof(status: int) -> bytes:
    """Build the packet that ends the columns for older drivers."""
    return END_HEADER + NO_WARNINGS + status.to_bytes(2, 'little')


def make_error(code: int, sqlstate: str, message: str) -> bytes:
    """Build an error packet."""
    state = f'#{sqlstate:5.5}'.encode()
    return ERROR_HEADER + code.to_bytes(2, 'little') + state + message.encode()


def make_column(column: Column) -> bytes:
    """Build a column's definition, or repeat its target's."""
    if isinstance(column, WireColumn) and column.definition:
        return column.definition
    return _build_column(column)


@lru_cache(maxsize=KNOWN_COLUMNS)
def _build_column(column: Column) -> bytes:
    is_binary = column.type_code in BINARIES
    charset = CharacterSet.binary if is_binary else CharacterSet.utf8mb4
    definition: bytes = make_column_definition_41(
        server_charset=CharacterSet.utf8mb4,
        name=column.name,
        character_set=charset,
        column_type=ColumnType(column.type_code),
    )
    return definition


def make_text_row(
    row: Sequence[object],
    columns: Sequence[Column],
) -> bytes:
    """Build a row in text form."""
    parts = bytearray()
    for cell in row:
        if cell is None:
            parts += NULL_TEXT
            continue
        text = cell if isinstance(cell, bytes) else encode_text(cell)
        size = len(text)
        if size < SHORT_LENGTH:
            parts.append(size)
        else:
            parts += uint_len(size)
        parts += text
    return bytes(parts)


def encode_text(cell: object) -> bytes:
    """Return a value as its text."""
    if isinstance(cell, bytes):
        return cell
    if isinstance(cell, bool):
        return b'1' if cell else b'0'
    return str(cell).encode()
