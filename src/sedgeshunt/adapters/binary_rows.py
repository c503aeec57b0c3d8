"""Build rows for prepared statements, whose values travel in binary."""

from collections.abc import Sequence
from struct import pack

from mysql_mimic.types import ColumnType, str_len

from sedgeshunt.adapters.type_forms import (
    DATES,
    HOURS_A_DAY,
    INTEGERS,
    MICROSECOND_DIGITS,
    REALS,
)
from sedgeshunt.adapters.wire import WireColumn, encode_text
from sedgeshunt.requests.outcome import Column

ROW_HEADER = b'\x00'
# The first two bits of the null map are reserved.
NULL_OFFSET = 2


def make_binary_row(
    row: Sequence[object],
    columns: Sequence[Column],
) -> bytes:
    """Build a row in binary form from the texts of its values."""
    parts = bytearray()
    for cell, column in zip(row, columns, strict=True):
        if cell is not None:
            parts += encode_binary(column, encode_text(cell))
    return ROW_HEADER + _map_nulls(row) + bytes(parts)


def encode_binary(column: Column, text: bytes) -> bytes:
    """Turn the text of one value into its binary form."""
    type_code = column.type_code
    if type_code in INTEGERS:
        form = INTEGERS[type_code]
        is_unsigned = isinstance(column, WireColumn) and column.is_unsigned
        return pack(form.upper() if is_unsigned else form, int(text))
    if type_code in REALS:
        return pack(REALS[type_code], float(text))
    if type_code in DATES:
        return _encode_date(text)
    if type_code == ColumnType.TIME:
        return _encode_time(text)
    return str_len(text)


def _map_nulls(row: Sequence[object]) -> bytes:
    nulls = bytearray((len(row) + NULL_OFFSET + 7) // 8)
    for place, cell in enumerate(row, NULL_OFFSET):
        if cell is None:
            nulls[place // 8] |= 1 << place % 8
    return bytes(nulls)


def _encode_date(text: bytes) -> bytes:
    date, _, clock = text.partition(b' ')
    encoded = pack('<HBB', *(int(part) for part in date.split(b'-')))
    if clock:
        encoded += bytes(_split_clock(clock)) + _encode_fraction(clock)
    return _add_size(encoded)


def _encode_time(text: bytes) -> bytes:
    is_negative = text.startswith(b'-')
    hours, *rest = _split_clock(text.lstrip(b'-'))
    encoded = pack('<BI', is_negative, hours // HOURS_A_DAY)
    encoded += bytes((hours % HOURS_A_DAY, *rest))
    return _add_size(encoded + _encode_fraction(text))


def _split_clock(text: bytes) -> list[int]:
    return [int(part) for part in text.partition(b'.')[0].split(b':')]


def _encode_fraction(text: bytes) -> bytes:
    fraction = text.partition(b'.')[2]
    microseconds = int(fraction.ljust(MICROSECOND_DIGITS, b'0'))
    return pack('<I', microseconds) if microseconds else b''


def _add_size(encoded: bytes) -> bytes:
    return bytes((len(encoded),)) + encoded
