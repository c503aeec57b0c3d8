"""Find the owner of a group and the readers of its replicas."""

from collections.abc import Callable, Sequence
from functools import partial
from random import random, shuffle

from sedgeshunt.clocks import read_clock
from sedgeshunt.customers.directory import ANONYMOUS
from sedgeshunt.execution.group_access import GroupAccess
from sedgeshunt.execution.group_table import GroupTable
from sedgeshunt.forwarding.link import SLOW_HEARTBEAT_INTERVAL, PeerLink
from sedgeshunt.groups.waiters import ChangeSignal
from sedgeshunt.identifiers import (
    CustomerId,
    GroupId,
    Monotonic,
    ProxyId,
    Seconds,
)
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.statements.dispatch import SiteFinder
from sedgeshunt.statements.sites import CallSite, LocalSite, PeerSite

# Estimated time from an owner's failure to the next owner's first answer: its
# detection, the end of promises and lease, a claim and a primary probe.
TAKEOVER_ESTIMATE = Seconds(1.3)
# Estimated time from an owner's release of a group to the next owner's first
# answer: a transaction in the store, its watch, a claim and a primary probe.
HANDOVER_ESTIMATE = Seconds(0.3)
# Readers tried for one read. Further readers have the same replicas.
MAX_READERS = 2


class OwnerDirectory(SiteFinder):
    """Find owners by the store's records and by peers' heartbeats."""

    def __init__(
        self,
        groups: GroupTable,
        neighbours: Neighbours,
        records: GroupRecords,
        lease: InstanceLease,
        changed: ChangeSignal,
        end_batch: Callable[[], None],
    ) -> None:
        """Wait for changes of owners on `changed`.

        `end_batch` lets the changes of the store be requested now.
        """
        self._groups = groups
        self._neighbours = neighbours
        self._records = records
        self._lease = lease
        self._changed = changed
        self._end_batch = end_batch
        self._ownerless_since: dict[GroupId, Monotonic] = {}
        # When peers that get heartbeats rarely were last asked for owners.
        self._asked_at = Monotonic(0)

    def find_owner(self, group: GroupId) -> CallSite | None:
        """Return the site of the group's owner, None if unknown."""
        site = self.find_direct_owner(group) or self._find_relay(group)
        if site is None:
            self._ownerless_since.setdefault(group, read_clock())
            self._ask_idle_peers()
        else:
            self._ownerless_since.pop(group, None)
        return site

    def find_direct_owner(self, group: GroupId) -> CallSite | None:
        """Return the owner if it is this proxy or a peer in contact."""
        access = self._groups.get(group)
        if access is not None and access.owner is not None:
            return LocalSite(access)
        link = self._find_newest_owner(group)
        return None if link is None else PeerSite(link)

    def find_near_owner(self, group: GroupId) -> CallSite | None:
        """Return the owner if its zone, this one, has the primary alone."""
        if not self._groups.has_primary_alone(group):
            return None
        access = self._groups.get(group)
        if access is not None and access.owner is not None:
            return LocalSite(access)
        link = self._find_newest_owner(group)
        if link is None or link.peer.zone != self._groups.zone:
            return None
        # The readers serve meanwhile if the owner missed a heartbeat.
        return PeerSite(link) if link.is_answering() else None

    def find_readers(
        self,
        group: GroupId,
        customer: CustomerId,
    ) -> Sequence[CallSite]:
        """Return a customer's sites for reads at replicas, best first."""
        access = self._groups.get(group)
        if access is None:
            return ()
        if customer != ANONYMOUS:
            preferred = self._find_customer_readers(access, customer)
            if preferred:
                return preferred
        if access.reader.has_replicas():
            return (LocalSite(access),)
        link = self._find_reader_link(group)
        return () if link is None else (PeerSite(link),)

    def expect_owner(self, group: GroupId) -> Monotonic | None:
        """Return when an owner is expected, None if unknown."""
        # Fully isolated: any owner is on the other side of the partition.
        if not self._lease.reaches_store() and not self._has_reachable_peer():
            return None
        since = self._ownerless_since.get(group, read_clock())
        record = self._records.find_record(group)
        # Released to the next owner, or free to claim, as after a full restart.
        is_free = record is None or record.heir or not record.owner
        usual = HANDOVER_ESTIMATE if is_free else TAKEOVER_ESTIMATE
        expected = Monotonic(since + usual)
        return expected if read_clock() < expected else None

    async def wait_change(self, deadline: Monotonic) -> None:
        """Wait until the owner may have changed, `deadline` at most."""
        self._end_batch()
        await self._changed.wait(deadline)

    def _ask_idle_peers(self) -> None:
        """Ask who can relay calls, as often as in a full mesh."""
        now = read_clock()
        if now - self._asked_at >= SLOW_HEARTBEAT_INTERVAL:
            self._asked_at = now
            self._neighbours.wake_idle()

    def _has_reachable_peer(self) -> bool:
        return any(True for _ in self._neighbours.list_alive())

    def _find_newest_owner(self, group: GroupId) -> PeerLink | None:
        candidates = [
            (link.owned[group].token, link)
            for link in self._neighbours.list_owners()
            if group in link.owned
        ]
        stored = self._find_recorded_owner(group)
        if stored is not None:
            candidates.append((self._records.find_token(group), stored))
        return (
            max(candidates, key=lambda known: known[0])[1]
            if candidates
            else None
        )

    def _find_customer_readers(
        self,
        access: GroupAccess,
        customer: CustomerId,
    ) -> list[CallSite]:
        ranked, count = self._groups.list_customer_readers(
            access.group, customer
        )
        sites = map(partial(self._find_reader_site, access), ranked)
        reached = [site for site in sites if site is not None]
        preferred = reached[:count]
        shuffle(preferred)
        return [*preferred, *reached[count:]][:MAX_READERS]

    def _find_reader_site(
        self, access: GroupAccess, reader: ProxyId
    ) -> CallSite | None:
        if reader == self._neighbours.own_name:
            return LocalSite(access) if access.reader.has_replicas() else None
        link = self._neighbours.find_link(reader)
        # A peer that has missed a heartbeat may be cut off; use another one.
        if link is None or link.is_stopping or not link.is_answering():
            return None
        return PeerSite(link)

    def _find_reader_link(self, group: GroupId) -> PeerLink | None:
        readers = self._groups.list_readers(group)
        links = [
            link
            for link in map(self._neighbours.find_link, readers)
            if link is not None and not link.is_stopping
        ]
        # The rank by hash would send all callers to the same reader.
        return min(links, key=_count_calls, default=None)

    def _find_recorded_owner(self, group: GroupId) -> PeerLink | None:
        # Without the store its last record may be outdated. The owner's own
        # heartbeats show whether it still owns the group.
        owner = self._records.find_owner(group)
        if owner is None or not self._lease.reaches_store():
            return None
        link = self._neighbours.find_link(owner.owner)
        if link is None or link.peer.incarnation != owner.incarnation:
            return None
        return link

    def _find_relay(self, group: GroupId) -> CallSite | None:
        # A peer may still reach an owner that this proxy cannot reach.
        for link in self._neighbours.list_alive():
            if group in link.relayed:
                return PeerSite(link, is_relay=True)
        return None


def _count_calls(link: PeerLink) -> tuple[int, float]:
    return link.count_calls(), random()
