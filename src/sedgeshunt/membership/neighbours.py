"""Maintain the links to other instances that the store lists."""

from asyncio import Task, TaskGroup
from collections.abc import Iterator

from msgspec import Struct

from sedgeshunt.clocks import read_clock
from sedgeshunt.forwarding.channel import FrameConnector
from sedgeshunt.forwarding.link import LinkEvents, PeerLink
from sedgeshunt.identifiers import GroupId, Monotonic, ProxyId, Seconds
from sedgeshunt.membership.topology import Topology
from sedgeshunt.ownership.claims import KnownPeers
from sedgeshunt.registry.entries import InstanceEntry
from sedgeshunt.registry.keys import INSTANCES_PREFIX
from sedgeshunt.registry.store_view import StoreView

# The link to an instance that the store no longer lists is dropped after this
# long without an answer; until then the instance may only have lost its lease.
# The same time applies to a link that is not needed any more, once it has no
# call under way.
DROP_AFTER = Seconds(10)


class _Neighbour(Struct):
    """Hold the link to one instance and the task that runs it."""

    link: PeerLink
    task: Task[None]
    unlisted_since: Monotonic | None = None
    unneeded_since: Monotonic | None = None


class Neighbours(KnownPeers):
    """Own the links to the instances that the topology selects."""

    def __init__(
        self,
        own: InstanceEntry,
        view: StoreView,
        topology: Topology,
        connector: FrameConnector,
        events: LinkEvents,
    ) -> None:
        """Start without links."""
        self._own = own
        self._view = view
        self._topology = topology
        self._listed: list[InstanceEntry] | None = None
        view.listen(self._note_change)
        self._connector = connector
        self._events = events
        self._known: dict[ProxyId, _Neighbour] = {}

    @property
    def own_name(self) -> ProxyId:
        """Return the name of this instance."""
        return self._own.name

    def list_instances(self) -> list[InstanceEntry]:
        """List the instances that hold a lease, including this one."""
        # Cached until a change, as a large fleet's list takes milliseconds.
        if self._listed is None:
            entries = (
                self._view.read_entry(pair, InstanceEntry)
                for pair in self._view.list_prefix(INSTANCES_PREFIX)
            )
            self._listed = [entry for entry in entries if entry is not None]
        return self._listed

    def list_known(self) -> list[ProxyId]:
        """List the instances with a link, whether they answer or not."""
        return list(self._known)

    def find_link(self, name: ProxyId) -> PeerLink | None:
        """Return the link to an instance, None unless it is alive."""
        known = self._known.get(name)
        if known is None or not known.link.is_alive():
            return None
        return known.link

    def list_alive(self) -> Iterator[PeerLink]:
        """Yield the links to the instances that are alive."""
        for known in self._known.values():
            if known.link.is_alive():
                yield known.link

    def list_owners(self) -> Iterator[PeerLink]:
        """Yield the links to the live peers that report to own a group."""
        # Few peers own a group, and each statement and heartbeat asks.
        for known in self._known.values():
            if known.link.owned and known.link.is_alive():
                yield known.link

    def list_answering(self) -> list[PeerLink]:
        """List the links whose peers answered the latest heartbeats."""
        return [
            known.link
            for known in self._known.values()
            if known.link.is_answering()
        ]

    def list_silences(self) -> list[Seconds]:
        """List how long each silent peer has not answered."""
        silences = (
            known.link.measure_silence() for known in self._known.values()
        )
        return [silence for silence in silences if silence is not None]

    def wake_all(self) -> None:
        """Send a heartbeat to every peer now."""
        for known in self._known.values():
            known.link.wake()

    def wake_idle(self) -> None:
        """Send a heartbeat now to peers that get them rarely."""
        for known in self._known.values():
            known.link.wake_if_idle()

    def is_ownership_reported(self, group: GroupId, owner: ProxyId) -> bool:
        """Return whether a live peer still reports to own a group."""
        link = self.find_link(owner)
        return link is not None and group in link.owned

    def update(self, tasks: TaskGroup) -> None:
        """Add and drop links after the instances that the store lists."""
        instances = self.list_instances()
        needed = self._topology.choose_neighbours(instances) - {self._own.name}
        listed = {entry.name: entry for entry in instances}
        for name in tuple(self._known):
            if name not in listed:
                self._note_unlisted(name)
            elif name not in needed:
                self._note_unneeded(name)
        for name in needed & listed.keys():
            self.connect(listed[name], tasks)

    def connect(self, entry: InstanceEntry, tasks: TaskGroup) -> None:
        """Open a link to an instance, or keep the one to its address."""
        known = self._known.get(entry.name)
        if known is not None and known.link.peer.address == entry.address:
            known.unlisted_since = None
            known.unneeded_since = None
            known.link.peer = entry
            return
        if known is not None:
            self._drop(entry.name)
        link = PeerLink(entry, self._connector, self._events)
        self._known[entry.name] = _Neighbour(
            link,
            tasks.create_task(link.run()),
        )

    def _note_unlisted(self, name: ProxyId) -> None:
        known = self._known[name]
        now = read_clock()
        if known.link.is_alive() or known.unlisted_since is None:
            known.unlisted_since = now
        elif now - known.unlisted_since > DROP_AFTER:
            self._drop(name)

    def _note_unneeded(self, name: ProxyId) -> None:
        known = self._known[name]
        now = read_clock()
        if known.unneeded_since is None:
            known.unneeded_since = now
        unneeded_for = now - known.unneeded_since
        if min(unneeded_for, known.link.measure_idle()) > DROP_AFTER:
            self._drop(name)

    def _note_change(self, key: str) -> None:
        if not key or key.startswith(INSTANCES_PREFIX):
            self._listed = None

    def _drop(self, name: ProxyId) -> None:
        self._known.pop(name).task.cancel()
