"""Tell which target is a group's primary now, or when one is expected."""

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.execution.transactions import TransactionExecutor
from sedgeshunt.groups.waiters import ChangeSignal
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds
from sedgeshunt.limits.holding import find_retry, is_worth_holding
from sedgeshunt.requests.outcome import Cause, NotRun


class PrimaryState:
    """Hold the executor of the primary while statements may use it."""

    def __init__(self, group: GroupId) -> None:
        """Have no primary."""
        self.group = group
        self.executor: TargetExecutor | None = None
        # The primary that is being replaced: its open transactions may end.
        self.suspended: TargetExecutor | None = None
        self._expected_at: Monotonic | None = None
        self._changed = ChangeSignal()

    def serve(self, executor: TargetExecutor) -> None:
        """Let statements use a primary."""
        self.executor = executor
        self.suspended = None
        self._changed.notify()

    def expect(self, within: Seconds | None) -> None:
        """Say when a primary is expected, None when nobody knows."""
        self._expected_at = (
            None if within is None else Monotonic(read_clock() + within)
        )
        self._changed.notify()

    def suspend(self) -> None:
        """Start no more work at the primary; what is open may end."""
        self.suspended = self.executor
        self.executor = None

    async def drop(self) -> None:
        """Use the primary no more."""
        dropped = self.executor or self.suspended
        self.executor = None
        self.suspended = None
        if dropped is not None:
            await dropped.abandon(is_lost=True)

    def may_continue(self, executor: TransactionExecutor) -> bool:
        """Tell whether a transaction at `executor` may go on."""
        return executor in (self.executor, self.suspended)

    async def wait_executor(
        self,
        deadline: Monotonic,
    ) -> Result[TargetExecutor, NotRun]:
        """Return the primary, waiting for it while that is worth it."""
        while self.executor is None:
            if not is_worth_holding(self._expected_at, deadline):
                return Err(self._refuse())
            await self._changed.wait(deadline)
        return Ok(self.executor)

    def wake(self) -> None:
        """Have those who wait look again."""
        self._changed.notify()

    def _refuse(self) -> NotRun:
        return NotRun(
            Cause.NO_PRIMARY,
            f'group {self.group} has no primary now',
            find_retry(self._expected_at),
        )
