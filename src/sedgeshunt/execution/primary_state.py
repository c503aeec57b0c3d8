"""Hold a group's current primary, or when one is expected."""

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.execution.transactions import TransactionExecutor
from sedgeshunt.groups.waiters import ChangeSignal
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds
from sedgeshunt.limits.holding import find_retry_delay, is_worth_holding
from sedgeshunt.requests.outcome import Cause, NotRun
from sedgeshunt.statements.waits import WaitCause, measure_wait


class PrimaryState:
    """Hold the primary's executor while statements may use it."""

    def __init__(self, group: GroupId) -> None:
        """Start without a primary."""
        self.group = group
        self.executor: TargetExecutor | None = None
        # The primary being replaced; its open transactions may finish.
        self.suspended: TargetExecutor | None = None
        self._expected_at: Monotonic | None = None
        self._changed = ChangeSignal()

    def serve(self, executor: TargetExecutor) -> None:
        """Let statements use `executor` as the primary."""
        self.executor = executor
        self.suspended = None
        self._changed.notify()

    def expect(self, within: Seconds | None) -> None:
        """Set the time until a primary is expected, None if unknown."""
        self._expected_at = (
            None if within is None else Monotonic(read_clock() + within)
        )
        self._changed.notify()

    def suspend(self) -> None:
        """Start no more work at the primary; open transactions may finish."""
        self.suspended = self.executor
        self.executor = None

    async def drop(self) -> None:
        """Stop using the primary and abandon its statements."""
        dropped = self.executor or self.suspended
        self.executor = None
        self.suspended = None
        if dropped is not None:
            await dropped.abandon(is_lost=True)

    def may_continue(self, executor: TransactionExecutor) -> bool:
        """Return whether a transaction at `executor` may continue."""
        return executor in (self.executor, self.suspended)

    async def wait_executor(
        self,
        deadline: Monotonic,
    ) -> Result[TargetExecutor, NotRun]:
        """Return the primary, waiting if one is expected in time."""
        while self.executor is None:
            if not is_worth_holding(self._expected_at, deadline):
                return Err(self._refuse())
            with measure_wait(WaitCause.OWNER):
                await self._changed.wait(deadline)
        return Ok(self.executor)

    def wake(self) -> None:
        """Make waiting statements check the state again."""
        self._changed.notify()

    def _refuse(self) -> NotRun:
        return NotRun(
            Cause.NO_PRIMARY,
            f'group {self.group} has no primary now',
            find_retry_delay(self._expected_at),
        )
