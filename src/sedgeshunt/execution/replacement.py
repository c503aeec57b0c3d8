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
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.registry.directory import (
    GroupMembers,
    KnownTarget,
    list_places,
)
from sedgeshunt.registry.entries import ReplacementIntent

# The order's answer takes some milliseconds; the platform may be slow.
ORDER_LIMIT = Seconds(0.5)
# From an order to the moment in which its target leads: 0.3 s, 1 s on large
# installations, and a margin.
EFFECT_LIMIT = Seconds(2.5)
POLL_EVERY = Seconds(0.03)
# A replica receives what was acknowledged within some milliseconds, if the
# primary still sends; what it lacks after this time is lost with the primary.
CATCH_UP_LIMIT = Seconds(0.4)


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
        reign: GroupOwnership,
        members: GroupMembers,
        statuses: Mapping[TargetId, LogStatus],
        acknowledged: Point | None,
        least: Term,
    ) -> Successor | None:
        """Have the replica with the furthest log lead; None if none does.

        `statuses` are those of replicas that answered, `acknowledged` is the
        end of what this owner told callers, None if it told nothing, `least`
        the newest term in which a target is known to have led.
        """
        chosen = self._choose(reign, members, statuses, least)
        if chosen is None:
            return None
        covers_all = await self._catch_up(chosen, acknowledged)
        is_safe = is_safe_choice(
            self._count_unheard(members, statuses),
            members.group.synchronous_replicas,
            covers_all=covers_all and acknowledged is not None,
        )
        if not is_safe:
            return None
        # The next owner must know that an order is under way: it takes effect
        # hundreds of milliseconds after it was sent.
        target = chosen.known.target.name
        if not await self._records.record_intent(reign, target, least):
            return None
        return await self._promote(reign, chosen.known)

    async def finish_pending(
        self,
        reign: GroupOwnership,
        statuses: Mapping[TargetId, LogStatus],
    ) -> bool:
        """See an earlier owner's order through; tell whether there was one."""
        intent = self._records.find_intent(reign.group)
        if intent is None:
            return False
        if self._is_over(reign, intent, statuses):
            await self._records.clear_intent(reign)
            return False
        answer = await self._order(reign, intent.target)
        if answer is PromotionAnswer.TARGET_DOWN:
            # It may have led for a while before it went down, unnoted for want
            # of the store: the one that led before can't be trusted any more.
            await self._records.record_uncertain_primary(reign, intent.target)
        else:
            await sleep(POLL_EVERY)
        return True

    def _choose(
        self,
        reign: GroupOwnership,
        members: GroupMembers,
        statuses: Mapping[TargetId, LogStatus],
        least: Term,
    ) -> Successor | None:
        """Return the replica whose log is furthest, None if that is unsure."""
        target = choose_successor(reign.group, statuses)
        known = None if target is None else members.find(target)
        if target is None or known is None:
            return None
        status = statuses[target]
        is_doubtful = self._records.is_primary_uncertain(reign.group)
        if is_doubtful or status.term < least:
            # One that is not heard may have what was written since.
            if _lacks_any(members, statuses):
                return None
        return Successor(known, status)

    def _is_over(
        self,
        reign: GroupOwnership,
        intent: ReplacementIntent,
        statuses: Mapping[TargetId, LogStatus],
    ) -> bool:
        """Tell whether an intent's order has taken effect, or is an old one."""
        noted = self._records.find_term(reign.group)
        leading = {
            target: status.term
            for target, status in statuses.items()
            if status.role is LogRole.PRIMARY
        }
        # A copy of the store may hold an intent that was cleared since.
        has_newer = max(leading.values(), default=noted) > noted
        return intent.target in leading or has_newer

    def _count_unheard(
        self,
        members: GroupMembers,
        statuses: Mapping[TargetId, LogStatus],
    ) -> int:
        heard = replace(
            members,
            targets=[
                known
                for known in members.targets
                if known.target.name in statuses
            ],
        )
        noted = self._records.find_copies(members.group.name)
        places = noted | list_places(members)
        # One of them is the primary that is lost.
        return len(places - list_places(heard)) - 1

    async def _catch_up(
        self,
        chosen: Successor,
        acknowledged: Point | None,
    ) -> bool:
        give_up = read_clock() + CATCH_UP_LIMIT
        status = chosen.status
        while not covers(status, acknowledged):
            if read_clock() > give_up:
                return False
            await sleep(POLL_EVERY)
            newer = await read_status(self._connector, chosen.known)
            status = newer or status
        return True

    async def _promote(
        self,
        reign: GroupOwnership,
        known: KnownTarget,
    ) -> Successor | None:
        target = known.target.name
        answer = await self._order(reign, target)
        if answer in _WITHOUT_EFFECT:
            await self._records.clear_intent(reign)
            return None
        give_up = read_clock() + EFFECT_LIMIT
        while read_clock() < give_up and reign.is_held():
            await sleep(POLL_EVERY)
            status = await read_status(self._connector, known)
            if status is not None and status.role is LogRole.PRIMARY:
                self._tell(
                    DecisionKind.PRIMARY_REPLACED,
                    reign,
                    target,
                    term=status.term,
                )
                return Successor(known, status)
        return None

    async def _order(
        self,
        reign: GroupOwnership,
        target: TargetId,
    ) -> PromotionAnswer:
        # An order that could arrive after the end of this reign would be one
        # of an owner that is none any more.
        if not reign.is_held_for(ORDER_LIMIT):
            return PromotionAnswer.NOT_TAKEN
        answer = await self._promotions.order(
            PromotionOrder(reign.group, target, reign.owner, reign.token),
            ORDER_LIMIT,
        )
        self._tell(
            DecisionKind.PROMOTION_ORDERED,
            reign,
            target,
            answer=answer.value,
        )
        return answer

    def _tell(
        self,
        kind: DecisionKind,
        reign: GroupOwnership,
        target: TargetId,
        **reasons: object,
    ) -> None:
        said = {name: str(reason) for name, reason in reasons.items()}
        said['token'] = str(reign.token)
        self._decisions.record(Decision(kind, reign.group, target, said))


def _lacks_any(
    members: GroupMembers,
    statuses: Mapping[TargetId, LogStatus],
) -> bool:
    return any(known.target.name not in statuses for known in members.targets)


_WITHOUT_EFFECT = frozenset(
    (PromotionAnswer.TARGET_DOWN, PromotionAnswer.NOT_TAKEN),
)
