"""Fit a straight line to figures measured at several sizes."""

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.figures import print_table

HEADER = (
    'figure',
    'per',
    'sizes',
    'measured',
    'slope',
    'at size 0',
    'R2',
    'largest error',
)


@dataclass(frozen=True, slots=True)
class Fit:
    """Hold the least squares line through measured figures."""

    name: str
    unit: str
    per: str
    sizes: Sequence[float]
    measured: Sequence[float]
    slope: float
    intercept: float
    # Share of the spread that the line explains.
    determination: float
    # Distance from the line of the figure that lies farthest from it.
    error: float

    def predict(self, size: float) -> float:
        """Return what the line gives for a size."""
        return self.intercept + self.slope * size

    def find_size(self, figure: float) -> float:
        """Return the size at which the line reaches a figure."""
        return (figure - self.intercept) / self.slope


def fit_line(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[float],
    measured: Sequence[float],
) -> Fit:
    """Fit a line by least squares."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean = sum(measured) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    common = sum(
        (size - mean_size) * (figure - mean)
        for size, figure in zip(sizes, measured, strict=True)
    )
    slope = common / spread
    intercept = mean - slope * mean_size
    errors = [
        figure - intercept - slope * size
        for size, figure in zip(sizes, measured, strict=True)
    ]
    unexplained = sum(error**2 for error in errors)
    total = sum((figure - mean) ** 2 for figure in measured)
    return Fit(
        name,
        unit,
        per,
        sizes,
        measured,
        slope,
        intercept,
        1 - unexplained / total if total else 1,
        max(map(abs, errors)),
    )


def print_fits(title: str, fits: Sequence[Fit]) -> None:
    """Print lines under a title."""
    print_table(title, HEADER, [_describe(fit) for fit in fits])


def show(figure: float) -> str:
    """Write a figure with three digits that count."""
    if abs(figure) >= 1000:
        return f'{figure:.0f}'
    return f'{figure:.3g}'


def _describe(fit: Fit) -> list[object]:
    return [
        f'{fit.name}, {fit.unit}',
        fit.per,
        ' '.join(show(size) for size in fit.sizes),
        ' '.join(show(figure) for figure in fit.measured),
        show(fit.slope),
        show(fit.intercept),
        f'{fit.determination:.3f}',
        show(fit.error),
    ]
