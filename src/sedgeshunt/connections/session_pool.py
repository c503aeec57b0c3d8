"""Pool sessions with one target."""

from abc import ABC, abstractmethod
from asyncio import (
    CancelledError,
    Task,
    create_task,
    current_task,
    get_running_loop,
    timeout_at,
)
from collections import Counter
from collections.abc import Awaitable, Mapping
from functools import partial
from types import TracebackType
from typing import TypeVar

from msgspec import Struct
from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Target
from sedgeshunt.connections.idle_sessions import IdleSessions, PooledSession
from sedgeshunt.connections.target_session import (
    TargetSession,
    TargetSessionConnector,
)
from sedgeshunt.connections.wait_queue import WaitQueue
from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.exceptions import TargetBusy, TargetUnreachable
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import CustomerId, Monotonic, Seconds
from sedgeshunt.limits.average import MovingAverage
from sedgeshunt.requests.outcome import Cause, NotRun
from sedgeshunt.statements.statement import PreparedStatement
from sedgeshunt.statements.waits import WaitCause, measure_wait

# Opening a connection takes about 12 ms plus the wait for a slot. A target that
# exceeds this limit does not answer.
CONNECT_TIMEOUT = Seconds(0.4)
# Share of the remaining time that may be spent on the wait for a connection, as
# for admission (limits/admission.py). A longer wait leaves too little time.
MAX_WAIT_SHARE = 0.5
# Delay before more connections are requested from a target that refused one.
# After a promotion, other proxies close theirs as soon as the store notifies
# them, within some tens of milliseconds.
FULL_TARGET_PAUSE = Seconds(0.2)
# Share of the connections that may be opened although others are idle that need
# setup. The others are left to transactions and, as each connection serves one
# customer, to customers that have none.
SETUP_SHARE = 0.5
# Time after a failed opening in which idle connections are set up instead. The
# connections that are open may work although the target accepts no new ones.
FAILED_OPENING_PAUSE = Seconds(1)
# Weight of the latest sample in the averages of use and wait times.
AVERAGE_WEIGHT = 0.1
BUSY_RETRY = Seconds(0.05)
UNREACHABLE_RETRY = Seconds(0.2)

Acquired = TypeVar('Acquired')


class SessionDemand(Struct, frozen=True):
    """Hold what a caller asks of a pool."""

    values: Mapping[str, str]
    customer: CustomerId
    is_transaction: bool
    # 0 is the highest priority.
    priority: int
    requested_at: Monotonic
    prepared: PreparedStatement | None = None


class AcquiredSession:
    """Provide exclusive use of a pooled session until it is released."""

    def __init__(
        self,
        pool: 'SessionPool',
        session: PooledSession,
        demand: SessionDemand,
    ) -> None:
        """Use `session`, to be released to `pool`."""
        self.session = session
        self.is_transaction = demand.is_transaction
        self.requested_at = demand.requested_at
        self.acquired_at = read_clock()
        self._pool = pool
        self._is_returned = False

    async def release(self) -> None:
        """Return the session to the pool, which closes it if not reusable."""
        if not self._is_returned:
            self._is_returned = True
            await self._pool.take_released(self)

    async def __aenter__(self) -> 'AcquiredSession':
        """Return the acquired session."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the session."""
        await self.release()


class LogCheck(ABC):
    """Detect whether a target has lost part of its log."""

    # The newest log end that the target's answers have shown.
    shown: Point | None

    @abstractmethod
    def has_kept_log(self, seen: Point | None, session: TargetSession) -> bool:
        """Return whether the log of a new session covers the `seen` point."""


class SessionPool:
    """Pool sessions with one target, up to the proxy's share."""

    def __init__(
        self,
        connector: TargetSessionConnector,
        target: Target,
        share: int,
        concurrency: int,
        log_check: LogCheck,
    ) -> None:
        """Start without connections; they are opened on demand."""
        self.target = target
        self.share = share
        self._concurrency = concurrency
        self._log_check = log_check
        self._in_transactions = 0
        # Until then, at most _full_limit connections are open to the target.
        self._full_until = Monotonic(0)
        self._full_limit = share
        # Until then, no connection is opened to spare others their setup.
        self._setup_until = Monotonic(0)
        # Average time in use, for single statements and for transactions.
        self._use_times = {
            is_transaction: MovingAverage(AVERAGE_WEIGHT)
            for is_transaction in (False, True)
        }
        self._connector = connector
        self._idle = IdleSessions()
        self._open = 0
        self._wait_queue = WaitQueue()
        # Number of connections in use by each customer.
        self._acquired_by: Counter[CustomerId] = Counter()
        # Number of connections opened by this pool.
        self.opened = 0
        # Average wait for a connection.
        self.wait = MovingAverage(AVERAGE_WEIGHT)
        self._opening: set[Task[TargetSession]] = set()
        self._closing: set[Task[None]] = set()
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._open

    @property
    def acquired_count(self) -> int:
        """Return the number of connections in use or being opened."""
        return self._open - len(self._idle)

    def has_room(self, *, is_transaction: bool) -> bool:
        """Return whether a session could be acquired without waiting."""
        if is_transaction and self._in_transactions >= self._transaction_limit:
            return False
        return bool(self._idle) or self._open < self._open_limit

    def expected_wait(self, demand: SessionDemand) -> Seconds:
        """Return how long a new caller would wait for a session."""
        if self.has_room(is_transaction=demand.is_transaction):
            return Seconds(0)
        ahead = self._wait_queue.count_before(partial(self._rank, demand)) + 1
        connection_count = (
            self._transaction_limit if demand.is_transaction else self.share
        )
        average = self._use_times[demand.is_transaction].value
        return Seconds(ahead * average / max(1, connection_count))

    async def acquire(
        self,
        values: Mapping[str, str],
        deadline: Monotonic,
        *,
        prepared: PreparedStatement | None = None,
        customer: CustomerId = ANONYMOUS,
        priority: int = 0,
        is_transaction: bool = False,
        due: Monotonic | None = None,
    ) -> Result[AcquiredSession, NotRun]:
        """Acquire a session of a customer, one that needs the least setup.

        Refuse at once if the answer could not arrive by `due`.
        """
        now = read_clock()
        demand = SessionDemand(
            values, customer, is_transaction, priority, now, prepared
        )
        wait = self.expected_wait(demand)
        if wait > ((due or deadline) - now) * MAX_WAIT_SHARE:
            reason = f'its connections are lent out for about {wait:.3f} s'
            return Err(self._refuse(Cause.OVERLOAD, reason, wait))
        return await self._attempt(self._acquire(demand), deadline)

    async def acquire_free(
        self,
        values: Mapping[str, str],
        deadline: Monotonic,
        *,
        prepared: PreparedStatement | None = None,
        customer: CustomerId = ANONYMOUS,
    ) -> Result[AcquiredSession | None, NotRun]:
        """Acquire a session for a single statement without a wait for others.

        Return None if all sessions are in use and the target accepts no more.
        """
        demand = SessionDemand(
            values, customer, False, 0, read_clock(), prepared
        )
        return await self._attempt(self._acquire_free(demand), deadline)

    async def take_released(self, acquired: AcquiredSession) -> None:
        """Keep a reusable session within the share; close any other."""
        session = acquired.session
        self._in_transactions -= acquired.is_transaction
        self._acquired_by[session.customer] -= 1
        use_time = read_clock() - acquired.acquired_at
        self._use_times[acquired.is_transaction].add(use_time)
        keep = (
            session.is_reusable
            and not self._is_closed
            and self._open <= self.share
        )
        if keep:
            self._idle.add(session)
        else:
            self._open -= 1
        self._wait_queue.wake_one()
        if not keep:
            await session.connection.close()

    async def drop_idle(self) -> None:
        """Close the idle sessions with an unreachable or replaced target."""
        closed = self._idle.take_all()
        self._open -= len(closed)
        for session in closed:
            await session.connection.close()
        self._wait_queue.wake_one()

    async def close(self) -> None:
        """Close idle sessions now and others when they are released."""
        self._is_closed = True
        # Callers would otherwise wait for connections that are never opened.
        for opening in tuple(self._opening):
            opening.cancel()
        self._wait_queue.wake_all()
        await self.drop_idle()

    def resize(self, share: int, concurrency: int) -> None:
        """Change how many connections may be open and how many may run."""
        self.share = share
        self._concurrency = concurrency
        if self._open > share:
            closing = create_task(self._close_surplus())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)
        self._wait_queue.wake_one()

    @property
    def _transaction_limit(self) -> int:
        # Transactions hold connections while their callers are idle. If they
        # held all of them, admitted statements would wait for connections and
        # transactions with connections would wait for admission: an overload
        # that sustained itself for seconds after its cause had ended. So as
        # many connections as the target's concurrency are reserved for single
        # statements.
        return max(1, self.share - min(self._concurrency, self.share // 2))

    def _refuse(
        self,
        cause: Cause,
        reason: str,
        retry: Seconds = BUSY_RETRY,
    ) -> NotRun:
        name = self.target.name
        after = Seconds(max(BUSY_RETRY, retry))
        return NotRun(cause, f'target {name}: {reason}', after, name)

    async def _attempt(
        self,
        acquiring: Awaitable[Acquired],
        deadline: Monotonic,
    ) -> Result[Acquired, NotRun]:
        started_at = read_clock()
        try:
            async with timeout_at(deadline):
                with measure_wait(WaitCause.CONNECTION):
                    acquired = await acquiring
        except TimeoutError:
            return Err(self._refuse(Cause.DEADLINE, 'no connection was free'))
        except TargetBusy as busy:
            return Err(self._refuse(Cause.OVERLOAD, busy.reason))
        except TargetUnreachable as error:
            reason = error.format_message()
            return Err(
                NotRun(
                    Cause.CONNECTION_LOST,
                    reason,
                    UNREACHABLE_RETRY,
                    self.target.name,
                ),
            )
        self.wait.add(read_clock() - started_at)
        return Ok(acquired)

    async def _acquire(self, demand: SessionDemand) -> AcquiredSession:
        while True:
            await self._wait_room(demand)
            acquired = await self._try_acquire(demand)
            if acquired is not None:
                return acquired

    async def _acquire_free(
        self, demand: SessionDemand
    ) -> AcquiredSession | None:
        # A new caller must not overtake those that wait already.
        while not self._is_closed and self._has_unclaimed_room():
            acquired = await self._try_acquire(demand)
            if acquired is not None:
                return acquired
        return None

    def _has_unclaimed_room(self) -> bool:
        return (
            self.has_room(is_transaction=False)
            and not self._wait_queue.has_ready()
        )

    async def _try_acquire(
        self, demand: SessionDemand
    ) -> AcquiredSession | None:
        """Acquire a session; None if the target refuses another one."""
        # Counted before it is opened. Otherwise two concurrent callers could
        # both find room for one and exceed the target's limit.
        self._in_transactions += demand.is_transaction
        try:
            session = await self._take_or_connect(demand)
        except TargetBusy:
            self._return_room(demand)
            if not self._open:
                raise
            self._note_full_target()
            return None
        except BaseException:
            self._return_room(demand)
            raise
        self._acquired_by[demand.customer] += 1
        return AcquiredSession(self, session, demand)

    def _return_room(self, demand: SessionDemand) -> None:
        # The failed connection woke a caller while this one was still counted.
        # Transactions at their limit were not ready then.
        self._in_transactions -= demand.is_transaction
        self._wait_queue.wake_one()

    def _rank(self, demand: SessionDemand) -> tuple[float, ...]:
        # Among callers of one priority, those go first whose customer has the
        # fewest connections in use. Otherwise a burst of one customer would
        # delay all other customers.
        return (
            demand.priority,
            self._acquired_by[demand.customer],
            demand.requested_at,
        )

    async def _wait_room(self, demand: SessionDemand) -> None:
        is_ready = partial(self.has_room, is_transaction=demand.is_transaction)
        rank = partial(self._rank, demand)
        if self._wait_queue.has_ready() and not self._is_closed:
            # As in _acquire_free.
            await self._wait_queue.wait(is_ready, rank)
        while not (self._is_closed or is_ready()):
            # Room that this caller cannot use may do for one that let it pass.
            self._wait_queue.wake_one()
            await self._wait_queue.wait(is_ready, rank)
        if self._is_closed:
            raise self._make_closed_error()

    async def _take_or_connect(self, demand: SessionDemand) -> PooledSession:
        # Callers differ in their values and prepared statements. With only as
        # many connections as slots, they would set up the same ones again and
        # again, and each message holds a slot for a round trip.
        may_open = (
            self._open < self._open_limit * SETUP_SHARE
            and read_clock() >= self._setup_until
        )
        session = self._idle.take(
            demand.values,
            demand.customer,
            demand.prepared,
            max_setup=0 if may_open else None,
        )
        if session is not None:
            self._wait_queue.wake_one()
            return session
        if self._open >= self._open_limit:
            await self._close_oldest_idle()
        try:
            return await self._connect(demand.customer)
        except TargetUnreachable:
            self._setup_until = Monotonic(read_clock() + FAILED_OPENING_PAUSE)
            raise

    async def _close_surplus(self) -> None:
        while self._idle and self._open > self.share:
            await self._close_oldest_idle()

    async def _close_oldest_idle(self) -> None:
        # Closed before its replacement is opened, over the same path, so that
        # the target never has more connections than the share.
        session = self._idle.take_oldest()
        if session is not None:
            self._open -= 1
            await session.connection.close()

    @property
    def _open_limit(self) -> int:
        if read_clock() < self._full_until:
            return min(self.share, self._full_limit)
        return self.share

    def _note_full_target(self) -> None:
        # Other proxies still hold connections that they are about to close,
        # such as those that read from a target before its promotion. The
        # target would refuse further connections to all callers, so they share
        # the open ones.
        self._full_limit = self._open
        self._full_until = Monotonic(read_clock() + FULL_TARGET_PAUSE)
        get_running_loop().call_later(
            FULL_TARGET_PAUSE, self._wait_queue.wake_one
        )

    async def _connect(self, customer: CustomerId) -> PooledSession:
        self.opened += 1
        self._open += 1
        # When several connections become available at once, such as after a
        # pause for a full target, only one caller is woken. Without waking
        # the next one here, the others would wait while connections are free.
        self._wait_queue.wake_one()
        opening = create_task(
            self._connector.connect(
                self.target,
                self.target.group,
                CONNECT_TIMEOUT,
                customer,
            ),
        )
        self._opening.add(opening)
        seen = self._log_check.shown
        try:
            connection = await opening
            if not self._log_check.has_kept_log(seen, connection):
                await connection.close()
                raise TargetUnreachable(self.target.name, 'it has lost its log')
            return PooledSession(connection, customer)
        except BaseException as failure:
            self._open -= 1
            self._wait_queue.wake_one()
            opening.add_done_callback(_close_unused)
            if isinstance(failure, CancelledError) and not _is_cancelled():
                raise self._make_closed_error() from failure
            raise
        finally:
            self._opening.discard(opening)

    def _make_closed_error(self) -> TargetUnreachable:
        return TargetUnreachable(self.target.name, 'it was given up')


def _is_cancelled() -> bool:
    """Return whether the running task itself is cancelled."""
    task = current_task()
    return task is not None and task.cancelling() > 0


def _close_unused(opening: Task[TargetSession]) -> None:
    # The connection may have been opened just when its caller left.
    if not opening.cancelled() and opening.exception() is None:
        get_running_loop().create_task(opening.result().close())
