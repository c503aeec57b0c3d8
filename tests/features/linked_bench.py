"""Run proxies whose links to each other and to databases can fail."""

from collections.abc import Iterable, Iterator

from tests.features.platform_bench import PlatformBench
from tests.standins.relays import Relay
from tests.standins.store_callers import StoreCaller


class LinkedBench(PlatformBench):
    """Place a relay on each link, and let the store know its callers."""

    def __init__(self) -> None:
        """Start the simulated platform, without proxies."""
        super().__init__()
        self.callers: dict[str, StoreCaller] = {}
        # By the proxy that connects and the proxy or database it reaches.
        self.links: dict[tuple[str, str], Relay] = {}

    def add_all(self, names: Iterable[str]) -> None:
        """Add proxies that are linked with each other, not started."""
        for name in names:
            self.callers[name] = StoreCaller(name)
            port = self.platform.listen_for(self.callers[name])
            self.add(name, port)
        for name, caller in self.callers.items():
            caller.ports = self.loop.run(self._link(name))

    def list_peer_links(self, name: str) -> Iterator[Relay]:
        """Yield the links by which other proxies reach one."""
        for (source, destination), link in self.links.items():
            if destination == name and source in self.proxies:
                yield link

    def find_link(self, source: str, destination: str) -> Relay:
        """Return the link by which a proxy reaches another or a database."""
        return self.links[source, destination]

    def close(self) -> None:
        """Stop all proxies, links and the simulated platform."""
        for proxy in self.proxies.values():
            proxy.close()
        self.loop.run(self._close_links())
        super().close()

    async def _link(self, name: str) -> dict[int, int]:
        """Return the ports of the new links of a proxy, by destination."""
        ports = {}
        for other, destination in self._list_destinations(name):
            link = Relay(destination)
            await link.start()
            self.links[name, other] = link
            ports[destination] = link.port
        return ports

    def _list_destinations(self, name: str) -> Iterator[tuple[str, int]]:
        for other in self.proxies.values():
            if other.name != name:
                yield other.name, other.ports['peers']
        for target in self.platform.group.targets.values():
            yield target.name, target.port

    async def _close_links(self) -> None:
        for link in self.links.values():
            link.refuse()
