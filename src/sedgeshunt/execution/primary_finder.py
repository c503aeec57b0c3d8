"""Find the primary of a group that this proxy has just claimed."""

from asyncio import sleep

from msgspec import Struct

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import LogStatus
from sedgeshunt.execution.primary_context import PrimaryContext
from sedgeshunt.execution.statuses import read_status, read_statuses
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.successors import find_leader
from sedgeshunt.identifiers import Seconds, TargetId, Term
from sedgeshunt.ownership.reign import Reign
from sedgeshunt.registry.directory import GroupMembers, KnownTarget
from sedgeshunt.routing.freshness import FreshnessProof

RETRY_PAUSE = Seconds(0.05)
# Without a primary for this long, another target is promoted.
SEARCH_TIMEOUT = Seconds(0.3)


class FoundPrimary(Struct, frozen=True):
    """Hold a primary and the log status that it reported."""

    known: KnownTarget
    status: LogStatus


class PrimaryFinder:
    """Query a group's targets for the current primary."""

    def __init__(
        self,
        ownership: Reign,
        parts: PrimaryContext,
        freshness: FreshnessProof,
    ) -> None:
        """Search while `ownership` is held."""
        self._ownership = ownership
        self._parts = parts
        self._freshness = freshness

    async def find(self) -> FoundPrimary | None:
        """Return the primary, None if none is found in time."""
        since = read_clock()
        while read_clock() - since < SEARCH_TIMEOUT:
            members = self.find_members()
            found = None if members is None else await self._ask(members)
            if found is not None:
                return found
            await sleep(RETRY_PAUSE)
            if self._parts.records.find_intent(self._ownership.group):
                since = read_clock()
        return None

    def is_settled(self) -> bool:
        """Return whether no promotion by an earlier owner is pending."""
        return self._parts.records.find_intent(self._ownership.group) is None

    def find_members(self) -> GroupMembers | None:
        """Return the group's targets, None if none are listed."""
        members = self._parts.configuration.find_members(self._ownership.group)
        return members if members is not None and members.targets else None

    def read_known_tip(self) -> Point | None:
        """Return the newest log end that a primary is known to have had."""
        return self._freshness.newest

    async def _ask(self, members: GroupMembers) -> FoundPrimary | None:
        known_tip = self.read_known_tip()
        recorded = await self._ask_recorded(members, known_tip)
        if recorded is not None:
            return recorded
        statuses = await read_statuses(self._parts.connector, members.targets)
        if self._may_miss_primary(members, statuses):
            return None
        replacement = self._parts.replacement
        if await replacement.resume_pending(self._ownership, statuses):
            return None
        min_term = self._parts.records.find_term(self._ownership.group)
        return self.choose_primary(members, statuses, min_term, known_tip)

    def choose_primary(
        self,
        members: GroupMembers,
        statuses: dict[TargetId, LogStatus],
        min_term: Term,
        known_tip: Point | None,
    ) -> FoundPrimary | None:
        """Return the primary among the targets that answered, None if none.

        `min_term` is the newest term known to have had a primary, `known_tip`
        the log end that was known when the targets were queried.
        """
        if self._may_miss_primary(members, statuses):
            return None
        trusted = {
            name: status
            for name, status in statuses.items()
            if not self.has_restarted(members.find(name))
        }
        primary = find_leader(trusted, min_term, known_tip)
        known = None if primary is None else members.find(primary)
        if primary is None or known is None:
            return None
        return FoundPrimary(known, statuses[primary])

    def _may_miss_primary(
        self,
        members: GroupMembers,
        statuses: dict[TargetId, LogStatus],
    ) -> bool:
        # A store restored from a backup may lack the latest primary, and the
        # recorded one reports itself as primary until it learns of the newer
        # one. All targets must answer in that case.
        records = self._parts.records
        return records.is_leader_doubtful(self._ownership.group) and any(
            known.target.name not in statuses for known in members.targets
        )

    def has_restarted(self, known: KnownTarget | None) -> bool:
        """Return whether the recorded primary has restarted since.

        It has lost all writes that it acknowledged before, whatever its
        status reports.
        """
        record = self._parts.records.find_record(self._ownership.group)
        noted = None if record is None else record.leader
        if noted is None or known is None or known.target.name != noted.target:
            return False
        # 0 stands for an entry or a record without an incarnation.
        return 0 not in (known.life, noted.life) and known.life != noted.life

    async def _ask_recorded(
        self,
        members: GroupMembers,
        known_tip: Point | None,
    ) -> FoundPrimary | None:
        """Return the recorded primary if it still reports itself as one."""
        # Another target becomes primary in a higher term only by an owner's
        # promotion order, and the owner records the intent before it.
        record = self._parts.records.find_record(self._ownership.group)
        if record is None or record.intent or record.leader is None:
            return None
        known = members.find(record.leader.target)
        if known is None:
            return None
        status = await read_status(self._parts.connector, known)
        if status is None:
            return None
        # A term may be recorded without the primary of that term.
        return self.choose_primary(
            members,
            {known.target.name: status},
            record.leader.term,
            known_tip,
        )
