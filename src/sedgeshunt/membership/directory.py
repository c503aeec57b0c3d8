"""List the other proxies and their addresses."""

from collections.abc import Sequence

from sedgeshunt.configuration.objects import Proxy
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.identifiers import ProxyId
from sedgeshunt.membership.choice import KnownPeer
from sedgeshunt.membership.instances import InstanceWatch
from sedgeshunt.ports import Address, ProxyReport


class PeerDirectory:
    """Merge the peers known from settings, configuration and reports."""

    def __init__(
        self,
        proxy: ProxyId,
        own_address: Address,
        seeds: Sequence[Address],
        instances: InstanceWatch,
    ) -> None:
        """Start with the seeds, before the first snapshot."""
        self._proxy = proxy
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._instances = instances
        self._declared: Sequence[Proxy] = ()
        self._reports: dict[Address, ProxyReport] = {}
        self._known: Sequence[KnownPeer] | None = None
        self._generation = 0

    def apply(self, snapshot: Snapshot) -> None:
        """Take the declared proxies from a snapshot."""
        self._declared = tuple(snapshot.proxies.values())
        self._known = None

    def note_report(self, address: Address, report: ProxyReport) -> None:
        """Record the name and state that a peer reports of itself."""
        before = self._reports.get(address)
        self._reports[address] = report
        if before is None or before.proxy != report.proxy:
            self._known = None
        if report.stopping:
            self._instances.note_leaving(report.proxy)
        else:
            self._instances.note_serving(report.proxy)

    def list_peers(self) -> Sequence[KnownPeer]:
        """Return the other proxies; the same object until a change."""
        generation = self._instances.generation
        if self._known is None or generation != self._generation:
            self._known = self._collect_peers()
            self._generation = generation
        return self._known

    def is_leaving(self, peer: KnownPeer) -> bool:
        """Return whether a peer is leaving, by its report or the list."""
        return peer.name is not None and self._instances.is_leaving(peer.name)

    def _collect_peers(self) -> Sequence[KnownPeer]:
        known = {seed: self._describe_seed(seed) for seed in self._seeds}
        for proxy in self._declared:
            # Instances are replaced at any time, and the list shows the new
            # address before an operator updates the object. Only declared
            # names are looked up there: a call to an instance of another
            # kind may use up the few connections of a database.
            listed = self._instances.find_instance(proxy.name)
            host = proxy.host if listed is None else listed.address.host
            address = Address(host, proxy.peer_port)
            known[address] = KnownPeer(address, proxy.name, proxy.zone)
        known.pop(self._own_address, None)
        return tuple(
            peer for peer in known.values() if peer.name != self._proxy
        )

    def _describe_seed(self, seed: Address) -> KnownPeer:
        report = self._reports.get(seed)
        if report is None:
            return KnownPeer(seed)
        return KnownPeer(seed, report.proxy, report.zone)
