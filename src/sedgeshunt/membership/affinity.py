"""Choose where a customer's reads gather, so that connections serve again."""

from collections.abc import Mapping, Sequence
from functools import partial
from itertools import zip_longest

from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import CustomerId, ProxyId, ZoneId


def rank_readers(
    place: str,
    customer: CustomerId,
    zones: Sequence[ZoneId],
    readers: Mapping[ZoneId, Sequence[ProxyId]],
) -> list[ProxyId]:
    """Return the readers near the replicas in `zones`, the best one first.

    Whoever asks finds the same order, for each customer another one.
    """
    # A connection is opened in one customer's name and is of no use to others.
    # With many customers for each of a target's connections, reads that went
    # wherever there was room opened a new one each second time: it takes a
    # place at the target as long as a short statement does. Gathered, a
    # customer finds its own again. The replicas take turns in the order, so
    # that a customer that needs several readers uses all of them.
    draw = partial(compute_weight, f'{place} of {customer}')
    columns = [
        sorted(readers.get(zone, ()), key=draw)
        for zone in sorted(set(zones), key=draw)
    ]
    rows = zip_longest(*columns)
    return [name for row in rows for name in row if name is not None]


def count_affinity_readers(share: float, readers: int) -> int:
    """Return over how many readers a customer's reads are spread.

    `share` is the customer's part of all that may be asked.
    """
    # One that may ask for more than a reader's part would crowd it, and all
    # customers that gather there.
    return max(1, min(readers, round(share * readers * 2)))
