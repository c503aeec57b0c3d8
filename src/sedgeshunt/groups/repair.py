"""Find targets that have to be told whom to follow."""

from dataclasses import dataclass

from sedgeshunt.clocks import read_clock
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.groups.view import GroupView
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, Term

# The promoter itself tells the others first.
FIRST_AFTER = Seconds(0.05)
# Each further proxy holds back for this long, to save doubled calls.
RANK_DELAY = Seconds(0.15)
RETRY_AFTER = Seconds(0.5)


@dataclass(frozen=True, slots=True)
class FollowOrder:
    """Hold the term and primary that a target should follow."""

    term: Term
    primary: TargetId


class ReplicaRepair:
    """Decide when a target has to be told to follow the primary."""

    def __init__(self, view: GroupView) -> None:
        """Judge by `view`, as the first proxy to act."""
        self.rank = 0
        self._view = view
        self._due_at: dict[TargetId, Monotonic] = {}

    def find_order(self, status: TargetStatus) -> FollowOrder | None:
        """Return what to tell the target now, if anything."""
        order = self._find_order(status)
        if order is None:
            self._due_at.pop(status.target, None)
            return None
        now = read_clock()
        first = Monotonic(now + FIRST_AFTER + self.rank * RANK_DELAY)
        if now < self._due_at.setdefault(status.target, first):
            return None
        self._due_at[status.target] = Monotonic(now + RETRY_AFTER)
        return order

    def _find_order(self, status: TargetStatus) -> FollowOrder | None:
        # A superseded primary that nobody tells keeps its unacknowledged
        # suffix and copies nothing: it counts for no majority and serves no
        # fresh read. Only a primary of the newest term, heard just now, is
        # worth following; in any other case a promotion comes first.
        term = self._view.newest_term
        primary = self._view.get_primary()
        if primary is None or primary == status.target:
            return None
        follows = status.role is Role.REPLICA and status.following == primary
        if status.fencing_term == term and follows:
            return None
        return FollowOrder(term, primary)
