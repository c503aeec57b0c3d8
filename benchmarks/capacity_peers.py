"""Measure what one proxy spends on the other proxies of a fleet."""

from collections.abc import Callable, Sequence
from time import perf_counter

from benchmarks.capacity_fit import Fit, fit_line
from benchmarks.capacity_idle_peer import IdlePeer
from benchmarks.figures import print_progress
from benchmarks.trials import run_trials
from sedgeshunt.cli.fleet import Fleet
from sedgeshunt.clocks import read_clock
from sedgeshunt.configuration.objects import Proxy
from sedgeshunt.configuration.snapshot import Snapshot
from sedgeshunt.decisions import MemoryDecisionLog
from sedgeshunt.identifiers import ProxyId, ZoneId
from sedgeshunt.membership.choice import KnownPeer, choose_peers
from sedgeshunt.membership.directory import PeerDirectory
from sedgeshunt.membership.instances import InstanceWatch
from sedgeshunt.membership.peers import PeerRoster
from sedgeshunt.ports import Address
from tests.standins.network import Network, Place
from tests.standins.peers import MemoryPeerConnector, MemoryPeers
from tests.standins.platform import InstanceListStandIn, MemoryInstanceList

SIZES = (100, 400, 800, 1500)
ZONES = 10
# One way between regions, in seconds.
FAR = 0.04
HOST = '127.0.0.1'
FIRST_PORT = 7100
TIMES = 5
MILLISECONDS = 1000


class CountingPeer(IdlePeer):
    """Count the announcements that arrive."""

    def __init__(self, name: str) -> None:
        """Have heard nothing."""
        super().__init__(name)
        self.heard = 0

    async def announce_leaving(self, name: str) -> None:
        """Count it."""
        self.heard += 1


def measure_peers() -> list[Fit]:
    """Measure over several sizes of the fleet."""
    print_progress('capacity: peers known, chosen and told')
    known = [_declare(size) for size in SIZES]
    asked = [
        len(choose_peers('entry-0', ZoneId('z0'), _know(each)))
        for each in known
    ]
    told = list(run_trials(announce, SIZES))
    answered = list(run_trials(ask, SIZES))
    fits = (
        ('peers asked regularly', 'peers', asked),
        (
            'look through all peers',
            'ms',
            [_time(_make_roster(each)[0].list_peers) for each in known],
        ),
        (
            'choose the peers after a change',
            'ms',
            [_time(_bind(each)) for each in known],
        ),
        ('peers told of a stop in 2 s, 40 ms away', 'peers', told),
        ('client asks all proxies, 40 ms away', 's', answered),
    )
    return [
        fit_line(name, unit, 'proxy', SIZES, list(figures))
        for name, unit, figures in fits
    ]


async def announce(size: int) -> float:
    """Return how many peers hear that a proxy stops."""
    roster, served = _make_roster(_declare(size))
    await roster.announce_leaving('entry-0')
    return sum(peer.heard for peer in served)


async def ask(size: int) -> float:
    """Return how long the client takes to ask all proxies once."""
    snapshot = _declare(size)
    connector = MemoryPeerConnector(_serve(snapshot)[0], Place('client', 'z0'))
    started = read_clock()
    await Fleet(connector).ask_all(
        snapshot.proxies.values(),
        lambda connection: connection.report(),
    )
    return read_clock() - started


def _declare(size: int) -> Snapshot:
    return Snapshot(
        proxies={
            f'entry-{number}': Proxy(
                f'entry-{number}',
                ZoneId(f'z{number % ZONES}'),
                HOST,
                FIRST_PORT + number,
            )
            for number in range(size)
        },
    )


def _know(snapshot: Snapshot) -> list[KnownPeer]:
    return [
        KnownPeer(Address(proxy.host, proxy.peer_port), name, proxy.zone)
        for name, proxy in snapshot.proxies.items()
    ]


def _bind(snapshot: Snapshot) -> Callable[[], object]:
    peers = _know(snapshot)
    return lambda: choose_peers('entry-0', ZoneId('z0'), peers)


def _serve(snapshot: Snapshot) -> tuple[MemoryPeers, list[CountingPeer]]:
    peers = MemoryPeers(Network(FAR))
    served = []
    for name, proxy in snapshot.proxies.items():
        peer = CountingPeer(name)
        served.append(peer)
        address = Address(proxy.host, proxy.peer_port)
        peers.add(address, Place(name, proxy.zone), peer)
    return peers, served


def _make_roster(
    snapshot: Snapshot,
) -> tuple[PeerRoster, Sequence[CountingPeer]]:
    peers, served = _serve(snapshot)
    decisions = MemoryDecisionLog()
    place = Place('entry-0', 'z0')
    own = ProxyId('entry-0')
    directory = PeerDirectory(
        own,
        Address(HOST, FIRST_PORT),
        [],
        InstanceWatch(
            MemoryInstanceList(InstanceListStandIn(), place),
            decisions,
            lambda: len(served),
        ),
    )
    connector = MemoryPeerConnector(peers, place)
    roster = PeerRoster(own, ZoneId('z0'), directory, connector, decisions)
    roster.apply(snapshot)
    return roster, served


def _time(action: Callable[[], object]) -> float:
    spent = []
    for _ in range(TIMES):
        started = perf_counter()
        action()
        spent.append(perf_counter() - started)
    return min(spent) * MILLISECONDS
