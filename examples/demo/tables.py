"""Print what the demo found."""

from collections.abc import Iterable

from examples.demo.ledger import Kind, Ledger, Outcome
from examples.demo.promises import Promise, Service

FIRST_WIDTH = 54
SHOWN = 3
HUNDRED = 100
THOUSAND = 1000


def print_requests(ledger: Ledger) -> None:
    """Print the outcomes of the requests by kind."""
    heads = ''.join(f'{outcome.value:>10}' for outcome in Outcome)
    print(f'\n{"requests":{FIRST_WIDTH}}{heads}')
    for kind in Kind:
        counts = ledger.count(kind)
        cells = ''.join(f'{counts[outcome]:>10}' for outcome in Outcome)
        print(f'{kind.value:{FIRST_WIDTH}}{cells}')
    print(f'connections that found no proxy: {ledger.turned_away}')
    reasons = {
        attempt.reason
        for attempt in ledger.attempts
        if attempt.outcome is Outcome.REJECTED
    }
    for reason in sorted(reasons)[:SHOWN]:
        print(f'rejected: {reason}')


def print_service(ledger: Ledger, service: Service) -> None:
    """Print the figures that users measure."""
    share, gap = service.replica_share, service.failover_gap
    lines = {
        'reads that replicas answered': _say(share, HUNDRED, '%'),
        'failover gap, kill to next commit': _say(gap, THOUSAND, 'ms'),
        'longest time without an acknowledged write': _say(
            ledger.find_write_gap(),
            THOUSAND,
            'ms',
        ),
        'slowest request': _say(ledger.find_slowest(), THOUSAND, 'ms'),
    }
    print(f'\n{"service":{FIRST_WIDTH}}')
    for name, said in lines.items():
        print(f'{name:{FIRST_WIDTH}}{said:>10}')


def print_promises(promises: Iterable[Promise]) -> None:
    """Print which promises were kept, checked on the databases' history."""
    print(f'\n{"promises":{FIRST_WIDTH}}{"checked":>10}{"broken":>10}')
    for promise in promises:
        cells = f'{promise.checked:>10}{len(promise.broken):>10}'
        print(f'{promise.name:{FIRST_WIDTH}}{cells}')
        for reference in promise.broken[:SHOWN]:
            print(f'  broken: {reference}')


def _say(figure: float | None, factor: int, unit: str) -> str:
    if figure is None:
        return 'not seen'
    return f'{figure * factor:.0f} {unit}'
