"""Write a line for each statement that was not answered in time."""

from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Monotonic, Seconds
from sedgeshunt.logs import EventLog, LogLevel, ProcessEvent
from sedgeshunt.requests.outcome import NotRun, Refusal, Rejected
from sedgeshunt.statements.counts import name_outcome
from sedgeshunt.statements.records import StatementRecord, StatementRecorder
from sedgeshunt.statements.waits import Waits

MILLISECONDS = 1000
# Lines in a second, of each outcome apart: a flood of refusals must not push
# the few unknown outcomes out. A line takes 0.1 ms; what is dropped first is
# the answers that were late, and their number is in the next line.
LONGEST_BURST = {
    'late': 5,
    'rejected': 10,
    'not-run': 20,
    'unknown': 40,
}
WINDOW = Seconds(1)


class StatementLines(StatementRecorder):
    """Write what is worth a line, and count what is not written."""

    def __init__(self, events: EventLog) -> None:
        """Write to `events`."""
        self._events = events
        self._window = Monotonic(0)
        self._written: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def record(self, end: StatementRecord) -> None:
        """Write a statement that was refused, or answered too late."""
        outcome = _name_outcome(end)
        if outcome is None:
            return
        if not self._may_write(outcome):
            self._dropped[outcome] = self._dropped.get(outcome, 0) + 1
            return
        self._events.note(
            ProcessEvent.STATEMENT,
            LogLevel.WARNING,
            statement=end.statement,
            database=end.database,
            group=end.group,
            kind=end.kind,
            transaction=end.transaction,
            outcome=outcome,
            spent_ms=round(end.spent * MILLISECONDS, 1),
            waits_ms=_list_waits(end.waits),
            objective_ms=round(end.objective * MILLISECONDS),
            version=end.version,
            site=end.site,
            target=end.target,
            customer=end.identity.customer or None,
            key=end.identity.key or None,
            dropped=self._dropped.pop(outcome, None),
            **_describe(end.refusal),
        )

    def _may_write(self, outcome: str) -> bool:
        now = read_clock()
        if now - self._window > WINDOW:
            self._window = now
            self._written.clear()
        written = self._written.get(outcome, 0)
        self._written[outcome] = written + 1
        return written < LONGEST_BURST[outcome]


def _name_outcome(end: StatementRecord) -> str | None:
    if end.refusal is not None:
        return name_outcome(end.refusal)
    return 'late' if end.spent > end.objective else None


def _list_waits(waits: Waits) -> dict[str, float]:
    return {
        cause.value: round(spent * MILLISECONDS, 1)
        for cause, spent in waits.items()
    }


def _describe(refusal: Refusal | None) -> dict[str, object]:
    if refusal is None:
        return {}
    if isinstance(refusal, Rejected):
        return {'cause': refusal.sqlstate, 'why': refusal.reason}
    said: dict[str, object] = {
        'cause': refusal.cause.value,
        'why': refusal.reason,
        'refused_by': refusal.target,
    }
    if isinstance(refusal, NotRun):
        said['retry_ms'] = round(refusal.retry_after * MILLISECONDS)
    return said
