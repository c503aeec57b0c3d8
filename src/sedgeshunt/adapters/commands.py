"""Run the commands that a caller's driver sends."""

from collections.abc import Awaitable, Callable, Mapping
from io import BytesIO

from mysql_mimic.types import Capabilities, Commands
from result import Err

from sedgeshunt.adapters.channel import ProtocolBroken
from sedgeshunt.adapters.conversation import DONE, Conversation, Outcome
from sedgeshunt.adapters.executions import (
    Execution,
    read_execution,
    read_number,
    read_query,
)
from sedgeshunt.adapters.parameters import decode_text
from sedgeshunt.adapters.prepared import PreparedStatement, prepare
from sedgeshunt.adapters.refusals import (
    TOO_MANY_STATEMENTS,
    UNKNOWN_COMMAND,
    UNKNOWN_STATEMENT,
)
from sedgeshunt.adapters.reply import ReplyWriter
from sedgeshunt.identifiers import GroupId

MAX_STATEMENTS = 1024
NUMBER_SIZE = 4
PLACE_SIZE = 2

Command = Callable[['CommandRunner', bytes], Awaitable[None]]


class CommandRunner:
    """Run one caller's commands and write what becomes of them."""

    __slots__ = (
        '_conversation',
        '_has_attributes',
        '_reply',
        '_seen',
        '_statements',
    )

    def __init__(
        self,
        conversation: Conversation,
        reply: ReplyWriter,
        capabilities: Capabilities,
    ) -> None:
        """Start with no statement prepared."""
        self._conversation = conversation
        self._reply = reply
        self._has_attributes = (
            Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
        )
        self._seen = 0
        self._statements: dict[int, PreparedStatement] = {}

    async def run(self, payload: bytes) -> None:
        """Run one command; raise ProtocolBroken if there is none."""
        if not payload:
            raise ProtocolBroken('a command is empty')
        command = _COMMANDS.get(payload[0])
        if command is None:
            reason = f'command {payload[0]} is not supported'
            await self._reply.write_text(Err(UNKNOWN_COMMAND.reject(reason)))
            return
        await command(self, payload[1:])

    async def run_query(self, body: bytes) -> None:
        """Run a statement."""
        execution = read_query(body, has_attributes=self._has_attributes)
        outcome = await self._run(execution)
        await self._reply.write_text(outcome)

    async def use_group(self, body: bytes) -> None:
        """Go on with another group."""
        group = GroupId(decode_text(body))
        await self._reply.write_text(await self._conversation.use(group))

    async def answer_ping(self, body: bytes = b'') -> None:
        """Tell that the proxy is there."""
        await self._reply.write_text(DONE)

    async def reset_session(self, body: bytes) -> None:
        """Undo what the caller has open and set."""
        self._statements.clear()
        await self._reply.write_text(await self._conversation.reset())

    async def prepare_statement(self, body: bytes) -> None:
        """Keep a statement to be executed later."""
        if len(self._statements) >= MAX_STATEMENTS:
            reason = f'{MAX_STATEMENTS} statements are open; close some'
            refused = Err(TOO_MANY_STATEMENTS.reject(reason))
            await self._reply.write_text(refused)
            return
        self._seen += 1
        statement = prepare(self._seen, decode_text(body))
        self._statements[self._seen] = statement
        await self._reply.write_packets(
            *self._reply.make_prepared(
                statement.number,
                statement.parameter_count,
            ),
        )

    async def execute_statement(self, body: bytes) -> None:
        """Run a kept statement."""
        reader = BytesIO(body)
        statement = self._find_statement(reader)
        if statement is None:
            refused = UNKNOWN_STATEMENT.reject('prepare the statement first')
            await self._reply.write_text(Err(refused))
            return
        execution = read_execution(
            statement,
            reader,
            has_attributes=self._has_attributes,
        )
        await self._reply.write_binary(await self._run(execution))

    async def add_long_data(self, body: bytes) -> None:
        """Keep a piece of a parameter; drivers expect no answer."""
        reader = BytesIO(body)
        statement = self._find_statement(reader)
        if statement is not None:
            place = read_number(reader, PLACE_SIZE)
            statement.add_long_data(place, reader.read())

    async def close_statement(self, body: bytes) -> None:
        """Forget a kept statement; drivers expect no answer."""
        statement = self._find_statement(BytesIO(body))
        if statement is not None:
            self._statements.pop(statement.number)

    async def reset_statement(self, body: bytes) -> None:
        """Forget the pieces of parameters."""
        statement = self._find_statement(BytesIO(body))
        if statement is not None:
            statement.long_data.clear()
        await self._reply.write_text(DONE)

    def _find_statement(self, reader: BytesIO) -> PreparedStatement | None:
        return self._statements.get(read_number(reader, NUMBER_SIZE))

    async def _run(self, execution: Execution) -> Outcome:
        return await self._conversation.run(
            execution.sql,
            execution.query_attributes,
        )


_COMMANDS: Mapping[int, Command] = {
    Commands.COM_INIT_DB: CommandRunner.use_group,
    Commands.COM_QUERY: CommandRunner.run_query,
    Commands.COM_PING: CommandRunner.answer_ping,
    Commands.COM_RESET_CONNECTION: CommandRunner.reset_session,
    Commands.COM_STMT_PREPARE: CommandRunner.prepare_statement,
    Commands.COM_STMT_EXECUTE: CommandRunner.execute_statement,
    Commands.COM_STMT_SEND_LONG_DATA: CommandRunner.add_long_data,
    Commands.COM_STMT_CLOSE: CommandRunner.close_statement,
    Commands.COM_STMT_RESET: CommandRunner.reset_statement,
}
