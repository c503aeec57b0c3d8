"""Find statements that were acknowledged at a superseded primary."""

from sedgeshunt.identifiers import TargetId
from tests.features.node_callers import CallerResult, Callers
from tests.standins.statement_group import Promotion, StatementGroup


def list_superseded(callers: Callers) -> list[tuple[float, CallerResult]]:
    """List acknowledged statements sent to superseded primaries.

    Each comes with the time since the promotion. The callers must be of a
    route that is served by the primary only.
    """
    found = []
    for result in callers.results:
        age = _measure_age(callers.bench.group, result)
        if age is not None:
            found.append((age, result))
    return found


def _measure_age(group: StatementGroup, result: CallerResult) -> float | None:
    """Return for how long the target of a statement was superseded."""
    if not result.is_done:
        return None
    served_by = TargetId(str(result.outcome.unwrap().served_by))
    ran_at = _find_run(group, result, served_by)
    before = [one for one in group.promotions if one.at <= ran_at]
    later = _list_later(before, served_by)
    return ran_at - later[0].at if later else None


def _list_later(
    promotions: list[Promotion],
    target: TargetId,
) -> list[Promotion]:
    """List the promotions of other targets since the latest of `target`."""
    own = [one.at for one in promotions if one.target == target]
    since = max(own, default=float('-inf'))
    return [one for one in promotions if one.at > since]


def _find_run(
    group: StatementGroup,
    result: CallerResult,
    target: TargetId,
) -> float:
    """Return when a target ran a statement, its earliest time if unclear."""
    runs = [
        run.at
        for run in group.runs
        if run.target == target
        and run.text == result.text
        and result.asked_at <= run.at <= result.answered_at
    ]
    return min(runs, default=result.asked_at)
