"""Serve one caller's connection, from its greeting to its end."""

from asyncio import timeout
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass

from mysql_mimic.types import Commands
from result import Err, Ok, Result

from sedgeshunt.adapters.channel import (
    ConnectionClosed,
    ProtocolBroken,
    ReceivingStopped,
)
from sedgeshunt.adapters.commands import CommandRunner
from sedgeshunt.adapters.conversation import Conversation
from sedgeshunt.adapters.handshake import Greeted, Greeter
from sedgeshunt.adapters.packet_stream import PacketStream
from sedgeshunt.adapters.refusals import (
    MALFORMED,
    STOPPING_REFUSAL,
    make_refusal,
)
from sedgeshunt.adapters.reply import ReplyWriter
from sedgeshunt.adapters.session_state import SessionState
from sedgeshunt.identifiers import GroupId, Seconds, TraceId
from sedgeshunt.logs import EventLog, LogLevel, ProcessEvent
from sedgeshunt.requests.attributes import read_connect_attributes
from sedgeshunt.requests.gate import CallerGate
from sedgeshunt.requests.outcome import Cause, Refusal, Rejected, Unknown

GREETING_TIMEOUT = Seconds(10)
# Time for a caller to take in the last answer before the connection closes.
FAREWELL_PATIENCE = Seconds(1)
QUIT = bytes((Commands.COM_QUIT,))
FAILURE = Unknown(Cause.INVARIANT, 'the proxy failed at the statement')


@dataclass(frozen=True, slots=True)
class CallerContext:
    """Hold what all callers of one proxy share."""

    gate: CallerGate
    greeter: Greeter
    log: EventLog


class CallerConnection:
    """Answer one caller's commands, one after the other."""

    __slots__ = (
        '_context',
        '_conversation',
        '_is_cut_short',
        '_is_idle',
        '_is_stopping',
        '_number',
        '_stream',
        '_trace',
    )

    def __init__(
        self,
        stream: PacketStream,
        context: CallerContext,
        number: int,
        trace: TraceId,
    ) -> None:
        """Start before the greeting."""
        self._stream = stream
        self._context = context
        self._number = number
        self._trace = trace
        self._is_cut_short = False
        self._is_idle = False
        self._is_stopping = False
        self._conversation: Conversation | None = None

    async def run(self) -> None:
        """Serve the caller until it leaves or the proxy stops."""
        async with AsyncExitStack() as owned:
            owned.callback(self._stream.channel.close)
            with suppress(ConnectionClosed):
                await self._serve(owned)

    def stop(self, *, cut_short: bool = False) -> None:
        """Let the statement under way finish, then say farewell.

        An open transaction may go on to its end unless it is cut short.
        """
        self._is_stopping = True
        self._is_cut_short = cut_short
        if self._is_idle and self._must_leave:
            self._stream.channel.stop_receiving()

    @property
    def _must_leave(self) -> bool:
        if not self._is_stopping or self._is_cut_short:
            return self._is_stopping
        conversation = self._conversation
        return conversation is None or not conversation.in_transaction

    async def _serve(self, owned: AsyncExitStack) -> None:
        try:
            await self._answer(owned)
        except ReceivingStopped:
            self._stream.write_unasked(make_refusal(STOPPING_REFUSAL))
            await self._say_farewell()
        except ProtocolBroken as broken:
            await self._refuse_last(MALFORMED.reject(str(broken)))

    async def _answer(self, owned: AsyncExitStack) -> None:
        greeted = await self._greet()
        if isinstance(greeted, Err):
            await self._refuse_last(greeted.err_value)
            return
        commands = await self._open(greeted.ok_value, owned)
        if isinstance(commands, Err):
            await self._refuse_last(commands.err_value)
            return
        await self._run_commands(commands.ok_value)

    async def _open(
        self,
        caller: Greeted,
        owned: AsyncExitStack,
    ) -> Result[CommandRunner, Refusal]:
        defaults = read_connect_attributes(caller.connect_attributes)
        if isinstance(defaults, Err):
            return defaults
        said = defaults.ok_value
        state = SessionState(self._number, caller.user, said, said)
        conversation = Conversation(self._context.gate, state, self._trace)
        owned.push_async_callback(conversation.close)
        self._conversation = conversation
        if caller.database:
            await conversation.use(GroupId(caller.database))
        reply = ReplyWriter(self._stream, conversation, caller.capabilities)
        return Ok(CommandRunner(conversation, reply, caller.capabilities))

    async def _run_commands(self, commands: CommandRunner) -> None:
        await commands.answer_ping()
        while True:
            payload = await self._read_command()
            if payload == QUIT:
                return
            if self._must_leave:
                await self._refuse_last(STOPPING_REFUSAL)
                return
            await self._run_command(commands, payload)

    async def _run_command(self, commands: CommandRunner, body: bytes) -> None:
        try:
            await commands.run(body)
        except (ConnectionClosed, ProtocolBroken):
            raise
        except Exception as failure:
            # Whatever failed here may have run the statement before.
            self._log_failure(failure)
            await self._refuse_last(FAILURE)
            raise ConnectionClosed from failure

    async def _greet(self) -> Result[Greeted, Rejected]:
        # A caller that connects and says nothing must not hold its place.
        try:
            async with timeout(GREETING_TIMEOUT):
                return await self._context.greeter.greet(
                    self._stream,
                    self._number,
                )
        except TimeoutError:
            raise ConnectionClosed from None

    async def _read_command(self) -> bytes:
        self._stream.begin_command()
        if self._must_leave:
            raise ReceivingStopped
        self._is_idle = True
        try:
            return await self._stream.read()
        finally:
            self._is_idle = False

    async def _refuse_last(self, refusal: Refusal) -> None:
        self._stream.write(make_refusal(refusal))
        await self._say_farewell()

    async def _say_farewell(self) -> None:
        with suppress(ConnectionClosed):
            await self._stream.flush()
            await self._stream.channel.finish(FAREWELL_PATIENCE)

    def _log_failure(self, failure: Exception) -> None:
        self._context.log.note(
            ProcessEvent.CALLER_FAILED,
            LogLevel.ERROR,
            trace=self._trace,
            failure=repr(failure),
        )
