"""Measure the slopes of docs/CAPACITY.md and print its tables again."""

from benchmarks.capacity_daemon import measure_daemon
from benchmarks.capacity_fit import print_fits
from benchmarks.capacity_fleet import measure_fleet
from benchmarks.capacity_objects import measure_objects
from benchmarks.capacity_peers import measure_peers


def run() -> None:
    """Measure and print."""
    print_fits('Configuration, in this process', measure_objects())
    print_fits('Other proxies, in this process', measure_peers())
    print_fits('Whole proxies, in virtual time', measure_fleet())
    print_fits('A real proxy on loopback', measure_daemon())


if __name__ == '__main__':
    run()
