"""Count the outcomes of statements and the decisions."""

from sedgeshunt.decisions import Decision, DecisionLog
from sedgeshunt.metrics import Metrics, PageMetrics
from sedgeshunt.requests.outcome import NotRun, Refusal, Rejected, Unknown
from sedgeshunt.statements.records import StatementRecord, StatementRecorder

REFUSAL_LABELS = ('group', 'traffic_class', 'cause')


class StatementCounts(StatementRecorder):
    """Count each statement before passing it on to be recorded."""

    def __init__(self, metrics: PageMetrics, inner: StatementRecorder) -> None:
        """Count in `metrics` and pass on to `inner`."""
        self._metrics = metrics
        self._inner = inner

    def record(self, record: StatementRecord) -> None:
        """Count one statement by its outcome, cause and waits."""
        metrics = self._metrics
        metrics.count(f'requests.{name_outcome(record.refusal)}')
        if record.refusal is None:
            metrics.time(f'requests.{record.kind}', record.spent)
            if record.spent > record.objective:
                metrics.count('requests.late')
        else:
            cause = _find_cause(record.refusal)
            metrics.count(f'refusals.{cause}')
            metrics.count_by(
                'traffic.refusals',
                REFUSAL_LABELS,
                (record.group, record.database, cause),
            )
        for wait_cause, spent in record.waits.items():
            metrics.time(f'waits.{wait_cause.value}', spent)
        self._inner.record(record)


class DecisionCounts(DecisionLog):
    """Count each decision before passing it on to be recorded."""

    def __init__(self, metrics: Metrics, inner: DecisionLog) -> None:
        """Count in `metrics` and pass on to `inner`."""
        self._metrics = metrics
        self._inner = inner

    def record(self, decision: Decision) -> None:
        """Count one decision by its kind."""
        self._metrics.count(f'decisions.{decision.kind.value}')
        self._inner.record(decision)


def name_outcome(refusal: Refusal | None) -> str:
    """Return an outcome's name in metrics and logs."""
    if refusal is None:
        return 'done'
    if isinstance(refusal, NotRun):
        return 'not-run'
    return 'unknown' if isinstance(refusal, Unknown) else 'rejected'


def _find_cause(refusal: Refusal) -> str:
    return 'statement' if isinstance(refusal, Rejected) else refusal.cause.value
