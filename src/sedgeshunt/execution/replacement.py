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
from sedgeshunt.execution.pending_orders import (
    EFFECT_TIMEOUT,
    REPEAT_PAUSE,
    PendingOrder,
    PendingOrders,
)
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
from sedgeshunt.identifiers import GroupId, Seconds, TargetId, TargetLife, Term
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
        self._orders = PendingOrders()

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
        order = await self._prepare(ownership, chosen, statuses, min_term)
        if order is None:
            return None
        return await self._promote(ownership, chosen.known, order)

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
        order = self._orders.resume(ownership.group, intent)
        if self._is_settled(ownership, order, statuses):
            why = find_end(intent, statuses)
            await self._settle(ownership, order, statuses, why)
            return False
        is_hopeless = self._is_hopeless(ownership, order, statuses)
        if order.is_repeat_due() and not is_hopeless:
            await self._repeat(ownership, order)
        await sleep(POLL_INTERVAL)
        return True

    def list_late_targets(self, group: GroupId) -> frozenset[TargetId]:
        """Return the targets that late orders of this proxy may promote."""
        return self._orders.list_late(group)

    async def _prepare(
        self,
        ownership: GroupOwnership,
        chosen: Successor,
        statuses: Mapping[TargetId, LogStatus],
        min_term: Term,
    ) -> PendingOrder | None:
        """Record an intent, None if the store did not confirm it."""
        # An order takes effect hundreds of milliseconds after it was sent. If
        # this owner is lost meanwhile, the next one must know about it.
        terms = (status.term for status in statuses.values())
        intent = ReplacementIntent(
            chosen.known.target.name, ownership.token, max(min_term, *terms)
        )
        is_stored = await self._records.record_intent(
            ownership, intent, min_term
        )
        self.lines.record_intent(
            ownership, intent.target, min_term, is_stored=is_stored
        )
        if not is_stored:
            return None
        return self._orders.begin(ownership.group, intent)

    async def _repeat(
        self,
        ownership: GroupOwnership,
        order: PendingOrder,
    ) -> None:
        answer = await self._order(ownership, order)
        # A later order may be refused as the target is down, and the target be
        # back before an earlier order is carried out.
        if answer is PromotionAnswer.TARGET_DOWN:
            if not order.may_take_effect():
                # The target may have been primary before it went down,
                # unrecorded as the store was unreachable. The primary before
                # it cannot be trusted any more.
                self._orders.forget(ownership.group)
                is_stored = await self._records.record_uncertain_primary(
                    ownership, order.target
                )
                self.lines.record_cleared(
                    ownership, order.target, answer.value, is_stored=is_stored
                )

    async def _settle(
        self,
        ownership: GroupOwnership,
        order: PendingOrder,
        statuses: Mapping[TargetId, LogStatus],
        why: str,
    ) -> None:
        """Record the end of an order, and its target if that leads."""
        order.is_settled = True
        term = _list_leading(statuses).get(order.target, Term(0))
        if term > self._records.find_term(ownership.group):
            # At once, as the next owner would accept the recorded primary if
            # it found no intent.
            is_recorded = await self._records.record_primary(
                ownership, order.target, term, TargetLife(0)
            )
        else:
            is_recorded = await self._records.clear_intent(ownership)
        self.lines.record_cleared(
            ownership, order.target, why, is_stored=is_recorded
        )
        if is_recorded:
            self._orders.forget(ownership.group)

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

    def _is_settled(
        self,
        ownership: GroupOwnership,
        order: PendingOrder,
        statuses: Mapping[TargetId, LogStatus],
    ) -> bool:
        """Return whether an order has taken effect or cannot any more."""
        target = statuses.get(order.target)
        if order.is_settled or (target and order.is_effect(target)):
            return True
        if order.may_take_effect():
            return False
        return self._is_hopeless(ownership, order, statuses)

    def _is_hopeless(
        self,
        ownership: GroupOwnership,
        order: PendingOrder,
        statuses: Mapping[TargetId, LogStatus],
    ) -> bool:
        """Return whether an order should not be repeated any more."""
        # A store restored from a backup may hold an intent cleared since.
        recorded = self._records.find_term(ownership.group)
        known = max(recorded, order.intent.term)
        newest = max(_list_leading(statuses).values(), default=known)
        return newest > known or _can_return(order, statuses)

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
        order: PendingOrder,
    ) -> Successor | None:
        answer = await self._order(ownership, order)
        if answer in _INEFFECTIVE_ANSWERS:
            await self._settle(ownership, order, {}, answer.value)
            return None
        # An order without an answer is repeated soon.
        is_accepted = answer is PromotionAnswer.ACCEPTED
        limit = EFFECT_TIMEOUT if is_accepted else REPEAT_PAUSE
        return await self._wait_effect(ownership, known, order, limit)

    async def _wait_effect(
        self,
        ownership: GroupOwnership,
        known: KnownTarget,
        order: PendingOrder,
        limit: Seconds,
    ) -> Successor | None:
        give_up = read_clock() + limit
        is_over = False
        while not is_over and ownership.is_held():
            await sleep(POLL_INTERVAL)
            # The last status is read after the end.
            is_over = read_clock() > give_up
            status = await read_status(self._connector, known)
            if status is not None and order.is_effect(status):
                self.lines.record_effect(
                    ownership, known.target.name, status.term
                )
                self._orders.forget(ownership.group)
                return Successor(known, status)
        self.lines.record_no_effect(ownership, known.target.name)
        return None

    async def _order(
        self,
        ownership: GroupOwnership,
        order: PendingOrder,
    ) -> PromotionAnswer:
        # The order must not arrive after this ownership has ended, when
        # another owner may already be serving a primary.
        if not ownership.is_held_for(ORDER_TIMEOUT):
            self.lines.record_withheld(ownership, order.target)
            return PromotionAnswer.NOT_TAKEN
        sent_at = read_boottime()
        answer = await self._promotions.order(
            PromotionOrder(
                ownership.group,
                order.target,
                ownership.owner,
                ownership.token,
            ),
            ORDER_TIMEOUT,
        )
        self._orders.note_answer(ownership.group, order, answer)
        reply = self._promotions.describe_reply(ownership.group)
        self.lines.record_order(ownership, order.target, answer, sent_at, reply)
        return answer


def _is_any_missing(
    members: GroupMembers,
    statuses: Mapping[TargetId, LogStatus],
) -> bool:
    return any(known.target.name not in statuses for known in members.targets)


def _list_leading(
    statuses: Mapping[TargetId, LogStatus],
) -> dict[TargetId, Term]:
    """Return the terms of the targets that report to be primary."""
    return {
        target: status.term
        for target, status in statuses.items()
        if status.role is LogRole.PRIMARY
    }


def _can_return(
    order: PendingOrder,
    statuses: Mapping[TargetId, LogStatus],
) -> bool:
    """Return whether the earlier primary can be used instead of an order's."""
    # A target that has led keeps the term of its log as a replica.
    target = statuses.get(order.target)
    if target is None or not order.has_failed_long():
        return False
    return any(term >= target.term for term in _list_leading(statuses).values())


_INEFFECTIVE_ANSWERS = frozenset(
    (PromotionAnswer.TARGET_DOWN, PromotionAnswer.NOT_TAKEN),
)
