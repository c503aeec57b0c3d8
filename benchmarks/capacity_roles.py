"""Work out what each role needs at the size to build for."""

from collections.abc import Iterable

from benchmarks.capacity_fit import Fit, show
from benchmarks.capacity_outside import (
    list_callers,
    list_platform,
    list_targets,
)
from benchmarks.capacity_sizes import (
    BOTH_WAYS,
    CHANGE,
    CPU,
    FAILOVER,
    GROUPS,
    LOOKS,
    NODES,
    PEERS,
    SERVED,
    TRAFFIC,
    Need,
    Slopes,
)
from benchmarks.figures import print_table


def print_roles(fits: Iterable[Fit]) -> None:
    """Print the needs of each role against their limits."""
    slopes = Slopes(fits)
    needs = [
        *list_targets(slopes),
        *list_callers(slopes),
        *list_platform(slopes),
        *_list_peers(slopes),
        *_list_promoter(slopes),
    ]
    header = ['role', 'what', 'at full size', 'limit', 'unit', 'verdict', '']
    rows = [
        [
            need.role,
            need.what,
            show(need.value),
            show(need.limit),
            need.unit,
            'holds' if need.value <= need.limit else 'breaks',
            need.breaks_at if need.value > need.limit else '',
        ]
        for need in needs
    ]
    print_table(f'At {NODES} nodes and {GROUPS} groups of 3', header, rows)


def _list_peers(slopes: Slopes) -> list[Need]:
    role = 'peers'
    asked = 'peer asked'
    traffic = slopes.find('received', asked).slope
    traffic += slopes.find('sent', asked).slope
    work = slopes.find('CPU', asked).slope
    look = slopes.find('look through all peers', 'proxy').predict(NODES)
    told = slopes.find('peers told of a stop in 2 s, 40 ms away', 'proxy')
    client = slopes.find('client asks all proxies, 40 ms away', 'proxy')
    return [
        Need(
            role,
            f'traffic with {PEERS}',
            'B/s',
            traffic * PEERS * BOTH_WAYS,
            TRAFFIC,
            '',
        ),
        Need(role, f'CPU with {PEERS}', 'ms/s', work * PEERS * BOTH_WAYS, CPU),
        Need(role, 'CPU of looking through', 'ms/s', look * LOOKS, CPU, ''),
        Need(
            role,
            'not told of a stop',
            'peers',
            NODES - 1 - told.measured[-1],
            0,
            f'at {told.measured[-1]:.0f} peers',
        ),
        Need(
            'client',
            'asks all proxies',
            's',
            client.predict(NODES),
            CHANGE,
            f'at {client.find_size(CHANGE):.0f} proxies',
        ),
    ]


def _list_promoter(slopes: Slopes) -> list[Need]:
    role = 'promoter'
    declared = slopes.find('mean failover of 5 groups', 'proxy declared')
    at_once = slopes.find(
        'slowest failover of 5 runs',
        'group whose primary fails',
    )
    return [
        Need(
            role,
            'mean failover',
            's',
            declared.predict(NODES),
            FAILOVER,
            f'at {declared.find_size(FAILOVER):.0f} proxies',
        ),
        Need(
            role,
            'zone lost, groups of one node',
            's',
            at_once.predict(SERVED),
            FAILOVER,
            '',
        ),
    ]
