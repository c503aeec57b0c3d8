"""Begin transactions at a target and run their statements."""

from asyncio import CancelledError
from contextlib import AsyncExitStack

from result import Err, Ok, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.execution.transactions import OpenTransaction, TransactionTable
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
)
from sedgeshunt.statements.call import CallKind, StatementCall

LOST_RETRY = Seconds(0.05)


async def begin_transaction(
    executor: TargetExecutor,
    call: StatementCall,
    transactions: TransactionTable,
    deadline: Monotonic,
    after: Point | None = None,
    *,
    is_at_primary: bool = False,
) -> Result[OpenTransaction, Refusal]:
    """Open a call's transaction at a target."""
    if call.transaction is None:
        raise ValueError('cannot begin a transaction for a call without its id')
    acquired = await executor.acquire(call, deadline, is_transaction=True)
    if isinstance(acquired, Err):
        return acquired
    async with AsyncExitStack() as owned:
        session_handle = await owned.enter_async_context(acquired.ok_value)
        begun = await executor.begin(
            session_handle,
            is_read_only=call.is_read_only,
            deadline=deadline,
            after=after,
        )
        if isinstance(begun, Err):
            return begun
        owned.pop_all()
    transaction = OpenTransaction(
        call.transaction,
        executor,
        acquired.ok_value,
        read_clock(),
        is_at_primary,
    )
    transactions.add(transaction)
    executor.transactions.add(transaction)
    return Ok(transaction)


async def run_in_transaction(
    transaction: OpenTransaction,
    call: StatementCall,
    transactions: TransactionTable,
    deadline: Monotonic,
) -> Result[Answer, Refusal]:
    """Run one statement of a transaction; a failure ends the transaction."""
    transaction.is_busy = True
    try:
        outcome = await transaction.executor.run_inside(
            transaction.session_handle,
            call,
            deadline,
        )
    except CancelledError:
        # The caller disconnected during the statement.
        transactions.remove(transaction)
        await transaction.end()
        raise
    finally:
        transaction.is_busy = False
        transaction.used_at = read_clock()
    if call.kind is CallKind.COMMIT:
        transactions.remove(transaction)
        await _end(transaction, outcome)
        return outcome
    refusal = outcome.err()
    if refusal is None:
        return outcome
    transactions.remove(transaction)
    await transaction.roll_back()
    return Err(_describe_loss(refusal))


async def _end(
    transaction: OpenTransaction,
    outcome: Result[Answer, Refusal],
) -> None:
    if isinstance(outcome, Ok):
        await transaction.end()
    else:
        await transaction.roll_back()


def _describe_loss(refusal: Refusal) -> Refusal:
    # COMMIT was not sent, so the target keeps nothing of the transaction.
    if isinstance(refusal, Rejected):
        return refusal
    return NotRun(
        Cause.TRANSACTION_LOST,
        f'{refusal.reason}; the transaction was undone',
        LOST_RETRY,
        refusal.target,
    )
