"""Lend connections to one target, each to one holder at a time."""

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
    """Give one holder the sole use of a connection until it is returned."""

    def __init__(
        self, pool: 'TargetPool', connection: TargetConnection
    ) -> None:
        """Hold `connection` on behalf of `pool`."""
        self._pool = pool
        self._connection = connection
        self._clean = True
        self._returned = False

    @property
    def target(self) -> TargetId:
        """Name the target that the connection leads to."""
        return self._pool.target

    @property
    def is_clean(self) -> bool:
        """Tell whether the connection's state is known to be good."""
        return self._clean

    async def execute(self, sql: str) -> Answer:
        """Run `sql`; raise as TargetConnection.execute does."""
        # Anything but a whole answer or the target's own refusal leaves an
        # answer under way. Lent again, the next caller would read it as its
        # own; so the connection is marked first and cleared at the end.
        self._clean = False
        try:
            answer = await self._connection.execute(sql)
        except TargetRejected:
            self._clean = True
            raise
        self._clean = True
        return answer

    def invalidate(self) -> None:
        """Mark the connection as unfit to be lent again."""
        self._clean = False

    async def release(self) -> None:
        """Return the connection, or close it when its state is in doubt."""
        if self._returned:
            return
        self._returned = True
        await self._pool.take_released(self._connection, is_clean=self._clean)

    async def __aenter__(self) -> 'AcquiredConnection':
        """Enter the use of the connection."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Return the connection."""
        await self.release()


class TargetPool:
    """Keep at most a share of connections to one target."""

    def __init__(
        self,
        connector: TargetConnector,
        target: TargetId,
        address: Address,
        group: GroupId,
        share: int,
    ) -> None:
        """Open no connection before the first loan."""
        self.target = target
        self.share = share
        self._connector = connector
        self._address = address
        self._group = group
        self._idle: list[TargetConnection] = []
        self._open = 0
        self._turns = WaitQueue()
        self._closed = False

    def acquire_idle(self) -> AcquiredConnection | None:
        """Lend an idle connection if there is one and nobody waits."""
        if self._turns or not self._idle:
            return None
        return AcquiredConnection(self, self._idle.pop())

    async def acquire(
        self, deadline: Monotonic
    ) -> Result[AcquiredConnection, NotRun]:
        """Lend a connection, waiting for one until `deadline` at most."""
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
        """Keep a clean connection within the share, close any other."""
        keep = is_clean and not self._closed and self._open <= self.share
        if keep:
            self._idle.append(connection)
        else:
            self._open -= 1
        self._turns.wake_one()
        if not keep:
            await connection.close()

    async def resize(self, share: int) -> None:
        """Change the share; surplus connections close once they are idle."""
        self.share = share
        while self._idle and self._open > share:
            self._open -= 1
            await self._idle.pop().close()
        self._turns.wake_one()

    async def drop_idle(self) -> None:
        """Close the idle connections, whose target is gone or replaced."""
        dropped = self._idle
        self._idle = []
        self._open -= len(dropped)
        for connection in dropped:
            await connection.close()
        self._turns.wake_one()

    async def close(self) -> None:
        """Close idle connections now and lent ones when they come back."""
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
            await self._turns.wait()

    async def _connect(self) -> TargetConnection:
        # Counted before it is opened: two callers at once would otherwise
        # both see room for one, and the target's limit be overrun.
        self._open += 1
        try:
            return await self._connector.connect(
                self.target,
                self._address,
                self._group,
            )
        except BaseException:
            self._open -= 1
            self._turns.wake_one()
            raise
