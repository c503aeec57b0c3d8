"""Find out which target leads a group that was just taken over."""

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
# With no primary in sight for so long, another target is promoted.
SEARCH_TIMEOUT = Seconds(0.3)


class FoundPrimary(Struct, frozen=True):
    """Hold a target that leads, and what it said of its log."""

    known: KnownTarget
    status: LogStatus


class PrimaryFinder:
    """Ask a group's targets which of them leads."""

    def __init__(
        self,
        ownership: Reign,
        parts: PrimaryContext,
        freshness: FreshnessProof,
    ) -> None:
        """Ask on behalf of `reign`."""
        self._ownership = ownership
        self._parts = parts
        self._freshness = freshness

    async def find(self) -> FoundPrimary | None:
        """Return the leader; None when there seems to be none any more."""
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
        """Tell whether no promotion of an earlier owner is under way."""
        return self._parts.records.find_intent(self._ownership.group) is None

    def find_members(self) -> GroupMembers | None:
        """Return the group's targets, None when none are listed."""
        members = self._parts.configuration.find_members(self._ownership.group)
        return members if members is not None and members.targets else None

    def read_known_tip(self) -> Point | None:
        """Return the newest log end that is known to have been shown."""
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
        """Return the one that leads of those that answered, None for none.

        `least` is the newest term in which a target is known to have led,
        `seen` the end of the log that was known when they were asked.
        """
        if self._may_miss_primary(members, statuses):
            return None
        trusted = {
            name: status
            for name, status in statuses.items()
            if not self.has_restarted(members.find(name))
        }
        leader = find_leader(trusted, min_term, known_tip)
        known = None if leader is None else members.find(leader)
        if leader is None or known is None:
            return None
        return FoundPrimary(known, statuses[leader])

    def _may_miss_primary(
        self,
        members: GroupMembers,
        statuses: dict[TargetId, LogStatus],
    ) -> bool:
        # A store that came back from a copy may have lost the note of who led
        # since; the one noted says that it leads until it learns better.
        records = self._parts.records
        return records.is_leader_doubtful(self._ownership.group) and any(
            known.target.name not in statuses for known in members.targets
        )

    def has_restarted(self, known: KnownTarget | None) -> bool:
        """Tell whether a target led in an earlier life of it.

        It holds nothing of what it acknowledged then, whatever it says.
        """
        record = self._parts.records.find_record(self._ownership.group)
        noted = None if record is None else record.leader
        if noted is None or known is None or known.target.name != noted.target:
            return False
        # An entry or a note without a life tells nothing.
        return 0 not in (known.life, noted.life) and known.life != noted.life

    async def _ask_recorded(
        self,
        members: GroupMembers,
        known_tip: Point | None,
    ) -> FoundPrimary | None:
        """Return the leader that the owner before has noted, if it leads."""
        # Another one can lead in a higher term only by an order of an owner,
        # and that owner would have noted it, or at least the intent.
        record = self._parts.records.find_record(self._ownership.group)
        if record is None or record.intent or record.leader is None:
            return None
        known = members.find(record.leader.target)
        if known is None:
            return None
        status = await read_status(self._parts.connector, known)
        if status is None:
            return None
        # The term may be noted without the target that led in it.
        return self.choose_primary(
            members,
            {known.target.name: status},
            record.leader.term,
            known_tip,
        )
