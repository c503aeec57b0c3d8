"""Write under which claim and term statements were sent to a primary."""

from collections import Counter
from contextvars import ContextVar

from result import Result

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import Monotonic, Seconds, TargetId, Term
from sedgeshunt.ownership.evidence import MILLISECONDS, Basis, HoldEvidence
from sedgeshunt.ownership.group_ownership import GroupOwnership
from sedgeshunt.requests.outcome import Answer, NotRun, Refusal, Rejected
from sedgeshunt.statements.call import StatementCall

# A statement sent this long before the end of an ownership is counted.
END_MARGIN = Seconds(0.1)
# One in this many of the statements that were answered in time has a line.
SAMPLE_EVERY = 1000
WINDOW = Seconds(1)
# Lines in a second, of each outcome apart.
MAX_LINES = {
    'voided': 20,
    'unknown': 20,
    'not-run': 5,
    'rejected': 1,
    'late': 5,
    'done': 1,
}


class SendNote:
    """Hold when a statement was sent, where to and by what right."""

    __slots__ = ('evidence', 'sent_at', 'started_at', 'target', 'term')

    def __init__(self) -> None:
        """Start before the statement is sent."""
        self.started_at = read_clock()
        self.sent_at = Monotonic(0)
        self.evidence: HoldEvidence | None = None
        self.target = TargetId('')
        self.term = Term(0)


_note: ContextVar[SendNote | None] = ContextVar('send_note', default=None)


class PrimaryLines:
    """Write voided, late and refused statements at primaries, and a sample."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Write to `decisions`."""
        # Answers that were voided, and statements sent near or past the end of
        # an ownership, since the start.
        self.voided = 0
        self.sent_near_end = 0
        self.sent_unheld = 0
        self._decisions = decisions
        self._seen = 0
        self._window = Monotonic(0)
        self._written: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    def record(
        self,
        call: StatementCall,
        note: SendNote,
        ownership: GroupOwnership,
        outcome: Result[Answer, Refusal],
        *,
        is_voided: bool,
    ) -> None:
        """Write a statement that was sent, if it is worth a line."""
        sent = note.evidence
        if sent is None:
            return
        self._count(sent, is_voided=is_voided)
        self._seen += 1
        name = 'voided' if is_voided else _name_outcome(call, note, outcome)
        if name == 'done' and self._seen % SAMPLE_EVERY != 1:
            return
        if self._may_write(name):
            self._write(call, note, ownership, name)
        else:
            self._dropped[name] += 1

    def _count(self, sent: HoldEvidence, *, is_voided: bool) -> None:
        self.voided += is_voided
        if sent.basis is Basis.NONE:
            self.sent_unheld += 1
        elif sent.left < END_MARGIN:
            self.sent_near_end += 1

    def _may_write(self, name: str) -> bool:
        now = read_clock()
        if now - self._window > WINDOW:
            self._window = now
            self._written.clear()
        self._written[name] += 1
        return self._written[name] <= MAX_LINES[name]

    def _write(
        self,
        call: StatementCall,
        note: SendNote,
        ownership: GroupOwnership,
        name: str,
    ) -> None:
        now = read_clock()
        answered = ownership.describe()
        reasons = {
            'statement': call.statement,
            'kind': call.kind.value,
            'database': call.traffic_class,
            'outcome': name,
            'term': str(note.term),
            **({} if note.evidence is None else note.evidence.describe()),
            'waited_ms': _format(note.sent_at - note.started_at),
            'sent_ms': _format(now - note.sent_at),
            'evidence_after': answered.basis.value,
            'token_after': str(answered.token),
            'left_after_ms': _format(answered.left),
        }
        if call.transaction is not None:
            reasons['transaction'] = call.transaction
        if self._dropped[name]:
            reasons['dropped'] = str(self._dropped.pop(name))
        kind = (
            DecisionKind.ANSWER_VOIDED
            if name == 'voided'
            else DecisionKind.PRIMARY_STATEMENT
        )
        self._decisions.record(Decision(kind, call.group, note.target, reasons))


def start_note() -> SendNote:
    """Note what is sent to a primary for the statement of this task."""
    note = SendNote()
    _note.set(note)
    return note


def check_send(
    ownership: GroupOwnership,
    target: TargetId,
    term: Term,
) -> bool:
    """Return whether a statement may be sent, and note by what right."""
    is_held = ownership.is_held()
    note = _note.get()
    if note is not None:
        note.evidence = ownership.describe()
        note.sent_at = read_clock()
        note.target = target
        note.term = term
    return is_held


def _name_outcome(
    call: StatementCall,
    note: SendNote,
    outcome: Result[Answer, Refusal],
) -> str:
    refusal = outcome.err()
    if refusal is None:
        spent = read_clock() - note.started_at
        return 'late' if spent > call.objective_left else 'done'
    if isinstance(refusal, NotRun):
        return 'not-run'
    return 'rejected' if isinstance(refusal, Rejected) else 'unknown'


def _format(span: float) -> str:
    return str(round(span * MILLISECONDS))
