"""Keep what callers asked for and what they were told."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """Name the kinds of requests that the demo's callers send."""

    TURN = 'turn, with request id'
    PLAY = 'licence entry, not repeatable'
    OWN = 'read of own write'
    BROWSE = 'browse, 2 s old at most'


class Outcome(Enum):
    """Name what a caller can be told."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    REJECTED = 'rejected'


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one request and its outcome; times on one monotonic clock."""

    kind: Kind
    reference: str
    outcome: Outcome
    started_at: float
    ended_at: float
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Turn:
    """Hold one row that a caller wants in the table, exactly once."""

    number: int

    @property
    def reference(self) -> str:
        """Return the text by which the row and its request are known."""
        return f'turn-{self.number}'

    @property
    def sql(self) -> str:
        """Return the statement, with a request id that makes it repeatable."""
        return (
            f"/*request_id='{self.reference}'*/ INSERT INTO turns (id, song) "
            + f"VALUES ({self.number}, '{self.reference}')"
        )


@dataclass
class Ledger:
    """Hold all attempts of all callers."""

    attempts: list[Attempt] = field(default_factory=list)
    # Writes whose own caller did not find them.
    not_found: list[str] = field(default_factory=list)
    # Connections that no proxy accepted; the callers went to another.
    turned_away: int = 0

    def count(self, kind: Kind) -> Counter[Outcome]:
        """Count the outcomes of one kind."""
        return Counter(
            attempt.outcome for attempt in self.attempts if attempt.kind is kind
        )

    def list_references(
        self,
        kinds: Iterable[Kind],
        outcome: Outcome,
    ) -> set[str]:
        """Return the references of attempts with this outcome."""
        wanted = set(kinds)
        return {
            attempt.reference
            for attempt in self.attempts
            if attempt.kind in wanted and attempt.outcome is outcome
        }

    def find_slowest(self) -> float:
        """Return the longest time that a request took, in seconds."""
        return max(
            (each.ended_at - each.started_at for each in self.attempts),
            default=0,
        )

    def find_write_gap(self) -> float:
        """Return the longest time without an acknowledged write."""
        ends = sorted(
            attempt.ended_at
            for attempt in self.attempts
            if attempt.kind in {Kind.TURN, Kind.PLAY}
            and attempt.outcome is Outcome.DONE
        )
        return max(
            (later - earlier for earlier, later in zip(ends, ends[1:])),
            default=0,
        )
