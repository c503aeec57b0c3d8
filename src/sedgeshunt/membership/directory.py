"""Know which other proxies there are and where they listen."""

from collections.abc import Sequence

from sedgeshunt.configuration.objects import Proxy
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.identifiers import ProxyId
from sedgeshunt.membership.choice import KnownPeer
from sedgeshunt.membership.instances import InstanceWatch
from sedgeshunt.ports import Address, ProxyReport


class PeerDirectory:
    """Put together what settings, configuration, list and peers tell."""

    def __init__(
        self,
        proxy: ProxyId,
        own_address: Address,
        seeds: Sequence[Address],
        instances: InstanceWatch,
    ) -> None:
        """Know the seeds only until a snapshot comes."""
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
        """Take a peer's own word on its name and state."""
        before = self._reports.get(address)
        self._reports[address] = report
        if before is None or before.proxy != report.proxy:
            self._known = None
        if report.stopping:
            self._instances.note_leaving(report.proxy)
        else:
            self._instances.note_serving(report.proxy)

    def list_peers(self) -> Sequence[KnownPeer]:
        """List the other proxies; the same list until something changes."""
        generation = self._instances.generation
        if self._known is None or generation != self._generation:
            self._known = self._collect_peers()
            self._generation = generation
        return self._known

    def is_leaving(self, peer: KnownPeer) -> bool:
        """Tell whether a peer leaves, by its own word or the list."""
        return peer.name is not None and self._instances.is_leaving(peer.name)

    def _collect_peers(self) -> Sequence[KnownPeer]:
        known = {seed: self._describe_seed(seed) for seed in self._seeds}
        for proxy in self._declared:
            # Instances are replaced at any time; the list knows the new
            # one's address before an operator corrects the object. Only
            # declared names are taken from it: a call to an instance of an
            # unknown kind may use up a database's scarce connections.
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
