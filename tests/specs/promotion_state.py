"""Define the state of a group during promotions and writes."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

DATABASES = (0, 1, 2)
MAJORITY = 2
FIRST_TERM = 1
NOBODY = -1
# Marks a term in which two databases were promoted.
RIVALS = 9

# A point: the last record's term, then the length of the log.
End = tuple[int, int]
UNKNOWN_END = (0, 0)
# A record: its term and the number of its write, 0 for an opening record.
Record = tuple[int, int]
Log = tuple[Record, ...]


class Safeguard(Enum):
    """Safeguards that can be removed from the protocol."""

    FENCE_MAJORITY = 'a majority is fenced before a promotion'
    FENCE_FIRST = 'the choice is made by what the fences answered'
    ACCEPT_ONCE = 'a target accepts a term once'
    OWN_FENCES = 'a proxy counts only the fences that it won'
    HIGHEST_POINT = 'the highest point is promoted, by term first'
    AVOID_SAFELY = 'a target is left out only if the rest is a majority'
    ONE_PROMOTION = 'a proxy promotes one target in a term'
    ACKNOWLEDGED_BY_MAJORITY = 'a majority shows a write'
    ONE_ANSWER = 'term and log end come from one answer'
    LINEAGE = 'a token is compared by term first'
    FENCED_LOG = 'a log counts only if its fence protects it'
    ASKED_AFTER = 'a watermark counts only answers asked for after its moment'


@dataclass(frozen=True)
class Scope:
    """Bounds of the search, and the safeguard that is removed."""

    writes: int = 2
    proxies: int = 2
    last_term: int = 3
    # A fenced database still accepts late records of the old primary.
    late_records: bool = False
    removed: Safeguard | None = None

    def lacks(self, safeguard: Safeguard) -> bool:
        """Return whether a safeguard is removed."""
        return safeguard is self.removed


class Database(NamedTuple):
    """Fencing term, replication source and log of one database."""

    fence: int
    source: int
    is_fenced: bool
    log: Log


class Round(NamedTuple):
    """A proxy's latest attempt: log ends of its fences, () when over."""

    term: int
    ends: tuple[End, ...]


class Write(NamedTuple):
    """A write and the answers any proxy may have seen, as bit sets."""

    point: End
    # Databases that showed it in an answer with its own term.
    shown: int
    # Databases that showed a log end that covers it.
    covered: int
    # Databases that showed a lower log end after it could be acknowledged;
    # NOBODY before.
    behind: int
    # Databases that ever showed its term, for separately read answers.
    in_term: int

    @property
    def is_acknowledged(self) -> bool:
        """Return whether some proxy may have acknowledged it."""
        return self.behind != NOBODY


class State(NamedTuple):
    """The databases, the proxies, the primary of each term, the writes."""

    databases: tuple[Database, ...]
    rounds: tuple[Round, ...]
    # The database promoted in each term after the first.
    leaders: tuple[int, ...]
    writes: tuple[Write, ...]


IDLE = Round(FIRST_TERM, ())


def read_end(log: Log) -> End:
    """Return the point at which a log ends."""
    return log[-1][0], len(log)


def find_leading_term(state: State, database: int) -> int:
    """Return the last term in which a database was primary, 0 if none."""
    terms = [
        FIRST_TERM + 1 + index
        for index, leader in enumerate(state.leaders)
        if leader == database
    ]
    if terms:
        return terms[-1]
    return FIRST_TERM if database == DATABASES[0] else 0


def is_primary(state: State, database: int) -> bool:
    """Return whether a database accepts writes."""
    known = state.databases[database]
    if known.is_fenced or known.source != NOBODY:
        return False
    return find_leading_term(state, database) == known.fence


def make_first_state(scope: Scope) -> State:
    """Return a group with a primary and two replicas."""
    log = ((FIRST_TERM, 0),)
    follower = Database(FIRST_TERM, DATABASES[0], is_fenced=False, log=log)
    primary = follower._replace(source=NOBODY)
    return State(
        databases=(primary, follower, follower),
        rounds=(IDLE,) * scope.proxies,
        leaders=(NOBODY,) * (scope.last_term - FIRST_TERM),
        writes=(),
    )
