"""Say in heartbeats what peers need to know, and take in what they say."""

from collections.abc import Iterator

from sedgeshunt.clocks import read_boottime
from sedgeshunt.decisions import Decision, DecisionKind, DecisionLog
from sedgeshunt.execution.group_table import GroupTable
from sedgeshunt.forwarding.link import LinkEvents
from sedgeshunt.forwarding.messages import Beat, BeatReply, OwnedGroup
from sedgeshunt.groups.points import Point
from sedgeshunt.groups.waiters import ChangeSignal
from sedgeshunt.identifiers import Boottime, GroupId, ProxyId
from sedgeshunt.membership.neighbours import Neighbours
from sedgeshunt.ownership.lease import InstanceLease
from sedgeshunt.ownership.promises import PromisesHeld, PromisesMade
from sedgeshunt.registry.configuration import LiveConfiguration
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.registry.store_view import StoreView


class Heartbeats(LinkEvents):
    """Exchange promises, log ends, owners and configurations with peers."""

    def __init__(
        self,
        own: InstanceEntry,
        view: StoreView,
        configuration: LiveConfiguration,
        lease: InstanceLease,
        made: PromisesMade,
        held: PromisesHeld,
        decisions: DecisionLog,
    ) -> None:
        """Exchange nothing before bind()."""
        self.owners_changed = ChangeSignal()
        self.is_stopping = False
        # Instances that connected here while the store was away.
        self.met: list[InstanceEntry] = []
        self._own = own
        self._view = view
        self._configuration = configuration
        self._lease = lease
        self._made = made
        self._held = held
        self._decisions = decisions

    def bind(self, neighbours: Neighbours, groups: GroupTable) -> None:
        """Speak for `groups` and of `neighbours`."""
        self._neighbours = neighbours
        self._groups = groups

    def make_beat(
        self,
        peer: ProxyId,
        echo: Boottime,
        *,
        is_answering: bool,
    ) -> Beat:
        """Return the next heartbeat for a peer."""
        # A peer that is silent may be gone, and each promise to it delays the
        # next owner.
        return Beat(
            self._own,
            is_answering and self._made.make(peer),
            echo,
            self._configuration.revision,
            self._view.revision,
        )

    def answer(self, beat: Beat) -> BeatReply:
        """Answer a peer's heartbeat."""
        self._meet(beat.sender)
        sender = beat.sender.name
        if beat.promises:
            self._held.note(sender, beat.echo)
        self._view.note_newer(beat.store_revision)
        return BeatReply(
            read_boottime(),
            tuple(self._list_owned()),
            self._configuration.revision,
            self.is_stopping,
            tuple(self._list_relayed()),
            self._view.revision,
            self._lease.reaches_store(),
            self._configuration.copy_newer(beat.revision),
        )

    def take_beat_reply(self, reply: BeatReply, asked_at: Boottime) -> None:
        """Take in the answer to a heartbeat."""
        for owned in reply.owned:
            if owned.tip is not None:
                self._groups.take_tip(owned.group, asked_at, owned.tip)
        self._view.note_newer(reply.store_revision)
        if reply.document is not None:
            self._configuration.take_copy(reply.document, reply.revision)
        self.owners_changed.notify()

    def take_tip(self, group: GroupId, asked_at: Boottime, tip: Point) -> None:
        """Take in a primary's log end and when it was asked for."""
        self._groups.take_tip(group, asked_at, tip)

    def note_reach(self, peer: ProxyId, *, is_reached: bool) -> None:
        """Take in that a peer was lost or found."""
        kind = (
            DecisionKind.PEER_REGAINED if is_reached else DecisionKind.PEER_LOST
        )
        self._decisions.record(Decision(kind, reasons={'peer': peer}))
        self.owners_changed.notify()

    def _meet(self, entry: InstanceEntry) -> None:
        # Without the store, an instance that starts is known only by those
        # that connect to it; it learns the configuration from them.
        if not self._lease.reaches_store() and entry not in self.met:
            self.met.append(entry)
            self._groups.changed.set()

    def _list_owned(self) -> Iterator[OwnedGroup]:
        for access in self._groups:
            owner = access.owner
            if owner is not None and owner.reign.is_held():
                yield OwnedGroup(
                    access.group,
                    owner.reign.token,
                    owner.read_tip(),
                )

    def _list_relayed(self) -> Iterator[OwnedGroup]:
        for link in self._neighbours.list_heard():
            for owned in link.owned.values():
                yield OwnedGroup(owned.group, owned.token, None)
