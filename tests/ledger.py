"""Note what callers were told and hold it against what truly ran."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from re import compile as compile_pattern

from result import Result

from sedgeshunt.identifiers import TargetId
from sedgeshunt.requests.outcome import Answer, NotRun, Refusal, Unknown
from tests.standins.engine import DatabaseGroup
from tests.standins.records import Event, EventKind

# An answer may come this much after its deadline: the last timers and the
# way back.
LATENESS = 0.1
TAG = compile_pattern(r'/\* tag=(\S+) \*/')


class Promise(Enum):
    """Name what must always hold."""

    READ_YOUR_WRITES = 'read-your-writes'
    DURABLE = 'acknowledged writes are kept'
    SEPARATE_TRANSACTIONS = 'transactions never interleave'
    OWN_ANSWER = 'a caller gets its own answer'
    NOT_RUN = 'not run means not run'
    AT_MOST_ONCE = 'non-idempotent requests run at most once'
    LEAVING = 'a leaving target gets no new work'
    NO_CUT = 'a graceful stop cuts no request'
    CONFIGURATION = 'configuration is in force and never reverts'
    AGE = 'reads keep their stated age'
    DEADLINE = 'nobody waits past the deadline'
    CONNECTIONS = 'connections stay within the limit'
    ONE_PRIMARY = 'one primary for each term'
    INVARIANT = 'no invariant is broken inside the program'


@dataclass(frozen=True, slots=True)
class Violation:
    """Hold one broken promise."""

    promise: Promise
    detail: str


@dataclass(slots=True)
class WriteNote:
    """Hold what a caller knows of one write."""

    ref: str
    is_repeatable: bool
    sent_at: float
    acknowledged_at: float | None = None
    is_refused: bool = True


@dataclass
class Ledger:
    """Collect what callers saw."""

    writes: dict[str, WriteNote] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    reads_by_target: Counter[str] = field(default_factory=Counter)

    def note_write(
        self,
        note: WriteNote,
        outcome: Result[Answer, Refusal],
        now: float,
    ) -> None:
        """Take in the outcome of a write."""
        self.writes[note.ref] = note
        self._count('write', outcome)
        if outcome.is_ok():
            note.acknowledged_at = now
        # Told "not run" once and "unknown" before, a request may have run.
        note.is_refused = note.is_refused and isinstance(
            outcome.err(),
            NotRun,
        )

    def note_read(
        self,
        outcome: Result[Answer, Refusal],
        expected: Iterable[str],
        promise: Promise,
        tag: str,
    ) -> None:
        """Check the rows of a read against the writes it must show."""
        self._count('read', outcome)
        answer = outcome.ok()
        if answer is None:
            return
        self.reads_by_target[str(answer.served_by)] += 1
        seen = {str(row[0]) for row in answer.rows}
        if tag not in seen:
            self.break_promise(Promise.OWN_ANSWER, f'{tag} got {seen}')
        for ref in set(expected) - seen:
            self.break_promise(promise, f'{ref} on {answer.served_by}')

    def note_time(self, deadline: float, now: float, what: str) -> None:
        """Check that an answer came in time."""
        if now > deadline + LATENESS:
            late = now - deadline
            self.break_promise(Promise.DEADLINE, f'{what} {late:.3f} s late')

    def break_promise(self, promise: Promise, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(Violation(promise, detail))

    def list_acknowledged(self, before: float) -> list[str]:
        """List the writes acknowledged before a moment."""
        return [
            note.ref
            for note in self.writes.values()
            if note.acknowledged_at is not None
            and note.acknowledged_at <= before
        ]

    def check_group(self, group: DatabaseGroup) -> None:
        """Hold the ledger against the databases' own history."""
        leader = group.find_leader()
        if leader is None:
            return
        rows = group.select(leader.name, 'SELECT ref FROM turns')
        kept = Counter(str(row[0]) for row in rows)
        for note in self.writes.values():
            self._check_write(note, kept[note.ref])
        for event in group.list_events(EventKind.RIVAL):
            self.break_promise(Promise.ONE_PRIMARY, str(event))
        self._check_connections(group)
        for problem in find_interleaved(group.history):
            self.break_promise(Promise.SEPARATE_TRANSACTIONS, problem)

    def _check_write(self, note: WriteNote, copies: int) -> None:
        if note.acknowledged_at is not None and copies == 0:
            self.break_promise(Promise.DURABLE, note.ref)
        if not note.is_repeatable and copies > 1:
            self.break_promise(Promise.AT_MOST_ONCE, f'{note.ref}: {copies}')
        if note.is_refused and copies:
            self.break_promise(Promise.NOT_RUN, note.ref)

    def _check_connections(self, group: DatabaseGroup) -> None:
        for database in group.databases.values():
            limit = database.limits.connection_limit
            if database.peak_connections > limit:
                peak = f'{database.name}: {database.peak_connections}'
                self.break_promise(Promise.CONNECTIONS, peak)

    def _count(self, kind: str, outcome: Result[Answer, Refusal]) -> None:
        refusal = outcome.err()
        name = 'done'
        if isinstance(refusal, NotRun):
            name = f'not run ({refusal.cause.value})'
        elif isinstance(refusal, Unknown):
            name = f'unknown ({refusal.cause.value})'
        elif refusal is not None:
            name = f'rejected: {refusal.describe()}'
        self.outcomes[f'{kind}: {name}'] += 1


def find_interleaved(history: Iterable[Event]) -> Iterator[str]:
    """Find transactions that hold statements of more than one caller."""
    open_tags: dict[tuple[TargetId, int], set[str]] = {}
    ends = {EventKind.COMMITTED, EventKind.ROLLED_BACK, EventKind.CLOSED}
    for event in history:
        key = (event.database, event.connection)
        if event.kind is EventKind.BEGAN:
            open_tags[key] = set()
        elif event.kind in ends:
            open_tags.pop(key, None)
        elif event.kind is EventKind.RAN and key in open_tags:
            open_tags[key].update(TAG.findall(event.sql))
            if len(open_tags[key]) > 1:
                yield f'{key}: {sorted(open_tags[key])}'
