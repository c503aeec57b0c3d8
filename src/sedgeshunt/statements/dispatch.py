"""Dispatch calls to this proxy or to a peer that can run them."""

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
from sedgeshunt.statements.waits import WaitCause, measure_wait

# A call without an owner checks again at each change, and after this time.
OWNER_CHECK_INTERVAL = Seconds(0.02)
# How often a site's heartbeat is checked while its answer is awaited.
SITE_CHECK_INTERVAL = Seconds(0.05)
UNRESPONSIVE_RETRY = Seconds(0.1)
_Outcome = Result[Answer, Refusal]
# Causes after which another attempt may succeed.
_TRANSIENT_CAUSES = frozenset((Cause.SUPERSEDED, Cause.CONNECTION_LOST))


class SiteFinder(ABC):
    """Find the sites where a group's calls can run."""

    @abstractmethod
    def find_owner(self, group: GroupId) -> CallSite | None:
        """Return the site of the group's owner, None if unknown."""

    @abstractmethod
    def find_near_owner(self, group: GroupId) -> CallSite | None:
        """Return the owner if its zone, this one, has the primary alone.

        Return None if the zone has a replica for reads, too.
        """

    @abstractmethod
    def find_readers(
        self,
        group: GroupId,
        customer: CustomerId,
    ) -> Sequence[CallSite]:
        """Return a customer's sites for reads at replicas, best first."""

    @abstractmethod
    def expect_owner(self, group: GroupId) -> Monotonic | None:
        """Return when an owner is expected, None if unknown."""

    @abstractmethod
    async def wait_change(self, deadline: Monotonic) -> None:
        """Wait until the owner may have changed, `deadline` at most."""


class DispatchResult(Struct, frozen=True):
    """Hold a call's outcome and the site where it ran."""

    outcome: Result[Answer, Refusal]
    site: CallSite | None = None


class Dispatcher:
    """Run calls at suitable sites and retry them where that is safe."""

    def __init__(self, sites: SiteFinder) -> None:
        """Find sites through `sites`."""
        self._sites = sites
        # Abandoned reads at peers that became unresponsive.
        self._detached: set[Task[_Outcome]] = set()

    async def run(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> DispatchResult:
        """Run a call that is not bound to a site yet."""
        if call.access is Access.REPLICA:
            dispatched = await self._read(call, transactions, deadline)
            refusal = dispatched.outcome.err()
            if not isinstance(refusal, NotRun):
                return dispatched
            if call.begins and self._has_filled_primary(call, refusal):
                return dispatched
        return await self._run_at_owner(
            replace(call, access=Access.PRIMARY),
            transactions,
            deadline,
        )

    def _has_filled_primary(
        self,
        call: StatementCall,
        refusal: Refusal | None,
    ) -> bool:
        # A transaction that only reads keeps its connection while its caller is
        # idle. Where such transactions use the primary first, they have taken
        # their half of its connections before the readers are overloaded. Any
        # more would take connections from writes.
        near = self._sites.find_near_owner(call.group)
        return near is not None and _is_overloaded(refusal)

    async def _read(
        self,
        call: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> DispatchResult:
        """Read where a slot is free, in the own zone first, else queue."""
        # The zone of a primary often has no replica. Its reads would all cross
        # zones while the primary beside them is half idle.
        prompt = replace(call, is_prompt=True)
        near = self._sites.find_near_owner(call.group)
        if near is not None:
            outcome = await self._read_at_owner(
                near, prompt, transactions, deadline
            )
            if not isinstance(outcome.err(), NotRun):
                return DispatchResult(outcome, near)
        # After the loss of a replica, the remaining one may have too few slots
        # for the group's reads while the primary is half idle. Queued at the
        # replica, reads would miss their objective. If the primary is busy too,
        # they queue at the replica.
        dispatched = await self._run_at_readers(prompt, transactions, deadline)
        if not _is_overloaded(dispatched.outcome.err()):
            return dispatched
        site = self._sites.find_owner(call.group)
        if site is not None and near is None:
            outcome = await self._read_at_owner(
                site, prompt, transactions, deadline
            )
            if not isinstance(outcome.err(), NotRun):
                return DispatchResult(outcome, site)
        return await self._run_at_readers(call, transactions, deadline)

    async def _read_at_owner(
        self,
        site: CallSite,
        prompt: StatementCall,
        transactions: TransactionTable,
        deadline: Monotonic,
    ) -> _Outcome:
        at_primary = replace(prompt, access=Access.PRIMARY)
        reading = site.run_call(at_primary, transactions, deadline)
        return await self._await_read(site, at_primary, reading)

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
            outcome = await self._await_read(site, call, reading)
            dispatched = DispatchResult(outcome, site)
            if not _may_read_elsewhere(outcome.err()):
                break
        return dispatched

    async def _await_read(
        self,
        site: CallSite,
        call: StatementCall,
        reading: Coroutine[Any, Any, _Outcome],
    ) -> _Outcome:
        """Return a read's outcome, or abandon it at an unresponsive site."""
        # A site behind a network partition sends no reply, and its loss is
        # certain only after most objectives are missed. Reads are idempotent,
        # so they are retried elsewhere once the site misses a heartbeat. A site
        # that is merely slow is not abandoned: retries would prolong the
        # overload that slows it down.
        if call.transaction is not None:
            return await reading
        task = create_task(reading)
        try:
            while not (await wait((task,), timeout=SITE_CHECK_INTERVAL))[0]:
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
            expected_at = self._expect_owner(call.group, site)
            if not is_worth_holding(expected_at, deadline):
                refusal = last or _refuse(call.group, expected_at)
                return DispatchResult(Err(refusal))
            with measure_wait(WaitCause.OWNER):
                await self._sites.wait_change(
                    Monotonic(read_clock() + OWNER_CHECK_INTERVAL),
                )

    def _expect_owner(
        self, group: GroupId, site: CallSite | None
    ) -> Monotonic | None:
        # A known owner decides itself whether waiting for a new primary is
        # worthwhile.
        if site is not None:
            return Monotonic(read_clock() + OWNER_CHECK_INTERVAL)
        return self._sites.expect_owner(group)


def _is_overloaded(refusal: Refusal | None) -> bool:
    return isinstance(refusal, NotRun) and refusal.cause is Cause.OVERLOAD


def _may_read_elsewhere(refusal: Refusal | None) -> bool:
    # A reader tries all replicas, so what they lack is at the primary only.
    return isinstance(refusal, NotRun) and refusal.cause is not Cause.TOO_STALE


def _refuse_reading(group: GroupId) -> NotRun:
    return NotRun(Cause.NO_TARGET, f'nobody reads group {group} here')


def _refuse_unresponsive(site: CallSite) -> NotRun:
    reason = f'proxy {site.name} has fallen silent'
    return NotRun(Cause.CONNECTION_LOST, reason, UNRESPONSIVE_RETRY)


def _is_transient(refusal: Refusal | None) -> bool:
    return isinstance(refusal, NotRun) and refusal.cause in _TRANSIENT_CAUSES


def _refuse(group: GroupId, expected_at: Monotonic | None) -> NotRun:
    return NotRun(
        Cause.NO_PRIMARY,
        f'group {group} has no owner now',
        find_retry_delay(expected_at),
    )
