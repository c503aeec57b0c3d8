"""Measure the processor time that loading a proxy's program takes."""

import sys
from os import environ, wait4
from subprocess import Popen  # a fresh interpreter for each reading

from benchmarks.figures import print_table

TRIALS = 9
PROGRAMS = {
    'the interpreter with asyncio and uvloop': 'import asyncio, uvloop',
    "a proxy's program": 'import asyncio, uvloop, sedgeshunt.node',
}


def run() -> None:
    """Print the least of several readings, each program in turn."""
    rounds = [list(map(_measure, PROGRAMS.values())) for _ in range(TRIALS)]
    least = [min(readings) for readings in zip(*rounds, strict=True)]
    rows = [
        (loaded, f'{reading * 1000:.0f}', f'{reading / least[0]:.2f}')
        for loaded, reading in zip(PROGRAMS, least, strict=True)
    ]
    print_table('load', ('loaded', 'processor ms', 'ratio'), rows)


def _measure(program: str) -> float:
    child = Popen([sys.executable, '-c', program], env=environ)
    _, _, usage = wait4(child.pid, 0)
    return usage.ru_utime + usage.ru_stime
