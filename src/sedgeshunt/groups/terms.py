"""Remember the newest term and who led in each."""

from sedgeshunt.groups.invariants import Invariant, Violation
from sedgeshunt.groups.status import Role, TargetStatus
from sedgeshunt.identifiers import Monotonic, TargetId, Term

# Primaries of that many terms are remembered.
REMEMBERED_TERMS = 64


class TermHistory:
    """Hold what is known of a group's terms."""

    def __init__(self) -> None:
        """Start below the first term."""
        self.newest = Term(0)
        self.newest_seen_at: Monotonic | None = None
        self._primaries: dict[Term, TargetId] = {}
        self._disputed: set[Term] = set()

    def record(self, term: Term, now: Monotonic) -> bool:
        """Take in a term; tell whether it is the newest so far."""
        if self.newest_seen_at is not None and term <= self.newest:
            return False
        self.newest_seen_at = now
        self.newest = max(term, self.newest)
        return True

    def record_primary(self, status: TargetStatus) -> Violation | None:
        """Take in a status; return a violation at a second primary."""
        if status.role is not Role.PRIMARY:
            return None
        term = status.fencing_term
        first = self._primaries.setdefault(term, status.target)
        self._forget_old()
        if first == status.target or term in self._disputed:
            return None
        # Whichever of the two is asked, acknowledged writes of the other
        # may be missing; only a promotion in a later term settles it.
        self._disputed.add(term)
        return Violation(
            Invariant.ONE_PRIMARY,
            status.target,
            f'{first} leads in term {term} as well',
        )

    def is_current(self, term: Term) -> bool:
        """Tell whether no higher term is known and nobody disputes it."""
        return term >= self.newest and term not in self._disputed

    def get_primary(self) -> TargetId | None:
        """Return who was seen leading in the newest term, unless disputed."""
        if self.newest in self._disputed:
            return None
        return self._primaries.get(self.newest)

    def _forget_old(self) -> None:
        while len(self._primaries) > REMEMBERED_TERMS:
            oldest = min(self._primaries)
            del self._primaries[oldest]
            self._disputed.discard(oldest)
