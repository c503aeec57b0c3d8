"""Tell whether this instance is cut off from all that others can serve."""

from asyncio import sleep

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.forwarding.link import HEARTBEAT_MISSED_AFTER
from sedgeshunt.identifiers import Monotonic, Seconds, ZoneId
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.statements.dispatch import SiteFinder

LOOK_EVERY = Seconds(0.05)
# The store and a peer that fell silent within this time of each other were lost
# to one cut: the store's silence shows up to 0.4 s after it, a peer's up to 0.5
# s, and a connection that is given up counts from then.
ONE_CUT = Seconds(0.6)
# What is suspected for so long and has not come true, as an owner is still
# heard, was an outage of the store: a reign by lease alone ends within 1 s.
SUSPECT_FOR = Seconds(2.5)

# By then all to whom the store is lost have missed an answer: renewals are
# 0.3 s apart. Who has lost it alone is not cut off.
ASK_FOR = Seconds(1)


class IsolationDetector:
    """Notice that neither the store nor any group's owner is reached."""

    # A part of the network without the store can't have owners for long, as
    # their groups are claimed on the other side. Its callers still reach it,
    # and would be refused one statement after the other, while instances of
    # the other side could serve them. An instance that says that it is not
    # ready sends them there. In an outage of the store alone owners go on.
    #
    # The balancer takes 1 to 2 s to leave an instance out, and takes one
    # question that is answered with "not ready" for nothing. So it is told on
    # the first suspicion: the store and peers fell silent at once. Peers that
    # still answer, and an outage that began at another time, raise none.

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
        self._is_cut_off = False
        self._is_suspected = False
        self._suspected_since: Monotonic | None = None
        self._asked_at: Monotonic | None = None
        self._asked_again_at = Monotonic(0)
        self.is_recorded = False

    def is_isolated(self) -> bool:
        """Tell whether callers are served better elsewhere."""
        return self._is_cut_off or self._is_suspected

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self._look()
            if self.is_isolated() != self.is_recorded:
                self._note()
            await sleep(LOOK_EVERY)

    def _look(self) -> None:
        if not self._misses_store():
            self._is_cut_off = False
            self._is_suspected = False
            self._suspected_since = None
            return
        self._is_cut_off = not self._hears_owner()
        if self._suspected_since is None and self._has_lost_peers():
            self._suspected_since = read_clock()
        since = self._suspected_since
        self._is_suspected = (
            since is not None and read_clock() - since < SUSPECT_FOR
        )

    def _misses_store(self) -> bool:
        """Tell whether neither the store nor a peer that has it answers."""
        self._lease.wake_if_needed()
        is_overdue = self._lease.is_overdue()
        if not (is_overdue or self._lease.has_stale_evidence()):
            self._asked_at = None
            return False
        if self._asked_at is None:
            # Peers that tell little are asked rarely; now it matters.
            self._asked_at = read_clock()
            self._asked_again_at = self._asked_at
            self._neighbours.wake_all()
        if read_clock() - self._asked_at < HEARTBEAT_MISSED_AFTER:
            return False
        self._ask_again()
        return is_overdue and not self._hears_store()

    def _ask_again(self) -> None:
        """Ask those who still had the store a moment ago."""
        # A cut shows to each instance as its next renewal has no answer. A peer
        # that is asked before its own says that it has the store, and its word
        # would count until its next heartbeat, up to a second later.
        now = read_clock()
        since = now - (self._asked_at or now)
        if (
            since > ASK_FOR
            or now - self._asked_again_at < HEARTBEAT_MISSED_AFTER
        ):
            return
        self._asked_again_at = now
        for link in self._neighbours.list_answering():
            if link.reaches_store:
                link.wake()

    def _has_lost_peers(self) -> bool:
        """Tell whether peers fell silent when the store did."""
        before = self._lease.measure_silence()
        return any(
            abs(before - silence) < ONE_CUT
            for silence in self._neighbours.list_silences()
        )

    def _hears_store(self) -> bool:
        answering = self._neighbours.list_answering()
        return any(link.reaches_store for link in answering)

    def _hears_owner(self) -> bool:
        return any(
            self._owners.find_owner(group.name) is not None
            for group in self._configuration.list_groups()
        )

    def _note(self) -> None:
        self.is_recorded = not self.is_recorded
        kind = (
            DecisionKind.ZONE_CUT
            if self.is_recorded
            else DecisionKind.ZONE_REJOINED
        )
        reasons = {'zone': self._zone}
        self._decisions.record(Decision(kind, reasons=reasons))
