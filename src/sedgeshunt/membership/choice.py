"""Choose the peers that a proxy polls regularly."""

from collections.abc import Iterable
from dataclasses import dataclass

from sedgeshunt.groups.ranks import compute_weight
from sedgeshunt.identifiers import ZoneId
from sedgeshunt.ports import Address

# A full mesh of thousands of proxies would saturate the control traffic; with
# this many peers a change still reaches the whole fleet in a few rounds.
REGULAR_PEERS = 8
OWN_ZONE_PEERS = 5


@dataclass(frozen=True, slots=True)
class KnownPeer:
    """Hold what is known of another proxy before its first report."""

    address: Address
    # None for a seed from the settings that has not answered yet.
    name: str | None = None
    zone: ZoneId | None = None

    @property
    def label(self) -> str:
        """Return the name, or the address while the name is unknown."""
        return self.name or f'{self.address.host}:{self.address.port}'


def choose_peers(
    own_name: str,
    own_zone: ZoneId,
    peers: Iterable[KnownPeer],
) -> list[KnownPeer]:
    """Choose the peers to poll regularly, those of the own zone first."""
    ranked = rank_peers(own_name, peers)
    near = [peer for peer in ranked if peer.zone == own_zone]
    far = [peer for peer in ranked if peer.zone != own_zone]
    near_count = max(OWN_ZONE_PEERS, REGULAR_PEERS - len(far))
    chosen = near[:near_count]
    return chosen + far[: REGULAR_PEERS - len(chosen)]


def rank_peers(key: str, peers: Iterable[KnownPeer]) -> list[KnownPeer]:
    """Rank peers for `key`; removing one keeps the order of the others."""
    return sorted(
        peers,
        key=lambda peer: compute_weight(key, peer.label),
        reverse=True,
    )
