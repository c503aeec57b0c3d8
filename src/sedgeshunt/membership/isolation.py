"""Detect that this instance is on the wrong side of a network partition."""

from asyncio import sleep

from sedgeshunt.clocks import read_clock
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.forwarding.link import HEARTBEAT_MISSED_AFTER
from sedgeshunt.identifiers import Monotonic, Seconds, ZoneId
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.statements.dispatch import SiteFinder

CHECK_INTERVAL = Seconds(0.05)
# The store and a peer that became silent within this time of each other were
# lost to the same partition: the store's silence is detected up to 0.4 s after
# it, a peer's up to 0.5 s, and a dropped link keeps the start of its silence.
PARTITION_WINDOW = Seconds(0.6)
# A suspicion that is not confirmed for this long, as an owner still answers,
# was an outage of the store alone: ownership by a lease alone ends within 1 s.
SUSPICION_TIMEOUT = Seconds(2.5)

# By then every instance that lost the store has missed a reply, as renewals
# are 0.3 s apart. An instance that alone lost the store is not isolated.
RECHECK_TIME = Seconds(1)


class IsolationDetector:
    """Detect that neither the store nor any group's owner is reachable."""

    # The side of a partition without the store soon has no owners, as its
    # groups are claimed on the other side. Callers that still reach it would
    # have every statement refused while the other side could serve them, so
    # an isolated instance reports that it is not ready and the load balancer
    # sends callers elsewhere. In an outage of the store alone, owners continue
    # and no instance is isolated.
    #
    # The balancer takes 1 to 2 s to remove an instance and ignores a single
    # "not ready" answer. So a first suspicion already counts: the store and
    # peers became silent at the same time. Peers that still answer, and peers
    # that were lost at another time, raise no suspicion.

    def __init__(
        self,
        zone: ZoneId,
        lease: InstanceLease,
        neighbours: Neighbours,
        owners: SiteFinder,
        configuration: LiveConfiguration,
        decisions: DecisionLog,
    ) -> None:
        """Start as connected."""
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
        """Return whether callers should be sent to other instances."""
        return self._is_cut_off or self._is_suspected

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self._check()
            if self.is_isolated() != self.is_recorded:
                self._record_change()
            await sleep(CHECK_INTERVAL)

    def _check(self) -> None:
        if not self._has_lost_store():
            self._is_cut_off = False
            self._is_suspected = False
            self._suspected_since = None
            return
        self._is_cut_off = not self._reaches_owner()
        if self._suspected_since is None and self._has_lost_peers():
            self._suspected_since = read_clock()
        since = self._suspected_since
        self._is_suspected = (
            since is not None and read_clock() - since < SUSPICION_TIMEOUT
        )

    def _has_lost_store(self) -> bool:
        """Return whether the store is unreachable, also through peers."""
        self._lease.wake_if_needed()
        is_overdue = self._lease.is_overdue()
        if not (is_overdue or self._lease.has_stale_evidence()):
            self._asked_at = None
            return False
        if self._asked_at is None:
            # Most peers get heartbeats rarely; their state is needed now.
            self._asked_at = read_clock()
            self._asked_again_at = self._asked_at
            self._neighbours.wake_all()
        if read_clock() - self._asked_at < HEARTBEAT_MISSED_AFTER:
            return False
        self._ask_again()
        return is_overdue and not self._reaches_store()

    def _ask_again(self) -> None:
        """Send heartbeats to peers that last reported to reach the store."""
        # An instance notices a partition when its next renewal gets no reply.
        # A peer asked before that reports to reach the store, and its reply
        # would count until its next heartbeat, up to a second later.
        now = read_clock()
        since = now - (self._asked_at or now)
        if (
            since > RECHECK_TIME
            or now - self._asked_again_at < HEARTBEAT_MISSED_AFTER
        ):
            return
        self._asked_again_at = now
        for link in self._neighbours.list_answering():
            if link.reaches_store:
                link.wake()

    def _has_lost_peers(self) -> bool:
        """Return whether a peer became silent when the store did."""
        store_silence = self._lease.measure_silence()
        return any(
            abs(store_silence - silence) < PARTITION_WINDOW
            for silence in self._neighbours.list_silences()
        )

    def _reaches_store(self) -> bool:
        answering = self._neighbours.list_answering()
        return any(link.reaches_store for link in answering)

    def _reaches_owner(self) -> bool:
        return any(
            self._owners.find_owner(group.name) is not None
            for group in self._configuration.list_groups()
        )

    def _record_change(self) -> None:
        self.is_recorded = not self.is_recorded
        kind = (
            DecisionKind.ZONE_CUT
            if self.is_recorded
            else DecisionKind.ZONE_REJOINED
        )
        reasons = {'zone': self._zone}
        self._decisions.record(Decision(kind, reasons=reasons))
