"""Track the newest term and the primary of each term."""

from sedgeshunt.groups.invariants import Invariant, Violation
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.identifiers import Monotonic, TargetId, Term

# Number of terms whose primary is kept.
MAX_TERMS = 64


class TermHistory:
    """The terms of a group and their primaries, as far as known."""

    def __init__(self) -> None:
        """Start at term 0, below the first one."""
        self.newest = Term(0)
        self.newest_seen_at: Monotonic | None = None
        self._primaries: dict[Term, TargetId] = {}
        self._disputed: set[Term] = set()

    def record(self, term: Term, now: Monotonic) -> bool:
        """Record a term; return whether it is the newest so far."""
        if self.newest_seen_at is not None and term <= self.newest:
            return False
        self.newest_seen_at = now
        self.newest = max(term, self.newest)
        return True

    def record_primary(self, status: TargetStatus) -> Violation | None:
        """Record a primary; return a violation if the term has another."""
        if status.role is not Role.PRIMARY:
            return None
        term = status.fencing_term
        first = self._primaries.setdefault(term, status.target)
        self._drop_oldest()
        if first == status.target or term in self._disputed:
            return None
        # Either primary may lack acknowledged writes of the other. Only a
        # promotion in a later term resolves this.
        self._disputed.add(term)
        return Violation(
            Invariant.ONE_PRIMARY,
            status.target,
            f'{first} leads in term {term} as well',
        )

    def is_current(self, term: Term) -> bool:
        """Return whether `term` is the newest and has only one primary."""
        return term >= self.newest and term not in self._disputed

    def get_primary(self) -> TargetId | None:
        """Return the undisputed primary of the newest term, None if none."""
        if self.newest in self._disputed:
            return None
        return self._primaries.get(self.newest)

    def _drop_oldest(self) -> None:
        while len(self._primaries) > MAX_TERMS:
            oldest = min(self._primaries)
            del self._primaries[oldest]
            self._disputed.discard(oldest)
