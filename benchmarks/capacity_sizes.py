"""Hold the size to build for and what is needed at it."""

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.capacity_fit import Fit

NODES = 1500
GROUPS = 800
# Proxies that serve one group; 50 connections give each 7 and 1 for control.
SERVERS = 6
SERVED = GROUPS * SERVERS / NODES
CALLERS = 4_300_000 / NODES
STATEMENTS = 3_500_000 / NODES
LINES = NODES + 3 * GROUPS
OBJECTS = GROUPS + 3 * GROUPS + NODES + 20
# The list is read every so many seconds by one of 1,500 proxies.
LIST_PACE = NODES / 200
SEATS = 6
# Tries for a seat after an outage, of all proxies together.
TRIES_A_SECOND = 100
PEERS = 8
# A peer costs as much to answer as to ask.
BOTH_WAYS = 2
LOOKS = 1.5

CPU = 14  # ms/s, 1.4% of a core
CORE = 1000  # ms/s
MEMORY = 64 * 1024  # KB
TRAFFIC = 4096  # B/s
WRITES = 300
FAILOVER = 17
CHANGE = 9
SUSPICION = 500  # ms, a pause that looks like a failure


@dataclass(frozen=True, slots=True)
class Need:
    """Hold one figure at the size to build for, and its limit."""

    role: str
    what: str
    unit: str
    value: float
    limit: float
    # The size at which the limit is reached, in words.
    breaks_at: str = ''


class Slopes:
    """Find measured lines by name."""

    def __init__(self, fits: Iterable[Fit]) -> None:
        """Hold lines of all benchmarks."""
        self._fits = {(fit.name, fit.per): fit for fit in fits}

    def find(self, name: str, per: str) -> Fit:
        """Return the line of that name."""
        return self._fits[name, per]
