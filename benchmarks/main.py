"""Run the named benchmarks, or all of them, and print their tables."""

import sys
from collections.abc import Callable
from time import monotonic

from benchmarks import (
    configuration,
    customers,
    drain,
    failover,
    goodput,
    overload,
    path,
    reads,
    start,
    store_return,
)

BENCHMARKS: dict[str, Callable[[], None]] = {
    'path': path.run,
    'reads': reads.run,
    'start': start.run,
    'store-return': store_return.run,
    'goodput': goodput.run,
    'configuration': configuration.run,
    'customers': customers.run,
    'drain': drain.run,
    'failover': failover.run,
    'overload': overload.main,
}


def main(names: list[str]) -> int:
    """Run benchmarks and return the exit code."""
    unknown = sorted(set(names) - set(BENCHMARKS))
    if unknown:
        known = ', '.join(BENCHMARKS)
        print(f'unknown: {", ".join(unknown)}; choose among {known}')
        return 2
    for name in names or BENCHMARKS:
        started = monotonic()
        print(f'== {name}', flush=True)
        BENCHMARKS[name]()
        print(f'{name} took {monotonic() - started:.0f} s', flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
