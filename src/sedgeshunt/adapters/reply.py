"""Write answers and refusals to a caller."""

from collections.abc import Callable, Sequence

from mysql_mimic.types import Capabilities, ColumnType, ServerStatus, uint_len
from result import Err, Result

from sedgeshunt.adapters.binary_rows import make_binary_row
from sedgeshunt.adapters.conversation import Conversation
from sedgeshunt.adapters.packet_stream import PacketStream
from sedgeshunt.adapters.refusals import make_refusal
from sedgeshunt.adapters.wire import (
    make_column,
    make_end,
    make_eof,
    make_ok,
    make_text_row,
)
from sedgeshunt.requests.outcome import Answer, Column, Refusal

TOKEN_LABEL = 'session_token='
IN_TRANSACTION = int(ServerStatus.SERVER_STATUS_IN_TRANS)
AUTOCOMMIT = int(ServerStatus.SERVER_STATUS_AUTOCOMMIT)
PARAMETER = Column('?', ColumnType.VAR_STRING)

RowMaker = Callable[[Sequence[object], Sequence[Column]], bytes]


class ReplyWriter:
    """Write what becomes of one caller's statements."""

    __slots__ = ('_conversation', '_is_eof_deprecated', '_stream')

    def __init__(
        self,
        stream: PacketStream,
        conversation: Conversation,
        capabilities: Capabilities,
    ) -> None:
        """Write in the form that the caller's driver asked for."""
        self._stream = stream
        self._conversation = conversation
        self._is_eof_deprecated = (
            Capabilities.CLIENT_DEPRECATE_EOF in capabilities
        )

    async def write_text(self, outcome: Result[Answer, Refusal]) -> None:
        """Write an outcome, its rows in text form."""
        await self._write(outcome, make_text_row)

    async def write_binary(self, outcome: Result[Answer, Refusal]) -> None:
        """Write an outcome, its rows in binary form."""
        await self._write(outcome, make_binary_row)

    async def write_packets(self, *packets: bytes) -> None:
        """Write packets as they are."""
        for packet in packets:
            self._stream.write(packet)
        await self._stream.flush()

    def make_prepared(self, number: int, parameters: int) -> Sequence[bytes]:
        """Build the packets that acknowledge a prepared statement."""
        head = b''.join(
            (
                b'\x00',
                number.to_bytes(4, 'little'),
                # The columns are known once it is executed.
                b'\x00\x00',
                parameters.to_bytes(2, 'little'),
                b'\x00\x00\x00',
            ),
        )
        definition = make_column(PARAMETER)
        packets = [head, *(definition for _ in range(parameters))]
        if parameters and not self._is_eof_deprecated:
            packets.append(make_eof(self._status))
        return packets

    @property
    def _status(self) -> int:
        flags = 0
        if self._conversation.in_transaction:
            flags |= IN_TRANSACTION
        if self._conversation.state.autocommit:
            flags |= AUTOCOMMIT
        return flags

    async def _write(
        self,
        outcome: Result[Answer, Refusal],
        make_row: RowMaker,
    ) -> None:
        if isinstance(outcome, Err):
            self._stream.write(make_refusal(outcome.err_value))
        elif outcome.ok_value.columns:
            await self._write_rows(outcome.ok_value, make_row)
        else:
            answer = outcome.ok_value
            info_text = f'{TOKEN_LABEL}{answer.token}' if answer.token else ''
            self._stream.write(make_ok(self._status, answer, info_text))
        await self._stream.flush()

    async def _write_rows(self, answer: Answer, make_row: RowMaker) -> None:
        stream = self._stream
        stream.write(uint_len(len(answer.columns)))
        for column in answer.columns:
            stream.write(make_column(column))
        if not self._is_eof_deprecated:
            stream.write(make_eof(self._status))
        for row in answer.rows:
            stream.write(make_row(row, answer.columns))
            if stream.is_flush_due:
                await stream.flush()
        stream.write(
            make_end(self._status, is_eof_deprecated=self._is_eof_deprecated),
        )
