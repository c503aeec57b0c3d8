"""Tell whether this instance is cut off from all that others can serve."""

from asyncio import sleep

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.identifiers import Monotonic, Seconds, ZoneId
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.ownership.lease import InstanceLease

LOOK_EVERY = Seconds(0.1)
# All peers outside are silent for as long as it takes to miss an answer.
SILENCE = Seconds(0.35)


class Isolation:
    """Notice that neither the store nor another zone is reached."""

    # A zone that is cut off can't reach the primaries outside, and its own
    # are replaced there. Its callers still reach it, and would be refused one
    # statement after the other, while instances of other zones could serve
    # them. An instance that says that it is not ready sends them there.

    def __init__(
        self,
        zone: ZoneId,
        lease: InstanceLease,
        neighbours: Neighbours,
        decisions: DecisionLog,
    ) -> None:
        """Assume to be connected."""
        self._zone = zone
        self._lease = lease
        self._neighbours = neighbours
        self._decisions = decisions
        self._cut_since: Monotonic | None = None
        self.is_noted = False

    def measure(self) -> Seconds:
        """Return for how long this instance has been cut off, 0 if it isn't."""
        if self._cut_since is None:
            return Seconds(0)
        return Seconds(read_clock() - self._cut_since)

    def is_isolated(self) -> bool:
        """Tell whether callers are served better elsewhere."""
        return self._cut_since is not None

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            if not self._is_cut_off():
                self._cut_since = None
            elif self._cut_since is None:
                self._cut_since = read_clock()
            if self.is_isolated() != self.is_noted:
                self._note()
            await sleep(LOOK_EVERY)

    def _is_cut_off(self) -> bool:
        if self._lease.reaches_store():
            return False
        others = {
            entry.name
            for entry in self._neighbours.list_instances()
            if entry.zone != self._zone
        }
        if not others:
            return False
        return not any(
            link.peer.name in others for link in self._neighbours.list_heard()
        )

    def _note(self) -> None:
        self.is_noted = not self.is_noted
        kind = (
            DecisionKind.ZONE_CUT
            if self.is_noted
            else DecisionKind.ZONE_REJOINED
        )
        reasons = {'zone': self._zone}
        self._decisions.record(Decision(kind, reasons=reasons))
