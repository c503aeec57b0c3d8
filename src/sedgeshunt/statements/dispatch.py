"""Choose where a call runs: here, or at the peer that can run it."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from functools import partial

from msgspec import Struct
from msgspec.structs import replace
from result import Err, Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.execution.hedging import Hedger
from sedgeshunt.execution.transactions import TransactionBook
from sedgeshunt.identifiers import CustomerId, GroupId, Monotonic, Seconds
from sedgeshunt.limits.holding import find_retry, is_worth_holding
from sedgeshunt.requests.outcome import Answer, Cause, NotRun, Refusal
from sedgeshunt.statements.call import Access, StatementCall
from sedgeshunt.statements.sites import CallSite

# A call that found no owner looks again at each change, and after so long.
LOOK_EVERY = Seconds(0.02)
# What ended an attempt that another one may mend.
_PASSING = frozenset((Cause.SUPERSEDED, Cause.CONNECTION_LOST))


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


class Dispatched(Struct, frozen=True):
    """Hold a call's outcome and the place where it ran."""

    outcome: Result[Answer, Refusal]
    site: CallSite | None = None


class Dispatcher:
    """Carry calls to the place that can run them, again where that is safe."""

    def __init__(self, sites: SiteFinder) -> None:
        """Look places up in `sites`."""
        self._sites = sites
        self._hedger = Hedger(is_last_resort=True)

    async def run(
        self,
        call: StatementCall,
        book: TransactionBook,
        deadline: Monotonic,
    ) -> Dispatched:
        """Run a call that is not bound to a place yet."""
        if call.access is Access.REPLICA:
            ran = await self._run_at_readers(call, book, deadline)
            if not isinstance(ran.outcome.err(), NotRun):
                return ran
        return await self._run_at_owner(
            replace(call, access=Access.PRIMARY),
            book,
            deadline,
        )

    async def _run_at_readers(
        self,
        call: StatementCall,
        book: TransactionBook,
        deadline: Monotonic,
    ) -> Dispatched:
        sites = self._sites.find_readers(call.group, call.identity.customer)
        ran = Dispatched(Err(_refuse_reading(call.group)))
        if call.transaction is None and len(sites) > 1:
            return await self._hedge(sites, call, book, deadline) or ran
        for site in sites:
            ran = Dispatched(await site.run_call(call, book, deadline), site)
            if not _may_read_elsewhere(ran.outcome.err()):
                break
        return ran

    async def _hedge(
        self,
        sites: Sequence[CallSite],
        call: StatementCall,
        book: TransactionBook,
        deadline: Monotonic,
    ) -> Dispatched | None:
        # Safeguard: a reader that was cut off says nothing, and its silence is
        # certain only after most objectives. A read that waits is asked at the
        # next one as well, in time for its caller.
        asked: list[CallSite] = []

        async def ask(site: CallSite) -> Result[Answer, Refusal]:
            asked.append(site)
            return await site.run_call(call, book, deadline)

        attempts = (partial(ask, site) for site in sites)
        outcome = await self._hedger.run(call, attempts, deadline)
        return None if outcome is None else Dispatched(outcome, asked[-1])

    async def _run_at_owner(
        self,
        call: StatementCall,
        book: TransactionBook,
        deadline: Monotonic,
    ) -> Dispatched:
        last: Refusal | None = None
        while True:
            site = self._sites.find_owner(call.group)
            if site is not None:
                outcome = await site.run_call(call, book, deadline)
                last = outcome.err()
                if not _may_repeat(last):
                    return Dispatched(outcome, site)
            expected_at = self._expect(call.group, site)
            if not is_worth_holding(expected_at, deadline):
                refusal = last or _refuse(call.group, expected_at)
                return Dispatched(Err(refusal))
            await self._sites.wait_change(
                Monotonic(read_clock() + LOOK_EVERY),
            )

    def _expect(
        self, group: GroupId, site: CallSite | None
    ) -> Monotonic | None:
        # An owner that has given its primary up knows itself whether a wait
        # for the next one is worth it.
        if site is not None:
            return Monotonic(read_clock() + LOOK_EVERY)
        return self._sites.expect_owner(group)


def _may_read_elsewhere(refusal: Refusal | None) -> bool:
    # A reader asks all replicas: what they lack is at the primary only.
    return isinstance(refusal, NotRun) and refusal.cause is not Cause.TOO_STALE


def _refuse_reading(group: GroupId) -> NotRun:
    return NotRun(Cause.NO_TARGET, f'nobody reads group {group} here')


def _may_repeat(refusal: Refusal | None) -> bool:
    return isinstance(refusal, NotRun) and refusal.cause in _PASSING


def _refuse(group: GroupId, expected_at: Monotonic | None) -> NotRun:
    return NotRun(
        Cause.NO_PRIMARY,
        f'group {group} has no owner now',
        find_retry(expected_at),
    )
