"""Rank proxies for each group by rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

from sedgeshunt.identifiers import GroupId, ProxyId

DIGEST_SIZE = 8


def rank_proxy(
    group: GroupId,
    proxy: ProxyId,
    proxies: Iterable[ProxyId],
) -> int:
    """Return how many of `proxies` come before `proxy` for `group`."""
    # Rendezvous hashing: all proxies compute the same order without
    # coordination, orders differ between groups, and the removal of a proxy
    # leaves the order of the others as it is.
    own = compute_weight(group, proxy)
    return sum(compute_weight(group, other) > own for other in set(proxies))


def compute_weight(key: object, candidate: str) -> bytes:
    """Return a weight that depends only on the key and the candidate."""
    name = f'{key}\n{candidate}'.encode()
    return blake2b(name, digest_size=DIGEST_SIZE).digest()
