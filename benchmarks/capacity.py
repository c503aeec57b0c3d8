"""Measure the slopes of docs/CAPACITY.md and print its tables again."""

from benchmarks.capacity_daemon import measure_daemon
from benchmarks.capacity_fit import print_fits


def run() -> None:
    """Measure and print."""
    print_fits('A real proxy on loopback', measure_daemon())


if __name__ == '__main__':
    run()
