"""Notice that another target has replaced a group's primary."""

from asyncio import Task, create_task

from msgspec import Struct

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import (
    LogRole,
    LogStatus,
    TargetSessionConnector,
)
from sedgeshunt.execution.primary_finder import FoundPrimary
from sedgeshunt.execution.statuses import read_statuses
from sedgeshunt.execution.target_executor import TargetExecutor
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, Term
from sedgeshunt.registry.directory import GroupMembers

# A lost primary remains listed as one for seconds; each query of it takes its
# whole timeout.
RETRY_PAUSE = Seconds(1)


class Supersession(Struct, frozen=True):
    """Hold the newest known term, and the target that leads it, if known."""

    term: Term
    primary: FoundPrimary | None


class SupersessionCheck:
    """Look for a target that leads a newer term than the served primary.

    A promotion order may be carried out after everybody has given it up. The
    served primary continues for a second or more and then follows the new one,
    without any error at its connections.
    """

    def __init__(self, connector: TargetSessionConnector) -> None:
        """Start without evidence."""
        self._connector = connector
        # A query of targets that late orders may promote.
        self._query: Task[dict[TargetId, LogStatus]] | None = None
        self._seen: _Evidence | None = None
        self._retry_at: Monotonic | None = None

    async def check(
        self,
        members: GroupMembers,
        executor: TargetExecutor,
        term: Term,
        known_tip: Point | None,
    ) -> Supersession | None:
        """Return what has replaced the primary of `term`, None if nothing.

        The targets are queried only on new evidence: entries by which other
        targets are primary or the served one is not, or log ends of a newer
        term.
        """
        evidence = _Evidence(
            executor.target.name,
            frozenset(
                known.target.name
                for known in members.targets
                if known.is_primary
            ),
            _find_newest_term(term, executor.tip, known_tip),
            executor.has_refused_write,
        )
        executor.has_refused_write = False
        if not self._is_due(evidence, term):
            return None
        statuses = await self._ask(members, evidence)
        newer = _find_newer(members, statuses, term)
        if newer is not None or evidence.newest > term:
            return Supersession(evidence.newest, newer)
        served = statuses.get(evidence.served)
        if served is None or served.role is LogRole.PRIMARY:
            return None
        return Supersession(max(term, served.term), None)

    def check_late(
        self,
        members: GroupMembers,
        late: frozenset[TargetId],
        term: Term,
    ) -> Supersession | None:
        """Return the target of a late order that has replaced the primary.

        The targets are queried in the background, once for each call at most.
        The store may be unreachable, so that their entries don't change.
        """
        statuses: dict[TargetId, LogStatus] = {}
        if self._query is not None:
            if not self._query.done():
                return None
            statuses = self._query.result()
            self._query = None
        asked = [
            known for known in members.targets if known.target.name in late
        ]
        if asked:
            self._query = create_task(read_statuses(self._connector, asked))
        newer = _find_newer(members, statuses, term)
        return None if newer is None else Supersession(term, newer)

    def close(self) -> None:
        """Stop querying targets."""
        if self._query is not None:
            self._query.cancel()

    def _is_due(self, evidence: '_Evidence', term: Term) -> bool:
        is_new = evidence != self._seen or evidence.has_refused_write
        self._seen = evidence
        is_usual = (
            evidence.primaries == {evidence.served}
            and not evidence.has_refused_write
        )
        if is_usual and evidence.newest == term:
            return False
        is_retry = self._retry_at is not None and read_clock() > self._retry_at
        return is_new or is_retry

    async def _ask(
        self,
        members: GroupMembers,
        evidence: '_Evidence',
    ) -> dict[TargetId, LogStatus]:
        # The served target is among them, as it may lead again.
        statuses = await read_statuses(self._connector, members.targets)
        is_complete = statuses.keys() >= evidence.primaries
        self._retry_at = (
            None if is_complete else Monotonic(read_clock() + RETRY_PAUSE)
        )
        return statuses


class _Evidence(Struct, frozen=True):
    """Hold what suggests that the served primary was replaced."""

    served: TargetId
    # The targets that report to be primary in their entries.
    primaries: frozenset[TargetId]
    newest: Term
    # The served target has refused a write since the last check. A primary does
    # so for a write in a read-only transaction.
    has_refused_write: bool


def _find_newest_term(term: Term, *points: Point | None) -> Term:
    terms = (point.term for point in points if point is not None)
    return max(term, *terms)


def _find_newer(
    members: GroupMembers,
    statuses: dict[TargetId, LogStatus],
    term: Term,
) -> FoundPrimary | None:
    leading = {
        target: status
        for target, status in statuses.items()
        if status.role is LogRole.PRIMARY and status.term > term
    }
    if not leading:
        return None
    newest = max(leading, key=lambda target: leading[target].term)
    known = members.find(newest)
    return None if known is None else FoundPrimary(known, leading[newest])
