"""Hold the parts of limits that proxies have given to this counter."""

from sedgeshunt.clocks import read_boottime
from sedgeshunt.identifiers import Boottime, ProxyId, Seconds

# A part is given with each heartbeat, of which several fit into this time.
HELD_FOR = Seconds(1.5)


class HeldParts:
    """Know which proxies' parts of all limits are counted here."""

    # Each proxy brings an equal part of every limit to the counter that it
    # asks. So those that are cut off together have as much of each limit as
    # they are proxies, whichever counters are among them, and all together
    # have no more than all of it. Safeguard: a part that two counters had would
    # be spent twice. It is held for a time that counts from what the giver
    # last heard of this counter's own clock, and the giver gives it to nobody
    # else before a time as long has gone by since it was sent.

    def __init__(self) -> None:
        """Hold nobody's."""
        self._until: dict[ProxyId, Boottime] = {}

    def hold(self, giver: ProxyId, heard: Boottime) -> None:
        """Hold a proxy's part; `heard` is this clock as the proxy knew it."""
        until = Boottime(heard + HELD_FOR)
        self._until[giver] = max(until, self._until.get(giver, until))

    def count(self) -> int:
        """Count the parts that are held now."""
        now = read_boottime()
        for giver, until in tuple(self._until.items()):
            if until <= now:
                self._until.pop(giver)
        return len(self._until)


class PartAssignment:
    """Decide which counter has this proxy's part of all limits."""

    def __init__(self) -> None:
        """Give it to nobody yet."""
        self._holder: ProxyId | None = None
        self._free_at = Boottime(0)

    def assign(self, counter: ProxyId, wanted: ProxyId | None) -> bool:
        """Return whether a heartbeat to a counter is to bring the part.

        It goes to the `wanted` one once nobody else can hold it any more.
        """
        now = read_boottime()
        if self._holder != wanted and now < self._free_at:
            return False
        self._holder = wanted
        if counter != wanted:
            return False
        self._free_at = Boottime(now + HELD_FOR)
        return True
