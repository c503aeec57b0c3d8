"""Run statements on a target over one connection of asyncmy."""

from asyncio import Transport
from collections.abc import Awaitable, Callable
from re import compile as compile_pattern

from msgspec.structs import replace
from asyncmy.connection import Connection, MySQLResult
from asyncmy.constants.CLIENT import MULTI_STATEMENTS

from sedgeshunt.adapters.wire import WireColumn
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId, Position, Term
from sedgeshunt.ports import Address
from sedgeshunt.requests.outcome import Answer

UNSIGNED_FLAG = 0x20
_POINT = compile_pattern(rb'point=(\d+):(\d+)')


class SeveralResults(Exception):
    """Say that a statement was answered with more than one set of rows."""


class TargetLink(Connection):
    """Speak to one target; values come and go as the target wrote them."""

    # The driver's own, which it leaves without types.
    _client_flag: int
    _result: MySQLResult
    _stream_broken: bool
    _transport: Transport | None

    def __init__(
        self,
        address: Address,
        group: GroupId,
        user: str,
        password: str,
    ) -> None:
        """Connect to nothing yet."""
        prepare: Callable[..., None] = super().__init__
        prepare(
            host=address.host,
            port=address.port,
            user=user,
            password=password,
            database=group,
            autocommit=True,
            # Values stay the texts and bytes that the target wrote: turned
            # into numbers or dates and back, some would come out changed.
            conv={},
        )
        # A second statement hidden in a first would have no outcome of its
        # own; the target itself refuses it.
        self._client_flag &= ~MULTI_STATEMENTS

    @property
    def is_usable(self) -> bool:
        """Tell whether the connection is open as far as one can see."""
        return bool(self.connected) and not self._stream_broken

    async def run(self, sql: str) -> Answer:
        """Run `sql` and return its whole answer."""
        query: Callable[[str], Awaitable[object]] = self.query
        await query(sql)
        answer = self._read_answer()
        while self._result.has_next:
            answer = _join(answer, await self._read_next())
        return answer

    def abort(self) -> None:
        """Drop the connection without another byte."""
        transport = self._transport
        if transport is not None:
            transport.abort()
        self.close()

    async def _read_next(self) -> Answer:
        read: Callable[[], Awaitable[object]] = self.next_result
        await read()
        return self._read_answer()

    def _read_answer(self) -> Answer:
        result: MySQLResult = self._result
        if result.fields is None:
            return Answer(
                affected_rows=result.affected_rows,
                last_insert_id=result.insert_id,
                point=_read_point(result.message),
            )
        columns = [
            WireColumn(
                field.name,
                field.type_code,
                field.get_all_data(),
                bool(field.flags & UNSIGNED_FLAG),
            )
            for field in result.fields
        ]
        return Answer(columns=columns, rows=result.rows)


def _read_point(message: bytes | None) -> Point | None:
    found = _POINT.search(message or b'')
    if found is None:
        return None
    return Point(Term(int(found[1])), Position(int(found[2])))


def _join(answer: Answer, following: Answer) -> Answer:
    # A procedure answers with rows and then with the counts of its end.
    if not answer.columns:
        return following
    if following.columns:
        raise SeveralResults
    return replace(answer, point=following.point or answer.point)
