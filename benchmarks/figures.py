"""Print tables of measured figures."""

from collections.abc import Sequence

MILLISECONDS = 1000
NOTHING = '-'


def find_percentile(samples: Sequence[float], share: float) -> float | None:
    """Return the smallest sample that `share` of all don't exceed."""
    ordered = sorted(samples)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def show_milliseconds(seconds: float | None) -> str:
    """Write a time in milliseconds."""
    if seconds is None:
        return NOTHING
    return f'{seconds * MILLISECONDS:.1f}'


def show_share(part: float, whole: float) -> str:
    """Write a part as a percentage of the whole."""
    return f'{part / whole:.1%}' if whole else NOTHING


def show_percentiles(samples: Sequence[float]) -> list[str]:
    """Write p50, p99 and the largest sample in milliseconds."""
    return [
        show_milliseconds(find_percentile(samples, share))
        for share in (0.5, 0.99, 1)
    ]


def print_table(
    title: str,
    header: Sequence[str],
    rows: Sequence[Sequence[object]],
) -> None:
    """Print rows under a title, in columns as wide as their cells."""
    lines = [list(header), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(map(len, column)) for column in zip(*lines)]
    print(f'\n{title}')
    for line in lines:
        cells = [cell.rjust(width) for cell, width in zip(line[1:], widths[1:])]
        print('  '.join([line[0].ljust(widths[0]), *cells]))
    print(flush=True)


def print_progress(text: str) -> None:
    """Tell how far a benchmark has come."""
    print(f'... {text}', flush=True)
