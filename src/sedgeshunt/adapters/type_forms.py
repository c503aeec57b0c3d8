"""Name the binary forms of the protocol's column types."""

from mysql_mimic.types import ColumnType

HOURS_A_DAY = 24
MICROSECOND_DIGITS = 6

# Little-endian forms by type; in capitals they are unsigned.
INTEGERS: dict[int, str] = {
    ColumnType.TINY: '<b',
    ColumnType.SHORT: '<h',
    ColumnType.YEAR: '<h',
    ColumnType.LONG: '<i',
    ColumnType.INT24: '<i',
    ColumnType.LONGLONG: '<q',
}
REALS: dict[int, str] = {
    ColumnType.FLOAT: '<f',
    ColumnType.DOUBLE: '<d',
}
DECIMALS: frozenset[int] = frozenset(
    (ColumnType.DECIMAL, ColumnType.NEWDECIMAL),
)
DATES: frozenset[int] = frozenset(
    (ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP),
)
BINARIES: frozenset[int] = frozenset(
    (
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
        ColumnType.BLOB,
        ColumnType.GEOMETRY,
        ColumnType.BIT,
    ),
)
