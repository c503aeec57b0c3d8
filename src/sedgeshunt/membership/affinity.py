"""Direct a customer's reads to few readers, to reuse their connections."""

from collections.abc import Mapping, Sequence
from functools import partial
from itertools import zip_longest

from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import CustomerId, ProxyId, ZoneId


def rank_readers(
    purpose: str,
    customer: CustomerId,
    zones: Sequence[ZoneId],
    readers: Mapping[ZoneId, Sequence[ProxyId]],
) -> list[ProxyId]:
    """Return the readers near the replicas in `zones`, the best one first.

    The order differs by customer and is the same on every instance.
    """
    # A connection is opened for one customer and can't serve another.
    # With many customers for each of a target's connections, reads sent to any
    # reader with room would open a new connection for every second read, which
    # occupies the target as long as a short statement does. With affinity a
    # customer finds its open connections again. Zones alternate in the order,
    # so that a customer that needs several readers uses all replicas.
    hash_name = partial(compute_weight, f'{purpose} of {customer}')
    columns = [
        sorted(readers.get(zone, ()), key=hash_name)
        for zone in sorted(set(zones), key=hash_name)
    ]
    rows = zip_longest(*columns)
    return [name for row in rows for name in row if name is not None]


def count_affinity_readers(share: float, readers: int) -> int:
    """Return over how many readers a customer's reads are spread.

    `share` is the customer's share of the sum of all customers' rates.
    """
    # A customer with a higher rate than one reader's part would overload the
    # reader and delay the other customers there.
    return max(1, min(readers, round(share * readers * 2)))
