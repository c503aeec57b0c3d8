"""Read the statements that callers send, with parameters and attributes."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from io import BytesIO

from mysql_mimic.results import NullBitmap
from mysql_mimic.types import (
    read_str_len,
    read_uint_1,
    read_uint_4,
    read_uint_len,
)

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.adapters.malformed import reading_packet
from sedgeshunt.adapters.parameters import (
    ENCODING,
    Value,
    decode_text,
    decode_value,
    read_value,
)
from sedgeshunt.adapters.prepared import (
    MAX_PARAMETERS,
    BoundType,
    PreparedStatement,
)

COUNT_AVAILABLE_FLAG = 8
UNSIGNED_FLAG = 0x80
# What a query without attributes starts with: none of them, in one set.
NO_ATTRIBUTES = b'\x00\x01'


@dataclass(frozen=True, slots=True)
class Execution:
    """Hold what one execution asks for."""

    sql: str
    query_attributes: Mapping[str, object]


def read_query(body: bytes, *, has_attributes: bool) -> Execution:
    """Read a plain query; raise ProtocolBroken."""
    if not has_attributes:
        return Execution(decode_text(body), {})
    if body.startswith(NO_ATTRIBUTES):
        return Execution(decode_text(body[len(NO_ATTRIBUTES) :]), {})
    statement = PreparedStatement(0, ('',))
    reader = ExecutionReader(statement, BytesIO(body), has_names=True)
    with reading_packet():
        return reader.read_query()


def read_execution(
    statement: PreparedStatement,
    body: BytesIO,
    *,
    has_attributes: bool,
) -> Execution:
    """Read an execution past its number; raise ProtocolBroken."""
    reader = ExecutionReader(statement, body, has_names=has_attributes)
    with reading_packet():
        return reader.read()


def read_number(reader: BytesIO, size: int) -> int:
    """Read a number of fixed size."""
    return int.from_bytes(reader.read(size), 'little')


class ExecutionReader:
    """Read what one execution of a prepared statement brings."""

    def __init__(
        self,
        statement: PreparedStatement,
        reader: BytesIO,
        *,
        has_names: bool,
    ) -> None:
        """Stand behind the statement's number in the packet."""
        self._statement = statement
        self._reader = reader
        self._has_names = has_names

    def read(self) -> Execution:
        """Return the filled in text and the query attributes."""
        found = self._read_values(self._read_count())
        expected = self._statement.parameter_count
        return Execution(
            self._statement.fill(found[:expected]),
            self._name(found, expected),
        )

    def read_query(self) -> Execution:
        """Return the text of a plain query and its attributes."""
        count = read_uint_len(self._reader)
        read_uint_len(self._reader)
        if count > MAX_PARAMETERS:
            raise ProtocolBroken('a query has too many attributes')
        attributes = self._name(self._read_values(count), 0)
        return Execution(decode_text(self._reader.read()), attributes)

    def _name(
        self,
        found: Sequence[Value],
        start: int,
    ) -> Mapping[str, object]:
        types = self._statement.types[start : len(found)]
        names = [bound.name for bound in types]
        return dict(zip(names, found[start:], strict=True))

    def _read_count(self) -> int:
        flags = read_uint_1(self._reader)
        read_uint_4(self._reader)
        expected = self._statement.parameter_count
        count = expected
        if self._has_names and (count or flags & COUNT_AVAILABLE_FLAG):
            count = read_uint_len(self._reader)
        if not expected <= count <= MAX_PARAMETERS:
            raise ProtocolBroken('a parameter is missing')
        return count

    def _read_values(self, count: int) -> list[Value]:
        if not count:
            return []
        nulls = NullBitmap.from_buffer(self._reader, count)
        if read_uint_1(self._reader):
            self._statement.types = [self._read_type() for _ in range(count)]
        if len(self._statement.types) < count:
            raise ProtocolBroken('the types of the parameters are missing')
        found = [
            None if nulls.is_flipped(place) else self._read_value(place)
            for place in range(count)
        ]
        self._statement.long_data.clear()
        return found

    def _read_value(self, place: int) -> Value:
        bound = self._statement.types[place]
        kept = self._statement.long_data.get(place)
        if kept is not None:
            return decode_value(bytes(kept), bound.type_code)
        return read_value(
            self._reader,
            bound.type_code,
            unsigned=bound.unsigned,
        )

    def _read_type(self) -> BoundType:
        type_code = read_uint_1(self._reader)
        is_unsigned = bool(read_uint_1(self._reader) & UNSIGNED_FLAG)
        name = b''
        if self._has_names:
            name = read_str_len(self._reader)
        return BoundType(type_code, is_unsigned, name.decode(ENCODING))
