"""Lend sessions with one target, each to one caller at a time."""

from asyncio import (
    CancelledError,
    Task,
    create_task,
    current_task,
    get_running_loop,
    timeout_at,
)
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping
from functools import partial
from types import TracebackType

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

# A new connection takes 12 ms and waits for a slot; more than this is a
# target that does not answer.
CONNECT_TIMEOUT = Seconds(0.4)
# Share of the time left that may go by before a connection is lent, as for a
# place at the target (limits/admission.py): what waits longer comes too late.
SHARE_FOR_WAIT = 0.5
# A target that takes no more connections is asked for more after so long:
# others close theirs as soon as the store tells them of a promotion, within
# some tens of milliseconds.
CROWDED_TIME = Seconds(0.2)
# Weight of the latest loan in the usual time of one.
HOLDING_WEIGHT = 0.1
BUSY_RETRY = Seconds(0.05)
UNREACHABLE_RETRY = Seconds(0.2)


class AcquiredSession:
    """Give one holder the sole use of a session until it is returned."""

    def __init__(
        self,
        pool: 'SessionPool',
        session: PooledSession,
        *,
        is_transaction: bool,
    ) -> None:
        """Hold `session` on behalf of `pool`."""
        self.session = session
        self.is_transaction = is_transaction
        self.lent_at = read_clock()
        self._pool = pool
        self._is_returned = False

    async def release(self) -> None:
        """Return the session, or close it when its state is in doubt."""
        if not self._is_returned:
            self._is_returned = True
            await self._pool.take_released(self)

    async def __aenter__(self) -> 'AcquiredSession':
        """Enter the use of the session."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Return the session."""
        await self.release()


class LogCheck(ABC):
    """Know whether a target has kept its log."""

    # The newest end of the target's log that its answers showed.
    shown: Point | None

    @abstractmethod
    def has_kept_log(self, seen: Point | None, session: TargetSession) -> bool:
        """Tell whether a new session's log has what was `seen` before it."""


class SessionPool:
    """Keep at most a share of sessions with one target."""

    def __init__(
        self,
        connector: TargetSessionConnector,
        target: Target,
        share: int,
        at_once: int,
        life: LogCheck,
    ) -> None:
        """Open no connection before the first loan."""
        self.target = target
        self.share = share
        self._at_once = at_once
        self._life = life
        self._in_transactions = 0
        # The target takes no more connections until then than were open.
        self._crowded_until = Monotonic(0)
        self._crowded_share = share
        # How long loans last, those to transactions apart.
        self._holding = {
            is_transaction: MovingAverage(HOLDING_WEIGHT)
            for is_transaction in (False, True)
        }
        self._connector = connector
        self._idle = IdleSessions()
        self._open = 0
        self._turns = WaitQueue()
        # Connections that each customer's calls have now.
        self._lent_to: Counter[CustomerId] = Counter()
        # Connections that were opened, since the pool was made.
        self.opened = 0
        # How long callers usually wait for one.
        self.wait = MovingAverage(HOLDING_WEIGHT)
        self._opening: set[Task[TargetSession]] = set()
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Count the connections that are open or being opened."""
        return self._open

    @property
    def acquired_count(self) -> int:
        """Count the connections that are lent or being opened."""
        return self._open - len(self._idle)

    def has_room(self, *, is_transaction: bool) -> bool:
        """Tell whether a session could be lent without a wait for others."""
        if is_transaction and self._in_transactions >= self._transaction_room:
            return False
        return bool(self._idle) or self._open < self._most_open

    def expected_wait(self, *, is_transaction: bool) -> Seconds:
        """Return how long a new loan would wait for those before it."""
        if self.has_room(is_transaction=is_transaction):
            return Seconds(0)
        ahead = len(self._turns) + 1
        hands = self._transaction_room if is_transaction else self.share
        usual = self._holding[is_transaction].value
        return Seconds(ahead * usual / max(1, hands))

    async def acquire(
        self,
        values: Mapping[str, str],
        deadline: Monotonic,
        *,
        customer: CustomerId = ANONYMOUS,
        is_transaction: bool = False,
        due: Monotonic | None = None,
    ) -> Result[AcquiredSession, NotRun]:
        """Lend a customer's session, best one with `values`.

        Refuse at once where the answer could not be there when it is `due`.
        """
        wait = self.expected_wait(is_transaction=is_transaction)
        left = (due or deadline) - read_clock()
        if wait > left * SHARE_FOR_WAIT:
            reason = f'its connections are lent out for about {wait:.3f} s'
            return Err(self._refuse(Cause.OVERLOAD, reason, wait))
        came_at = read_clock()
        try:
            async with timeout_at(deadline):
                loan = await self._acquire(values, customer, is_transaction)
            self.wait.add(read_clock() - came_at)
            return Ok(loan)
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

    async def take_released(self, loan: AcquiredSession) -> None:
        """Keep a clean session within the share, close any other."""
        session = loan.session
        self._in_transactions -= loan.is_transaction
        self._lent_to[session.customer] -= 1
        held = read_clock() - loan.lent_at
        self._holding[loan.is_transaction].add(held)
        keep = (
            session.is_reusable
            and not self._is_closed
            and self._open <= self.share
        )
        if keep:
            self._idle.add(session)
        else:
            self._open -= 1
        self._turns.wake_one()
        if not keep:
            await session.connection.close()

    async def drop_idle(self) -> None:
        """Close the idle sessions, whose target is gone or replaced."""
        dropped = self._idle.take_all()
        self._open -= len(dropped)
        for session in dropped:
            await session.connection.close()
        self._turns.wake_one()

    async def close(self) -> None:
        """Close idle sessions now and lent ones when they come back."""
        self._is_closed = True
        # Who waits for a connection to what is given up would wait in vain.
        for opening in tuple(self._opening):
            opening.cancel()
        self._turns.wake_all()
        await self.drop_idle()

    def resize(self, share: int) -> None:
        """Change how many connections may be open."""
        self.share = share
        self._turns.wake_one()

    @property
    def _transaction_room(self) -> int:
        # Transactions keep their connections while their callers think. With
        # all of them lent so, single statements took the target's places and
        # waited for connections, transactions kept these and waited for
        # places: an overload that went on by itself for seconds after its
        # cause. As many as the target takes at once are kept for the former.
        return max(1, self.share - min(self._at_once, self.share // 2))

    def _refuse(
        self,
        cause: Cause,
        reason: str,
        retry: Seconds = BUSY_RETRY,
    ) -> NotRun:
        name = self.target.name
        after = Seconds(max(BUSY_RETRY, retry))
        return NotRun(cause, f'target {name}: {reason}', after, name)

    async def _acquire(
        self,
        values: Mapping[str, str],
        customer: CustomerId,
        is_transaction: bool,
    ) -> AcquiredSession:
        while True:
            await self._wait_room(is_transaction, customer)
            # Counted before it is opened: two callers at once would otherwise
            # both see room for one, and the target's limit be overrun.
            self._in_transactions += is_transaction
            try:
                session = await self._take(values, customer)
            except TargetBusy:
                self._in_transactions -= is_transaction
                if not self._open:
                    raise
                self._note_crowd()
            except BaseException:
                self._in_transactions -= is_transaction
                raise
            else:
                self._lent_to[customer] += 1
                return AcquiredSession(
                    self, session, is_transaction=is_transaction
                )

    async def _wait_room(
        self,
        is_transaction: bool,
        customer: CustomerId,
    ) -> None:
        may_go = partial(self.has_room, is_transaction=is_transaction)
        # One customer's storm would else have all others wait behind it.
        measure = partial(self._lent_to.__getitem__, customer)
        if self._turns.has_ready():
            # Who comes now would overtake those who wait.
            await self._turns.wait(may_go, measure)
        while not (self._is_closed or may_go()):
            await self._turns.wait(may_go, measure)
        if self._is_closed:
            raise self._describe_end()

    async def _take(
        self,
        values: Mapping[str, str],
        customer: CustomerId,
    ) -> PooledSession:
        session = self._idle.take(values, customer)
        if session is not None:
            self._turns.wake_one()
            return session
        if self._open >= self._most_open:
            await self._close_longest_idle()
        return await self._connect(customer)

    async def _close_longest_idle(self) -> None:
        # Closed before its successor is opened, on the same way: the target
        # never has more than the share of them.
        session = self._idle.take_longest()
        if session is not None:
            self._open -= 1
            await session.connection.close()

    @property
    def _most_open(self) -> int:
        if read_clock() < self._crowded_until:
            return min(self.share, self._crowded_share)
        return self.share

    def _note_crowd(self) -> None:
        # Others still hold connections that they are about to give up, as those
        # who read from a target that has just been promoted. Asked for more, it
        # refuses each caller; those that are open serve them one after another.
        self._crowded_share = self._open
        self._crowded_until = Monotonic(read_clock() + CROWDED_TIME)
        get_running_loop().call_later(CROWDED_TIME, self._turns.wake_one)

    async def _connect(self, customer: CustomerId) -> PooledSession:
        self.opened += 1
        self._open += 1
        # Room that came for several at once, as at the end of a crowd, is told
        # to one; without passing it on, the rest would wait for returns, and
        # those who come wait behind them, with connections unused.
        self._turns.wake_one()
        opening = create_task(
            self._connector.connect(
                self.target,
                self.target.group,
                CONNECT_TIMEOUT,
                customer,
            ),
        )
        self._opening.add(opening)
        seen = self._life.shown
        try:
            connection = await opening
            if not self._life.has_kept_log(seen, connection):
                await connection.close()
                raise TargetUnreachable(self.target.name, 'it has lost its log')
            return PooledSession(connection, customer)
        except BaseException as failure:
            self._open -= 1
            self._turns.wake_one()
            opening.add_done_callback(_close_unused)
            if isinstance(failure, CancelledError) and not _is_cancelled():
                raise self._describe_end() from failure
            raise
        finally:
            self._opening.discard(opening)

    def _describe_end(self) -> TargetUnreachable:
        return TargetUnreachable(self.target.name, 'it was given up')


def _is_cancelled() -> bool:
    """Tell whether the running task itself is to end."""
    task = current_task()
    return task is not None and task.cancelling() > 0


def _close_unused(opening: Task[TargetSession]) -> None:
    # It may have been opened in the very moment in which its caller left.
    if not opening.cancelled() and opening.exception() is None:
        get_running_loop().create_task(opening.result().close())
