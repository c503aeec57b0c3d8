"""Measure the slopes of docs/CAPACITY.md and print its tables again."""

from time import monotonic

from benchmarks.capacity_daemon import measure_daemon
from benchmarks.capacity_fit import Fit, print_fits
from benchmarks.capacity_fleet import measure_fleet
from benchmarks.capacity_objects import measure_objects
from benchmarks.capacity_peers import measure_peers
from benchmarks.capacity_roles import print_roles

PARTS = (
    ('Configuration, in this process', measure_objects),
    ('Other proxies, in this process and in virtual time', measure_peers),
    ('Whole proxies, in virtual time', measure_fleet),
    ('A real proxy on loopback', measure_daemon),
)


def run() -> None:
    """Measure and print."""
    started = monotonic()
    fits: list[Fit] = []
    for title, measure in PARTS:
        found = measure()
        print_fits(title, found)
        fits += found
    print_roles(fits)
    print(f'capacity: {monotonic() - started:.0f} s')


if __name__ == '__main__':
    run()
