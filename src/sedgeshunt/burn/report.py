"""Report the burn rates of the error budgets of all objectives."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from sedgeshunt.burn.buckets import (
    COARSE_WIDTH,
    FINE_RETENTION,
    FINE_WIDTH,
    OutcomeKind,
)
from sedgeshunt.burn.copies import DatedBucket, MergedTallies, merge_tallies
from sedgeshunt.burn.gaps import GapReport, list_gaps
from sedgeshunt.burn.objectives import (
    BUDGET_WINDOW,
    WINDOW_PAIRS,
    BurnState,
    Spending,
    count_causes,
    count_spending,
)
from sedgeshunt.configuration.objects import Objective
from sedgeshunt.identifiers import GroupId, ProxyId, Seconds

MAX_CAUSES = 10


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Hold the spending of one window that ends now."""

    window: Seconds
    spending: Spending
    # A rate of 1 spends exactly the budget, 10 spends it ten times as fast.
    burn_rate: float


@dataclass(frozen=True, slots=True)
class CauseCount:
    """Count the failures of one kind in the retained coarse buckets."""

    kind: OutcomeKind
    count: int


@dataclass(frozen=True, slots=True)
class SeriesPoint:
    """Hold the spending of one interval in the past."""

    ago: Seconds
    spending: Spending


@dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """Hold the state of one objective."""

    objective: Objective
    state: BurnState
    # Share of the budget left in the longest window, negative if overspent.
    budget_left: float
    windows: tuple[WindowBurn, ...]
    causes: tuple[CauseCount, ...]
    series: tuple[SeriesPoint, ...]
    # Number of gaps without writes that exceed the objective.
    gaps_over: int


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Hold the state of all objectives and the proxies without counts."""

    objectives: tuple[ObjectiveBurn, ...]
    gaps: tuple[GapReport, ...]
    answered: tuple[ProxyId, ...]
    missing: tuple[ProxyId, ...]
    # Proxies that are new, or that restarted while no peer had a copy of
    # their counts, which are lost in that case.
    without_past: tuple[ProxyId, ...]


def build_report(
    tallies: Iterable[bytes],
    objectives: Sequence[Objective],
    expected: Collection[ProxyId],
    group: GroupId | None = None,
) -> BurnReport:
    """Report on the `expected` proxies and the gaps of `group` or all."""
    merged = merge_tallies(tallies)
    missing = tuple(sorted(set(expected) - merged.answered))
    gaps = list_gaps(merged.buckets, group)
    return BurnReport(
        objectives=tuple(
            _report_objective(
                objective,
                merged,
                gaps,
                is_complete=not missing,
            )
            for objective in objectives
        ),
        gaps=gaps,
        answered=tuple(sorted(merged.answered)),
        missing=missing,
        without_past=tuple(sorted(merged.without_past)),
    )


def _report_objective(
    objective: Objective,
    merged: MergedTallies,
    gaps: Sequence[GapReport],
    *,
    is_complete: bool,
) -> ObjectiveBurn:
    spendings = [
        (dated, count_spending(objective, dated.bucket))
        for dated in merged.buckets
    ]
    windows = tuple(
        _compute_window(objective, spendings, window)
        for window in _list_windows()
    )
    budget_left = 1 - windows[-1].burn_rate
    return ObjectiveBurn(
        objective=objective,
        state=_determine_state(windows, budget_left, is_complete=is_complete),
        budget_left=budget_left,
        windows=windows,
        causes=_list_causes(objective, merged.buckets),
        series=_list_series(spendings),
        gaps_over=sum(gap.count_over(objective) for gap in gaps),
    )


def _list_windows() -> list[Seconds]:
    windows = {pair.long for pair in WINDOW_PAIRS}
    windows |= {pair.short for pair in WINDOW_PAIRS}
    return sorted(windows | {BUDGET_WINDOW})


def _compute_window(
    objective: Objective,
    spendings: Iterable[tuple[DatedBucket, Spending]],
    window: Seconds,
) -> WindowBurn:
    # Buckets of both widths count the same requests, so use one width only.
    width = FINE_WIDTH if window <= FINE_RETENTION else COARSE_WIDTH
    spent = Spending()
    for dated, spending in spendings:
        is_within = dated.ended_ago + width / 2 < window
        if dated.bucket.width == width and is_within:
            spent += spending
    return WindowBurn(window, spent, spent.compute_burn_rate(objective))


def _determine_state(
    windows: Sequence[WindowBurn],
    budget_left: float,
    *,
    is_complete: bool,
) -> BurnState:
    rates = {each.window: each.burn_rate for each in windows}
    for pair in WINDOW_PAIRS:
        if min(rates[pair.long], rates[pair.short]) >= pair.threshold:
            return pair.state
    if budget_left < 0:
        return BurnState.SPENT
    if not is_complete:
        return BurnState.UNKNOWN
    if not windows[-1].spending.total:
        return BurnState.NO_TRAFFIC
    return BurnState.MET


def _list_causes(
    objective: Objective,
    buckets: Iterable[DatedBucket],
) -> tuple[CauseCount, ...]:
    coarse = (
        dated.bucket for dated in buckets if dated.bucket.width == COARSE_WIDTH
    )
    causes = count_causes(objective, coarse).most_common(MAX_CAUSES)
    return tuple(CauseCount(kind, count) for kind, count in causes)


def _list_series(
    spendings: Iterable[tuple[DatedBucket, Spending]],
) -> tuple[SeriesPoint, ...]:
    # Bucket boundaries differ between proxies, as their clocks do. Buckets
    # are therefore aligned by how long ago they ended.
    intervals: defaultdict[int, Spending] = defaultdict(Spending)
    for dated, spending in spendings:
        if dated.bucket.width == COARSE_WIDTH:
            intervals[max(0, int(dated.ended_ago // COARSE_WIDTH))] += spending
    return tuple(
        SeriesPoint(Seconds(interval * COARSE_WIDTH), intervals[interval])
        for interval in sorted(intervals, reverse=True)
    )
