"""Write what becomes of each promotion order and of its recorded intent."""

from collections.abc import Mapping

from sedgeshunt.clocks import read_boottime
from sedgeshunt.connections.target_session import LogRole, LogStatus
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.groups.orders import PromotionAnswer
from sedgeshunt.identifiers import Boottime, GroupId, TargetId, Term
from sedgeshunt.ownership.evidence import MILLISECONDS
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.registry.entries import ReplacementIntent


class OrderLines:
    """Write orders with their times, and why each intent ends."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Write to `decisions`."""
        self._decisions = decisions
        # When this proxy sent its latest order for a target.
        self._sent: dict[tuple[GroupId, TargetId], Boottime] = {}
        # The intents of earlier owners that have a line.
        self._found: dict[GroupId, ReplacementIntent] = {}

    def record_intent(
        self,
        ownership: GroupOwnership,
        target: TargetId,
        served: Term,
        *,
        is_stored: bool,
    ) -> None:
        """Write that an intent was recorded, or that it may not have been."""
        self._record(
            DecisionKind.INTENT_RECORDED,
            ownership,
            target,
            stored=is_stored,
            served_term=served,
        )

    def record_found(
        self,
        ownership: GroupOwnership,
        intent: ReplacementIntent,
    ) -> None:
        """Write once that a recorded intent was found."""
        if self._found.get(ownership.group) == intent:
            return
        self._found[ownership.group] = intent
        self._record(
            DecisionKind.INTENT_FOUND,
            ownership,
            intent.target,
            intent_token=intent.token,
        )

    def record_order(
        self,
        ownership: GroupOwnership,
        target: TargetId,
        answer: PromotionAnswer,
        sent_at: Boottime,
        reply: str,
    ) -> None:
        """Write an order that was sent at `sent_at`, and its answer."""
        self._sent[ownership.group, target] = sent_at
        waited = read_boottime() - sent_at
        self._record(
            DecisionKind.PROMOTION_ORDERED,
            ownership,
            target,
            answer=answer.value,
            status=reply,
            waited_ms=round(waited * MILLISECONDS),
        )

    def record_withheld(
        self, ownership: GroupOwnership, target: TargetId
    ) -> None:
        """Write that an order was not sent, as the ownership ends soon."""
        left = ownership.describe().left
        self._record(
            DecisionKind.PROMOTION_WITHHELD,
            ownership,
            target,
            left_ms=round(left * MILLISECONDS),
        )

    def record_effect(
        self,
        ownership: GroupOwnership,
        target: TargetId,
        term: Term,
    ) -> None:
        """Write that an order is seen to be in effect."""
        self._record(
            DecisionKind.PRIMARY_REPLACED,
            ownership,
            target,
            term=term,
            **self._describe_time(ownership, target),
        )

    def record_no_effect(
        self, ownership: GroupOwnership, target: TargetId
    ) -> None:
        """Write that no effect of an order was seen in time."""
        self._record(
            DecisionKind.PROMOTION_NOT_SEEN,
            ownership,
            target,
            **self._describe_time(ownership, target),
        )

    def record_cleared(
        self,
        ownership: GroupOwnership,
        target: TargetId,
        why: str,
        *,
        is_stored: bool,
    ) -> None:
        """Write that an intent was cleared, or that it may not have been."""
        self._found.pop(ownership.group, None)
        self._record(
            DecisionKind.INTENT_CLEARED,
            ownership,
            target,
            why=why,
            stored=is_stored,
            **self._describe_time(ownership, target),
        )

    def _describe_time(
        self,
        ownership: GroupOwnership,
        target: TargetId,
    ) -> dict[str, object]:
        sent_at = self._sent.get((ownership.group, target))
        if sent_at is None:
            return {}
        spent = read_boottime() - sent_at
        return {'since_order_ms': round(spent * MILLISECONDS)}

    def _record(
        self,
        kind: DecisionKind,
        ownership: GroupOwnership,
        target: TargetId,
        **reasons: object,
    ) -> None:
        details = {name: str(reason) for name, reason in reasons.items()}
        details['token'] = str(ownership.token)
        self._decisions.record(Decision(kind, ownership.group, target, details))


def find_end(
    intent: ReplacementIntent,
    statuses: Mapping[TargetId, LogStatus],
) -> str:
    """Return what shows that an intent has ended."""
    leading = {
        target: status.term
        for target, status in statuses.items()
        if status.role is LogRole.PRIMARY
    }
    if intent.target in leading:
        return f'in effect in term {leading[intent.target]}'
    if not leading:
        return 'no longer in progress'
    newest = max(leading, key=leading.__getitem__)
    return f'obsolete by term {leading[newest]} of {newest}'
