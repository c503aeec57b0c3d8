"""Replace a group's primary by one of its replicas."""

from asyncio import sleep
from collections.abc import Mapping

from msgspec import Struct
from msgspec.structs import replace

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import (
    LogRole,
    LogStatus,
    TargetSessionConnector,
)
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
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
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.ownership.reign import Reign
from sedgeshunt.registry.directory import (
    GroupMembers,
    KnownTarget,
    list_places,
)
from sedgeshunt.registry.entries import ReplacementIntent

# The order's answer takes some milliseconds; the platform may be slow.
ORDER_TIMEOUT = Seconds(0.5)
# From an order to the moment in which its target leads: 0.3 s, 1 s on large
# installations, and a margin.
EFFECT_TIMEOUT = Seconds(2.5)
POLL_INTERVAL = Seconds(0.03)
# A replica receives what was acknowledged within some milliseconds, if the
# primary still sends; what it lacks after this time is lost with the primary.
CATCH_UP_TIMEOUT = Seconds(0.4)


class Successor(Struct, frozen=True):
    """Hold the target that is to lead, or leads, and its log."""

    known: KnownTarget
    status: LogStatus


class PrimaryReplacement:
    """Order promotions and see them through."""

    def __init__(
        self,
        connector: TargetSessionConnector,
        promotions: PromotionService,
        records: GroupRecords,
        decisions: DecisionLog,
    ) -> None:
        """Order through `promotions`, remember in `records`."""
        self._connector = connector
        self._promotions = promotions
        self._records = records
        self._decisions = decisions

    async def promote(
        self,
        ownership: Reign,
        members: GroupMembers,
        statuses: Mapping[TargetId, LogStatus],
        acknowledged: Point | None,
        min_term: Term,
    ) -> Successor | None:
        """Have the replica with the furthest log lead; None if none does.

        `statuses` are those of replicas that answered, `acknowledged` is the
        end of what this owner told callers, None if it told nothing, `least`
        the newest term in which a target is known to have led.
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
        # The next owner must know that an order is under way: it takes effect
        # hundreds of milliseconds after it was sent.
        target = chosen.known.target.name
        if not await self._records.note_intent(ownership, target, min_term):
            return None
        return await self._promote(ownership, chosen.known)

    async def resume_pending(
        self,
        ownership: Reign,
        statuses: Mapping[TargetId, LogStatus],
    ) -> bool:
        """See an earlier owner's order through; tell whether there was one."""
        intent = self._records.find_intent(ownership.group)
        if intent is None:
            return False
        if self._is_obsolete(ownership, intent, statuses):
            await self._records.clear_intent(ownership)
            return False
        answer = await self._order(ownership, intent.target)
        if answer is PromotionAnswer.TARGET_DOWN:
            # It may have led for a while before it went down, unnoted for want
            # of the store: the one that led before can't be trusted any more.
            await self._records.note_doubt(ownership, intent.target)
        else:
            await sleep(POLL_INTERVAL)
        return True

    def _choose(
        self,
        ownership: Reign,
        members: GroupMembers,
        statuses: Mapping[TargetId, LogStatus],
        min_term: Term,
    ) -> Successor | None:
        """Return the replica whose log is furthest, None if that is unsure."""
        target = choose_successor(ownership.group, statuses)
        known = None if target is None else members.find(target)
        if target is None or known is None:
            return None
        status = statuses[target]
        is_doubtful = self._records.is_leader_doubtful(ownership.group)
        if is_doubtful or status.term < min_term:
            # One that is not heard may have what was written since.
            if _is_any_missing(members, statuses):
                return None
        return Successor(known, status)

    def _is_obsolete(
        self,
        ownership: Reign,
        intent: ReplacementIntent,
        statuses: Mapping[TargetId, LogStatus],
    ) -> bool:
        """Tell whether an intent's order has taken effect, or is an old one."""
        recorded = self._records.find_term(ownership.group)
        leading = {
            target: status.term
            for target, status in statuses.items()
            if status.role is LogRole.PRIMARY
        }
        # A copy of the store may hold an intent that was cleared since.
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
        max_running = recorded | list_places(members)
        # One of them is the primary that is lost.
        return len(max_running - list_places(reachable)) - 1

    async def _catch_up(
        self,
        chosen: Successor,
        acknowledged: Point | None,
    ) -> bool:
        give_up_at = read_clock() + CATCH_UP_TIMEOUT
        status = chosen.status
        while not covers(status, acknowledged):
            if read_clock() > give_up_at:
                return False
            await sleep(POLL_INTERVAL)
            newer = await read_status(self._connector, chosen.known)
            status = newer or status
        return True

    async def _promote(
        self,
        ownership: Reign,
        known: KnownTarget,
    ) -> Successor | None:
        target = known.target.name
        answer = await self._order(ownership, target)
        if answer in _INEFFECTIVE_ANSWERS:
            await self._records.clear_intent(ownership)
            return None
        give_up_at = read_clock() + EFFECT_TIMEOUT
        while read_clock() < give_up_at and ownership.is_held():
            await sleep(POLL_INTERVAL)
            status = await read_status(self._connector, known)
            if status is not None and status.role is LogRole.PRIMARY:
                self._record_decision(
                    DecisionKind.PRIMARY_REPLACED,
                    ownership,
                    target,
                    term=status.term,
                )
                return Successor(known, status)
        return None

    async def _order(
        self,
        ownership: Reign,
        target: TargetId,
    ) -> PromotionAnswer:
        # An order that could arrive after the end of this reign would be one
        # of an owner that is none any more.
        if not ownership.is_held_for(ORDER_TIMEOUT):
            return PromotionAnswer.NOT_TAKEN
        answer = await self._promotions.order(
            PromotionOrder(
                ownership.group, target, ownership.owner, ownership.token
            ),
            ORDER_TIMEOUT,
        )
        self._record_decision(
            DecisionKind.PROMOTION_ORDERED,
            ownership,
            target,
            answer=answer.value,
        )
        return answer

    def _record_decision(
        self,
        kind: DecisionKind,
        ownership: Reign,
        target: TargetId,
        **reasons: object,
    ) -> None:
        details = {name: str(reason) for name, reason in reasons.items()}
        details['token'] = str(ownership.token)
        self._decisions.record(Decision(kind, ownership.group, target, details))


def _is_any_missing(
    members: GroupMembers,
    statuses: Mapping[TargetId, LogStatus],
) -> bool:
    return any(known.target.name not in statuses for known in members.targets)


_INEFFECTIVE_ANSWERS = frozenset(
    (PromotionAnswer.TARGET_DOWN, PromotionAnswer.NOT_TAKEN),
)
