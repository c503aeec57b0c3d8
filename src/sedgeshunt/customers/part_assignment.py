"""Assign each proxy's part of all limits to one quota server at a time."""

from sedgeshunt.clocks import read_boottime
from sedgeshunt.identifiers import Boottime, ProxyId, Seconds

# An assignment is renewed by heartbeats, of which several fit into this time.
HOLD_TIME = Seconds(1.5)


class HeldParts:
    """Track the proxies whose parts of all limits this server holds."""

    # Each proxy assigns an equal part of every limit to the quota server that
    # it asks. So the proxies on one side of a network partition have a share of
    # each limit that is proportional to their number, whichever servers are
    # among them, and all sides together have no more than the limit.
    # Safeguard: a part held by two servers would be used twice. A server holds
    # a part for a time that starts at the last reading of its own clock that
    # the proxy received, and the proxy assigns the part to no other server
    # before the same time has passed since it last sent the assignment.

    def __init__(self) -> None:
        """Start without parts."""
        self._until: dict[ProxyId, Boottime] = {}

    def hold(self, proxy: ProxyId, echo: Boottime) -> None:
        """Hold a proxy's part; `echo` is this clock as the proxy knew it."""
        if echo > read_boottime():
            # The reading is from before a restart of this instance.
            return
        until = Boottime(echo + HOLD_TIME)
        self._until[proxy] = max(until, self._until.get(proxy, until))

    def count(self) -> int:
        """Return the number of parts that are held now."""
        now = read_boottime()
        for proxy, until in tuple(self._until.items()):
            if until <= now:
                self._until.pop(proxy)
        return len(self._until)


class PartAssignment:
    """Decide which quota server holds this proxy's part of all limits."""

    def __init__(self) -> None:
        """Start without an assignment."""
        self._holder: ProxyId | None = None
        self._free_at = Boottime(0)

    def assign(self, server: ProxyId, wanted: ProxyId | None) -> bool:
        """Assign the part to `server` if it may get it; return whether so.

        The `wanted` server gets the part once no other one can hold it.
        """
        now = read_boottime()
        if self._holder != wanted and now < self._free_at:
            return False
        self._holder = wanted
        if server != wanted:
            return False
        self._free_at = Boottime(now + HOLD_TIME)
        return True
