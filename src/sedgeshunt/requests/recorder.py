"""Record the outcomes of requests in metrics and logs."""

from result import Err, Result

from sedgeshunt.burn.tally import NO_TARGET, Tally
from sedgeshunt.clocks import read_clock
from sedgeshunt.identifiers import Seconds, TargetId
from sedgeshunt.logs import StatementLog
from sedgeshunt.metrics import Metrics
from sedgeshunt.requests.outcome import (
    Answer,
    Cause,
    NotRun,
    Refusal,
    Rejected,
)
from sedgeshunt.requests.request import Request

DONE = 'done'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
REJECTED = 'rejected'


class OutcomeRecorder:
    """Record the outcome of each request, on the path of all statements."""

    def __init__(
        self,
        tally: Tally,
        metrics: Metrics,
        statements: StatementLog,
    ) -> None:
        """Record to the burn tally, the metrics and the statement log."""
        # Set on shutdown; then requests outside transactions are refused.
        self.is_stopping = False
        self.tally = tally
        self._metrics = metrics
        self._statements = statements

    def record(
        self,
        request: Request,
        outcome: Result[Answer, Refusal],
        spent: Seconds,
    ) -> None:
        """Record one outcome."""
        now = read_clock()
        refusal = outcome.err()
        name = name_outcome(refusal)
        target = _find_target(outcome)
        cause = _name_cause(refusal)
        self.tally.record_outcome(
            request.traffic_class,
            name,
            cause,
            target or NO_TARGET,
            spent,
            now,
        )
        self._metrics.count(f'requests.{name}')
        self._metrics.time('requests.time', spent)
        if refusal is not None:
            self._metrics.count(f'refusals.{cause}')
        self._statements.note(
            request.trace,
            request.group,
            '' if refusal is None else f'{name}:{cause}',
            spent,
            now,
        )


def _find_target(outcome: Result[Answer, Refusal]) -> TargetId | None:
    if not isinstance(outcome, Err):
        return outcome.ok_value.served_by
    refusal = outcome.err_value
    return None if isinstance(refusal, Rejected) else refusal.target


def name_outcome(refusal: Refusal | None) -> str:
    """Return the name of an outcome in reports and metrics."""
    if refusal is None:
        return DONE
    if isinstance(refusal, NotRun):
        return NOT_RUN
    return REJECTED if isinstance(refusal, Rejected) else UNKNOWN


def _name_cause(refusal: Refusal | None) -> str:
    if refusal is None:
        return ''
    if isinstance(refusal, Rejected):
        return Cause.STATEMENT.value
    return refusal.cause.value
