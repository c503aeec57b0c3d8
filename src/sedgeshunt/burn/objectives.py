"""Evaluate counts against service-level objectives."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from sedgeshunt.burn.buckets import (
    Bucket,
    OutcomeCell,
    OutcomeKind,
    compute_step,
)
from sedgeshunt.configuration.objects import Objective
from sedgeshunt.identifiers import Seconds
from sedgeshunt.requests.outcome import Cause

MILLISECONDS = 1000
MINUTE = 60
HOUR = 3600
DAY = 86400

# Outcomes in which the caller gets an answer, which may be an error of its
# own statement.
ANSWERED = frozenset(('done', 'rejected'))
LATE = 'late'
# Causes that only the caller can correct; they spend no error budget.
CALLER_CAUSES = frozenset((Cause.ATTRIBUTE.value,))


class BurnState(Enum):
    """List the states of an objective, the worst first."""

    BURNS_FAST = 'burns-fast'
    BURNS = 'burns'
    BURNS_SLOWLY = 'burns-slowly'
    SPENT = 'spent'
    # A proxy did not answer, and its missing counts may have spent the budget.
    UNKNOWN = 'unknown'
    NO_TRAFFIC = 'no-traffic'
    MET = 'met'


@dataclass(frozen=True, slots=True)
class WindowPair:
    """Define a state by the burn rate in a long and in a short window."""

    # The long window shows that the loss is significant, the short one that
    # it still continues.
    # Source: The Site Reliability Workbook, chapter 5.
    state: BurnState
    long: Seconds
    short: Seconds
    threshold: float


WINDOW_PAIRS = (
    WindowPair(
        BurnState.BURNS_FAST,
        Seconds(HOUR),
        Seconds(5 * MINUTE),
        14.4,
    ),
    WindowPair(BurnState.BURNS, Seconds(6 * HOUR), Seconds(30 * MINUTE), 6),
    WindowPair(BurnState.BURNS_SLOWLY, Seconds(3 * DAY), Seconds(6 * HOUR), 1),
)
BUDGET_WINDOW = Seconds(3 * DAY)


@dataclass(frozen=True, slots=True)
class Spending:
    """Count all requests and those that failed the objective."""

    total: int = 0
    bad: int = 0

    def compute_burn_rate(self, objective: Objective) -> float:
        """Return the share that failed divided by the share that may fail."""
        if not self.total:
            return 0
        # An objective of 100 % has no budget; one failure spends all of it.
        allowed = max(1 - objective.answered_share, 1 / self.total)
        return self.bad / self.total / allowed

    def __add__(self, other: 'Spending') -> 'Spending':
        """Return the sum of both counts."""
        return Spending(self.total + other.total, self.bad + other.bad)


def count_spending(objective: Objective, bucket: Bucket) -> Spending:
    """Count the requests of the objective's traffic class in a bucket."""
    first_late = _find_first_late_step(objective)
    total = 0
    bad = 0
    for cell in bucket.cells:
        if _is_counted(objective, cell.kind):
            total += cell.count
            bad += _count_bad(cell, first_late)
    return Spending(total, bad)


def count_causes(
    objective: Objective,
    buckets: Iterable[Bucket],
) -> Counter[OutcomeKind]:
    """Count failed requests by kind; late answers have their own outcome."""
    first_late = _find_first_late_step(objective)
    causes: Counter[OutcomeKind] = Counter()
    for bucket in buckets:
        for cell in bucket.cells:
            if _is_counted(objective, cell.kind):
                causes[_classify_failure(cell.kind)] += _count_bad(
                    cell, first_late
                )
    return +causes


def _is_counted(objective: Objective, kind: OutcomeKind) -> bool:
    if kind.traffic_class != objective.traffic_class:
        return False
    return kind.cause not in CALLER_CAUSES


def _classify_failure(kind: OutcomeKind) -> OutcomeKind:
    if kind.outcome not in ANSWERED:
        return kind
    return kind._replace(outcome=LATE, cause='')


def _count_bad(cell: OutcomeCell, first_late: int) -> int:
    if cell.kind.outcome not in ANSWERED:
        return cell.count
    return sum(
        count for step, count in cell.steps.items() if step >= first_late
    )


def _find_first_late_step(objective: Objective) -> int:
    # A histogram step that contains the limit counts as late as a whole, so
    # that a report may be up to an eighth too strict but never too lenient.
    return compute_step(Seconds(objective.within_ms / MILLISECONDS))
