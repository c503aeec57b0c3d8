"""Accept connections of callers and serve their protocol."""

from asyncio import (
    CancelledError,
    Server,
    StreamReader,
    StreamWriter,
    Task,
    current_task,
    sleep,
    start_server,
    timeout,
    wait,
)
from collections import Counter
from contextlib import suppress

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.platform.conversation import (
    CallerConversation,
    OpenSession,
    SessionEnd,
)
from sedgeshunt.platform.lines import (
    READER_LIMIT,
    MessageMalformed,
    MessageTooLong,
    make_line,
    read_line,
)
from sedgeshunt.ports import Address

# Rejections of callers over the limit that may be pending at the same time.
# Each holds a descriptor; connections beyond this number are aborted.
MAX_PENDING_REJECTIONS = 40
# Time for the first message of a rejected caller; one network trip takes 3 ms.
REJECTION_TIMEOUT = Seconds(0.5)
# Time for connections that the listener accepted before it was closed to be
# passed on by the event loop.
ACCEPT_DELAY = Seconds(0.02)
# Time for sessions to send the last answers.
CANCEL_DELAY = Seconds(0.1)
# Time for cancelled sessions to roll back.
CANCEL_TIMEOUT = Seconds(0.1)
CALLER_LIMIT_REASON = (
    'this proxy serves all callers that it can; connect to another'
)
MILLISECONDS = 1000


class CallerServer:
    """Serve the connections of all callers."""

    def __init__(
        self,
        address: Address,
        max_callers: int,
        open_session: OpenSession,
        decisions: DecisionLog,
    ) -> None:
        """Serve at most `max_callers` callers at the same time."""
        self.address = address
        self._max_callers = max_callers
        self._open_session = open_session
        self._decisions = decisions
        self._server: Server | None = None
        self._conversations: dict[Task[None], CallerConversation] = {}
        # The sessions that have ended, by cause.
        self._ends: Counter[SessionEnd] = Counter()
        self._pending_rejections = 0
        self._is_stopping = False
        self._is_aborting = False
        self._deadline: Monotonic | None = None

    async def start(self) -> None:
        """Start to listen; raise OSError."""
        self._server = await start_server(
            self._serve,
            self.address.host,
            self.address.port,
            limit=READER_LIMIT,
            backlog=512,
        )

    def count_open(self) -> int:
        """Return the number of connected callers."""
        return len(self._conversations)

    def count_ends(self) -> dict[str, int]:
        """Return the number of sessions that have ended, by cause."""
        return {end.value: ended for end, ended in self._ends.items()}

    def finish_by(self, deadline: Monotonic) -> None:
        """Answer all statements by `deadline`, in later sessions as well."""
        self._deadline = deadline
        for conversation in self._conversations.values():
            conversation.finish_by(deadline)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def end_sessions(self, give_up: Monotonic) -> None:
        """End each session once it is idle; wait until `give_up` at most."""
        self._is_stopping = True
        for conversation in self._conversations.values():
            conversation.stop()
        await self._wait_sessions(give_up)

    def end_idle_sessions(self) -> None:
        """End the sessions that are idle now; keep accepting connections."""
        for conversation in self._conversations.values():
            conversation.stop_if_idle()

    async def abort(self, give_up: Monotonic) -> None:
        """Roll back open transactions and let running statements finish.

        Cancel what still runs after `give_up`.
        """
        self._is_aborting = True
        for conversation in self._conversations.values():
            conversation.abort()
        await self._wait_sessions(Monotonic(give_up + CANCEL_DELAY))
        late = tuple(self._conversations)
        for task in late:
            task.cancel()
        if late:
            await wait(late, timeout=CANCEL_TIMEOUT)

    async def _wait_sessions(self, give_up: Monotonic) -> None:
        await sleep(ACCEPT_DELAY)
        while self._conversations and read_clock() < give_up:
            await wait(
                tuple(self._conversations), timeout=give_up - read_clock()
            )

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if len(self._conversations) >= self._max_callers:
            # Otherwise no descriptor would be left to connect to targets.
            await self._reject(reader, writer)
            return
        conversation = CallerConversation(reader, writer, self._open_session)
        self._prepare(conversation)
        task = current_task()
        if task is not None:
            self._conversations[task] = conversation
        try:
            await conversation.run()
        except CancelledError:
            self._record_cut(conversation)
            raise
        else:
            self._ends[conversation.find_end()] += 1
        finally:
            writer.close()
            if task is not None:
                self._conversations.pop(task, None)

    def _prepare(self, conversation: CallerConversation) -> None:
        """Tell a new session that the proxy is stopping, if it is."""
        if self._deadline is not None:
            conversation.finish_by(self._deadline)
        if self._is_stopping:
            conversation.stop()
        if self._is_aborting:
            conversation.abort()

    def _record_cut(self, conversation: CallerConversation) -> None:
        if conversation.statement is None:
            self._ends[SessionEnd.DRAINED] += 1
            return
        self._ends[SessionEnd.CUT] += 1
        spent = read_clock() - conversation.answering_since
        reasons = {
            'statement': conversation.statement,
            'spent_ms': f'{spent * MILLISECONDS:.1f}',
        }
        self._decisions.record(
            Decision(DecisionKind.SESSION_CUT, reasons=reasons)
        )

    async def _reject(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        if self._pending_rejections >= MAX_PENDING_REJECTIONS:
            writer.transport.abort()
            return
        self._pending_rejections += 1
        # Closing with the first message unread would reset the connection,
        # and the caller could lose the error.
        with suppress(OSError, TimeoutError, MessageTooLong, MessageMalformed):
            async with timeout(REJECTION_TIMEOUT):
                await read_line(reader)
        self._pending_rejections -= 1
        writer.write(make_line('ERROR', 'TOOMANY', CALLER_LIMIT_REASON))
        writer.close()
