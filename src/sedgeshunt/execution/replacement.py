"""Promote a replica to replace a group's primary."""

from asyncio import sleep
from collections.abc import Mapping

from msgspec import Struct
from msgspec.structs import replace

from sedgeshunt.clocks import read_boottime, read_clock
from sedgeshunt.connections.target_session import (
    LogRole,
    LogStatus,
    TargetSessionConnector,
)
from sedgeshunt.decisions import DecisionLog
from sedgeshunt.execution.order_lines import OrderLines, find_end
from sedgeshunt.execution.statuses import read_status
from sedgeshunt.groups.orders import (
    PromotionAnswer,
    PromotionOrder,
    PromotionService,
)
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.successors import (
    choose_successor,
    covers,
    is_safe_choice,
)
from sedgeshunt.identifiers import Seconds, TargetId, Term
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.registry.directory import (
    GroupMembers,
    KnownTarget,
    list_places,
)
from sedgeshunt.registry.entries import ReplacementIntent

# An order is answered within some milliseconds unless the platform is slow.
ORDER_TIMEOUT = Seconds(0.5)
# A promotion takes effect in 0.3 s, or 1 s on large installations; the rest is
# a safety margin.
EFFECT_TIMEOUT = Seconds(2.5)
POLL_INTERVAL = Seconds(0.03)
# A replica receives acknowledged writes within some milliseconds while the
# primary still sends. Writes it lacks after this time are lost.
CATCH_UP_TIMEOUT = Seconds(0.4)


class Successor(Struct, frozen=True):
    """Hold the target to promote, or already promoted, and its log status."""

    known: KnownTarget
    status: LogStatus


class PrimaryReplacement:
    """Order promotions and wait for their completion."""

    def __init__(
        self,
        connector: TargetSessionConnector,
        promotions: PromotionService,
        records: GroupRecords,
        decisions: DecisionLog,
    ) -> None:
        """Order through `promotions` and store intents in `records`."""
        self._connector = connector
        self._promotions = promotions
        self._records = records
        self.lines = OrderLines(decisions)

    async def promote(
        self,
        ownership: GroupOwnership,
        members: GroupMembers,
        statuses: Mapping[TargetId, LogStatus],
        acknowledged: Point | None,
        min_term: Term,
    ) -> Successor | None:
        """Promote the replica with the longest log, None if none can be.

        `statuses` are those of the replicas that answered, `acknowledged` is
        the log end up to which this owner acknowledged writes, None if it
        acknowledged none, `min_term` the newest term known to have had a
        primary.
        """
        chosen = self._choose(ownership, members, statuses, min_term)
        if chosen is None:
            return None
        covers_all = await self._catch_up(chosen, acknowledged)
        is_safe = is_safe_choice(
            self._count_unreachable(members, statuses),
            members.group.synchronous_replicas,
            covers_all=covers_all and acknowledged is not None,
        )
        if not is_safe:
            return None
        # An order takes effect hundreds of milliseconds after it was sent. If
        # this owner is lost meanwhile, the next one must know about it.
        target = chosen.known.target.name
        is_stored = await self._records.record_intent(
            ownership, target, min_term
        )
        self.lines.record_intent(
            ownership, target, min_term, is_stored=is_stored
        )
        if not is_stored:
            return None
        return await self._promote(ownership, chosen.known)

    async def resume_pending(
        self,
        ownership: GroupOwnership,
        statuses: Mapping[TargetId, LogStatus],
    ) -> bool:
        """Complete an earlier owner's order; return whether one is pending."""
        intent = self._records.find_intent(ownership.group)
        if intent is None:
            return False
        self.lines.record_found(ownership, intent)
        if self._is_obsolete(ownership, intent, statuses):
            why = find_end(intent, statuses)
            await self._clear_intent(ownership, intent.target, why)
            return False
        answer = await self._order(ownership, intent.target)
        if answer is PromotionAnswer.TARGET_DOWN:
            # The target may have been primary before it went down, unrecorded
            # as the store was unreachable. The primary before it cannot be
            # trusted any more.
            is_stored = await self._records.record_uncertain_primary(
                ownership, intent.target
            )
            self.lines.record_cleared(
                ownership, intent.target, answer.value, is_stored=is_stored
            )
        else:
            await sleep(POLL_INTERVAL)
        return True

    def _choose(
        self,
        ownership: GroupOwnership,
        members: GroupMembers,
        statuses: Mapping[TargetId, LogStatus],
        min_term: Term,
    ) -> Successor | None:
        """Return the replica with the longest log, None if uncertain."""
        target = choose_successor(ownership.group, statuses)
        known = None if target is None else members.find(target)
        if target is None or known is None:
            return None
        status = statuses[target]
        is_doubtful = self._records.is_primary_uncertain(ownership.group)
        if is_doubtful or status.term < min_term:
            # A target that did not answer may have newer writes.
            if _is_any_missing(members, statuses):
                return None
        return Successor(known, status)

    def _is_obsolete(
        self,
        ownership: GroupOwnership,
        intent: ReplacementIntent,
        statuses: Mapping[TargetId, LogStatus],
    ) -> bool:
        """Return whether an intent's order has taken effect or is outdated."""
        recorded = self._records.find_term(ownership.group)
        leading = {
            target: status.term
            for target, status in statuses.items()
            if status.role is LogRole.PRIMARY
        }
        # A store restored from a backup may hold an intent cleared since.
        has_newer = max(leading.values(), default=recorded) > recorded
        return intent.target in leading or has_newer

    def _count_unreachable(
        self,
        members: GroupMembers,
        statuses: Mapping[TargetId, LogStatus],
    ) -> int:
        reachable = replace(
            members,
            targets=[
                known
                for known in members.targets
                if known.target.name in statuses
            ],
        )
        recorded = self._records.find_copies(members.group.name)
        places = recorded | list_places(members)
        # The lost primary is among them and does not count.
        return len(places - list_places(reachable)) - 1

    async def _catch_up(
        self,
        chosen: Successor,
        acknowledged: Point | None,
    ) -> bool:
        give_up = read_clock() + CATCH_UP_TIMEOUT
        status = chosen.status
        while not covers(status, acknowledged):
            if read_clock() > give_up:
                return False
            await sleep(POLL_INTERVAL)
            newer = await read_status(self._connector, chosen.known)
            status = newer or status
        return True

    async def _promote(
        self,
        ownership: GroupOwnership,
        known: KnownTarget,
    ) -> Successor | None:
        target = known.target.name
        answer = await self._order(ownership, target)
        if answer in _INEFFECTIVE_ANSWERS:
            await self._clear_intent(ownership, target, answer.value)
            return None
        give_up = read_clock() + EFFECT_TIMEOUT
        while read_clock() < give_up and ownership.is_held():
            await sleep(POLL_INTERVAL)
            status = await read_status(self._connector, known)
            if status is not None and status.role is LogRole.PRIMARY:
                self.lines.record_effect(ownership, target, status.term)
                return Successor(known, status)
        self.lines.record_no_effect(ownership, target)
        return None

    async def _clear_intent(
        self,
        ownership: GroupOwnership,
        target: TargetId,
        why: str,
    ) -> None:
        is_stored = await self._records.clear_intent(ownership)
        self.lines.record_cleared(ownership, target, why, is_stored=is_stored)

    async def _order(
        self,
        ownership: GroupOwnership,
        target: TargetId,
    ) -> PromotionAnswer:
        # The order must not arrive after this ownership has ended, when
        # another owner may already be serving a primary.
        if not ownership.is_held_for(ORDER_TIMEOUT):
            self.lines.record_withheld(ownership, target)
            return PromotionAnswer.NOT_TAKEN
        sent_at = read_boottime()
        answer = await self._promotions.order(
            PromotionOrder(
                ownership.group, target, ownership.owner, ownership.token
            ),
            ORDER_TIMEOUT,
        )
        reply = self._promotions.describe_reply(ownership.group)
        self.lines.record_order(ownership, target, answer, sent_at, reply)
        return answer


def _is_any_missing(
    members: GroupMembers,
    statuses: Mapping[TargetId, LogStatus],
) -> bool:
    return any(known.target.name not in statuses for known in members.targets)


_INEFFECTIVE_ANSWERS = frozenset(
    (PromotionAnswer.TARGET_DOWN, PromotionAnswer.NOT_TAKEN),
)
