"""Divide a target's connections among proxies without coordination."""

from dataclasses import dataclass

# Connections of a proxy without a seat: one for control, one for statements.
UNSEATED_PROXY_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class Share:
    """Hold the number of pooled connections to a target, by seat."""

    seated: int
    unseated: int = 1


def compute_share(connection_limit: int, seats: int) -> Share:
    """Divide a target's limit into equal shares whose sum stays within it."""
    # Each seated proxy also keeps one control connection. Connections of one
    # unseated proxy are reserved so that a replacement instance can serve at
    # once, before the seat of its predecessor has expired.
    usable = connection_limit - seats - UNSEATED_PROXY_CONNECTIONS
    return Share(seated=max(1, usable // max(1, seats)))
