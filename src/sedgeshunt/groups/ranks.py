"""Rank the proxies for each group without any coordination."""

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
    # Rendezvous hashing: each proxy computes the same order by itself, the
    # orders of two groups differ, and one that goes moves no other.
    own = compute_weight(group, proxy)
    return sum(compute_weight(group, other) > own for other in set(proxies))


def compute_weight(place: object, candidate: str) -> bytes:
    """Return a weight that differs between places and is alike everywhere."""
    name = f'{place}\n{candidate}'.encode()
    return blake2b(name, digest_size=DIGEST_SIZE).digest()
