"""Pool connections to one target."""

from asyncio import timeout_at
from types import TracebackType

from result import Err, Ok, Result

from sedgeshunt.connections.wait_queue import WaitQueue
from sedgeshunt.exceptions import (
    TargetBusy,
    TargetLost,
    TargetRejected,
    TargetUnreachable,
)
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds, TargetId
from sedgeshunt.ports import Address, TargetConnection, TargetConnector
from sedgeshunt.requests.outcome import Answer, Cause, NotRun

BUSY_RETRY = Seconds(0.05)
UNREACHABLE_RETRY = Seconds(0.2)


class AcquiredConnection:
    """Provide exclusive use of a pooled connection until it is released."""

    def __init__(
        self, pool: 'TargetPool', connection: TargetConnection
    ) -> None:
        """Use `connection`, to be released to `pool`."""
        self._pool = pool
        self._connection = connection
        self._clean = True
        self._returned = False

    @property
    def target(self) -> TargetId:
        """Return the target of the connection."""
        return self._pool.target

    @property
    def is_clean(self) -> bool:
        """Return whether the connection is in a known state and reusable."""
        return self._clean

    async def execute(self, sql: str) -> Answer:
        """Run `sql`; raise the same errors as TargetConnection.execute."""
        # Unless a complete answer or an error of the target arrives, an answer
        # may still be pending, and the next caller would read it as its own.
        # So the connection is marked as unusable until the answer is complete.
        self._clean = False
        try:
            answer = await self._connection.execute(sql)
        except TargetRejected:
            self._clean = True
            raise
        self._clean = True
        return answer

    def invalidate(self) -> None:
        """Prevent the connection from being reused."""
        self._clean = False

    async def release(self) -> None:
        """Return the connection to the pool, which closes it if not clean."""
        if self._returned:
            return
        self._returned = True
        await self._pool.take_released(self._connection, is_clean=self._clean)

    async def __aenter__(self) -> 'AcquiredConnection':
        """Return the acquired connection."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the connection."""
        await self.release()


class TargetPool:
    """Pool connections to one target, up to the proxy's share."""

    def __init__(
        self,
        connector: TargetConnector,
        target: TargetId,
        address: Address,
        group: GroupId,
        share: int,
    ) -> None:
        """Start without connections; they are opened on demand."""
        self.target = target
        self.share = share
        self._connector = connector
        self._address = address
        self._group = group
        self._idle: list[TargetConnection] = []
        self._open = 0
        self._wait_queue = WaitQueue()
        self._closed = False

    def acquire_idle(self) -> AcquiredConnection | None:
        """Acquire an idle connection; None if there is none or others wait."""
        if self._wait_queue or not self._idle:
            return None
        return AcquiredConnection(self, self._idle.pop())

    async def acquire(
        self, deadline: Monotonic
    ) -> Result[AcquiredConnection, NotRun]:
        """Acquire a connection, waiting until `deadline` at most."""
        try:
            async with timeout_at(deadline):
                return Ok(await self._acquire())
        except TimeoutError:
            return Err(self._refuse(Cause.DEADLINE, 'no connection was free'))
        except TargetBusy as busy:
            return Err(self._refuse(Cause.OVERLOAD, busy.reason))
        except (TargetUnreachable, TargetLost, TargetRejected) as error:
            reason = error.format_message()
            return Err(
                NotRun(Cause.CONNECTION_LOST, reason, UNREACHABLE_RETRY),
            )

    async def take_released(
        self,
        connection: TargetConnection,
        *,
        is_clean: bool,
    ) -> None:
        """Keep a clean connection within the share; close any other."""
        keep = is_clean and not self._closed and self._open <= self.share
        if keep:
            self._idle.append(connection)
        else:
            self._open -= 1
        self._wait_queue.wake_one()
        if not keep:
            await connection.close()

    async def resize(self, share: int) -> None:
        """Change the share; surplus connections close when they are idle."""
        self.share = share
        while self._idle and self._open > share:
            self._open -= 1
            await self._idle.pop().close()
        self._wait_queue.wake_one()

    async def drop_idle(self) -> None:
        """Close the idle connections to an unreachable or replaced target."""
        dropped = self._idle
        self._idle = []
        self._open -= len(dropped)
        for connection in dropped:
            await connection.close()
        self._wait_queue.wake_one()

    async def close(self) -> None:
        """Close idle connections now and others when they are released."""
        self._closed = True
        await self.drop_idle()

    def _refuse(self, cause: Cause, reason: str) -> NotRun:
        return NotRun(cause, f'target {self.target}: {reason}', BUSY_RETRY)

    async def _acquire(self) -> AcquiredConnection:
        while True:
            if self._idle:
                return AcquiredConnection(self, self._idle.pop())
            if self._open < self.share:
                return AcquiredConnection(self, await self._connect())
            await self._wait_queue.wait()

    async def _connect(self) -> TargetConnection:
        # Counted before it is opened. Otherwise two concurrent callers could
        # both find room for one connection and exceed the target's limit.
        self._open += 1
        try:
            return await self._connector.connect(
                self.target,
                self._address,
                self._group,
            )
        except BaseException:
            self._open -= 1
            self._wait_queue.wake_one()
            raise
