"""Draw a burn report as an image."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from sedgeshunt.burn.objectives import HOUR, WINDOW_PAIRS
from sedgeshunt.burn.report import BurnReport, ObjectiveBurn

SIZE_INCHES = (10, 7)
DOTS_PER_INCH = 100
SMALL_FONT_POINTS = 8
MIN_PLOTTED_RATE = 0.01
PERCENT = 100


def draw_report(report: BurnReport, path: Path) -> None:
    """Write an image; the suffix of `path` selects PNG or SVG."""
    figure = Figure(figsize=SIZE_INCHES, layout='constrained')
    FigureCanvasAgg(figure)
    upper, lower = figure.subplots(2, 1)
    figure.suptitle(_format_title(report))
    _draw_burn(upper, report.objectives)
    _draw_budgets(lower, report.objectives)
    figure.savefig(path, dpi=DOTS_PER_INCH)


def _format_title(report: BurnReport) -> str:
    if not report.missing:
        return f'Service-level burn of {len(report.answered)} proxies'
    missing = ', '.join(report.missing)
    return f'Service-level burn, incomplete: no answer from {missing}'


def _draw_burn(axes: Axes, objectives: Sequence[ObjectiveBurn]) -> None:
    for burn in objectives:
        hours = [-point.ago / HOUR for point in burn.series]
        rates = [
            max(
                MIN_PLOTTED_RATE,
                point.spending.compute_burn_rate(burn.objective),
            )
            for point in burn.series
        ]
        axes.plot(hours, rates, label=burn.objective.name, drawstyle='steps')
    for pair in WINDOW_PAIRS:
        axes.axhline(pair.threshold, linestyle=':', color='grey')
        axes.annotate(
            pair.state.value,
            (0, pair.threshold),
            fontsize=SMALL_FONT_POINTS,
            ha='right',
            va='bottom',
        )
    axes.set_yscale('log')
    axes.set_xlabel('hours ago')
    axes.set_ylabel('burn rate (1 = budget)')
    if objectives:
        axes.legend(loc='upper left', fontsize=SMALL_FONT_POINTS)


def _draw_budgets(axes: Axes, objectives: Sequence[ObjectiveBurn]) -> None:
    names = [
        f'{burn.objective.name} ({burn.state.value})' for burn in objectives
    ]
    left = [PERCENT * max(0, burn.budget_left) for burn in objectives]
    axes.barh(names, left)
    for row, burn in enumerate(objectives):
        axes.annotate(
            _describe_causes(burn),
            (1, row),
            fontsize=SMALL_FONT_POINTS,
            va='center',
        )
    axes.set_xlim(0, PERCENT)
    axes.set_xlabel('error budget left, %')


def _describe_causes(burn: ObjectiveBurn) -> str:
    parts = [
        f'{cause.count} {cause.kind.outcome} {cause.kind.cause} '
        + cause.kind.target
        for cause in burn.causes[:3]
    ]
    return '; '.join(parts) or 'nothing spent'
