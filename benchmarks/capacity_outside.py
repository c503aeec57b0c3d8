"""Work out what proxies need towards platform, targets and callers."""

from benchmarks.capacity_fit import show
from benchmarks.capacity_sizes import (
    CALLERS,
    CORE,
    CPU,
    LINES,
    LIST_PACE,
    MEMORY,
    NODES,
    OBJECTS,
    SEATS,
    SERVED,
    STATEMENTS,
    SUSPICION,
    TRAFFIC,
    TRIES_A_SECOND,
    WRITES,
    Need,
    Slopes,
)
from benchmarks.capacity_trials import FIRST_SECONDS


def list_targets(slopes: Slopes) -> list[Need]:
    """Work out what watching idle targets takes."""
    per = 'group of 3 watched'
    cpu = slopes.find('CPU', per)
    memory = slopes.find('memory', per)
    received = slopes.find('received', per)
    sent = slopes.find('sent', per)
    role = 'targets'
    traffic = received.predict(SERVED) + sent.predict(SERVED)
    share = TRAFFIC / (received.slope + sent.slope)
    return [
        Need(
            role,
            'idle CPU',
            'ms/s',
            cpu.predict(SERVED),
            CPU,
            f'at {show(CPU / cpu.slope)} groups a node',
        ),
        Need(
            role,
            'idle traffic',
            'B/s',
            traffic,
            TRAFFIC,
            f'at {show(share)} groups a node',
        ),
        Need(
            role,
            'memory, no callers',
            'KB',
            memory.predict(SERVED),
            MEMORY,
            'at 0 groups',
        ),
    ]


def list_callers(slopes: Slopes) -> list[Need]:
    """Work out what statements take."""
    reads = slopes.find('CPU of a proxy', 'read/s')
    writes = slopes.find('CPU of a proxy', 'write/s')
    role = 'callers'
    memory = slopes.find('memory of a proxy', 'idle caller')
    needs = [
        Need(
            role,
            name,
            'ms/s',
            fit.predict(STATEMENTS),
            CORE,
            f'at {fit.find_size(CORE):.0f} a second',
        )
        for name, fit in (('reads', reads), ('writes', writes))
    ]
    idle = memory.slope * CALLERS
    needs.append(Need(role, 'memory of idle ones', 'KB', idle, MEMORY))
    return needs


def list_platform(slopes: Slopes) -> list[Need]:
    """Work out what the platform is asked for."""
    role = 'platform'
    line = slopes.find('received', 'line of the list, read once a second')
    work = slopes.find('CPU', 'line of the list, read once a second')
    seated = slopes.find('calls to the service, with a seat', 'proxy')
    seatless = slopes.find('calls to the service, most without a seat', 'proxy')
    back = slopes.find(
        'calls to the service, first 1.2 s after an outage',
        'proxy',
    )
    listing = slopes.find('apply a whole listing', 'object')
    change = sum(
        slopes.find(name, 'object').predict(OBJECTS)
        for name in ('apply one change of a watch', 'choose the served groups')
    )
    change += slopes.find('choose the peers after a change', 'proxy').predict(
        NODES,
    )
    known = SEATS * seated.slope
    return [
        Need(
            role,
            'list of instances',
            'B/s',
            line.slope * LINES / LIST_PACE,
            TRAFFIC,
            f'at {TRAFFIC / line.slope:.0f} lines',
        ),
        Need(
            role,
            'list of instances',
            'ms/s',
            work.slope * LINES / LIST_PACE,
            CPU,
            '',
        ),
        Need(
            role,
            'calls, a seat each',
            '1/s',
            seated.predict(NODES),
            WRITES,
            f'at {seated.find_size(WRITES):.0f} proxies',
        ),
        Need(
            role,
            f'calls, {SEATS} seats in all',
            '1/s',
            known + seatless.slope * (NODES - SEATS),
            WRITES,
            f'at {SEATS + WRITES / seatless.slope:.0f} proxies',
        ),
        Need(
            role,
            'calls after an outage',
            '1/s',
            # A larger fleet spreads its tries over n/100 s.
            back.slope * FIRST_SECONDS * TRIES_A_SECOND,
            WRITES,
        ),
        Need(
            role,
            'pause for a listing',
            'ms',
            listing.measured[-1],
            SUSPICION,
        ),
        Need(role, 'pause for a change', 'ms', change, SUSPICION),
    ]
