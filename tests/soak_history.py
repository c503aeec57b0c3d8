"""Record which log each statement ran on in a group of databases."""

from collections.abc import Iterable

from sedgeshunt.clocks import read_clock
from sedgeshunt.connections.target_session import LogRole
from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import Term
from tests.soak_judge import Execution, History, LogView, Promotion
from tests.standins.network import Network
from tests.standins.statement_group import (
    Run,
    StatementGroup,
    StatementTarget,
)


class RecordedGroup(StatementGroup):
    """Record all executions, commits and promotions of a group."""

    def __init__(self, network: Network) -> None:
        """Start with an empty history."""
        super().__init__(network)
        self.history = History()
        self.runs = _RecordedRuns(self)
        self._numbers = 0
        self._newest_term = Term(1)

    def commit(
        self,
        target: StatementTarget,
        writes: tuple[tuple[str, str], ...],
    ) -> Point:
        """Add a commit of the statement that ran last."""
        point = super().commit(target, writes)
        self.history.executions[-1].point = point
        return point

    def note(self, run: Run) -> None:
        """Record a statement and the log that it runs on."""
        # Commits are made by statements alone, so a promotion that is noted
        # before the next statement is in order with all commits.
        self._note_promotions()
        target = self.targets[run.target]
        self.history.executions.append(
            Execution(
                run.at,
                self._count(),
                run.statement,
                run.target,
                LogView(target.log, target.applied),
            ),
        )

    def _note_promotions(self) -> None:
        promoted = [
            target
            for target in self.targets.values()
            if target.role is LogRole.PRIMARY
            and target.term > self._newest_term
        ]
        for target in sorted(promoted, key=lambda one: one.term):
            self._newest_term = target.term
            self.history.promotions.append(
                Promotion(
                    read_clock(),
                    self._count(),
                    target.name,
                    target.term,
                    LogView(target.log, len(target.log)),
                ),
            )

    def _count(self) -> int:
        self._numbers += 1
        return self._numbers


class _RecordedRuns(list[Run]):
    """Tell a group of each run that is added."""

    def __init__(self, group: RecordedGroup, runs: Iterable[Run] = ()) -> None:
        super().__init__(runs)
        self._group = group

    def append(self, run: Run) -> None:
        super().append(run)
        self._group.note(run)
