"""Run one group's calls at this proxy, as its owner or as a reader."""

from asyncio import TaskGroup, sleep
from contextlib import AsyncExitStack

from result import Err, Result

from sedgeshunt.execution.group_owner import GroupOwner
from sedgeshunt.execution.primary_context import PrimaryContext
from sedgeshunt.execution.primary_manager import PrimaryManager
from sedgeshunt.execution.primary_probe import PrimaryProbe
from sedgeshunt.execution.primary_state import PrimaryState
from sedgeshunt.execution.replica_reader import ReplicaReader
from sedgeshunt.execution.runner import run_in_transaction
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.execution.transactions import TransactionTable
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds
from sedgeshunt.ownership.claims import GroupClaim
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.requests.outcome import Answer, Cause, NotRun, Refusal
from sedgeshunt.statements.call import Access, StatementCall

# Short against the operator's idle limit, which is some seconds.
IDLE_CHECK_INTERVAL = Seconds(0.5)
MILLISECONDS = 1000
NOT_OWNER_RETRY = Seconds(0.1)


class GroupAccess:
    """Run calls for one group, as its owner or as a reader of replicas."""

    def __init__(
        self,
        group: GroupId,
        claim: GroupClaim,
        reader: ReplicaReader,
        probe: PrimaryProbe,
        parts: PrimaryContext,
    ) -> None:
        """Start without owning the group."""
        self.group = group
        self.claim = claim
        self.reader = reader
        self.probe = probe
        self.freshness = reader.freshness
        self.owner: GroupOwner | None = None
        self._parts = parts

    async def run(self) -> None:
        """Serve the group's primary whenever the group is claimed."""
        async with AsyncExitStack() as owned:
            owned.push_async_callback(self.reader.close)
            tasks = await owned.enter_async_context(TaskGroup())
            tasks.create_task(
                self.probe.run(lambda: self.claim.is_claim_expected)
            )
            tasks.create_task(self._abort_idle())
            while True:
                await self._serve(await self.claim.wait_ownership())

    def read_tip(self) -> Point | None:
        """Return the primary's log end while this proxy owns the group."""
        return None if self.owner is None else self.owner.read_tip()

    def list_executors(self) -> list[TargetExecutor]:
        """Return the executors of the group's targets."""
        executors = self.reader.list_executors()
        primary = None if self.owner is None else self.owner.executor
        return executors if primary is None else [*executors, primary]

    async def run_call(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        """Run a call at this proxy."""
        if call.transaction is not None and not call.begins:
            return await self._continue_transaction(
                call, transactions, deadline
            )
        if call.access is Access.REPLICA:
            return await self.reader.run_call(call, transactions, deadline)
        if self.owner is None:
            return Err(
                NotRun(
                    Cause.SUPERSEDED,
                    f'this proxy does not own group {self.group}',
                    NOT_OWNER_RETRY,
                ),
            )
        return await self.owner.run_call(call, transactions, deadline)

    async def _serve(self, ownership: GroupOwnership) -> None:
        state = PrimaryState(self.group)
        owner = GroupOwner(
            ownership,
            state,
            PrimaryManager(
                ownership, state, self.probe, self._parts, self.freshness
            ),
            self.freshness,
            self._parts.lines,
        )
        self.owner = owner
        try:
            async with TaskGroup() as tasks:
                serving = tasks.create_task(owner.run())
                await self.claim.hold(ownership)
                self.owner = None
                state.wake()
                serving.cancel()
        finally:
            ownership.end()
            self.owner = None

    async def _abort_idle(self) -> None:
        """Abort transactions that have been idle for too long."""
        # An open transaction holds a connection and, in some databases, locks.
        while True:
            await sleep(IDLE_CHECK_INTERVAL)
            members = self._parts.configuration.find_members(self.group)
            if members is None or not members.group.transaction_idle_ms:
                continue
            limit = members.group.transaction_idle_ms / MILLISECONDS
            for executor in self.list_executors():
                await executor.abort_idle(Seconds(limit))

    async def _continue_transaction(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> Result[Answer, Refusal]:
        transaction = (
            transactions.get(call.transaction) if call.transaction else None
        )
        if transaction is not None and not transaction.is_at_primary:
            return await run_in_transaction(
                transaction, call, transactions, deadline
            )
        if transaction is not None and self.owner is not None:
            return await self.owner.continue_transaction(
                transaction,
                call,
                transactions,
                deadline,
            )
        if transaction is not None:
            transactions.remove(transaction)
            await transaction.abort()
        return Err(
            NotRun(
                Cause.TRANSACTION_LOST,
                'the transaction was undone; begin it again',
                NOT_OWNER_RETRY,
            ),
        )
