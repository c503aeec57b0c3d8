"""Track promotion orders that may still take effect."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import LogRole, LogStatus
from sedgeshunt.groups.orders import PromotionAnswer
from sedgeshunt.identifiers import GroupId, Monotonic, Seconds, TargetId
from sedgeshunt.registry.entries import ReplacementIntent

# A promotion takes effect in 0.3 s, or 1 s on large installations; the rest is
# a safety margin.
EFFECT_TIMEOUT = Seconds(2.5)
# A platform that is short of processor time carries an order out seconds after
# its caller gave up, and the effect follows. The protocol has no bound for it:
# an effect after this time can't be prevented without fences. Until then a
# group whose order was not answered has no primary if the target is down.
LATE_ORDER_TIMEOUT = Seconds(6)
# The platform accepts few orders per second from all proxies together.
REPEAT_PAUSE = Seconds(0.3)
# An order that failed for this long is not repeated while the earlier primary
# is still in order and can be used once no order may take effect any more.
REPEAT_TIMEOUT = Seconds(2)


class PendingOrder:
    """Hold when the orders for one target may take effect."""

    def __init__(self, intent: ReplacementIntent, latest: Monotonic) -> None:
        """Expect an earlier order to take effect until `latest`."""
        self.intent = intent
        # The intent is being cleared; the store may do so at any time. An order
        # sent now could be forgotten while it takes effect.
        self.is_settled = False
        self._since = read_clock()
        self._latest_effect = latest
        self._repeat_at = self._since

    @property
    def target(self) -> TargetId:
        """Return the target to promote."""
        return self.intent.target

    def may_take_effect(self) -> bool:
        """Return whether an order may still take effect."""
        return read_clock() < self._latest_effect

    def is_effect(self, status: LogStatus) -> bool:
        """Return whether the target's status shows the promotion.

        A superseded primary reports its old term for a while. An order for the
        present primary changes nothing, so its term is accepted in the end.
        """
        if status.role is not LogRole.PRIMARY:
            return False
        return status.term >= self.intent.term or not self.may_take_effect()

    def is_repeat_due(self) -> bool:
        """Return whether the order should be sent again."""
        return read_clock() >= self._repeat_at

    def has_failed_long(self) -> bool:
        """Return whether repeating it has not helped for long."""
        return read_clock() - self._since > REPEAT_TIMEOUT

    def note_answer(self, answer: PromotionAnswer) -> None:
        """Record the outcome of an order."""
        now = read_clock()
        self._repeat_at = Monotonic(now + REPEAT_PAUSE)
        span = _EFFECT_SPANS.get(answer)
        if span is not None:
            self._latest_effect = Monotonic(
                max(self._latest_effect, now + span)
            )


class PendingOrders:
    """Hold the pending order of each group, as far as this proxy knows."""

    def __init__(self) -> None:
        """Start without orders."""
        self._orders: dict[GroupId, PendingOrder] = {}
        # Until when each target may be promoted by an order without an answer,
        # also if a later order has already promoted it.
        self._unanswered: dict[GroupId, dict[TargetId, Monotonic]] = {}

    def begin(self, group: GroupId, intent: ReplacementIntent) -> PendingOrder:
        """Return a pending order that has not been sent yet."""
        order = PendingOrder(intent, Monotonic(0))
        self._orders[group] = order
        return order

    def resume(self, group: GroupId, intent: ReplacementIntent) -> PendingOrder:
        """Return a pending order, possibly sent by an earlier owner."""
        order = self._orders.get(group)
        if order is None or order.intent != intent:
            # Nothing is known about the time at which it was sent.
            latest = Monotonic(read_clock() + LATE_ORDER_TIMEOUT)
            order = PendingOrder(intent, latest)
            self._orders[group] = order
        return order

    def note_answer(
        self,
        group: GroupId,
        order: PendingOrder,
        answer: PromotionAnswer,
    ) -> None:
        """Record the outcome of an order."""
        order.note_answer(answer)
        if answer is PromotionAnswer.UNANSWERED:
            latest = Monotonic(read_clock() + LATE_ORDER_TIMEOUT)
            self._unanswered.setdefault(group, {})[order.target] = latest

    def list_late(self, group: GroupId) -> frozenset[TargetId]:
        """Return the targets that late orders of this proxy may promote."""
        now = read_clock()
        late = {
            target: latest
            for target, latest in self._unanswered.pop(group, {}).items()
            if now < latest
        }
        if late:
            self._unanswered[group] = late
        return frozenset(late)

    def forget(self, group: GroupId) -> None:
        """Drop a group's order, as it has taken effect or cannot any more."""
        self._orders.pop(group, None)


_EFFECT_SPANS = {
    PromotionAnswer.ACCEPTED: EFFECT_TIMEOUT,
    PromotionAnswer.UNANSWERED: LATE_ORDER_TIMEOUT,
}
