"""Turn a burn report into tables and into plain data."""

from collections.abc import Iterable, Iterator
from typing import Any

from sedgeshunt.burn.objectives import HOUR, MILLISECONDS, MINUTE
from sedgeshunt.burn.report import BurnReport, ObjectiveBurn
from sedgeshunt.cli.console import Table
from sedgeshunt.identifiers import Seconds

SHOWN_CAUSES = 5
SHOWN_GAPS = 5


def describe_report(report: BurnReport) -> str:
    """Write the tables: objectives, causes, spans without writes."""
    tables = [
        _list_objectives(report),
        _list_causes(report.objectives),
        _list_gaps(report),
    ]
    parts = ['\n'.join(table.list_lines()) for table in tables if table.rows]
    return '\n\n'.join(parts)


def list_payload(report: BurnReport) -> dict[str, Any]:
    """Return the report as plain data."""
    return {
        'objectives': [_list_burn(burn) for burn in report.objectives],
        'gaps': [
            {
                'group': each.group,
                'seconds': gap.seconds,
                'ended_ago': gap.ended_ago,
            }
            for each in report.gaps
            for gap in each.gaps
        ],
        'answered': report.answered,
        'missing': report.missing,
        'without_past': report.without_past,
    }


def _list_burn(burn: ObjectiveBurn) -> dict[str, Any]:
    return {
        'objective': burn.objective,
        'state': burn.state,
        'budget_left': burn.budget_left,
        'gaps_over': burn.gaps_over,
        'windows': [
            {
                'seconds': each.window,
                'total': each.spending.total,
                'bad': each.spending.bad,
                'burn_rate': each.burn_rate,
            }
            for each in burn.windows
        ],
        'causes': [
            {**cause.kind._asdict(), 'count': cause.count}
            for cause in burn.causes
        ],
        'series': burn.series,
    }


def _list_objectives(report: BurnReport) -> Table:
    windows = [each.window for each in report.objectives[0].windows]
    headers = ('OBJECTIVE', 'CLASS', 'STATE', 'BUDGET LEFT', 'GAPS OVER')
    # What a missing proxy counted can only make it less.
    lead = 'at most ' if report.missing else ''
    rows = [
        (
            burn.objective.name,
            burn.objective.traffic_class,
            burn.state.value,
            f'{lead}{burn.budget_left:.1%}',
            str(burn.gaps_over),
            *(f'{each.burn_rate:.2f}' for each in burn.windows),
        )
        for burn in report.objectives
    ]
    burns = [f'BURN {_name_span(window)}' for window in windows]
    return Table((*headers, *burns), rows)


def _list_causes(objectives: Iterable[ObjectiveBurn]) -> Table:
    rows = [
        (
            burn.objective.name,
            str(cause.count),
            cause.kind.outcome,
            cause.kind.cause,
            cause.kind.target,
        )
        for burn in objectives
        for cause in burn.causes[:SHOWN_CAUSES]
    ]
    return Table(('OBJECTIVE', 'COUNT', 'OUTCOME', 'CAUSE', 'TARGET'), rows)


def _list_gaps(report: BurnReport) -> Table:
    allowed = min(
        burn.objective.failover_gap_ms / MILLISECONDS
        for burn in report.objectives
    )
    rows = [
        (
            each.group,
            f'{gap.seconds:.2f} s',
            _name_span(gap.ended_ago),
            'over' if gap.seconds > allowed else 'within',
        )
        for each in report.gaps
        for gap in each.gaps[:SHOWN_GAPS]
    ]
    headers = ('GROUP', 'NO WRITES FOR', 'ENDED AGO', f'LIMIT {allowed:g} s')
    return Table(headers, rows)


def _name_span(seconds: Seconds) -> str:
    return next(_list_names(seconds))


def _list_names(seconds: Seconds) -> Iterator[str]:
    for size, unit in ((HOUR, 'h'), (MINUTE, 'min')):
        if seconds >= size:
            yield f'{seconds / size:.0f} {unit}'
    yield f'{seconds:.0f} s'
