"""Find targets that don't follow the current primary."""

from dataclasses import dataclass

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, Term

# Leaves time for the promoter to repoint the targets itself.
FIRST_ORDER_DELAY = Seconds(0.05)
# Delay per rank of the proxy, to avoid duplicate orders.
RANK_DELAY = Seconds(0.15)
RETRY_INTERVAL = Seconds(0.5)


@dataclass(frozen=True, slots=True)
class FollowOrder:
    """The primary that a target must follow, and its term."""

    term: Term
    primary: TargetId


class ReplicaRepair:
    """Decide when to order a target to follow the primary."""

    def __init__(self, view: GroupView) -> None:
        """Decide by the state of `view`, with the first rank."""
        self.rank = 0
        self._view = view
        self._due_at: dict[TargetId, Monotonic] = {}

    def find_order(self, status: TargetStatus) -> FollowOrder | None:
        """Return the order that is due for the target now, None if none."""
        order = self._find_order(status)
        if order is None:
            self._due_at.pop(status.target, None)
            return None
        now = read_clock()
        first = Monotonic(now + FIRST_ORDER_DELAY + self.rank * RANK_DELAY)
        if now < self._due_at.setdefault(status.target, first):
            return None
        self._due_at[status.target] = Monotonic(now + RETRY_INTERVAL)
        return order

    def _find_order(self, status: TargetStatus) -> FollowOrder | None:
        # Without an order, a superseded primary keeps its unacknowledged
        # records and copies nothing, so it neither counts for a majority nor
        # serves fresh reads. Targets only follow a responsive primary of the
        # newest term; without one, a promotion has to come first.
        term = self._view.newest_term
        primary = self._view.get_primary()
        if primary is None or primary == status.target:
            return None
        follows = status.role is Role.REPLICA and status.following == primary
        if status.fencing_term == term and follows:
            return None
        return FollowOrder(term, primary)
