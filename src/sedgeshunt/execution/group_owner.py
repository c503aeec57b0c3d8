"""Run calls at a group's primary while this instance owns the group."""

from functools import partial
from itertools import repeat

from result import Err, Result

from sedgeshunt.clocks import read_boottime
from sedgeshunt.execution.hedging import Hedger
from sedgeshunt.execution.primary_lines import (
    PrimaryLines,
    SendNote,
    start_note,
)
from sedgeshunt.execution.primary_manager import PrimaryManager
from sedgeshunt.execution.primary_state import PrimaryState
from sedgeshunt.execution.runner import (
    begin_transaction,
    run_in_transaction,
)
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.execution.transactions import (
    OpenTransaction,
    TransactionExecutor,
    TransactionTable,
)
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds, TransactionId
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Unknown,
)
from sedgeshunt.routing.freshness_history import FreshnessHistory
from sedgeshunt.statements.call import StatementCall

NOT_OWNER_RETRY = Seconds(0.1)
# Total attempts for a read whose answers are late or lost.
READ_ATTEMPTS = 3


class GroupOwner:
    """Serve one group's primary for one period of ownership."""

    def __init__(
        self,
        ownership: GroupOwnership,
        state: PrimaryState,
        manager: PrimaryManager,
        freshness: FreshnessHistory,
        lines: PrimaryLines,
    ) -> None:
        """Start without a primary; run() finds it."""
        self.ownership = ownership
        self._state = state
        self._manager = manager
        self._freshness = freshness
        self._lines = lines
        self._hedger = Hedger(is_last_resort=True)
        self._prompt_hedger = Hedger(is_last_resort=False)
        # Prompt calls under way, including those without a slot yet.
        self._prompt_calls = 0

    @property
    def group(self) -> GroupId:
        """Return the group's name."""
        return self.ownership.group

    async def run(self) -> None:
        """Find, serve and replace the primary until cancelled."""
        await self._manager.run()

    def request_handover(self, limit: Seconds) -> None:
        """Hand the group over once no transaction is open, or at `limit`."""
        self._manager.request_handover(limit)

    @property
    def executor(self) -> TargetExecutor | None:
        """Return the primary's executor, None while no primary is served."""
        return self._state.executor

    def read_tip(self) -> Point | None:
        """Return the primary's log end, None while no primary is served."""
        executor = self._state.executor
        if executor is None or not self.ownership.is_held():
            return None
        if executor.tip is not None:
            self._freshness.record(read_boottime(), executor.tip)
        return executor.tip

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a single statement or the first one of a transaction."""
        if call.is_prompt:
            return await self._run_prompt(call, transactions, deadline)
        attempt = partial(self._try, call, transactions, deadline)
        if call.is_irreversible:
            return await attempt()
        attempts = repeat(attempt, READ_ATTEMPTS)
        outcome = await self._hedger.run(call, attempts, deadline)
        return outcome or Err(_refuse_not_owner())

    async def _run_prompt(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a read with spare capacity; refuse it if it gets late."""
        executor = self._state.executor
        if executor is None or not self._has_spare_capacity(executor, call):
            return Err(_refuse_queueing(self.group))
        attempt = partial(self._try, call, transactions, deadline)
        self._prompt_calls += 1
        try:
            outcome = await self._prompt_hedger.run(
                call, iter((attempt,)), deadline
            )
        finally:
            self._prompt_calls -= 1
        return outcome or Err(_refuse_late(self.group))

    def _has_spare_capacity(
        self,
        executor: TargetExecutor,
        call: StatementCall,
    ) -> bool:
        # Reads that arrive together, or wait for a connection to open, don't
        # use a slot yet but will.
        most = executor.admission.limit.value / 2
        if self._prompt_calls >= most or not executor.has_spare_capacity(call):
            return False
        # A transaction keeps its connection while its caller is idle, so half
        # of the connections are kept for writes as well.
        pool = executor.pool
        return call.transaction is None or pool.acquired_count < pool.share / 2

    async def _try(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        if not self.ownership.is_held():
            return Err(_refuse_not_owner())
        found = await self._state.wait_executor(deadline)
        if isinstance(found, Err):
            return found
        executor = found.ok_value
        note = start_note()
        outcome = await _run_at(executor, call, transactions, deadline)
        checked = self._check(executor, call, outcome, note)
        if checked.is_err() and call.transaction is not None:
            await _drop(transactions, call.transaction)
        return checked

    async def continue_transaction(
        self,
        transaction: OpenTransaction,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a later statement of a transaction at the primary."""
        may_go_on = self._state.may_continue(transaction.executor)
        if not may_go_on or not self.ownership.is_held():
            await _drop(transactions, transaction.id)
            return Err(_refuse_not_owner(Cause.TRANSACTION_LOST))
        note = start_note()
        outcome = await run_in_transaction(
            transaction, call, transactions, deadline
        )
        return self._check(transaction.executor, call, outcome, note)

    def _check(
        self,
        executor: TransactionExecutor,
        call: StatementCall,
        outcome: Result[Answer, Refusal],
        note: SendNote,
    ) -> Result[Answer, Refusal]:
        checked = self._void_stale(executor, call, outcome)
        self._lines.record(
            call,
            note,
            self.ownership,
            outcome,
            is_voided=checked is not outcome,
        )
        return checked

    def _void_stale(
        self,
        executor: TransactionExecutor,
        call: StatementCall,
        outcome: Result[Answer, Refusal],
    ) -> Result[Answer, Refusal]:
        # This process may have been paused between request and reply and lost
        # the group meanwhile, or the primary may have been replaced before its
        # late reply. The reply may then be stale: a read is retried elsewhere,
        # and the outcome of a write is unknown.
        if self.ownership.is_held() and not executor.is_abandoned:
            self.read_tip()
            return outcome
        if isinstance(outcome, Err):
            return outcome
        if call.is_irreversible:
            return Err(
                Unknown(
                    Cause.SUPERSEDED,
                    'the primary was given up while the statement ran',
                ),
            )
        if call.transaction is None:
            return Err(_refuse_not_owner())
        return Err(_refuse_not_owner(Cause.TRANSACTION_LOST))


async def _run_at(
    executor: TargetExecutor,
    call: StatementCall,
    transactions: TransactionTable,
    deadline: Monotonic,
) -> Result[Answer, Refusal]:
    if call.transaction is None:
        return await executor.run_single(call, deadline)
    begun = await begin_transaction(
        executor,
        call,
        transactions,
        deadline,
        is_at_primary=True,
    )
    if isinstance(begun, Err):
        return begun
    return await run_in_transaction(
        begun.ok_value, call, transactions, deadline
    )


async def _drop(transactions: TransactionTable, name: TransactionId) -> None:
    transaction = transactions.get(name)
    if transaction is not None:
        transactions.remove(transaction)
        await transaction.abort()


def _refuse_queueing(group: GroupId) -> NotRun:
    reason = f'group {group}: its primary has few places free'
    return NotRun(Cause.OVERLOAD, reason, NOT_OWNER_RETRY)


def _refuse_late(group: GroupId) -> NotRun:
    reason = f'group {group}: its primary answers late'
    return NotRun(Cause.OVERLOAD, reason, NOT_OWNER_RETRY)


def _refuse_not_owner(cause: Cause = Cause.SUPERSEDED) -> NotRun:
    return NotRun(
        cause,
        'this proxy does not own the group any more; ask again',
        NOT_OWNER_RETRY,
    )
