"""Read the binary values of parameters and write them as SQL literals."""

from decimal import Decimal
from io import BytesIO
from math import isfinite
from struct import calcsize, unpack

from mysql_mimic.types import ColumnType, read_str_len, read_uint_1

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.adapters.type_forms import (
    BINARIES,
    DATES,
    DECIMALS,
    HOURS_A_DAY,
    INTEGERS,
    REALS,
)

Value = int | float | Decimal | str | bytes | None

ENCODING = 'utf-8'
# Bytes that are no text come through unchanged in both directions.
ENCODING_ERRORS = 'surrogateescape'

# Dates and times leave off at their end what is zero.
_DATE_SIZE = 4
_DATE_FORM = '<HBBBBBI'
_TIME_FORM = '<BIBBBI'


def read_value(reader: BytesIO, type_code: int, *, unsigned: bool) -> Value:
    """Read one value of a type from a packet."""
    if type_code in INTEGERS:
        form = INTEGERS[type_code]
        return int(_read_number(reader, form.upper() if unsigned else form))
    if type_code in REALS:
        return _read_number(reader, REALS[type_code])
    if type_code in DATES:
        return _read_date(reader)
    if type_code == ColumnType.TIME:
        return _read_time(reader)
    return decode_value(read_str_len(reader), type_code)


def decode_text(encoded: bytes) -> str:
    """Turn the bytes of a text into it."""
    return encoded.decode(ENCODING, ENCODING_ERRORS)


def decode_value(encoded: bytes, type_code: int) -> Value:
    """Turn the bytes of a text, a decimal or a binary into its value."""
    if type_code in BINARIES:
        return encoded
    try:
        text = encoded.decode(ENCODING)
    except UnicodeDecodeError:
        # Some drivers bind bytes as a text.
        return encoded
    return Decimal(text) if type_code in DECIMALS else text


def make_literal(given: Value) -> str:
    """Write a value as SQL that can't be read as anything else."""
    if given is None:
        return 'NULL'
    if isinstance(given, bytes):
        return f"x'{given.hex()}'"
    if isinstance(given, str):
        # A quote let through would end the literal: the rest of a caller's
        # text would run as a statement. Doubled, neither mode of the target
        # (with backslash escapes or without) ends the literal early.
        escaped = given.replace('\\', r'\\').replace("'", "''")
        return f"'{escaped}'"
    if not isfinite(given):
        raise ProtocolBroken(f'{given} can not be a parameter')
    # A space keeps a minus from joining another into a comment.
    return f' {given}'


def _read_number(reader: BytesIO, form: str) -> float:
    number: float = unpack(form, reader.read(calcsize(form)))[0]
    return number


def _read_date(reader: BytesIO) -> str:
    size = read_uint_1(reader)
    date = unpack(_DATE_FORM, _read_padded(reader, size, _DATE_FORM))
    text = '{0:04}-{1:02}-{2:02}'.format(*date)
    if size <= _DATE_SIZE:
        return text
    return text + ' {3:02}:{4:02}:{5:02}.{6:06}'.format(*date)


def _read_time(reader: BytesIO) -> str:
    size = read_uint_1(reader)
    sign, days, hours, *rest = unpack(
        _TIME_FORM,
        _read_padded(reader, size, _TIME_FORM),
    )
    return '{0}{1:02}:{2:02}:{3:02}.{4:06}'.format(
        '-' if sign else '',
        days * HOURS_A_DAY + hours,
        *rest,
    )


def _read_padded(reader: BytesIO, size: int, form: str) -> bytes:
    return reader.read(size).ljust(calcsize(form), b'\x00')
