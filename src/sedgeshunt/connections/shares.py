"""Share a target's connections out among proxies without asking anyone."""

from dataclasses import dataclass

# Connections of a proxy that holds no seat: one for control, one for work.
UNSEATED_PROXY_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class Share:
    """Hold how many working connections to one target a proxy may open."""

    seated: int
    unseated: int = 1


def compute_share(connection_limit: int, seats: int) -> Share:
    """Split a target's limit into equal shares that never sum above it."""
    # Each seated proxy also keeps one control connection, and room is left
    # for one newcomer, so that a replaced instance can serve at once, before
    # the seat of the one it replaces has lapsed.
    usable = connection_limit - seats - UNSEATED_PROXY_CONNECTIONS
    return Share(seated=max(1, usable // max(1, seats)))
