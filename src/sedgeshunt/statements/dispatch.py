"""Choose where a call runs: here, or at the peer that can run it."""

from abc import ABC, abstractmethod
from asyncio import CancelledError, Task, create_task, wait
from collections.abc import Coroutine, Sequence
from typing import Any

from msgspec import Struct
from msgspec.structs import replace
from result import Err, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.transactions import TransactionTable
from sedgeshunt.identifiers import CustomerId, GroupId, Monotonic, Seconds
from sedgeshunt.limits.holding import find_retry_delay, is_worth_holding
from sedgeshunt.requests.outcome import Answer, Cause, NotRun, Refusal
from sedgeshunt.statements.call import Access, StatementCall
from sedgeshunt.statements.sites import CallSite

# A call that found no owner looks again at each change, and after so long.
OWNER_CHECK_INTERVAL = Seconds(0.02)
# How often the peer that reads is looked at while its answer is awaited.
READER_CHECK_INTERVAL = Seconds(0.05)
SILENT_RETRY = Seconds(0.1)
_Outcome = Result[Answer, Refusal]
# What ended an attempt that another one may mend.
_TRANSIENT_CAUSES = frozenset((Cause.SUPERSEDED, Cause.CONNECTION_LOST))


class SiteFinder(ABC):
    """Know where a group's work can be done."""

    @abstractmethod
    def find_owner(self, group: GroupId) -> CallSite | None:
        """Return the place that uses the primary, None when unknown."""

    @abstractmethod
    def find_readers(
        self,
        group: GroupId,
        customer: CustomerId,
    ) -> Sequence[CallSite]:
        """Return places that read the replicas for a customer, best first."""

    @abstractmethod
    def expect_owner(self, group: GroupId) -> Monotonic | None:
        """Return when an owner should be there, None when nobody knows."""

    @abstractmethod
    async def wait_change(self, deadline: Monotonic) -> None:
        """Wait until an owner may have come or gone."""


class DispatchResult(Struct, frozen=True):
    """Hold a call's outcome and the place where it ran."""

    outcome: Result[Answer, Refusal]
    site: CallSite | None = None


class Dispatcher:
    """Carry calls to the place that can run them, again where that is safe."""

    def __init__(self, sites: SiteFinder) -> None:
        """Look places up in `sites`."""
        self._sites = sites
        # Reads at peers that have fallen silent.
        self._detached: set[Task[_Outcome]] = set()

    async def run(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> DispatchResult:
        """Run a call that is not bound to a place yet."""
        if call.access is Access.REPLICA:
            dispatched = await self._read(call, transactions, deadline)
            if not isinstance(dispatched.outcome.err(), NotRun):
                return dispatched
        return await self._run_at_owner(
            replace(call, access=Access.PRIMARY),
            transactions,
            deadline,
        )

    async def _read(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> DispatchResult:
        """Read where there is room, else where the queue is shortest."""
        # A group that has lost a replica has too few places for its reads at
        # the other one, and a primary that is half idle: reads came late in the
        # replica's queue, and went to the primary only when it was too long.
        # Where the primary is busy too, they queue at the replica as before.
        prompt = replace(call, is_prompt=True)
        dispatched = await self._run_at_readers(prompt, transactions, deadline)
        if not _is_overloaded(dispatched.outcome.err()):
            return dispatched
        site = self._sites.find_owner(call.group)
        if site is not None:
            at_primary = replace(prompt, access=Access.PRIMARY)
            outcome = await site.run_call(at_primary, transactions, deadline)
            if not isinstance(outcome.err(), NotRun):
                return DispatchResult(outcome, site)
        return await self._run_at_readers(call, transactions, deadline)

    async def _run_at_readers(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> DispatchResult:
        sites = self._sites.find_readers(call.group, call.identity.customer)
        dispatched = DispatchResult(Err(_refuse_reading(call.group)))
        for site in sites:
            reading = site.run_call(call, transactions, deadline)
            outcome = await self._await_reader(site, call, reading)
            dispatched = DispatchResult(outcome, site)
            if not _may_read_elsewhere(outcome.err()):
                break
        return dispatched

    async def _await_reader(
        self,
        site: CallSite,
        call: StatementCall,
        reading: Coroutine[Any, Any, _Outcome],
    ) -> _Outcome:
        """Return a reader's outcome, or leave a reader that falls silent."""
        # Safeguard: a reader that was cut off says nothing, and that it is gone
        # is certain only after most objectives. A read is harmless twice, so it
        # is asked elsewhere as soon as the reader misses a heartbeat. One that
        # is only slow is waited for: asked elsewhere too, reads would make an
        # overload last that they are slow from.
        if call.transaction is not None:
            return await reading
        task = create_task(reading)
        try:
            while not (await wait((task,), timeout=READER_CHECK_INTERVAL))[0]:
                if not site.is_answering():
                    self._detach(task)
                    return Err(_refuse_unresponsive(site))
        except CancelledError:
            task.cancel()
            raise
        return task.result()

    def _detach(self, task: Task[_Outcome]) -> None:
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)

    async def _run_at_owner(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> DispatchResult:
        last: Refusal | None = None
        while True:
            site = self._sites.find_owner(call.group)
            if site is not None:
                outcome = await site.run_call(call, transactions, deadline)
                last = outcome.err()
                if not _is_transient(last):
                    return DispatchResult(outcome, site)
            expected_at = self._expect(call.group, site)
            if not is_worth_holding(expected_at, deadline):
                refusal = last or _refuse(call.group, expected_at)
                return DispatchResult(Err(refusal))
            await self._sites.wait_change(
                Monotonic(read_clock() + OWNER_CHECK_INTERVAL),
            )

    def _expect(
        self, group: GroupId, site: CallSite | None
    ) -> Monotonic | None:
        # An owner that has given its primary up knows itself whether a wait
        # for the next one is worth it.
        if site is not None:
            return Monotonic(read_clock() + OWNER_CHECK_INTERVAL)
        return self._sites.expect_owner(group)


def _is_overloaded(refusal: Refusal | None) -> bool:
    return isinstance(refusal, NotRun) and refusal.cause is Cause.OVERLOAD


def _may_read_elsewhere(refusal: Refusal | None) -> bool:
    # A reader asks all replicas: what they lack is at the primary only.
    return isinstance(refusal, NotRun) and refusal.cause is not Cause.TOO_STALE


def _refuse_reading(group: GroupId) -> NotRun:
    return NotRun(Cause.NO_TARGET, f'nobody reads group {group} here')


def _refuse_unresponsive(site: CallSite) -> NotRun:
    reason = f'proxy {site.name} has fallen silent'
    return NotRun(Cause.CONNECTION_LOST, reason, SILENT_RETRY)


def _is_transient(refusal: Refusal | None) -> bool:
    return isinstance(refusal, NotRun) and refusal.cause in _TRANSIENT_CAUSES


def _refuse(group: GroupId, expected_at: Monotonic | None) -> NotRun:
    return NotRun(
        Cause.NO_PRIMARY,
        f'group {group} has no owner now',
        find_retry_delay(expected_at),
    )
