"""Tell whether this instance is cut off from all that others can serve."""

from asyncio import sleep

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.forwarding.link import MISSED_AFTER
from sedgeshunt.identifiers import Monotonic, Seconds, ZoneId
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.statements.dispatch import SiteFinder

LOOK_EVERY = Seconds(0.1)


class Isolation:
    """Notice that neither the store nor any group's owner is reached."""

    # A part of the network without the store can't have owners for long, as
    # their groups are claimed on the other side. Its callers still reach it,
    # and would be refused one statement after the other, while instances of
    # the other side could serve them. An instance that says that it is not
    # ready sends them there. In an outage of the store alone owners go on.

    def __init__(
        self,
        zone: ZoneId,
        lease: InstanceLease,
        neighbours: Neighbours,
        owners: SiteFinder,
        configuration: LiveConfiguration,
        decisions: DecisionLog,
    ) -> None:
        """Assume to be connected."""
        self._zone = zone
        self._lease = lease
        self._neighbours = neighbours
        self._owners = owners
        self._configuration = configuration
        self._decisions = decisions
        self._cut_since: Monotonic | None = None
        self._asked_at: Monotonic | None = None
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
        if self._lease.is_fresh():
            self._asked_at = None
            return False
        if self._asked_at is None:
            # Peers that tell little are asked rarely; now it matters.
            self._asked_at = read_clock()
            self._neighbours.wake_all()
        if read_clock() - self._asked_at < MISSED_AFTER:
            return False
        return not (self._hears_store() or self._hears_owner())

    def _hears_store(self) -> bool:
        answering = self._neighbours.list_answering()
        return any(link.reaches_store for link in answering)

    def _hears_owner(self) -> bool:
        return any(
            self._owners.find_owner(group.name) is not None
            for group in self._configuration.list_groups()
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
