"""Build heartbeats for peers and apply the ones received from them."""

from collections.abc import Iterator, Mapping, Sequence
from operator import is_

from sedgeshunt.clocks import read_boottime
from sedgeshunt.customers.part_assignment import HeldParts
from sedgeshunt.decisions import DecisionKind, DecisionLog
from sedgeshunt.execution.group_table import GroupTable
from sedgeshunt.forwarding.link import LinkEvents
from sedgeshunt.forwarding.messages import Heartbeat, HeartbeatReply, OwnedGroup
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.waiters import ChangeSignal
from sedgeshunt.identifiers import (
    Boottime,
    GroupId,
    ProxyId,
    Revision,
    Seconds,
)
from sedgeshunt.membership.heartbeat_intervals import HeartbeatIntervals
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.membership.peer_lines import PeerLines
from sedgeshunt.membership.quota_links import PeerQuotaLinks
from sedgeshunt.membership.topology import Topology
from sedgeshunt.membership.zone_feed import ZoneFeed
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.promises import (
    OUTAGE_PROMISE_TIME,
    PROMISE_TIME,
    PromisesMade,
    PromisesReceived,
)
from sedgeshunt.ownership.records import GroupRecords
from sedgeshunt.ownership.releases import Releases
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.registry.store_view import StoreView

# A message without a revision confirms the previous one.
UNCHANGED = Revision(0)


class Heartbeats(LinkEvents):
    """Exchange promises, log ends, owners and configurations with peers."""

    def __init__(
        self,
        own: InstanceEntry,
        view: StoreView,
        configuration: LiveConfiguration,
        lease: InstanceLease,
        made: PromisesMade,
        held: PromisesReceived,
        releases: Releases,
        records: GroupRecords,
        topology: Topology,
        decisions: DecisionLog,
    ) -> None:
        """Prepare; bind() has to follow before the first heartbeat."""
        self.owners_changed = ChangeSignal()
        self.is_stopping = False
        # Instances that connected here while the store was unreachable.
        self.new_instances: list[InstanceEntry] = []
        self._own = own
        self._view = view
        self._configuration = configuration
        self._lease = lease
        self._made = made
        self._held = held
        self._records = records
        self._topology = topology
        self._releases = releases
        self._lines = PeerLines(decisions)
        self._relay_sources: list[dict[GroupId, OwnedGroup]] = []
        self._relayed: tuple[OwnedGroup, ...] = ()

    @property
    def name(self) -> ProxyId:
        """Return the name of the sending instance."""
        return self._own.name

    def bind(
        self,
        neighbours: Neighbours,
        groups: GroupTable,
        feed: ZoneFeed,
        quota_links: PeerQuotaLinks,
        parts: HeldParts,
    ) -> None:
        """Set the collaborators that themselves need this object."""
        self._quota_links = quota_links
        self._parts = parts
        self._neighbours = neighbours
        self._groups = groups
        self._intervals = HeartbeatIntervals(
            self._configuration,
            self._lease,
            self._records,
            self._topology,
            neighbours,
            groups,
            feed,
            quota_links,
        )

    def make_heartbeat(
        self,
        peer: ProxyId,
        echo: Boottime,
        *,
        is_answering: bool,
    ) -> Heartbeat:
        """Return the next heartbeat for a peer."""
        return Heartbeat(
            self._own,
            self._promise(peer, is_answering=is_answering),
            echo,
            self._configuration.version,
            self._view.newest,
            self._quota_links.gives_part(peer),
        )

    def answer(self, beat: Heartbeat) -> HeartbeatReply:
        """Answer a peer's heartbeat."""
        if beat.sender is not None:
            self._note_sender(beat.sender)
            if beat.promised:
                self._held.record(beat.sender.name, beat.echo, beat.promised)
            if beat.gives_part:
                self._parts.hold(beat.sender.name, beat.echo)
        self._view.observe_revision(beat.store_revision or UNCHANGED)
        return HeartbeatReply(
            read_boottime(),
            tuple(self._list_owned()),
            self.is_stopping,
            self._list_relayed(),
            self._view.newest,
            # A peer that relies on this has to learn of a loss at once.
            self._lease.has_own_answer(),
            tuple(self._releases.list_recent()),
            self._configuration.find_newer_document(beat.version or 0),
        )

    def find_heartbeat_interval(
        self,
        peer: ProxyId,
        owned: Mapping[GroupId, OwnedGroup],
    ) -> Seconds:
        """Return the interval between heartbeats to a peer."""
        return self._intervals.find(peer, owned)

    def take_heartbeat_reply(
        self,
        reply: HeartbeatReply,
        asked_at: Boottime,
    ) -> None:
        """Apply the reply to a heartbeat."""
        for owned in reply.owned or ():
            if owned.tip is not None:
                self._groups.record_tip(owned.group, asked_at, owned.tip)
        for group, claim in reply.released:
            self._releases.record_peer_release(group, claim)
        self._view.observe_revision(reply.store_revision or UNCHANGED)
        if reply.document is not None:
            self._configuration.apply_copy(reply.document)
        self.owners_changed.notify()

    def take_tip(self, group: GroupId, asked_at: Boottime, tip: Point) -> None:
        """Record a primary's log end and when it was requested."""
        self._groups.record_tip(group, asked_at, tip)

    def note_refused(self, peer: ProxyId, reason: str) -> None:
        """Record that a peer could not be connected."""
        self._lines.record(DecisionKind.PEER_REFUSED, peer, {'why': reason})

    def note_reachability(
        self,
        peer: ProxyId,
        *,
        is_reached: bool,
        reasons: Mapping[str, str],
    ) -> None:
        """Record that a peer became unreachable or reachable, and why."""
        kind = (
            DecisionKind.PEER_REGAINED if is_reached else DecisionKind.PEER_LOST
        )
        self._lines.record(kind, peer, reasons)
        self.owners_changed.notify()
        self._groups.wake()

    def _promise(self, peer: ProxyId, *, is_answering: bool) -> Seconds:
        # A silent peer may be lost, and each promise to it delays the
        # takeover by the next owner.
        if not is_answering or self._owns_reported_group(peer):
            return Seconds(0)
        # Without the store or while stopping, this instance can't claim a
        # group anyway, so the longer promise for outages is safe to make.
        may_claim = self._lease.reaches_store() and not self.is_stopping
        span = PROMISE_TIME if may_claim else OUTAGE_PROMISE_TIME
        return self._made.make(peer, span)

    def _owns_reported_group(self, peer: ProxyId) -> bool:
        """Return whether a peer reports to own a group that is owned here."""
        link = self._neighbours.find_link(peer)
        reported = () if link is None else link.owned
        accesses = map(self._groups.get, reported)
        owners = [access.owner for access in accesses if access is not None]
        return any(
            owner is not None and owner.ownership.is_held() for owner in owners
        )

    def _note_sender(self, entry: InstanceEntry) -> None:
        # During a store outage, a starting instance knows only the peers that
        # connect to it, and gets the configuration from them.
        if not self._lease.reaches_store() and entry not in self.new_instances:
            self.new_instances.append(entry)
            self._groups.changed.set()

    def _list_owned(self) -> Iterator[OwnedGroup]:
        for access in self._groups:
            owner = access.owner
            if owner is not None and owner.ownership.is_held():
                yield OwnedGroup(
                    access.group,
                    owner.ownership.token,
                    owner.read_tip(),
                )

    def _list_relayed(self) -> tuple[OwnedGroup, ...]:
        # Listed again only after a reply of an owner has changed: heartbeats
        # of all peers ask for it.
        sources = [link.owned for link in self._neighbours.list_owners()]
        if not _are_same(sources, self._relay_sources):
            self._relay_sources = sources
            self._relayed = tuple(
                OwnedGroup(owned.group, owned.token, None)
                for source in sources
                for owned in source.values()
            )
        return self._relayed


def _are_same(one: Sequence[object], other: Sequence[object]) -> bool:
    return len(one) == len(other) and all(map(is_, one, other))
