"""Run a caller server with a small gate in a thread of its own."""

from asyncio import (
    all_tasks,
    current_task,
    gather,
    run_coroutine_threadsafe,
    sleep,
)
from collections.abc import Coroutine, Mapping
from concurrent.futures import Future
from contextlib import AsyncExitStack
from threading import Thread
from typing import Any, TypeVar

from result import Err, Ok, Result
from uvloop import new_event_loop

from sedgeshunt.adapters.callers import CallerServer
from sedgeshunt.identifiers import GroupId, Seconds, TraceId
from sedgeshunt.ports import Address
from sedgeshunt.requests.gate import (
    CallerGate,
    CallerSession,
)
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    Column,
    NotRun,
    Refusal,
    Rejected,
    Unknown,
)
from sedgeshunt.requests.request import Request, StatementKind

Value = TypeVar('Value')

LOOPBACK = '127.0.0.1'
LIMIT = 20
ROWS = Answer(
    columns=(
        Column('id', 8),
        Column('song', 253),
        Column('fee', 246),
        Column('note', 253),
    ),
    rows=((b'7', 'Malaika', '1.50', None),),
)
REFUSALS: Mapping[str, Refusal] = {
    'overload': NotRun(Cause.OVERLOAD, 'too many wait', Seconds(0.25)),
    'unknown': Unknown(Cause.DEADLINE, 'sent and not answered'),
    'rejected': Rejected(1062, '23000', "Duplicate entry 'x'"),
}


class SmallSession(CallerSession):
    """Keep what was asked and give fixed answers."""

    def __init__(self, group: GroupId, is_served: bool) -> None:
        """Start without a transaction."""
        self.group = group
        self.is_served = is_served
        self.seen: list[Request] = []
        self.is_open = False

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open."""
        return self.is_open

    @property
    def token(self) -> str:
        """Name the group in place of its points."""
        return f'token-{self.group}'

    async def answer(self, request: Request) -> Result[Answer, Refusal]:
        """Answer by the words of the statement."""
        self.seen.append(request)
        if not self.is_served:
            return Err(NotRun(Cause.NO_GROUP, 'the proxy is starting'))
        for word, refusal in REFUSALS.items():
            if word in request.sql:
                return Err(refusal)
        if 'broken' in request.sql:
            raise RuntimeError('a fault of the proxy')
        if 'slow' in request.sql:
            await sleep(0.6)
        if request.kind is StatementKind.READ:
            return Ok(ROWS)
        if request.kind is StatementKind.WRITE:
            return Ok(Answer(affected_rows=3, last_insert_id=42, token='t1'))
        self.is_open = request.kind is StatementKind.BEGIN
        return Ok(Answer())

    async def close(self) -> None:
        """Undo the transaction."""
        self.is_open = False


class SmallGate(CallerGate):
    """Open small sessions and keep them."""

    def __init__(self) -> None:
        """Start without sessions."""
        self.is_ready = True
        self.sessions: list[SmallSession] = []

    async def open_session(
        self,
        group: GroupId,
        trace: TraceId,
    ) -> CallerSession:
        """Open a session."""
        self.sessions.append(SmallSession(group, self.is_ready))
        return self.sessions[-1]


class LoopThread:
    """Run coroutines in a thread, as drivers that block need it."""

    def __init__(self) -> None:
        """Start the loop."""
        self._loop = new_event_loop()
        self._thread = Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def start(self, work: Coroutine[Any, Any, Value]) -> Future[Value]:
        """Start `work`."""
        return run_coroutine_threadsafe(work, self._loop)

    def run(self, work: Coroutine[Any, Any, Value]) -> Value:
        """Wait for `work`, for a bounded time."""
        return self.start(work).result(LIMIT)

    def close(self) -> None:
        """Leave off what is under way and stop the loop."""
        self.run(_cancel_rest())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(LIMIT)
        self._loop.close()


async def _cancel_rest() -> None:
    rest = all_tasks() - {current_task()}
    for task in rest:
        task.cancel()
    await gather(*rest, return_exceptions=True)


class DriverBench:
    """Serve callers by a small gate."""

    def __init__(self, users: Mapping[str, str] | None = None) -> None:
        """Listen on a free port."""
        self.loop = LoopThread()
        self.gate = SmallGate()
        self.server = CallerServer(
            Address(LOOPBACK, 0),
            self.gate,
            None,
            users or {},
        )
        self.loop.run(self.server.start())
        self.port = self.server.address.port

    @property
    def seen(self) -> list[Request]:
        """List what the latest session was asked."""
        return self.gate.sessions[-1].seen

    def close(self) -> None:
        """Stop the server and its loop."""
        self.loop.run(self.server.stop(Seconds(0)))
        self.loop.close()


def open_loop(context: Any) -> AsyncExitStack:
    """Give a scenario a loop and a stack that closes what it opens."""
    context.loop = LoopThread()
    owned = AsyncExitStack()
    context.add_cleanup(context.loop.close)
    context.add_cleanup(lambda: context.loop.run(owned.aclose()))
    return owned


async def expect(kind: type[Exception], work: Coroutine[Any, Any, Any]) -> Any:
    """Return the error that `work` has to fail with."""
    try:
        answered = await work
    except kind as failure:
        return failure
    raise AssertionError(f'answered with {answered}')
