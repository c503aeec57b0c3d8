"""Judge which logs statements ran on, and where writes were committed."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from sedgeshunt.groups.points import Point
from sedgeshunt.identifiers import TargetId, Term
from tests.standins.statement_group import Commit

DONE = 'COMPLETE'


class Rule(Enum):
    """Name what a history breaks."""

    # A statement of a primary route that succeeded ran on a log that lacks
    # a commit acknowledged before its first byte.
    STALE = 'STALE'
    # The same for a statement whose caller was told that it failed.
    STALE_RUN = 'STALE-RUN'
    # A write was committed at a replaced primary, and acknowledged.
    ONE = 'ONE'


@dataclass(frozen=True, slots=True)
class LogView:
    """Hold a log as it was at one time; it may have grown since."""

    commits: Sequence[Commit]
    length: int

    @property
    def end(self) -> Point:
        """Return the last point that it had then."""
        return self.commits[self.length - 1].point


@dataclass(slots=True)
class Execution:
    """Hold one statement that a target ran, and the log it ran on."""

    at: float
    # Place in the order of all executions and promotions.
    number: int
    statement: str
    target: TargetId
    log: LogView
    # What it committed.
    point: Point | None = None


@dataclass(frozen=True, slots=True)
class Promotion:
    """Hold the effect of a promotion and the log of its target then."""

    at: float
    number: int
    target: TargetId
    term: Term
    log: LogView


@dataclass(frozen=True, slots=True)
class Asked:
    """Hold what the caller of a statement saw."""

    statement: str
    is_at_primary: bool
    # When the first byte was sent of it, or of its transaction.
    began_at: float
    ended_at: float
    # COMPLETE or an error's code, empty without an answer.
    word: str

    @property
    def is_done(self) -> bool:
        """Return whether the caller was told that it succeeded."""
        return self.word == DONE


@dataclass
class History:
    """Hold all that targets and callers saw."""

    executions: list[Execution] = field(default_factory=list)
    promotions: list[Promotion] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Breach:
    """Hold one breach of a rule."""

    rule: Rule
    at: float
    text: str


@dataclass(frozen=True, slots=True)
class _Acknowledged:
    execution: Execution
    point: Point
    at: float


class Judge:
    """Find the breaches in one history."""

    def __init__(self, history: History) -> None:
        """Judge a history that is complete."""
        self._history = history
        self._places: dict[int, dict[Point, int]] = {}
        self._asked = {one.statement: one for one in history.asked}
        self._acknowledged = sorted(
            self._list_acknowledged(), key=lambda one: one.at
        )

    def list_breaches(self) -> list[Breach]:
        """List all breaches in the order of time."""
        found = [*self._list_superseded(), *self._list_stale()]
        return sorted(found, key=lambda breach: breach.at)

    def _list_acknowledged(self) -> Iterator[_Acknowledged]:
        for execution in self._history.executions:
            asked = self._asked.get(execution.statement)
            if execution.point is None or asked is None or not asked.is_done:
                continue
            yield _Acknowledged(execution, execution.point, asked.ended_at)

    def _list_superseded(self) -> Iterator[Breach]:
        for commit in self._acknowledged:
            execution = commit.execution
            newer = self._find_newer(execution, commit.point)
            if newer is not None:
                yield Breach(
                    Rule.ONE,
                    execution.at,
                    f'{execution.statement} committed '
                    f'{_write_point(commit.point)} at {execution.target} '
                    f'at {execution.at:.3f}, acknowledged at {commit.at:.3f}, '
                    f'after {_describe(newer)}',
                )

    def _find_newer(
        self,
        execution: Execution,
        point: Point,
    ) -> Promotion | None:
        """Return a promotion that replaced the primary before a commit."""
        for promotion in self._history.promotions:
            is_before = promotion.number < execution.number
            if is_before and promotion.term > point.term:
                return promotion
        return None

    def _list_stale(self) -> Iterator[Breach]:
        lasting = [one for one in self._acknowledged if self._is_kept(one)]
        for execution in self._history.executions:
            asked = self._asked.get(execution.statement)
            if asked is None or not asked.is_at_primary:
                continue
            missing = self._find_missing(execution.log, asked, lasting)
            if missing is not None:
                yield _describe_stale(execution, asked, missing)

    def _find_missing(
        self,
        log: LogView,
        asked: Asked,
        lasting: Sequence[_Acknowledged],
    ) -> _Acknowledged | None:
        for commit in lasting:
            if commit.at >= asked.began_at:
                return None
            if not self._covers(log, commit.point):
                return commit
        return None

    def _is_kept(self, commit: _Acknowledged) -> bool:
        """Return whether no promotion rolled a commit back."""
        return all(
            promotion.term <= commit.point.term
            or self._covers(promotion.log, commit.point)
            for promotion in self._history.promotions
        )

    def _covers(self, log: LogView, point: Point) -> bool:
        # Logs only grow, and a history refers to each of them by identity.
        places = self._places.setdefault(id(log.commits), {})
        known = len(places)
        for place, commit in enumerate(log.commits[known:], known):
            places[commit.point] = place
        return places.get(point, log.length) < log.length


def _describe_stale(
    execution: Execution,
    asked: Asked,
    missing: _Acknowledged,
) -> Breach:
    rule = Rule.STALE if asked.is_done else Rule.STALE_RUN
    return Breach(
        rule,
        execution.at,
        f'{execution.statement} (first byte at {asked.began_at:.3f}, answer '
        f'{asked.word or "none"} at {asked.ended_at:.3f}) ran at '
        f'{execution.at:.3f} on {execution.target} up to '
        f'{_write_point(execution.log.end)}, which lacks '
        f'{missing.execution.statement} = {_write_point(missing.point)} at '
        f'{missing.execution.target}, acknowledged at {missing.at:.3f}',
    )


def _describe(promotion: Promotion) -> str:
    return (
        f'the promotion of {promotion.target} to term {promotion.term}, '
        f'in effect at {promotion.at:.3f}'
    )


def _write_point(point: Point) -> str:
    return f'{point.term}.{point.position}'
